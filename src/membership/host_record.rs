use crate::schema::peer as wire;

/// Description of a host, published by the host itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostRecord {
    /// Name of the host, unique in the fleet.
    pub host_id: String,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// IP address and port for callers, upstreams and operators.
    pub caller_address: String,
    /// IP address and port for messages from other hosts.
    pub peer_address: String,
    /// The host runs the entry role.
    pub entry: bool,
    /// The host runs the control role.
    pub control: bool,
    /// Version of the configuration in force; published with a delay in large fleets.
    pub configuration_version: u64,
}

impl From<&HostRecord> for wire::HostRecord {
    fn from(record: &HostRecord) -> Self {
        Self {
            host_id: record.host_id.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            caller_address: record.caller_address.clone(),
            peer_address: record.peer_address.clone(),
            entry: record.entry,
            control: record.control,
            configuration_version: record.configuration_version,
        }
    }
}

impl From<wire::HostRecord> for HostRecord {
    fn from(record: wire::HostRecord) -> Self {
        Self {
            host_id: record.host_id,
            zone: record.zone,
            region: record.region,
            caller_address: record.caller_address,
            peer_address: record.peer_address,
            entry: record.entry,
            control: record.control,
            configuration_version: record.configuration_version,
        }
    }
}
