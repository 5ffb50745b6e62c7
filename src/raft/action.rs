use crate::raft::{ElectionEvent, Entry, HardState, Message, SnapshotChunk};

/// Work that a [`RaftNode`](crate::raft::RaftNode) requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync, then call `persisted`. The entries replace all stored entries from the index
    /// of the first one on.
    Persist {
        /// Term and vote, if they changed.
        hard_state: Option<HardState>,
        /// New entries; may be empty.
        entries: Vec<Entry>,
    },
    /// Send a message. Delivery is not guaranteed.
    Send(Message),
    /// A quorum has confirmed a read; it may be answered once `index` is applied.
    ReadConfirmed {
        /// Id that was passed to `read`.
        id: u64,
        /// Index up to which entries must be applied before the read is answered.
        index: u64,
        /// Latest time at which this replica is known to have been the leader.
        confirmed_ms: u64,
    },
    /// The replica is no longer the leader; the outcome of pending proposals and reads is unknown.
    SteppedDown,
    /// Write a line to the log.
    Report(ElectionEvent),
    /// Read entries from the disk, starting at `first_index`, then call `fetched`.
    Fetch {
        /// Id of the follower that needs the entries.
        to: u64,
        /// Index of the first entry to read.
        first_index: u64,
    },
    /// Read a chunk of a snapshot file, then call `chunk_read`.
    ReadChunk {
        /// Id of the follower that needs the chunk.
        to: u64,
        /// Last index of the snapshot that is being sent; 0 to start sending the newest one.
        last_index: u64,
        /// Offset of the chunk in the file.
        offset_bytes: u64,
    },
    /// Write a chunk of a received snapshot, then call `chunk_stored`, or `snapshot_installed`
    /// after the last chunk, or `snapshot_failed` if the snapshot is damaged.
    StoreChunk(SnapshotChunk),
    /// The replica has caught up after joining the group or losing records: store
    /// [`Standing::Member`](crate::raft::Standing::Member), then call `become_member`.
    RecordMembership,
    /// An invariant of the log is violated; the replica must stop.
    Fault(String),
}
