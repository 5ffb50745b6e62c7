use std::path::PathBuf;

use crate::raft::{NodeConfig, Replica};

/// Size of entries that arrive in about a quarter of a second between regions, so that a snapshot would save little.
const MIN_SNAPSHOT_BYTES: u64 = 1 << 20;

/// Settings of one replica of a group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Id of the group.
    pub group: u32,
    /// Id of this replica. Must not be reused after its disk was lost.
    pub replica_id: u64,
    /// Folder for the files of this replica; created if it does not exist.
    pub data_folder: PathBuf,
    /// The initial voters of a new group. After the group is formed, their addresses are only used
    /// for replicas outside the replica set.
    pub replicas: Vec<Replica>,
    /// Time between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Time without contact to a leader after which an election starts. The actual timeout is
    /// randomized between 1 and 1.5 times this value.
    pub election_timeout_ms: u64,
    /// Size from which a new segment file of the log is started.
    pub segment_bytes: u64,
    /// Most applied entries between two snapshots; one is saved earlier once the log has grown as much as the state.
    pub snapshot_interval_entries: u64,
    /// Maximum size of the data folder.
    pub data_limit_bytes: u64,
    /// Part of the limit that is reserved for commands that complete accepted work; online commands
    /// may use half of it.
    pub reserved_bytes: u64,
    /// Rate limit of snapshot transfers, per follower.
    pub transfer_bytes_per_s: u64,
    /// The replica joins an existing group as a learner.
    pub join_existing: bool,
    /// Serve reads under the leader lease without a heartbeat round. Correct only if the clocks of
    /// all hosts run at the same rate.
    pub lease_reads: bool,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

impl GroupOptions {
    /// Options with default times and sizes.
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
            transfer_bytes_per_s: 20 << 20,
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
            min_snapshot_bytes: MIN_SNAPSHOT_BYTES,
            lease_reads: self.lease_reads,
        }
    }
}
