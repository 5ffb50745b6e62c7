use crate::raft::ReplicaSet;

/// Log position of a snapshot and the replica set at that position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot includes.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// The replica set in force at that entry.
    pub replicas: ReplicaSet,
}
