use std::collections::BTreeMap;

use crate::raft::catch_up::CatchUp;
use crate::raft::{Body, Entry, FollowerStatus, Message};

/// Size of missing entries from which a line tells how a follower catches up. Replicas behind a busy link between
/// regions lack a few hundred kilobytes at times.
const REPORTED_BYTES: u64 = 1 << 20;

/// Writes how followers catch up that lack much of the log, and counts what is sent to all of them.
#[derive(Debug)]
pub(super) struct CatchUpLog {
    group: u32,
    replica: u64,
    running: BTreeMap<u64, CatchUp>,
    sent_entry_bytes: u64,
    sent_snapshot_bytes: u64,
}

impl CatchUpLog {
    /// The log of a replica that has sent nothing yet.
    pub fn new(group: u32, replica: u64) -> Self {
        Self {
            group,
            replica,
            running: BTreeMap::new(),
            sent_entry_bytes: 0,
            sent_snapshot_bytes: 0,
        }
    }

    /// Size of the entries that were sent since the replica was opened.
    pub fn sent_entry_bytes(&self) -> u64 {
        self.sent_entry_bytes
    }

    /// Size of the snapshot chunks that were sent since the replica was opened.
    pub fn sent_snapshot_bytes(&self) -> u64 {
        self.sent_snapshot_bytes
    }

    /// Counts a message that is sent.
    pub fn record_sent(&mut self, message: &Message) {
        let (entry_bytes, snapshot_bytes) = match &message.body {
            Body::AppendRequest(request) => {
                (request.entries.iter().map(Entry::size_bytes).sum::<usize>() as u64, 0)
            }
            Body::SnapshotChunk(chunk) => (0, chunk.data.len() as u64),
            _ => return,
        };
        self.sent_entry_bytes += entry_bytes;
        self.sent_snapshot_bytes += snapshot_bytes;
        let Some(catch_up) = self.running.get_mut(&message.to) else { return };
        catch_up.entry_bytes += entry_bytes;
        catch_up.snapshot_bytes += snapshot_bytes;
    }

    /// Writes which followers began to catch up and which have done so. `followers` is empty unless this replica is
    /// the leader.
    pub fn observe(&mut self, now_ms: u64, last_index: u64, followers: &[FollowerStatus]) {
        let (group, replica) = (self.group, self.replica);
        for follower in followers {
            let (to, missing_bytes) = (follower.id, follower.missing_bytes);
            let Some(catch_up) = self.running.get(&to) else {
                if missing_bytes >= REPORTED_BYTES {
                    log::info!(event = "catch_up_begins", group, replica, to, missing_bytes,
                        match_index = follower.match_index, last_index;
                        "a follower lacks much of the log");
                    self.running.insert(to, CatchUp::new(now_ms, last_index));
                }
                continue;
            };
            if follower.match_index < catch_up.goal_index {
                continue;
            }
            let CatchUp { started_ms, entry_bytes, snapshot_bytes, .. } = *catch_up;
            let took_ms = now_ms.saturating_sub(started_ms);
            log::info!(event = "catch_up_ends", group, replica, to, took_ms, entry_bytes,
                snapshot_bytes, missing_bytes; "the follower has what it lacked");
            self.running.remove(&to);
        }
        self.running.retain(|to, catch_up| {
            if followers.iter().any(|follower| follower.id == *to) {
                return true;
            }
            let CatchUp { started_ms, entry_bytes, snapshot_bytes, .. } = *catch_up;
            let took_ms = now_ms.saturating_sub(started_ms);
            log::info!(event = "catch_up_abandoned", group, replica, to = *to, took_ms, entry_bytes,
                snapshot_bytes; "the follower was removed, or this replica no longer leads");
            false
        });
    }
}
