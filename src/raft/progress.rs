use std::collections::VecDeque;

use crate::raft::SnapshotMeta;

/// Maximum number of append requests in flight to one follower.
const INFLIGHT_REQUESTS: usize = 64;
/// Size of the requests in flight to one follower, in full requests, from which on no further one is sent. With full
/// requests of 256 KB that is a quarter of a second of a link between regions; requests are in flight until they are
/// durable, so a smaller bound throttles followers with slow disks.
const INFLIGHT_FULL_REQUESTS: usize = 8;
/// Rate at which entries arrive at least, also where several followers share a link between regions.
pub(super) const SLOWEST_LINK_BYTES_PER_MS: u64 = 1_000;

/// Replication progress of one follower, as known to the leader.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Last index that the follower acknowledged as durable.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// How entries are sent.
    pub mode: Mode,
    /// Requests with entries that were sent and not acknowledged, in the order of their entries.
    pub in_flight: VecDeque<SentEntries>,
    /// Newest heartbeat round that the follower answered.
    pub acked_round: u64,
    /// Time of the last reply; at first, when the leader started to track the follower.
    pub last_reply_ms: u64,
    /// The follower's standing is `Member` and it does not stand still, so it may be promoted or
    /// become the leader.
    pub settled: bool,
}

/// A request with entries that the follower has not acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct SentEntries {
    /// Index of the first entry.
    pub first_index: u64,
    /// Index of the last entry.
    pub last_index: u64,
    /// Size of the entries.
    pub bytes: usize,
    /// Heartbeat round in which it was sent.
    pub round: u64,
    /// When it was sent.
    pub sent_ms: u64,
}

/// How entries are sent to a follower.
#[derive(Clone, Debug)]
pub enum Mode {
    /// One request at a time, until the last entry that both logs have in common is found.
    Probe,
    /// Requests are pipelined.
    Replicate,
    /// The driver is reading the entries from the disk.
    Fetch {
        /// Index of the first one.
        first_index: u64,
        /// Requests are pipelined once they are read.
        is_pipelined: bool,
    },
    /// A snapshot is being sent.
    Snapshot(SnapshotTransfer),
}

/// Progress of a snapshot that is sent to a follower, one chunk at a time.
#[derive(Clone, Debug)]
pub struct SnapshotTransfer {
    /// The snapshot; the default value until its first chunk was read.
    pub meta: SnapshotMeta,
    /// Bytes that the follower has received.
    pub offset_bytes: u64,
    /// When the next chunk is read or, while a chunk is in flight, when it is sent again.
    pub due_ms: u64,
    /// Earliest time at which the rate limit allows the next chunk.
    pub earliest_send_ms: u64,
}

impl Progress {
    /// Progress of a follower whose log is unknown; entries are sent from `next_index` on.
    pub fn new(next_index: u64, now_ms: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: Mode::Probe,
            in_flight: VecDeque::new(),
            acked_round: 0,
            last_reply_ms: now_ms,
            settled: false,
        }
    }

    /// True if entries may be sent now; a full request has `request_bytes`.
    pub fn may_send(&self, request_bytes: usize) -> bool {
        match &self.mode {
            Mode::Probe => self.in_flight.is_empty(),
            Mode::Replicate => {
                let bytes: usize = self.in_flight.iter().map(|sent| sent.bytes).sum();
                self.in_flight.len() < INFLIGHT_REQUESTS
                    && bytes < INFLIGHT_FULL_REQUESTS * request_bytes
            }
            Mode::Fetch { .. } | Mode::Snapshot(_) => false,
        }
    }

    /// Records a request that starts at the next entry.
    pub fn sent(&mut self, sent: SentEntries) {
        self.next_index = sent.last_index + 1;
        self.in_flight.push_back(sent);
    }

    /// Index after which a heartbeat asks the follower for its log: before the entries in flight, which a heartbeat
    /// overtakes on its own connection, until these are overdue and may be lost.
    pub fn heartbeat_index(&self, now_ms: u64, probe_timeout_ms: u64) -> u64 {
        match self.in_flight.front() {
            Some(oldest) if !self.is_overdue(now_ms, probe_timeout_ms) => oldest.first_index - 1,
            _ => self.next_index - 1,
        }
    }

    /// True if the oldest request in flight should have been answered; a small one takes `probe_timeout_ms`.
    fn is_overdue(&self, now_ms: u64, probe_timeout_ms: u64) -> bool {
        let bytes: usize = self.in_flight.iter().map(|sent| sent.bytes).sum();
        let transfer_ms = bytes as u64 / SLOWEST_LINK_BYTES_PER_MS;
        let oldest = self.in_flight.front();
        oldest.is_some_and(|it| now_ms >= it.sent_ms + probe_timeout_ms + transfer_ms)
    }

    /// Records that the follower's log matches up to `index`.
    pub fn accepted(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index + 1);
        while self.in_flight.front().is_some_and(|sent| sent.last_index <= index) {
            self.in_flight.pop_front();
        }
        match &mut self.mode {
            Mode::Probe => self.mode = Mode::Replicate,
            Mode::Fetch { is_pipelined, .. } => *is_pipelined = true,
            Mode::Replicate | Mode::Snapshot(_) => {}
        }
    }

    /// Records that the follower rejected a request of the heartbeat round `round`; `index` is the highest index at
    /// which the logs may match. Rejections of earlier rounds than that of the entries in flight change nothing, nor do
    /// those that repeat where a probe starts: each would have the same entries sent again.
    ///
    /// `match_index` is unchanged: acknowledged entries may have been counted for a commit.
    pub fn rejected(&mut self, index: u64, round: u64, now_ms: u64, probe_timeout_ms: u64) {
        let oldest = self.in_flight.front();
        let is_stale = match self.mode {
            Mode::Snapshot(_) => true,
            Mode::Probe => oldest.is_some_and(|probe| {
                let is_lost = round > probe.round && self.is_overdue(now_ms, probe_timeout_ms);
                index + 1 >= probe.first_index && !is_lost
            }),
            // The entries from there on are already being read.
            Mode::Fetch { first_index, .. } if index + 1 >= first_index => true,
            Mode::Replicate | Mode::Fetch { .. } => {
                oldest.is_some_and(|oldest| round < oldest.round)
            }
        };
        if is_stale {
            return;
        }
        self.next_index = self.next_index.min(index + 1).max(1);
        self.mode = Mode::Probe;
        self.in_flight.clear();
    }

    /// Starts to send a snapshot from its first chunk.
    pub fn start_snapshot(&mut self, meta: SnapshotMeta, now_ms: u64) {
        let transfer =
            SnapshotTransfer { meta, offset_bytes: 0, due_ms: now_ms, earliest_send_ms: now_ms };
        self.mode = Mode::Snapshot(transfer);
        self.in_flight.clear();
    }
}
