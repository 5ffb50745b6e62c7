use crate::schema::peer::{UpstreamEntry, UpstreamPhase};

/// Most slots of an upstream; far above what any has. Numbers near the limit of their type overflow when loads are
/// added to them.
pub const MAX_SLOTS: u32 = 100_000;

/// State of an upstream according to its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Identity; usually new with each start.
    pub upstream_id: String,
    /// Service that it belongs to.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Version of its software.
    pub version: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Start time of the incarnation.
    pub started_at_unix_ms: u64,
    /// Sequence number, which grows with each heartbeat of an incarnation.
    pub sequence: u64,
}

/// Lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts requests.
    Ready,
    /// It is shutting down and gets no new requests.
    Draining,
    /// Its control host no longer receives its heartbeats.
    Silent,
    /// It has deregistered.
    Gone,
}

impl Phase {
    /// Phase of an upstream whose heartbeats have stopped.
    ///
    /// A silent upstream counts as ready while a control host is lost that may still receive its heartbeats. One
    /// that drains must not, so it is gone.
    pub(super) fn without_heartbeats(self) -> Self {
        match self {
            Self::Ready | Self::Silent => Self::Silent,
            Self::Draining | Self::Gone => Self::Gone,
        }
    }

    /// Phase of an upstream that has said that it leaves, whatever its heartbeats say.
    pub(super) fn while_leaving(self) -> Self {
        match self {
            Self::Ready | Self::Draining => Self::Draining,
            Self::Silent | Self::Gone => Self::Gone,
        }
    }
}

impl UpstreamRecord {
    /// Key by which records of the same upstream are compared; the larger one is newer: first by
    /// incarnation, then by heartbeat.
    pub fn recency(&self) -> (u64, u64) {
        (self.started_at_unix_ms, self.sequence)
    }

    /// Converts to the schema message, with the directory revision of the last change.
    pub fn to_wire(&self, revision: u64) -> UpstreamEntry {
        let phase = match self.phase {
            Phase::Ready => UpstreamPhase::Ready,
            Phase::Draining => UpstreamPhase::Draining,
            Phase::Silent => UpstreamPhase::Silent,
            Phase::Gone => UpstreamPhase::Gone,
        };
        UpstreamEntry {
            upstream_id: self.upstream_id.clone(),
            service: self.service.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            version: self.version.clone(),
            slots: self.slots,
            phase: phase.into(),
            started_at_unix_ms: self.started_at_unix_ms,
            sequence: self.sequence,
            revision,
        }
    }
}

impl From<UpstreamEntry> for UpstreamRecord {
    fn from(wire: UpstreamEntry) -> Self {
        let phase = match wire.phase() {
            UpstreamPhase::Ready => Phase::Ready,
            UpstreamPhase::Draining => Phase::Draining,
            UpstreamPhase::Silent => Phase::Silent,
            UpstreamPhase::Gone | UpstreamPhase::Unspecified => Phase::Gone,
        };
        Self {
            upstream_id: wire.upstream_id,
            service: wire.service,
            address: wire.address,
            zone: wire.zone,
            region: wire.region,
            version: wire.version,
            slots: wire.slots,
            phase,
            started_at_unix_ms: wire.started_at_unix_ms,
            sequence: wire.sequence,
        }
    }
}
