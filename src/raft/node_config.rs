/// Fixed settings of a [`RaftNode`](crate::raft::RaftNode).
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// This replica.
    pub id: u64,
    /// Time between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Silence after which a leader counts as lost; the real wait is up to half as long
    /// again.
    pub election_timeout_ms: u64,
    /// Largest append request.
    pub append_bytes: usize,
    /// Entries that are kept in memory although they are applied.
    pub cache_bytes: usize,
    /// Rate of snapshot transfers.
    pub transfer_bytes_per_s: u64,
    /// Reads rely on the followers' promise not to vote, which needs clocks of equal speed.
    pub lease_reads: bool,
}
