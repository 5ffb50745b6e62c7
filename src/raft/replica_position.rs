use crate::raft::{LogPosition, ReplicaSet};

/// How far a member of a group has its log and has applied it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaPosition {
    /// Id of the replica.
    pub replica_id: u64,
    /// Last entry in its log that is not the empty one of a new leader, committed or not.
    pub stored: LogPosition,
    /// Last entry that it has applied.
    pub applied: LogPosition,
    /// The replica set in force at that entry.
    pub replicas: ReplicaSet,
}
