//! Replicas with disks and timers in one process.

mod raft_support;

use std::fs;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use async_std::task;
use bytes::Bytes;
use damaskhoist::raft::{
    ChangeError, Entry, Identity, LogReader, LogStorage, OpenError, Priority, ProposeError,
    ReplicaChange,
};
use raft_support::{replica, segment_files, wait_for, Cluster};
use rstest::rstest;

async fn propose_many(cluster: &Cluster, from: usize, to: usize) {
    for number in from..to {
        cluster.propose(&format!("c{number}")).await;
    }
}

/// Asks for a change until it is made; a busy leader may refuse it for a while.
async fn change(cluster: &Cluster, change: ReplicaChange) {
    for _ in 0..2000 {
        let leader = cluster.leader().await;
        match cluster.groups[&leader].change_replicas(change.clone()).await {
            Ok(()) => return,
            Err(ChangeError::Refused(_) | ChangeError::NotLeader { .. }) => {
                task::sleep(std::time::Duration::from_millis(10)).await;
            }
            Err(ChangeError::Unknown) => {}
        }
    }
    panic!("{change:?} was not made in time");
}

// Guards against outcomes that are given before the command is applied on a quorum, and against
// replicas that apply different sequences.
#[async_std::test]
async fn commands_reach_all_replicas_in_order() {
    let cluster = Cluster::start(3, |_| {});
    propose_many(&cluster, 0, 50).await;
    cluster.converge(50).await;
    let point = cluster.groups[&cluster.leader().await].read_barrier().await.unwrap();
    assert!(point.index >= 50);
    cluster.close_all().await;
}

// Guards against loss of acknowledged commands when all processes restart.
#[async_std::test]
async fn acknowledged_commands_survive_a_restart_of_all() {
    let mut cluster = Cluster::start(3, |_| {});
    propose_many(&cluster, 0, 20).await;
    for id in 1..=3 {
        cluster.close(id).await;
    }
    for id in 1..=3 {
        cluster.open(id).unwrap();
    }
    cluster.propose("after").await;
    cluster.converge(21).await;
    cluster.close_all().await;
}

// Guards against a follower that tells a caller to go elsewhere without saying where.
#[async_std::test]
async fn followers_name_the_leader() {
    let cluster = Cluster::start(3, |_| {});
    cluster.propose("first").await;
    let leader = cluster.leader().await;
    let follower = &cluster.groups[&(leader % 3 + 1)];
    let address = Some(format!("r{leader}"));
    wait_for("the follower to know the leader", || follower.status().leader_address == address)
        .await;
    let refused = follower.propose(Bytes::from_static(b"x"), Priority::Online).await;
    assert_eq!(refused, Err(ProposeError::NotLeader { leader_address: address }));
    assert!(follower.read_barrier().await.is_err());
    cluster.close_all().await;
}

// Guards against a host that returns with an empty disk under its old id, and against loss when a
// second host fails right after the repair.
#[async_std::test]
async fn an_empty_disk_does_not_vote_and_is_replaced() {
    let mut cluster = Cluster::start(3, |_| {});
    propose_many(&cluster, 0, 10).await;
    cluster.close(3).await;
    fs::remove_dir_all(cluster.data_folder(3)).unwrap();
    cluster.open(3).unwrap();
    let returned = cluster.groups[&3].clone();
    wait_for("the fault to be told", || returned.status().fault.is_some()).await;
    assert!(!returned.status().may_vote);
    cluster.close(3).await;

    change(&cluster, ReplicaChange::Remove(3)).await;
    let leader = cluster.leader().await;
    let again = cluster.groups[&leader].change_replicas(ReplicaChange::AddLearner(replica(3)));
    assert!(matches!(again.await, Err(ChangeError::Refused(_))), "an id is used once");
    change(&cluster, ReplicaChange::AddLearner(replica(4))).await;
    let mut options = cluster.options(4);
    options.join_existing = true;
    cluster.open_with(options, |storage| storage).unwrap();
    propose_many(&cluster, 10, 20).await;
    change(&cluster, ReplicaChange::Promote(4)).await;
    cluster.close(cluster.leader().await).await;
    propose_many(&cluster, 20, 30).await;
    cluster.converge(30).await;
    cluster.close_all().await;
}

// Guards against a replica that can't come back once the log was compacted, and against a
// snapshot that stops the group.
#[async_std::test]
async fn a_replica_that_was_away_catches_up_by_snapshot() {
    let mut cluster = Cluster::start(3, |options| {
        options.snapshot_interval_entries = 20;
        options.segment_bytes = 512;
    });
    propose_many(&cluster, 0, 5).await;
    cluster.close(3).await;
    let mut count = 5;
    // The log is kept for a while for a follower that has just gone silent. Once no running replica
    // has the entries that replica 3 lacks, only a snapshot can bring it up to date, whichever leads.
    while cluster.groups.values().any(|group| group.status().first_index < 20) {
        propose_many(&cluster, count, count + 1).await;
        count += 1;
    }
    cluster.open(3).unwrap();
    propose_many(&cluster, count, count + 100).await;
    cluster.converge(count + 100).await;
    // A replica publishes its status a moment after the state machine has the snapshot's commands.
    wait_for("the snapshot", || cluster.groups[&3].status().snapshot_index > 5).await;
    cluster.close_all().await;
}

// Guards against a leader that can't read its snapshot and leaves a follower behind until its term ends.
#[rstest]
#[case::missing(|path| std::fs::remove_file(path))]
#[case::damaged(|path| std::fs::write(path, b"damaged"))]
#[async_std::test]
async fn a_leader_that_can_not_read_its_snapshot_saves_another(
    #[case] spoil: fn(std::path::PathBuf) -> std::io::Result<()>,
) {
    let mut cluster = Cluster::start(3, |options| {
        options.snapshot_interval_entries = 20;
        options.segment_bytes = 512;
    });
    propose_many(&cluster, 0, 5).await;
    cluster.close(3).await;
    let mut count = 5;
    while cluster.groups.values().any(|group| group.status().first_index < 20) {
        propose_many(&cluster, count, count + 1).await;
        count += 1;
    }
    // Without further commands no snapshot is due.
    for id in [1, 2] {
        spoil(cluster.data_folder(id).join("snapshot")).unwrap();
    }
    cluster.open(3).unwrap();
    cluster.converge(count).await;
    cluster.close_all().await;
}

// Guards against a group that stops while a snapshot is saved, and against a snapshot with commands
// from after its index.
#[async_std::test]
async fn commands_go_on_while_a_snapshot_is_saved() {
    let mut cluster = Cluster::start(1, |options| options.snapshot_interval_entries = 10);
    propose_many(&cluster, 0, 5).await;
    let (machine, group) = (cluster.machines[&1].clone(), cluster.groups[&1].clone());
    let gate = machine.save_gate.lock().await;
    for number in 5..40 {
        cluster.propose(&format!("c{number}")).await;
    }
    assert_eq!(group.status().snapshot_index, 0);
    drop(gate);
    wait_for("the snapshot", || group.status().snapshot_index > 0).await;
    cluster.close(1).await;
    cluster.open(1).unwrap();
    cluster.propose("after").await;
    let expected = (0..40).map(|number| format!("c{number}")).chain(["after".into()]);
    assert!(cluster.machines[&1].commands().into_iter().eq(expected));
    cluster.close_all().await;
}

// Guards against a full disk that also stops the completion of accepted work.
#[async_std::test]
async fn a_full_disk_refuses_new_work_and_lets_accepted_work_complete() {
    let cluster = Cluster::start(3, |options| {
        options.data_limit_bytes = 60_000;
        options.reserved_bytes = 40_000;
        options.snapshot_interval_entries = 1_000_000;
    });
    cluster.propose("first").await;
    let leader = cluster.groups[&cluster.leader().await].clone();
    let mut is_full = false;
    for number in 0..200u64 {
        // Random content, because compression must not make room.
        let bulk: Vec<u8> = (0..512).map(|_| rand::random()).collect();
        match leader.propose(bulk.into(), Priority::Bulk).await {
            Ok(_) => assert!(number < 199, "the limit has no effect"),
            Err(ProposeError::Storage(_)) => is_full = true,
            Err(other) => panic!("{other}"),
        }
        if is_full {
            break;
        }
    }
    assert!(is_full);
    let completion = leader.propose(Bytes::from_static(b"done"), Priority::Completion).await;
    assert!(completion.is_ok(), "{completion:?}");
    cluster.close_all().await;
}

/// Fails every sync once it is told to.
struct FailingStorage {
    inner: Box<dyn LogStorage>,
    fails: Arc<AtomicBool>,
}

impl LogStorage for FailingStorage {
    fn save_identity(&mut self, identity: &Identity) -> io::Result<()> {
        self.inner.save_identity(identity)
    }

    fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        self.inner.append(entries)
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.fails.load(Ordering::Relaxed) {
            return Err(io::Error::other("sync failed"));
        }
        self.inner.sync()
    }

    fn reader(&self) -> Arc<dyn LogReader> {
        self.inner.reader()
    }

    fn compact(&mut self, index: u64) -> io::Result<()> {
        self.inner.compact(index)
    }

    fn clear(&mut self) -> io::Result<()> {
        self.inner.clear()
    }

    fn discard_quarantined(&mut self) -> io::Result<()> {
        self.inner.discard_quarantined()
    }

    fn data_bytes(&self) -> u64 {
        self.inner.data_bytes()
    }
}

/// Opens a replica again on storage that fails while the returned switch is set.
async fn reopen_on_failing_storage(cluster: &mut Cluster, id: u64) -> Arc<AtomicBool> {
    cluster.close(id).await;
    let fails = Arc::new(AtomicBool::new(false));
    let switch = fails.clone();
    let wrap = move |inner| -> Box<dyn LogStorage> {
        Box::new(FailingStorage { inner, fails: fails.clone() })
    };
    cluster.open_with(cluster.options(id), wrap).unwrap();
    switch
}

// Guards against a replica that goes on after a failed sync as if its writes were durable, and
// against a stopped replica that claims to lead.
#[async_std::test]
async fn a_replica_takes_no_part_while_its_syncs_fail() {
    let mut cluster = Cluster::start(3, |_| {});
    propose_many(&cluster, 0, 5).await;
    let leader = cluster.leader().await;
    let fails = reopen_on_failing_storage(&mut cluster, leader).await;
    let failing = cluster.groups[&leader].clone();
    propose_many(&cluster, 5, 10).await;
    cluster.converge(10).await;
    fails.store(true, Ordering::Relaxed);
    propose_many(&cluster, 10, 15).await;
    wait_for("the replica to stop", || failing.status().is_stopped).await;
    let status = failing.status();
    assert!(status.fault.as_ref().unwrap().contains("sync failed"));
    assert!(!status.is_leader && !status.may_vote && status.leader_id.is_none());
    let refused = failing.propose(Bytes::from_static(b"x"), Priority::Online).await;
    assert!(matches!(refused, Err(ProposeError::Storage(_))), "{refused:?}");
    // Without the third replica nothing commits: the failing one acknowledges nothing.
    propose_many(&cluster, 15, 20).await;
    let follower = (1..=3).find(|id| *id != leader && !cluster.groups[id].status().is_leader);
    let (follower, leads) = (follower.unwrap(), cluster.leader().await);
    cluster.network.cut(follower);
    let proposed = cluster.groups[&leads].propose(Bytes::from_static(b"y"), Priority::Online);
    let proposed = async_std::future::timeout(std::time::Duration::from_secs(1), proposed).await;
    assert!(!matches!(proposed, Ok(Ok(_))), "one durable copy is no quorum: {proposed:?}");
    cluster.close_all().await;
}

// Guards against replicas that a storage failure stops for good: after failures of two of three
// disks, one after the other, the group had no quorum though all disks worked again.
#[async_std::test]
async fn replicas_come_back_after_storage_failures_in_turn() {
    let mut cluster = Cluster::start(3, |_| {});
    propose_many(&cluster, 0, 5).await;
    let mut count = 5;
    for id in [1, 2, 3, 1] {
        let fails = reopen_on_failing_storage(&mut cluster, id).await;
        let failing = cluster.groups[&id].clone();
        propose_many(&cluster, count, count + 5).await;
        cluster.converge(count + 5).await;
        fails.store(true, Ordering::Relaxed);
        propose_many(&cluster, count + 5, count + 10).await;
        wait_for("the replica to stop", || failing.status().is_stopped).await;
        fails.store(false, Ordering::Relaxed);
        let is_back = || failing.status().may_vote && failing.status().fault.is_none();
        wait_for("the replica to come back", is_back).await;
        assert!(failing.status().storage_failures > 0);
        count += 10;
        cluster.converge(count).await;
    }
    let commands = cluster.machines[&1].commands();
    let mut distinct = commands.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), count, "all commands were kept");
    cluster.close_all().await;
}

// Guards against a replica whose real folder can't be written for a while, as on a full disk: it
// must open again with its vote, term and log, also where a file was left half written.
#[async_std::test]
async fn a_replica_comes_back_with_what_is_on_its_disk() {
    let mut cluster = Cluster::start(3, |_| {});
    propose_many(&cluster, 0, 20).await;
    cluster.converge(20).await;
    let fails = reopen_on_failing_storage(&mut cluster, 2).await;
    let failing = cluster.groups[&2].clone();
    propose_many(&cluster, 20, 25).await;
    cluster.converge(25).await;
    let term = failing.status().term;
    let (folder, away) = (cluster.data_folder(2), cluster.folder.path().join("away"));
    fails.store(true, Ordering::Relaxed);
    propose_many(&cluster, 25, 30).await;
    wait_for("the replica to stop", || failing.status().is_stopped).await;
    // A file in place of the folder makes each attempt to open it fail.
    fs::rename(&folder, &away).unwrap();
    fs::write(&folder, b"").unwrap();
    fails.store(false, Ordering::Relaxed);
    task::sleep(std::time::Duration::from_millis(1_200)).await;
    assert!(failing.status().is_stopped, "the folder can't be read");
    fs::remove_file(&folder).unwrap();
    let segment = segment_files(&away).pop().unwrap();
    let mut torn = fs::read(&segment).unwrap();
    torn.extend_from_slice(b"a frame that was cut short");
    fs::write(&segment, torn).unwrap();
    fs::rename(&away, &folder).unwrap();
    wait_for("the replica to come back", || failing.status().may_vote).await;
    assert!(failing.status().term >= term);
    propose_many(&cluster, 30, 35).await;
    cluster.converge(35).await;
    cluster.close_all().await;
}

// Guards against a damaged record that is cut like a torn write, and a replica that votes without
// what it had acknowledged.
#[async_std::test]
async fn a_damaged_record_is_told_and_repaired() {
    let mut cluster = Cluster::start(3, |_| {});
    propose_many(&cluster, 0, 20).await;
    cluster.converge(20).await;
    cluster.close(3).await;
    let segment = segment_files(&cluster.data_folder(3)).remove(0);
    let mut content = fs::read(&segment).unwrap();
    let middle = content.len() / 2;
    content[middle] ^= 0x40;
    fs::write(&segment, &content).unwrap();

    cluster.network.cut(3);
    cluster.open(3).unwrap();
    let damaged = cluster.groups[&3].clone();
    assert!(!damaged.status().may_vote);
    assert!(damaged.status().fault.as_ref().unwrap().contains("damaged"));
    cluster.network.heal();
    cluster.propose("after").await;
    wait_for("the repair", || damaged.status().may_vote && damaged.status().fault.is_none()).await;
    cluster.converge(21).await;
    cluster.close_all().await;
}

// Guards against a replica that forgets its promises when only its identity file is lost.
#[async_std::test]
async fn a_log_without_identity_is_not_opened() {
    let mut cluster = Cluster::start(1, |_| {});
    cluster.propose("first").await;
    cluster.close(1).await;
    fs::remove_file(cluster.data_folder(1).join("identity")).unwrap();
    assert!(matches!(cluster.open(1), Err(OpenError::IdentityMissing { .. })));
    cluster.close_all().await;
}

// Guards against a planned stop of the leader that leaves the group without one for long.
#[async_std::test]
async fn leadership_is_transferred() {
    let cluster = Cluster::start(3, |_| {});
    cluster.propose("first").await;
    cluster.converge(1).await;
    let leader = cluster.leader().await;
    let next = loop {
        // A follower is ready once it has answered the new leader.
        match cluster.groups[&leader].transfer_leadership(0).await {
            Ok(next) => break next,
            Err(_) => task::sleep(std::time::Duration::from_millis(10)).await,
        }
    };
    let group = cluster.groups[&next].clone();
    wait_for("the next leader", || group.status().is_leader).await;
    cluster.propose("second").await;
    cluster.converge(2).await;
    cluster.close_all().await;
}
