//! Replicas whose disk or state machine stands still without an error.

mod raft_support;

use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::sync::Mutex;
use async_std::task;
use bytes::Bytes;
use damaskhoist::raft::{
    Entry, Group, GroupOptions, Identity, LogReader, LogStorage, Priority, ProposeError,
};
use raft_support::{wait_for, Cluster};

/// Writes only while its gate is not locked.
struct HangingStorage {
    inner: Box<dyn LogStorage>,
    gate: Arc<Mutex<()>>,
}

impl LogStorage for HangingStorage {
    fn save_identity(&mut self, identity: &Identity) -> io::Result<()> {
        let _gate = task::block_on(self.gate.lock());
        self.inner.save_identity(identity)
    }

    fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        self.inner.append(entries)
    }

    fn sync(&mut self) -> io::Result<()> {
        let _gate = task::block_on(self.gate.lock());
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

/// Keeps elections from starting because a busy machine delays heartbeats.
fn use_long_timeouts(options: &mut GroupOptions) {
    (options.heartbeat_interval_ms, options.election_timeout_ms) = (100, 600);
}

/// Three replicas, each with a gate that its writes need.
async fn start_with_gates() -> (Cluster, Vec<Arc<Mutex<()>>>) {
    let mut cluster = Cluster::start(3, use_long_timeouts);
    cluster.propose("first").await;
    let gates: Vec<Arc<Mutex<()>>> = (0..3).map(|_| Arc::default()).collect();
    for id in 1..=3 {
        cluster.close(id).await;
        let gate = gates[id as usize - 1].clone();
        let wrap = move |inner| -> Box<dyn LogStorage> {
            Box::new(HangingStorage { inner, gate: gate.clone() })
        };
        cluster.open_with(cluster.options(id), wrap).unwrap();
    }
    cluster.propose("second").await;
    cluster.converge(2).await;
    (cluster, gates)
}

/// Proposes many commands at once; returns their outcomes as far as they are known after `wait`.
async fn propose_at(
    group: &Group,
    count: usize,
    wait: Duration,
) -> Vec<Option<Result<Bytes, ProposeError>>> {
    let calls = (0..count).map(|number| {
        let (group, command) = (group.clone(), Bytes::from(format!("p{number}")));
        task::spawn(async move {
            // Separate batches, of which only two are written at a time.
            task::sleep(Duration::from_millis(20 * number as u64)).await;
            async_std::future::timeout(wait, group.propose(command, Priority::Online)).await.ok()
        })
    });
    futures::future::join_all(calls.collect::<Vec<_>>()).await
}

/// Proposes commands at a replica until it captures its state. A slow disk writes many at once, which are then applied
/// at once, so their number alone does not tell when the capture begins.
async fn propose_until_capture(cluster: &Cluster, id: u64) {
    let machine = cluster.machines[&id].clone();
    let before = machine.captures.load(Ordering::Relaxed);
    let deadline = Instant::now() + Duration::from_secs(20);
    while machine.captures.load(Ordering::Relaxed) == before {
        assert!(Instant::now() < deadline, "waited in vain for a capture");
        let (group, command) = (cluster.groups[&id].clone(), Bytes::from_static(b"filling"));
        task::spawn(async move { group.propose(command, Priority::Online).await });
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until another replica than `id` leads and commits a command.
async fn wait_for_takeover(cluster: &Cluster, id: u64) {
    let others = || cluster.groups.iter().filter(|(other, _)| **other != id);
    let leads = || others().any(|(_, group)| group.status().is_leader);
    wait_for("another leader", leads).await;
    cluster.propose("taken over").await;
}

// Guards against a leader whose disk hangs and that keeps leading while commands wait for ever.
#[async_std::test]
async fn a_leader_whose_disk_hangs_hands_over() {
    let (cluster, gates) = start_with_gates().await;
    let hung = cluster.leader().await;
    let gate = gates[hung as usize - 1].lock().await;
    let outcomes = propose_at(&cluster.groups[&hung], 6, Duration::from_secs(10)).await;
    assert!(outcomes.iter().all(Option::is_some), "commands have no end: {outcomes:?}");
    wait_for_takeover(&cluster, hung).await;
    task::sleep(Duration::from_millis(1_500)).await;
    let status = cluster.groups[&hung].status();
    assert!(!status.is_leader && status.oldest_write_ms > 1_000, "{status:?}");
    drop(gate);
    let last = cluster.groups[&cluster.leader().await].status().last_index;
    wait_for("the hung replica to catch up", || {
        cluster.groups[&hung].status().applied_index >= last
    })
    .await;
    cluster.close_all().await;
}

// Guards against a leader that gives up where no other replica can take over either.
#[async_std::test]
async fn a_leader_stays_while_the_disks_of_the_others_hang_too() {
    let (cluster, gates) = start_with_gates().await;
    let leader = cluster.leader().await;
    let term = cluster.groups[&leader].status().term;
    let locked = futures::future::join_all(gates.iter().map(|gate| gate.lock())).await;
    let group = cluster.groups[&leader].clone();
    let proposing =
        task::spawn(
            async move { group.propose(Bytes::from_static(b"waits"), Priority::Online).await },
        );
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        assert!(cluster.groups[&leader].read_barrier().await.is_ok(), "reads need no disk");
        task::sleep(Duration::from_millis(20)).await;
    }
    drop(locked);
    assert!(proposing.await.is_ok());
    assert_eq!(cluster.groups[&leader].status().term, term);
    cluster.close_all().await;
}

// Guards against a leader that never applies anything again because a capture of its state hangs.
#[async_std::test]
async fn a_leader_whose_state_machine_hangs_hands_over() {
    let cluster = Cluster::start(3, |options| {
        use_long_timeouts(options);
        options.snapshot_interval_entries = 30;
    });
    cluster.propose("first").await;
    let hung = cluster.leader().await;
    let gate = cluster.machines[&hung].capture_gate.lock().await;
    propose_until_capture(&cluster, hung).await;
    let outcomes = propose_at(&cluster.groups[&hung], 6, Duration::from_secs(10)).await;
    assert!(outcomes.iter().all(Option::is_some), "commands have no end: {outcomes:?}");
    wait_for_takeover(&cluster, hung).await;
    assert!(cluster.groups[&hung].status().oldest_unapplied_ms > 0);
    drop(gate);
    cluster.close_all().await;
}

// Guards against commands that wait for a disk because a snapshot file is opened before the capture.
#[async_std::test]
async fn the_state_is_captured_before_the_snapshot_file_is_opened() {
    let cluster = Cluster::start(1, |options| options.snapshot_interval_entries = 10);
    cluster.propose("first").await;
    let gate = cluster.machines[&1].capture_gate.lock().await;
    propose_until_capture(&cluster, 1).await;
    let outcomes = propose_at(&cluster.groups[&1], 6, Duration::from_secs(1)).await;
    assert!(outcomes.iter().all(Option::is_none), "applied during the capture: {outcomes:?}");
    assert!(!cluster.data_folder(1).join("snapshot.tmp").exists(), "the file was opened first");
    drop(gate);
    wait_for("the snapshot", || cluster.groups[&1].status().snapshot_index > 0).await;
    cluster.close_all().await;
}

// Guards against a group without a leader while a replica that its quorum needs installs a snapshot.
#[async_std::test]
async fn a_replica_that_installs_a_snapshot_votes_and_answers_heartbeats() {
    let mut cluster = Cluster::start(3, |options| {
        use_long_timeouts(options);
        options.snapshot_interval_entries = 10;
    });
    cluster.propose("first").await;
    let leader = cluster.leader().await;
    let installing = leader % 3 + 1;
    cluster.close(installing).await;
    // Entries are kept for a while for a replica that has just left.
    let mut commands = 1;
    let has_compacted = || cluster.groups.values().all(|group| group.status().first_index > 10);
    while !has_compacted() {
        commands += 1;
        assert!(commands < 2_000, "the entries that the replica needs are kept");
        cluster.propose("kept").await;
        task::sleep(Duration::from_millis(20)).await;
    }
    cluster.open(installing).unwrap();
    let machine = cluster.machines[&installing].clone();
    let gate = machine.restore_gate.lock().await;
    wait_for("the snapshot", || machine.restores.load(Ordering::Relaxed) > 0).await;
    cluster.close(leader).await;
    let next = cluster.leader().await;
    let term = cluster.groups[&next].status().term;
    task::sleep(Duration::from_secs(3)).await;
    let status = cluster.groups[&next].status();
    assert!(status.is_leader && status.term == term, "{status:?}");
    assert_eq!(machine.commands().len(), 0, "the snapshot is not installed yet");
    drop(gate);
    cluster.propose("last").await;
    cluster.converge(commands + 1).await;
    cluster.close_all().await;
}
