//! Replicas that catch up with a long log, on slow disks.

mod raft_support;

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use bytes::Bytes;
use damaskhoist::raft::{Entry, Group, Identity, LogReader, LogStorage, Priority, ReplicaChange};
use raft_support::{replica, wait_for, Cluster};

/// Time in which a host that has lost its disk has caught up (`catchUpS` of the users' rules).
const CATCH_UP_TIME: Duration = Duration::from_millis(4_600);
const SYNC_TIME: Duration = Duration::from_millis(100);
const COMMAND_BYTES: usize = 64 << 10;
/// As much as a fleet of the users' size logs in half a minute.
const LOG_BYTES: usize = 20 << 20;
const COMMAND_INTERVAL: Duration = Duration::from_millis(20);

/// Storage whose syncs take a while.
struct SlowStorage {
    inner: Box<dyn LogStorage>,
    sync_ms: Arc<AtomicU64>,
}

impl SlowStorage {
    fn wait(&self) {
        std::thread::sleep(Duration::from_millis(self.sync_ms.load(Ordering::Relaxed)));
    }
}

impl LogStorage for SlowStorage {
    fn save_identity(&mut self, identity: &Identity) -> io::Result<()> {
        self.wait();
        self.inner.save_identity(identity)
    }

    fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        self.inner.append(entries)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.wait();
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

/// Commands that are submitted at a steady rate while this is kept.
async fn submit(group: Group) {
    loop {
        let submitted = group.clone();
        task::spawn(async move {
            let _ = submitted.propose(Bytes::from_static(b"command"), Priority::Online).await;
        });
        task::sleep(COMMAND_INTERVAL).await;
    }
}

/// Guards against a replica that joins so late that the loss of one more disk leaves no quorum for good, as each read
/// of the leader's log waits until its syncs are done, and the next one for the replica's answer.
#[async_std::test]
async fn a_learner_catches_up_in_time_while_syncs_are_slow() {
    let sync_ms = Arc::new(AtomicU64::new(0));
    let wrap = {
        let sync_ms = sync_ms.clone();
        move |inner| -> Box<dyn LogStorage> {
            Box::new(SlowStorage { inner, sync_ms: sync_ms.clone() })
        }
    };
    let mut cluster = Cluster::start(1, |options| {
        (options.heartbeat_interval_ms, options.election_timeout_ms) = (75, 450);
    });
    cluster.propose("first").await;
    cluster.close(1).await;
    cluster.open_with(cluster.options(1), wrap.clone()).unwrap();
    cluster.leader().await;
    let leader = cluster.groups[&1].clone();
    for n in 0..LOG_BYTES / COMMAND_BYTES {
        let mut command: Vec<u8> = (0..COMMAND_BYTES).map(|_| rand::random()).collect();
        command[..8].copy_from_slice(&(n as u64).to_le_bytes());
        leader.propose(command.into(), Priority::Online).await.unwrap();
    }
    sync_ms.store(SYNC_TIME.as_millis() as u64, Ordering::Relaxed);
    let load = task::spawn(submit(leader.clone()));
    leader.change_replicas(ReplicaChange::AddLearner(replica(2))).await.unwrap();
    let begun = Instant::now();
    let mut options = cluster.options(2);
    options.join_existing = true;
    cluster.open_with(options, wrap).unwrap();
    let promoted = async {
        while leader.change_replicas(ReplicaChange::Promote(2)).await.is_err() {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    let in_time = timeout(CATCH_UP_TIME, promoted).await.is_ok();
    let status = leader.status();
    let followers = status.followers.clone();
    eprintln!("{:?}: {followers:?} of {}", begun.elapsed(), status.last_index);
    load.cancel().await;
    sync_ms.store(0, Ordering::Relaxed);
    assert!(in_time, "the learner has {followers:?} of {} entries", status.last_index);
    wait_for("the learner votes", || cluster.groups[&2].status().may_vote).await;
    cluster.close_all().await;
}
