use crate::raft::ReplicaSet;

/// What a replica publishes about itself.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// The group.
    pub group: u32,
    /// This replica.
    pub replica_id: u64,
    /// True if it leads.
    pub is_leader: bool,
    /// The leader, if one is known.
    pub leader_id: Option<u64>,
    /// Peer address of the leader, if it is known.
    pub leader_address: Option<String>,
    /// Highest term seen.
    pub term: u64,
    /// Last index that is committed.
    pub commit_index: u64,
    /// Last index that is applied.
    pub applied_index: u64,
    /// First index that is in the log.
    pub first_index: u64,
    /// Last index in the log.
    pub last_index: u64,
    /// Last index of the newest snapshot.
    pub snapshot_index: u64,
    /// The replicas in force.
    pub replicas: ReplicaSet,
    /// False while the replica must not vote.
    pub may_vote: bool,
    /// True once the replica takes no part any more, for good.
    pub is_stopped: bool,
    /// What is wrong with the replica.
    pub fault: Option<String>,
    /// Bytes in the data folder.
    pub data_bytes: u64,
    /// Followers with match index and silence in milliseconds; empty unless leading.
    pub followers: Vec<(u64, u64, u64)>,
}
