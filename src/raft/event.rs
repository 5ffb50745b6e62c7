use std::io;
use std::sync::Arc;

use futures::channel::oneshot;

use crate::raft::callers::{ChangeReply, ReadReply};
use crate::raft::proposal_queue::Proposal;
use crate::raft::snapshot_file::SnapshotFile;
use crate::raft::storage_thread::StorageEvent;
use crate::raft::{ChangeError, ReplicaChange, SnapshotChunk, SnapshotMeta};
use crate::schema::peer::RaftMessage;

/// What the driver of a group reacts to.
pub enum Event {
    /// A message of another replica.
    Message(RaftMessage),
    /// A command to replicate.
    Propose(Proposal),
    /// A read to confirm.
    Read(ReadReply),
    /// A change of replicas.
    Change(ReplicaChange, ChangeReply),
    /// A transfer of leadership, to the best follower if the id is 0.
    Transfer(u64, oneshot::Sender<Result<u64, ChangeError>>),
    /// The storage thread has done something.
    Storage(StorageEvent),
    /// The state machine has fixed what it saves.
    SnapshotFixed,
    /// A snapshot was written.
    SnapshotSaved(SnapshotMeta, io::Result<()>),
    /// A piece of the snapshot being received was stored; holds the file after the last piece.
    ChunkStored(io::Result<Option<SnapshotFile>>),
    /// A piece of a snapshot was read for a follower.
    ChunkRead(u64, io::Result<(Arc<SnapshotFile>, SnapshotChunk)>),
    /// The group is closed.
    Close,
}
