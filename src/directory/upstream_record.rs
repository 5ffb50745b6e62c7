use crate::schema::peer::{UpstreamEntry, UpstreamPhase};

/// An upstream as it last announced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Identity, mostly new with each start.
    pub upstream_id: String,
    /// Service that it belongs to.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: Phase,
    /// Start of the incarnation.
    pub started_at_unix_ms: u64,
    /// Grows with each heartbeat of an incarnation.
    pub sequence: u64,
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Ready,
    /// It ends soon and gets no new work.
    Draining,
    /// Its heartbeats stopped at the control host that took them.
    Silent,
    /// It has left.
    Gone,
}

impl UpstreamRecord {
    /// Order of two records of the same upstream: the later incarnation, then the later heartbeat.
    pub fn order(&self) -> (u64, u64) {
        (self.started_at_unix_ms, self.sequence)
    }

    /// Schema form, with the revision of a directory.
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
            slots: wire.slots,
            phase,
            started_at_unix_ms: wire.started_at_unix_ms,
            sequence: wire.sequence,
        }
    }
}
