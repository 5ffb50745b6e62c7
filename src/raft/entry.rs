use bytes::Bytes;

use crate::raft::ReplicaSet;

/// Bytes that an entry takes beside its command, for limits on batches.
const OVERHEAD_BYTES: usize = 32;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Place in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that made the entry.
    pub term: u64,
    /// What the entry holds.
    pub payload: Payload,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// A command for the state machine.
    Command(Bytes),
    /// Opens a leader's term.
    Empty,
    /// A new set of replicas, in force as soon as it is in the log.
    Replicas(ReplicaSet),
}

impl Entry {
    /// Approximate size, for limits on batches and caches.
    pub fn size_bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            Payload::Empty => OVERHEAD_BYTES,
            Payload::Replicas(set) => OVERHEAD_BYTES + 64 * set.replicas.len(),
        }
    }
}
