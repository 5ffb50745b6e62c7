use std::collections::HashMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use crate::schema::settings as wire;
use crate::settings::checks::Checks;
use crate::settings::host_settings::{check_roles, parse_json};
use crate::settings::{NumberRule, Roles, SettingsErrors};

/// Validated settings of one process of a routed fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetHostSettings {
    /// Name of this host, unique in the fleet.
    pub host_id: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Region of each availability zone.
    pub zone_regions: HashMap<String, String>,
    /// Roles that this process runs.
    pub roles: Roles,
    /// IP address and port that other hosts connect to.
    pub peer_address: SocketAddr,
    /// Address on which this host listens for other hosts. Equals `peer_address` unless other hosts
    /// connect through a different address.
    pub peer_listen_address: SocketAddr,
    /// Peer addresses of control hosts to contact first.
    pub seed_addresses: Vec<SocketAddr>,
    /// Whether the whole fleet is starting for the first time.
    pub first_start: bool,
    /// Number of hosts with a disk that may be lost at the same time.
    pub tolerated_losses: u32,
    /// Directory for the durable state of a control host.
    pub data_folder: PathBuf,
    /// Address that callers of an entry host connect to.
    pub caller_address: Option<SocketAddr>,
    /// Address of the readiness check of an entry host.
    pub readiness_address: Option<SocketAddr>,
    /// Address of the lookup service that returns the entry hosts to callers.
    pub lookup_address: Option<SocketAddr>,
    /// Address that operators and upstreams of a control host connect to.
    pub operator_address: Option<SocketAddr>,
    /// Address that serves metrics as text.
    pub metrics_address: Option<SocketAddr>,
    /// Interval between heartbeats of an upstream.
    pub upstream_heartbeat_ms: u64,
    /// Time between the stop signal and the end of the process.
    pub stop_grace_ms: u64,
    /// Time for which callers may cache the addresses that a lookup returns.
    pub lookup_ttl_ms: u64,
    /// Time for which a batch job can be read after its submission.
    pub job_retention_ms: u64,
    /// Disk size of a control host, in MiB.
    pub disk_mb: u64,
    /// Log level: error, warn, info, debug or trace.
    pub log_level: String,
    /// Time after which no host may serve a key that was withdrawn; 0 if hosts that are cut off may serve on.
    pub key_revocation_ms: u64,
    /// Requests by which all hosts together may exceed the quota of a team.
    pub quota_tolerance_requests: u32,
}

impl FleetHostSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// All invalid fields, or the first place where the file is not valid JSON or does not match
    /// the schema.
    pub fn read(path: &Path) -> Result<Self, SettingsErrors> {
        let text = fs::read_to_string(path).map_err(|error| {
            SettingsErrors::single(".", String::new(), format!("{}: {error}", path.display()))
        })?;
        Self::parse(&text)
    }

    /// Parses and validates settings in JSON.
    ///
    /// # Errors
    /// As for [`FleetHostSettings::read`].
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        let wire: wire::FleetHostSettings = parse_json(text)?;
        Self::try_from(wire)
    }

    /// Returns the target number of voters in the group of control hosts.
    pub fn target_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }

    /// Returns whether this host is one of the initial members of the replica group.
    pub fn is_founder(&self) -> bool {
        self.first_start && self.seed_addresses.contains(&self.peer_address)
    }

    /// Returns the region of an availability zone, or an empty string if the settings do not list
    /// it.
    pub fn region_of(&self, zone: &str) -> &str {
        self.zone_regions.get(zone).map_or("", String::as_str)
    }
}

impl TryFrom<wire::FleetHostSettings> for FleetHostSettings {
    type Error = SettingsErrors;

    fn try_from(wire: wire::FleetHostSettings) -> Result<Self, SettingsErrors> {
        let mut checks = Checks::default();
        let roles = check_roles(&wire.roles, &mut checks);
        let peer_address = checks.advertised_address("peer_address", &wire.peer_address);
        let seeds = checks.peer_addresses("seed_addresses", wire.seed_addresses);
        if seeds.is_empty() {
            checks.fail("seed_addresses", serde_json::json!([]), "must list a control host");
        }
        if roles.control && wire.data_folder.is_empty() {
            checks.fail("data_folder", "", "must be set for the role CONTROL");
        }
        let mut optional = |path: &str, value: &str, is_required: bool| {
            if value.is_empty() && !is_required {
                return None;
            }
            Some(checks.advertised_address(path, value))
        };
        let caller_address = optional("caller_address", &wire.caller_address, roles.entry);
        let readiness_address = optional("readiness_address", &wire.readiness_address, roles.entry);
        let lookup_address = optional("lookup_address", &wire.lookup_address, false);
        let operator_address = optional("operator_address", &wire.operator_address, roles.control);
        let metrics_address = optional("metrics_address", &wire.metrics_address, false);
        let peer_listen_address = optional("peer_listen_address", &wire.peer_listen_address, false);
        let mut number = |rule, value: Option<u32>| checks.number(rule, value.map(u64::from));
        let settings = Self {
            upstream_heartbeat_ms: number(
                &NumberRule::UPSTREAM_HEARTBEAT_MS,
                wire.upstream_heartbeat_ms,
            ),
            stop_grace_ms: number(&NumberRule::STOP_GRACE_MS, wire.stop_grace_ms),
            lookup_ttl_ms: number(&NumberRule::LOOKUP_TTL_MS, wire.lookup_ttl_ms),
            job_retention_ms: number(&NumberRule::JOB_RETENTION_MS, wire.job_retention_ms),
            disk_mb: number(&NumberRule::DISK_MB, wire.disk_mb),
            key_revocation_ms: number(&NumberRule::KEY_REVOCATION_MS, wire.key_revocation_ms),
            quota_tolerance_requests: number(
                &NumberRule::QUOTA_TOLERANCE_REQUESTS,
                wire.quota_tolerance_requests,
            ) as u32,
            host_id: checks.name("host_id", wire.host_id),
            zone: checks.name("zone", wire.zone),
            region: checks.name("region", wire.region),
            zone_regions: wire.zone_regions.into_iter().collect(),
            roles,
            peer_address,
            peer_listen_address: peer_listen_address.unwrap_or(peer_address),
            seed_addresses: peer_addresses(&seeds, peer_address.port()),
            first_start: wire.first_start,
            tolerated_losses: wire.tolerated_losses,
            data_folder: wire.data_folder.into(),
            caller_address,
            readiness_address,
            lookup_address,
            operator_address,
            metrics_address,
            log_level: wire.log_level.unwrap_or_else(|| "info".to_owned()),
        };
        checks.finish(settings)
    }
}

/// Returns the peer addresses of the seeds: the IP address of each seed with `port`, the peer port
/// that all hosts share.
fn peer_addresses(seeds: &[String], port: u16) -> Vec<SocketAddr> {
    let addresses = seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok());
    let ips = addresses.map(|address| -> IpAddr { address.ip() });
    ips.map(|ip| SocketAddr::new(ip, port)).collect()
}
