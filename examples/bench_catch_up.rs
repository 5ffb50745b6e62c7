//! Measures how long an empty replica takes to catch up over a link between regions, against the size of the history and of
//! the state.
//!
//! `cargo run --release --example bench_catch_up` prints a row for each pair of sizes.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use damaskhoist::raft::{
    Group, GroupOptions, Priority, Replica, ReplicaChange, StateMachine, Transport,
};
use damaskhoist::schema::peer::raft_message::Body;
use damaskhoist::schema::peer::RaftMessage;
use miette::{IntoDiagnostic, Result};
use rand::RngCore;

/// 30 Mbit/s, as between the users' regions.
const LINK_BYTES_PER_S: f64 = 3.75e6;
const LINK_DELAY: Duration = Duration::from_millis(20);
/// Size of a message without entries or chunks, about.
const MESSAGE_BYTES: usize = 60;
/// Size of an item's result, about.
const RECORD_BYTES: usize = 12 << 10;
const MEGABYTE: usize = 1_000_000;
/// Sizes of the state and of the history in megabytes.
const CASES: [(usize, usize); 9] =
    [(1, 2), (1, 10), (1, 40), (1, 80), (4, 40), (8, 40), (12, 40), (16, 40), (32, 64)];

/// Keeps the newest record of each key, which is the start of a command.
#[derive(Default)]
struct Records {
    newest: Mutex<HashMap<u32, Bytes>>,
}

impl StateMachine for Records {
    fn apply(&self, _index: u64, command: &[u8]) -> Bytes {
        let key = command.first_chunk::<4>().map_or(0, |key| u32::from_le_bytes(*key));
        lock(&self.newest).insert(key, Bytes::copy_from_slice(command));
        Bytes::new()
    }

    fn save(&self, target: &mut dyn io::Write) -> io::Result<()> {
        let newest = lock(&self.newest).clone();
        newest.values().try_for_each(|record| target.write_all(record))
    }

    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()> {
        let mut content = Vec::new();
        source.read_to_end(&mut content)?;
        for record in content.chunks(RECORD_BYTES) {
            self.apply(0, record);
        }
        Ok(())
    }
}

/// A link in each direction; messages arrive in the order in which they are sent.
#[derive(Default)]
struct Link {
    groups: Mutex<HashMap<String, Group>>,
    busy_until: Mutex<HashMap<String, Instant>>,
    sent_bytes: Mutex<HashMap<String, usize>>,
}

impl Transport for Link {
    fn send(&self, to_address: &str, message: RaftMessage) {
        let Some(group) = lock(&self.groups).get(to_address).cloned() else { return };
        let bytes = MESSAGE_BYTES
            + match &message.body {
                Some(Body::AppendRequest(request)) => {
                    request.entries.iter().map(|entry| entry.data.len()).sum()
                }
                Some(Body::SnapshotChunk(chunk)) => chunk.data.len(),
                _ => 0,
            };
        *lock(&self.sent_bytes).entry(to_address.to_owned()).or_default() += bytes;
        let mut busy = lock(&self.busy_until);
        let start = busy.get(to_address).copied().unwrap_or_else(Instant::now).max(Instant::now());
        let sent = start + Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        busy.insert(to_address.to_owned(), sent);
        task::spawn(async move {
            task::sleep((sent + LINK_DELAY).saturating_duration_since(Instant::now())).await;
            group.receive(message);
        });
    }
}

fn main() -> Result<()> {
    println!("state MB | history MB | sent MB | caught up after s");
    for (state_mb, history_mb) in CASES {
        let folder = tempfile::tempdir().into_diagnostic()?;
        let (sent_bytes, time) = task::block_on(measure(folder.path(), state_mb, history_mb))?;
        let sent_mb = sent_bytes as f64 / MEGABYTE as f64;
        println!("{state_mb} | {history_mb} | {sent_mb:.1} | {:.2}", time.as_secs_f64());
    }
    Ok(())
}

async fn measure(folder: &Path, state_mb: usize, history_mb: usize) -> Result<(usize, Duration)> {
    let link = Arc::<Link>::default();
    let leader = open(folder, &link, 1)?;
    let keys = state_mb * MEGABYTE / RECORD_BYTES;
    for n in 0..history_mb * MEGABYTE / RECORD_BYTES {
        let mut record = vec![0; RECORD_BYTES];
        rand::rng().fill_bytes(&mut record);
        record[..4].copy_from_slice(&((n % keys) as u32).to_le_bytes());
        while leader.propose(record.clone().into(), Priority::Online).await.is_err() {
            task::sleep(Duration::from_millis(20)).await;
        }
    }
    let goal = leader.status().last_index;
    leader.change_replicas(ReplicaChange::AddLearner(replica(2))).await.into_diagnostic()?;
    let started = Instant::now();
    let learner = open(folder, &link, 2)?;
    while learner.status().applied_index < goal {
        task::sleep(Duration::from_millis(5)).await;
    }
    let time = started.elapsed();
    let sent_bytes = lock(&link.sent_bytes).get(&address(2)).copied().unwrap_or(0);
    lock(&link.groups).clear();
    learner.close().await;
    leader.close().await;
    Ok((sent_bytes, time))
}

fn open(folder: &Path, link: &Arc<Link>, id: u64) -> Result<Group> {
    let folder = folder.join(address(id));
    let mut options = GroupOptions::new(1, id, folder, vec![replica(1)]);
    (options.heartbeat_interval_ms, options.election_timeout_ms) = (75, 450);
    options.join_existing = id > 1;
    let group = Group::open(options, Arc::<Records>::default(), link.clone()).into_diagnostic()?;
    lock(&link.groups).insert(address(id), group.clone());
    Ok(group)
}

fn address(id: u64) -> String {
    format!("r{id}")
}

fn replica(id: u64) -> Replica {
    Replica { id, peer_address: address(id), zone: String::new(), voter: true }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
