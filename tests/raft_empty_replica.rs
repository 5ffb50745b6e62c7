//! Replicas that join with an empty disk after a long history of a small state.

mod raft_support;

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use damaskhoist::raft::{Group, GroupOptions, Priority, ReplicaChange, StateMachine, Transport};
use damaskhoist::schema::peer::raft_message::Body;
use damaskhoist::schema::peer::RaftMessage;
use raft_support::{address, replica, wait_for};
use rstest::rstest;

/// Size of a configuration with a few hundred routes. Its bytes are random, so that compression does not hide a fault.
const VERSION_BYTES: usize = 55 << 10;
/// Entries of at most this size are sent in place of a snapshot, however small that is.
const MIN_SNAPSHOT_BYTES: u64 = 1 << 20;
/// Size up to which the log grows before the first snapshot is saved.
const FIRST_SNAPSHOT_BYTES: u64 = 4 << 20;

/// Entries of the replica set.
const OTHER_BYTES: u64 = 1_000;

/// Keeps the newest version of each of a few documents; the first byte of a command names the document.
#[derive(Default)]
struct Documents {
    newest: Mutex<HashMap<u8, Bytes>>,
}

impl StateMachine for Documents {
    fn apply(&self, _index: u64, command: &[u8]) -> Bytes {
        self.newest.lock().unwrap().insert(command[0], Bytes::copy_from_slice(command));
        Bytes::new()
    }

    fn save(&self, target: &mut dyn io::Write) -> io::Result<()> {
        let newest = self.newest.lock().unwrap().clone();
        for document in newest.values() {
            target.write_all(&(document.len() as u32).to_le_bytes())?;
            target.write_all(document)?;
        }
        Ok(())
    }

    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()> {
        let mut content = Vec::new();
        source.read_to_end(&mut content)?;
        let mut newest = self.newest.lock().unwrap();
        newest.clear();
        let mut rest = &content[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (document, after) = after.split_at(u32::from_le_bytes(*length) as usize);
            newest.insert(document[0], Bytes::copy_from_slice(document));
            rest = after;
        }
        Ok(())
    }
}

/// Delivers messages between the replicas of one process, and counts the entries and chunks for each of them.
#[derive(Default)]
struct CountingNetwork {
    groups: Mutex<HashMap<String, Group>>,
    received_bytes: Mutex<HashMap<String, Arc<AtomicU64>>>,
}

impl CountingNetwork {
    fn received_bytes(&self, id: u64) -> Arc<AtomicU64> {
        self.received_bytes.lock().unwrap().entry(address(id)).or_default().clone()
    }
}

struct Port(Arc<CountingNetwork>);

impl Transport for Port {
    fn send(&self, to_address: &str, message: RaftMessage) {
        let bytes = match &message.body {
            Some(Body::AppendRequest(request)) => {
                request.entries.iter().map(|entry| entry.data.len()).sum()
            }
            Some(Body::SnapshotChunk(chunk)) => chunk.data.len(),
            _ => 0,
        };
        let received = self.0.received_bytes.lock().unwrap();
        if let Some(received) = received.get(to_address) {
            received.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        drop(received);
        let group = self.0.groups.lock().unwrap().get(to_address).cloned();
        if let Some(group) = group {
            group.receive(message);
        }
    }
}

struct Fleet {
    network: Arc<CountingNetwork>,
    folder: tempfile::TempDir,
}

impl Fleet {
    fn open(&self, id: u64, join_existing: bool) -> (Group, Arc<Documents>) {
        let folder = self.folder.path().join(address(id));
        let mut options = GroupOptions::new(1, id, folder, vec![replica(1)]);
        (options.heartbeat_interval_ms, options.election_timeout_ms) = (75, 450);
        options.transfer_bytes_per_s = 20 << 20;
        options.join_existing = join_existing;
        let machine = Arc::<Documents>::default();
        let port = Arc::new(Port(self.network.clone()));
        let group = Group::open(options, machine.clone(), port).unwrap();
        self.network.groups.lock().unwrap().insert(address(id), group.clone());
        (group, machine)
    }
}

fn version(document: u8) -> Bytes {
    let mut command: Vec<u8> = (0..VERSION_BYTES).map(|_| rand::random()).collect();
    command[0] = document;
    command.into()
}

/// Guards against an empty replica that is sent the whole history, though the state is small: behind a link between
/// regions that takes longer than a host may take to catch up, and one more lost disk leaves no quorum for good.
#[rstest]
#[case::short_history(1, 40)]
#[case::long_history(1, 400)]
#[case::larger_state(60, 400)]
#[async_std::test]
async fn an_empty_replica_is_sent_the_state_and_not_the_history(
    #[case] documents: usize,
    #[case] versions: usize,
) {
    let folder = tempfile::tempdir().unwrap();
    let fleet = Fleet { network: Arc::default(), folder };
    let (leader, _) = fleet.open(1, false);
    wait_for("a leader", || leader.status().is_leader).await;
    for n in 0..versions {
        leader.propose(version((n % documents) as u8), Priority::Online).await.unwrap();
    }
    let received_bytes = fleet.network.received_bytes(2);
    leader.change_replicas(ReplicaChange::AddLearner(replica(2))).await.unwrap();
    let (learner, machine) = fleet.open(2, true);
    let newest = leader.status().last_index;
    wait_for("the learner to catch up", || learner.status().applied_index >= newest).await;
    let state_bytes = (documents * VERSION_BYTES) as u64;
    let most_bytes = match (versions * VERSION_BYTES) as u64 {
        history_bytes if history_bytes < FIRST_SNAPSHOT_BYTES => history_bytes + OTHER_BYTES,
        _ => 2 * state_bytes + MIN_SNAPSHOT_BYTES,
    };
    let received_bytes = received_bytes.load(Ordering::Relaxed);
    assert!(received_bytes <= most_bytes, "{received_bytes} bytes for a state of {state_bytes}");
    assert_eq!(machine.newest.lock().unwrap().len(), documents);
    learner.close().await;
    leader.close().await;
}

/// Guards against a log that grows to tens of megabytes beside a small state: a process that starts again reads all of
/// it before it serves.
#[async_std::test]
async fn the_log_stays_as_small_as_the_state() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = Fleet { network: Arc::default(), folder };
    let (leader, _) = fleet.open(1, false);
    wait_for("a leader", || leader.status().is_leader).await;
    let mut most_log_bytes = 0;
    for _ in 0..400 {
        leader.propose(version(0), Priority::Online).await.unwrap();
        most_log_bytes = most_log_bytes.max(leader.status().log_bytes);
    }
    // While one snapshot is saved, the log grows towards the next one.
    let bound_bytes = 2 * FIRST_SNAPSHOT_BYTES + MIN_SNAPSHOT_BYTES;
    assert!(most_log_bytes <= bound_bytes, "{most_log_bytes} bytes of log");
    leader.close().await;
}
