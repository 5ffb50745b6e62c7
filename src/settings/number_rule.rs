/// Default value and bounds of a numeric settings field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberRule {
    /// JSON path of the field, such as `entry.drain_bound_ms`.
    pub path: &'static str,
    /// Value used when the field is missing.
    pub default: u64,
    /// Minimum accepted value, inclusive.
    pub min: u64,
    /// Maximum accepted value, inclusive.
    pub max: u64,
}

impl NumberRule {
    /// Rules of all numeric fields of [`HostSettings`](crate::settings::HostSettings) that have a
    /// default.
    pub const ALL: &'static [&'static Self] = &[
        &Self::HEARTBEAT_INTERVAL_MS,
        &Self::ELECTION_TIMEOUT_MS,
        &Self::SEGMENT_BYTES,
        &Self::SNAPSHOT_INTERVAL_ENTRIES,
        &Self::DATA_LIMIT_BYTES,
        &Self::RESERVED_BYTES,
        &Self::TRANSFER_BYTES_PER_S,
        &Self::ENTRIES_HOLD_MS,
        &Self::DRAIN_BOUND_MS,
        &Self::GOSSIP_INTERVAL_MS,
        &Self::CONFIGURATION_LEASE_MS,
        &Self::DEFAULT_DEADLINE_MS,
        &Self::BATCH_IN_FLIGHT_LIMIT,
        &Self::SLOT_LEASE_MS,
        &Self::CONNECTIONS,
        &Self::HEADER_BYTES,
        &Self::BODY_BYTES,
        &Self::FILE_BYTES,
        &Self::OPEN_STREAMS,
        &Self::HEADER_TIMEOUT_MS,
        &Self::BODY_IDLE_TIMEOUT_MS,
        &Self::KEEP_ALIVE_TIMEOUT_MS,
    ];

    pub(super) const HEARTBEAT_INTERVAL_MS: Self =
        Self::new("control.heartbeat_interval_ms", 100, 10, 5_000);
    pub(super) const ELECTION_TIMEOUT_MS: Self =
        Self::new("control.election_timeout_ms", 600, 50, 30_000);
    pub(super) const SEGMENT_BYTES: Self =
        Self::new("control.segment_bytes", 16 << 20, 64 << 10, 1 << 30);
    pub(super) const SNAPSHOT_INTERVAL_ENTRIES: Self =
        Self::new("control.snapshot_interval_entries", 50_000, 10, 100_000_000);
    pub(super) const DATA_LIMIT_BYTES: Self =
        Self::new("control.data_limit_bytes", 8 << 30, 1 << 20, 1 << 50);
    pub(super) const RESERVED_BYTES: Self =
        Self::new("control.reserved_bytes", 256 << 20, 64 << 10, 1 << 40);
    pub(super) const TRANSFER_BYTES_PER_S: Self =
        Self::new("control.transfer_bytes_per_s", 20_000_000, 10_000, 4_000_000_000);
    pub(super) const ENTRIES_HOLD_MS: Self =
        Self::new("entry.entries_hold_ms", 10_000, 100, 600_000);
    pub(super) const DRAIN_BOUND_MS: Self =
        Self::new("entry.drain_bound_ms", 60_000, 100, 3_600_000);
    pub(super) const GOSSIP_INTERVAL_MS: Self =
        Self::new("entry.gossip_interval_ms", 200, 10, 10_000);
    // A configuration change must be in effect on all hosts within 9 s, so the lease on an older
    // configuration must not be longer.
    pub(super) const CONFIGURATION_LEASE_MS: Self =
        Self::new("entry.configuration_lease_ms", 5_000, 100, 9_000);
    pub(super) const DEFAULT_DEADLINE_MS: Self =
        Self::new("entry.default_deadline_ms", 30_000, 100, 3_600_000);
    pub(super) const BATCH_IN_FLIGHT_LIMIT: Self =
        Self::new("entry.batch_in_flight_limit", 256, 1, 100_000);
    pub(super) const SLOT_LEASE_MS: Self = Self::new("entry.slot_lease_ms", 1_000, 50, 60_000);
    pub(super) const CONNECTIONS: Self = Self::new("limits.connections", 10_000, 1, 1_000_000);
    pub(super) const HEADER_BYTES: Self =
        Self::new("limits.header_bytes", 16 << 10, 1 << 10, 1 << 20);
    pub(super) const BODY_BYTES: Self = Self::new("limits.body_bytes", 4 << 20, 1 << 10, 1 << 30);
    pub(super) const FILE_BYTES: Self = Self::new("limits.file_bytes", 256 << 20, 1 << 10, 1 << 40);
    pub(super) const OPEN_STREAMS: Self = Self::new("limits.open_streams", 10_000, 1, 1_000_000);
    pub(super) const HEADER_TIMEOUT_MS: Self =
        Self::new("limits.header_timeout_ms", 5_000, 50, 600_000);
    pub(super) const BODY_IDLE_TIMEOUT_MS: Self =
        Self::new("limits.body_idle_timeout_ms", 10_000, 50, 600_000);
    pub(super) const KEEP_ALIVE_TIMEOUT_MS: Self =
        Self::new("limits.keep_alive_timeout_ms", 60_000, 50, 3_600_000);

    pub(super) const UPSTREAM_HEARTBEAT_MS: Self =
        Self::new("upstream_heartbeat_ms", 1_000, 50, 60_000);
    pub(super) const STOP_GRACE_MS: Self = Self::new("stop_grace_ms", 8_000, 500, 600_000);
    pub(super) const LOOKUP_TTL_MS: Self = Self::new("lookup_ttl_ms", 2_000, 100, 60_000);
    pub(super) const JOB_RETENTION_MS: Self =
        Self::new("job_retention_ms", 600_000, 1_000, 604_800_000);
    pub(super) const DISK_MB: Self = Self::new("disk_mb", 1_024, 16, 1 << 24);
    pub(super) const KEY_REVOCATION_MS: Self = Self::new("key_revocation_ms", 0, 0, 3_600_000);
    pub(super) const QUOTA_TOLERANCE_REQUESTS: Self =
        Self::new("quota_tolerance_requests", 0, 0, 1_000_000);

    const fn new(path: &'static str, default: u64, min: u64, max: u64) -> Self {
        Self { path, default, min, max }
    }
}
