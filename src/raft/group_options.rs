use std::path::PathBuf;

use crate::raft::{NodeConfig, Replica};

/// Settings of one replica of a group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// The group.
    pub group: u32,
    /// This replica; never used again once its disk is lost.
    pub replica_id: u64,
    /// Folder of this replica's files; created if it is not there.
    pub data_folder: PathBuf,
    /// The voters that a new group starts with. Not used once the group is formed.
    pub replicas: Vec<Replica>,
    /// Time between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Silence after which a leader counts as lost; the real wait is up to half as long
    /// again.
    pub election_timeout_ms: u64,
    /// Size at which a new file of the log is started.
    pub segment_bytes: u64,
    /// Applied entries after which a snapshot is saved.
    pub snapshot_interval_entries: u64,
    /// Bytes that the data folder may take.
    pub data_limit_bytes: u64,
    /// Part of the limit that is kept for commands that complete accepted work.
    pub reserved_bytes: u64,
    /// Rate at which a snapshot is sent.
    pub transfer_bytes_per_s: u64,
    /// The group exists and this replica is to be added to it.
    pub join_existing: bool,
    /// Reads rely on the followers' promise not to vote, which needs clocks of equal speed.
    pub lease_reads: bool,
    /// Seed of the election timers.
    pub seed: u64,
}

impl GroupOptions {
    /// Options with the default times and sizes.
    pub fn new(group: u32, replica_id: u64, data_folder: PathBuf, replicas: Vec<Replica>) -> Self {
        Self {
            group,
            replica_id,
            data_folder,
            replicas,
            heartbeat_interval_ms: 100,
            election_timeout_ms: 600,
            segment_bytes: 16 << 20,
            snapshot_interval_entries: 50_000,
            data_limit_bytes: 8 << 30,
            reserved_bytes: 256 << 20,
            transfer_bytes_per_s: 1 << 20,
            join_existing: false,
            lease_reads: false,
            seed: u64::from(std::process::id()),
        }
    }

    pub(super) fn node_config(&self) -> NodeConfig {
        NodeConfig {
            id: self.replica_id,
            heartbeat_interval_ms: self.heartbeat_interval_ms,
            election_timeout_ms: self.election_timeout_ms,
            append_bytes: 256 << 10,
            cache_bytes: 4 << 20,
            transfer_bytes_per_s: self.transfer_bytes_per_s,
            lease_reads: self.lease_reads,
        }
    }
}
