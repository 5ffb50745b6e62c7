use bytes::Bytes;

use crate::raft::{Entry, SnapshotMeta};

/// A message between two replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Id of the sender.
    pub from: u64,
    /// Id of the receiver.
    pub to: u64,
    /// Term of the sender; in a pre-vote, the term for which the vote is requested.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

/// Content of a [`Message`].
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

/// Log entries from the leader; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendRequest {
    /// Index of the entry before the first one in `entries`.
    pub previous_index: u64,
    /// Term of that entry.
    pub previous_term: u64,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit_index: u64,
    /// Newest heartbeat round, used to confirm reads.
    pub round: u64,
}

/// A chunk of a snapshot file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The snapshot that the chunk belongs to.
    pub meta: SnapshotMeta,
    /// Offset of the chunk in the file.
    pub offset_bytes: u64,
    /// Bytes of the chunk.
    pub data: Bytes,
    /// True for the last chunk.
    pub last: bool,
}
