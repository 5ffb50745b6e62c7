use std::collections::HashSet;
use std::path::PathBuf;

use crate::schema::settings as wire;
use crate::settings::checks::Checks;
use crate::settings::{NumberRule, ReplicaSettings};

/// Minimum ratio of the election timeout to the heartbeat interval, so that a few lost heartbeats
/// do not start an election.
const MIN_HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 3;

/// Settings of the control role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Directory for the durable state.
    pub data_folder: PathBuf,
    /// ID of the replica that this process runs.
    pub replica_id: u64,
    /// Initial members of the replica group; the list must be the same on each control host.
    pub replicas: Vec<ReplicaSettings>,
    /// Interval between heartbeats that a leader sends.
    pub heartbeat_interval_ms: u64,
    /// Minimum time without a heartbeat from the leader before a replica starts an election.
    pub election_timeout_ms: u64,
    /// Size of a segment file of the replicated log.
    pub segment_bytes: u64,
    /// Number of log entries between two snapshots.
    pub snapshot_interval_entries: u64,
    /// Maximum size of the data directory.
    pub data_limit_bytes: u64,
    /// Part of `data_limit_bytes` that is reserved for completing work that was already accepted.
    pub reserved_bytes: u64,
    /// Maximum rate of snapshot and log catch-up traffic to one peer.
    pub transfer_bytes_per_s: u64,
    /// Whether the replica starts as a learner and joins an existing group.
    pub join_existing: bool,
}

impl ControlSettings {
    /// Validates the settings. The replica ID, the replica list and the data directory are required
    /// only if this process has the control role.
    pub(super) fn check(wire: wire::ControlSettings, has_role: bool, checks: &mut Checks) -> Self {
        let segment_bytes = wire.segment_bytes.map(u64::from);
        let snapshot_interval_entries = wire.snapshot_interval_entries.map(u64::from);
        let transfer_bytes_per_s = wire.transfer_bytes_per_s.map(u64::from);
        let heartbeat_interval_ms = wire.heartbeat_interval_ms.map(u64::from);
        let election_timeout_ms = wire.election_timeout_ms.map(u64::from);
        let settings = Self {
            data_folder: PathBuf::from(wire.data_folder),
            replica_id: wire.replica_id,
            replicas: check_replicas(wire.replicas, checks),
            heartbeat_interval_ms: checks
                .number(&NumberRule::HEARTBEAT_INTERVAL_MS, heartbeat_interval_ms),
            election_timeout_ms: checks
                .number(&NumberRule::ELECTION_TIMEOUT_MS, election_timeout_ms),
            segment_bytes: checks.number(&NumberRule::SEGMENT_BYTES, segment_bytes),
            snapshot_interval_entries: checks
                .number(&NumberRule::SNAPSHOT_INTERVAL_ENTRIES, snapshot_interval_entries),
            data_limit_bytes: checks.number(&NumberRule::DATA_LIMIT_BYTES, wire.data_limit_bytes),
            reserved_bytes: checks.number(&NumberRule::RESERVED_BYTES, wire.reserved_bytes),
            transfer_bytes_per_s: checks
                .number(&NumberRule::TRANSFER_BYTES_PER_S, transfer_bytes_per_s),
            join_existing: wire.join_existing,
        };
        settings.check_relations(checks);
        if has_role {
            settings.check_required(checks);
        }
        settings
    }

    /// Checks the rules that relate two fields to each other.
    fn check_relations(&self, checks: &mut Checks) {
        if self.election_timeout_ms
            < self.heartbeat_interval_ms * MIN_HEARTBEATS_PER_ELECTION_TIMEOUT
        {
            let rule = "must be at least three times control.heartbeat_interval_ms";
            checks.fail("control.election_timeout_ms", self.election_timeout_ms, rule);
        }
        if self.reserved_bytes > self.data_limit_bytes / 2 {
            let rule = "must be at most half of control.data_limit_bytes";
            checks.fail("control.reserved_bytes", self.reserved_bytes, rule);
        }
    }

    /// Checks the fields that the control role requires.
    fn check_required(&self, checks: &mut Checks) {
        if self.data_folder.as_os_str().is_empty() {
            checks.fail("control.data_folder", "", "must name a folder for the control role");
        }
        if self.replica_id == 0 {
            checks.fail("control.replica_id", 0, "must be at least 1 for the control role");
        }
        if self.replicas.is_empty() {
            let rule = "must list the replicas of the group for the control role";
            checks.fail("control.replicas", serde_json::json!([]), rule);
            return;
        }
        let is_listed = self.replicas.iter().any(|replica| replica.replica_id == self.replica_id);
        if !is_listed && !self.join_existing {
            let rule = "must be in control.replicas, unless control.join_existing is set";
            checks.fail("control.replica_id", self.replica_id, rule);
        }
    }
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self::check(wire::ControlSettings::default(), false, &mut Checks::default())
    }
}

/// Validates the replica list: IDs and addresses must be unique.
fn check_replicas(wire: Vec<wire::ReplicaSettings>, checks: &mut Checks) -> Vec<ReplicaSettings> {
    let mut ids = HashSet::new();
    let mut addresses = HashSet::new();
    let mut replicas = Vec::with_capacity(wire.len());
    for (index, replica) in wire.into_iter().enumerate() {
        let path = format!("control.replicas[{index}]");
        let id_path = format!("{path}.replica_id");
        if replica.replica_id == 0 {
            checks.fail(&id_path, 0, "must be at least 1");
        }
        if !ids.insert(replica.replica_id) {
            checks.fail(&id_path, replica.replica_id, "must not be listed twice");
        }
        let address_path = format!("{path}.peer_address");
        checks.address(&address_path, &replica.peer_address);
        if !addresses.insert(replica.peer_address.clone()) {
            let address = replica.peer_address.as_str();
            checks.fail(&address_path, address, "must not be listed twice");
        }
        replicas.push(ReplicaSettings {
            replica_id: replica.replica_id,
            peer_address: replica.peer_address,
            zone: checks.name(&format!("{path}.zone"), replica.zone),
        });
    }
    replicas
}
