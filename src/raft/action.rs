use crate::raft::{Entry, HardState, Message, SnapshotChunk};

/// What a [`RaftNode`](crate::raft::RaftNode) asks of its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store these and sync, then call `persisted`. Entries replace all from the first one on.
    Persist {
        /// Term and vote, when they changed.
        hard_state: Option<HardState>,
        /// Entries, when there are new ones.
        entries: Vec<Entry>,
    },
    /// Send a message; it may get lost.
    Send(Message),
    /// A read is confirmed: it may be answered once `index` is applied.
    ReadConfirmed {
        /// Id that the caller gave.
        id: u64,
        /// Index that the read must see.
        index: u64,
        /// Time at which this replica surely led.
        confirmed_ms: u64,
    },
    /// The replica stopped leading; proposals and reads that wait have an unknown fate.
    SteppedDown,
    /// Read entries from `first_index` on from the disk, then call `fetched`.
    Fetch {
        /// Follower that needs them.
        to: u64,
        /// First index that it needs.
        first_index: u64,
    },
    /// Read a piece of the newest snapshot file, then call `chunk_read`.
    ReadChunk {
        /// Follower that needs it.
        to: u64,
        /// Last index of the snapshot that is being sent; 0 to start with the newest one.
        last_index: u64,
        /// Place in the file.
        offset_bytes: u64,
    },
    /// Store a piece of a snapshot; then call `chunk_stored`, or `snapshot_installed` after the
    /// last one, or `snapshot_failed`.
    StoreChunk(SnapshotChunk),
    /// The replica has its place in the group, or what it had lost: record that it may vote,
    /// then call `become_member`.
    Settled,
    /// A rule that the log relies on is broken; the replica must stop.
    Fault(String),
}
