use bytes::Bytes;

use crate::raft::{Entry, SnapshotMeta};

/// A message between two replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Replica that sent it.
    pub from: u64,
    /// Replica that it is for.
    pub to: u64,
    /// Term of the sender; for a pre-vote the term that is asked about.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Body {
    VoteRequest { pre_vote: bool, last_index: u64, last_term: u64, transfer: bool },
    VoteReply { pre_vote: bool, granted: bool },
    AppendRequest(AppendRequest),
    AppendReply { accepted: bool, index: u64, round: u64, settled: bool },
    SnapshotChunk(SnapshotChunk),
    SnapshotReply { last_index: u64, received_bytes: u64, done: bool },
    TimeoutNow,
}

/// Entries from the leader; without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendRequest {
    /// Index of the entry before the first one.
    pub previous_index: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit_index: u64,
    /// Number of the heartbeat round, for read index.
    pub round: u64,
}

/// A piece of a snapshot file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// What the snapshot holds.
    pub meta: SnapshotMeta,
    /// Place of the data in the file.
    pub offset_bytes: u64,
    /// A piece of the file.
    pub data: Bytes,
    /// True for the last piece.
    pub last: bool,
}
