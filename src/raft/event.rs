use std::io;
use std::sync::Arc;

use futures::channel::oneshot;

use crate::raft::pending_replies::{ChangeReply, ReadReply};
use crate::raft::proposal_queue::Proposal;
use crate::raft::snapshot_file::SnapshotFile;
use crate::raft::storage_opener::OpenedStorage;
use crate::raft::storage_thread::StorageEvent;
use crate::raft::{
    ChangeError, Entry, OpenError, ReplicaChange, ReplicaPosition, SnapshotChunk, SnapshotMeta,
};
use crate::schema::peer::RaftMessage;

/// Inputs of a group's driver.
pub enum Event {
    /// A message from another replica.
    Message(RaftMessage),
    /// A command to replicate.
    Propose(Proposal),
    /// A read to confirm.
    Read(ReadReply),
    /// A question for the position of the replica.
    Position(oneshot::Sender<Option<ReplicaPosition>>),
    /// A change of the replica set.
    Change(ReplicaChange, ChangeReply),
    /// A transfer of leadership to a replica id, or to the most up-to-date follower if it is 0.
    Transfer(u64, oneshot::Sender<Result<u64, ChangeError>>),
    /// An event from the storage thread, with the number of the opening that started the thread.
    Storage(u64, StorageEvent),
    /// Entries were read for the follower with this id; empty if they are no longer on the disk.
    EntriesRead(u64, io::Result<Vec<Entry>>),
    /// Failed storage was opened again, or still fails.
    StorageReopened(Box<Result<OpenedStorage, OpenError>>),
    /// The state machine has captured the state for a snapshot; commands may be applied again.
    SnapshotCaptured,
    /// Writing a snapshot has finished or failed; carries the size of the state before compression.
    SnapshotSaved(SnapshotMeta, io::Result<u64>),
    /// A saved snapshot has become the current one, or could not be made so; carries the size of the state.
    SnapshotCommitted(SnapshotMeta, io::Result<u64>),
    /// A received snapshot has become the current one, or could not be installed; carries the size of the state if it
    /// was restored.
    SnapshotInstalled(SnapshotMeta, io::Result<Option<u64>>),
    /// A chunk of the incoming snapshot was stored; carries the verified file after the last chunk.
    ChunkStored(io::Result<Option<SnapshotFile>>),
    /// A chunk of a snapshot was read for the follower with this id.
    ChunkRead(u64, io::Result<(Arc<SnapshotFile>, SnapshotChunk)>),
    /// Stops the driver.
    Close,
}

impl Event {
    /// True for the last event of a blocking task that uses files of the replica.
    pub fn ends_file_task(&self) -> bool {
        matches!(
            self,
            Self::SnapshotSaved(..)
                | Self::SnapshotCommitted(..)
                | Self::SnapshotInstalled(..)
                | Self::ChunkStored(_)
                | Self::ChunkRead(..)
                | Self::EntriesRead(..)
                | Self::StorageReopened(_)
        )
    }
}
