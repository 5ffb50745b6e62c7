use crate::raft::ReplicaSet;

/// What a snapshot holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Index of the last entry that is part of the state.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// The replicas as of that entry.
    pub replicas: ReplicaSet,
}
