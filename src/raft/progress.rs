use std::collections::VecDeque;

use crate::raft::SnapshotMeta;

/// Append requests that may be on their way to a follower at once.
const INFLIGHT_REQUESTS: usize = 64;

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Last index that the follower acknowledged as synced.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// How entries are sent.
    pub mode: Mode,
    /// Newest heartbeat round that the follower answered.
    pub acked_round: u64,
    /// Time of the last answer.
    pub heard_ms: u64,
    /// The follower may become a voter.
    pub settled: bool,
}

/// How entries are sent to a follower.
#[derive(Clone, Debug)]
pub enum Mode {
    /// One request at a time, until the place where the logs meet is found.
    Probe {
        /// First index of a request on its way; the next heartbeat allows another one.
        sent: Option<u64>,
    },
    /// Requests follow each other; holds the last index of each one on its way.
    Replicate(VecDeque<u64>),
    /// The entries are read from the disk.
    Fetch,
    /// A snapshot is on its way.
    Snapshot(SnapshotTransfer),
}

/// Place in a snapshot file that is being sent, one chunk at a time.
#[derive(Clone, Debug)]
pub struct SnapshotTransfer {
    /// The snapshot, once its first chunk was read.
    pub meta: SnapshotMeta,
    /// Bytes that the follower has.
    pub offset_bytes: u64,
    /// When the next chunk may be read or, while one is on its way, is sent again.
    pub due_ms: u64,
    /// Earliest time of the next chunk, from the rate limit.
    pub paced_ms: u64,
}

impl Progress {
    /// A follower about which nothing is known.
    pub fn new(next_index: u64, now_ms: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: Mode::Probe { sent: None },
            acked_round: 0,
            heard_ms: now_ms,
            settled: false,
        }
    }

    /// True if entries may be sent now.
    pub fn may_send(&self) -> bool {
        match &self.mode {
            Mode::Probe { sent } => sent.is_none(),
            Mode::Replicate(inflight) => inflight.len() < INFLIGHT_REQUESTS,
            Mode::Fetch | Mode::Snapshot(_) => false,
        }
    }

    /// Notes that entries up to `last_index` were sent.
    pub fn sent(&mut self, last_index: u64) {
        match &mut self.mode {
            Mode::Probe { sent } => *sent = Some(self.next_index),
            Mode::Replicate(inflight) => inflight.push_back(last_index),
            Mode::Fetch | Mode::Snapshot(_) => return,
        }
        self.next_index = last_index + 1;
    }

    /// Notes that the follower has everything up to `index`.
    pub fn accepted(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index + 1);
        match &mut self.mode {
            Mode::Probe { .. } => self.mode = Mode::Replicate(VecDeque::new()),
            Mode::Replicate(inflight) => {
                while inflight.front().is_some_and(|&last| last <= index) {
                    inflight.pop_front();
                }
            }
            Mode::Fetch | Mode::Snapshot(_) => {}
        }
    }

    /// Notes that the follower's log does not reach, or differs after, `index`.
    ///
    /// `match_index` stays: what was acknowledged may have been counted.
    pub fn rejected(&mut self, index: u64) {
        match self.mode {
            Mode::Snapshot(_) => return,
            // Answers to requests from before the probe say nothing new.
            Mode::Probe { sent: Some(first_index) } if index + 1 >= first_index => return,
            _ => {}
        }
        self.next_index = self.next_index.min(index + 1).max(1);
        self.mode = Mode::Probe { sent: None };
    }

    /// Starts to send a snapshot.
    pub fn start_snapshot(&mut self, meta: SnapshotMeta, now_ms: u64) {
        let transfer = SnapshotTransfer { meta, offset_bytes: 0, due_ms: now_ms, paced_ms: now_ms };
        self.mode = Mode::Snapshot(transfer);
    }
}
