use bytes::Bytes;

use crate::raft::ReplicaSet;

/// Approximate size of an entry in addition to its command.
const OVERHEAD_BYTES: usize = 32;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Term in which the entry was created.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of an [`Entry`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// A command for the state machine.
    Command(Bytes),
    /// No operation; the first entry of each leader's term.
    Empty,
    /// A new replica set, in force on each replica as soon as the entry is in its log.
    Replicas(ReplicaSet),
}

impl Entry {
    /// Approximate size, used for the limits of batches and caches.
    pub fn size_bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            Payload::Empty => OVERHEAD_BYTES,
            Payload::Replicas(set) => OVERHEAD_BYTES + 64 * set.replicas.len(),
        }
    }
}
