use crate::schema::peer as wire;

/// A model that an upstream has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamModel {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: String,
    /// Adapters loaded with the model.
    pub adapters: Vec<String>,
}

/// Description of an upstream, from its announcement.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamRecord {
    /// Name of the upstream, unique in the fleet.
    pub upstream_id: String,
    /// Incarnation that the upstream announced.
    pub announced_incarnation: u64,
    /// Service that the upstream runs.
    pub service: String,
    /// IP address and port for requests.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Loaded models; empty for a plain service.
    pub models: Vec<UpstreamModel>,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Time without an announcement, in milliseconds, after which the upstream counts as dead.
    pub lease_ms: u32,
    /// The upstream rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Role in disaggregated serving; empty for none.
    pub role: String,
    /// Home host, which receives the upstream's announcements.
    pub home_host_id: String,
    /// True for a plain service, false for a model engine.
    pub plain: bool,
}

impl From<&UpstreamRecord> for wire::UpstreamRecord {
    fn from(record: &UpstreamRecord) -> Self {
        Self {
            upstream_id: record.upstream_id.clone(),
            announced_incarnation: record.announced_incarnation,
            service: record.service.clone(),
            address: record.address.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            models: record.models.iter().map(Into::into).collect(),
            slots: record.slots,
            lease_ms: record.lease_ms,
            checks_fencing: record.checks_fencing,
            role: record.role.clone(),
            home_host_id: record.home_host_id.clone(),
            plain: record.plain,
        }
    }
}

impl From<wire::UpstreamRecord> for UpstreamRecord {
    fn from(record: wire::UpstreamRecord) -> Self {
        Self {
            upstream_id: record.upstream_id,
            announced_incarnation: record.announced_incarnation,
            service: record.service,
            address: record.address,
            zone: record.zone,
            region: record.region,
            models: record.models.into_iter().map(Into::into).collect(),
            slots: record.slots,
            lease_ms: record.lease_ms,
            checks_fencing: record.checks_fencing,
            role: record.role,
            home_host_id: record.home_host_id,
            plain: record.plain,
        }
    }
}

impl From<&UpstreamModel> for wire::UpstreamModel {
    fn from(model: &UpstreamModel) -> Self {
        let UpstreamModel { name, version, adapters } = model.clone();
        Self { name, version, adapters }
    }
}

impl From<wire::UpstreamModel> for UpstreamModel {
    fn from(model: wire::UpstreamModel) -> Self {
        let wire::UpstreamModel { name, version, adapters } = model;
        Self { name, version, adapters }
    }
}
