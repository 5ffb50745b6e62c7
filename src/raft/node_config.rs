/// Fixed settings of a [`RaftNode`](crate::raft::RaftNode).
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Id of this replica.
    pub id: u64,
    /// Time between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Time without contact to a leader after which an election starts. The actual timeout is
    /// randomized between 1 and 1.5 times this value.
    pub election_timeout_ms: u64,
    /// Maximum size of the entries in an append request; a larger entry is sent alone.
    pub append_bytes: usize,
    /// Size of the entry cache above which applied entries are dropped from memory.
    pub cache_bytes: usize,
    /// Rate limit of snapshot transfers, per follower.
    pub transfer_bytes_per_s: u64,
    /// Least size of missing entries in place of which a follower gets a snapshot while they are in the log.
    pub min_snapshot_bytes: u64,
    /// Serve reads under the leader lease without a heartbeat round. Correct only if the clocks of
    /// all hosts run at the same rate.
    pub lease_reads: bool,
}
