/// Replication progress of a follower, in the published status of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Replica id of the follower.
    pub id: u64,
    /// Last index that it acknowledged as durable.
    pub match_index: u64,
    /// Time since its last reply.
    pub silent_ms: u64,
    /// Size of the entries in the leader's log that it has not acknowledged.
    pub missing_bytes: u64,
}
