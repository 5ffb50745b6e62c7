use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::schema::settings as wire;
use crate::settings::checks::Checks;
use crate::settings::{
    ControlSettings, EntrySettings, LimitSettings, Roles, SettingsErrors, TelemetrySettings,
};

const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// Checked settings of one process.
#[derive(Clone, PartialEq)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host_id: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Parts of the system that this process runs.
    pub roles: Roles,
    /// IP address and port for callers, upstreams and operators.
    pub caller_address: SocketAddr,
    /// IP address and port for other hosts.
    pub peer_address: SocketAddr,
    /// Peer addresses of a few hosts to contact first.
    pub seed_addresses: Vec<String>,
    /// Peer addresses of the control hosts.
    pub control_addresses: Vec<String>,
    /// Key that hosts show each other; empty for none.
    pub peer_key: String,
    /// Token that operators show; empty for none.
    pub operator_token: String,
    /// Settings of the control role.
    pub control: ControlSettings,
    /// Settings of the entry role.
    pub entry: EntrySettings,
    /// Settings of logs, counters and spans.
    pub telemetry: TelemetrySettings,
    /// Bounds on what callers may use.
    pub limits: LimitSettings,
}

impl HostSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// All broken rules at once, or the first place where the file is not JSON of the schema.
    pub fn read(path: &Path) -> Result<Self, SettingsErrors> {
        let text = fs::read_to_string(path).map_err(|error| {
            SettingsErrors::one(".", String::new(), format!("{}: {error}", path.display()))
        })?;
        Self::parse(&text)
    }

    /// Parses and checks settings written in JSON.
    ///
    /// # Errors
    /// As for [`HostSettings::read`].
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        let wire: wire::HostSettings = parse_json(text)?;
        Self::try_from(wire)
    }

    /// Settings for tests and embedding: both roles, any loopback ports, the defaults.
    pub fn loopback(host_id: &str, zone: &str, region: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host_id: host_id.to_owned(),
            zone: zone.to_owned(),
            region: region.to_owned(),
            roles: Roles { entry: true, control: true },
            caller_address: any_port,
            peer_address: any_port,
            seed_addresses: Vec::new(),
            control_addresses: Vec::new(),
            peer_key: String::new(),
            operator_token: String::new(),
            control: ControlSettings::default(),
            entry: EntrySettings::default(),
            telemetry: TelemetrySettings::default(),
            limits: LimitSettings::default(),
        }
    }
}

impl TryFrom<wire::HostSettings> for HostSettings {
    type Error = SettingsErrors;

    fn try_from(wire: wire::HostSettings) -> Result<Self, SettingsErrors> {
        let mut checks = Checks::default();
        let roles = roles(&wire.roles, &mut checks);
        let caller_address = match wire.caller_address.as_str() {
            "" if !roles.entry => ANY_LOOPBACK_PORT,
            address => address,
        };
        let mut settings = Self {
            host_id: checks.name("host_id", wire.host_id),
            zone: checks.name("zone", wire.zone),
            region: checks.name("region", wire.region),
            roles,
            caller_address: checks.own_address("caller_address", caller_address),
            peer_address: checks.own_address("peer_address", &wire.peer_address),
            seed_addresses: checks.peer_addresses("seed_addresses", wire.seed_addresses),
            control_addresses: checks.peer_addresses("control_addresses", wire.control_addresses),
            peer_key: checks.secret("peer_key_file", &wire.peer_key_file),
            operator_token: checks.secret("operator_token_file", &wire.operator_token_file),
            control: ControlSettings::check(
                wire.control.unwrap_or_default(),
                roles.control,
                &mut checks,
            ),
            entry: EntrySettings::check(wire.entry.unwrap_or_default(), &mut checks),
            telemetry: TelemetrySettings::check(wire.telemetry.unwrap_or_default(), &mut checks),
            limits: LimitSettings::check(wire.limits.unwrap_or_default(), &mut checks),
        };
        settings.complete_control_addresses(&mut checks);
        checks.finish(settings)
    }
}

impl HostSettings {
    /// A control host knows its peers from the replica list.
    fn complete_control_addresses(&mut self, checks: &mut Checks) {
        if !self.control_addresses.is_empty() {
            return;
        }
        for replica in &self.control.replicas {
            self.control_addresses.push(replica.peer_address.clone());
        }
        if self.control_addresses.is_empty() && self.roles.entry && !self.roles.control {
            let rule = "must list the control hosts, because this host has only the entry role";
            checks.fail("control_addresses", serde_json::json!([]), rule);
        }
    }
}

impl fmt::Debug for HostSettings {
    /// Leaves out the key and the token.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HostSettings")
            .field("host_id", &self.host_id)
            .field("zone", &self.zone)
            .field("region", &self.region)
            .field("roles", &self.roles)
            .field("caller_address", &self.caller_address)
            .field("peer_address", &self.peer_address)
            .field("seed_addresses", &self.seed_addresses)
            .field("control_addresses", &self.control_addresses)
            .field("control", &self.control)
            .field("entry", &self.entry)
            .field("telemetry", &self.telemetry)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

/// Parses a settings document; an error names the path and the value.
pub(super) fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, SettingsErrors> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let parsed = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        SettingsErrors::one(&path, value_at(text, &path), error.inner().to_string())
    })?;
    deserializer
        .end()
        .map_err(|error| SettingsErrors::one(".", String::new(), error.to_string()))?;
    Ok(parsed)
}

pub(super) fn roles(wire: &[i32], checks: &mut Checks) -> Roles {
    let mut roles = Roles { entry: false, control: false };
    for (index, role) in wire.iter().enumerate() {
        let path = format!("roles[{index}]");
        let seen = match wire::Role::try_from(*role) {
            Ok(wire::Role::Entry) => &mut roles.entry,
            Ok(wire::Role::Control) => &mut roles.control,
            Ok(wire::Role::Unspecified) | Err(_) => {
                checks.fail(&path, *role, "must be ENTRY or CONTROL");
                continue;
            }
        };
        if *seen {
            checks.fail(&path, *role, "must not be listed twice");
        }
        *seen = true;
    }
    if wire.is_empty() {
        checks.fail("roles", serde_json::json!([]), "must list ENTRY, CONTROL or both");
    }
    roles
}

/// The JSON at a path such as `control.replicas[1].zone`; empty when there is none.
fn value_at(text: &str, path: &str) -> String {
    let Ok(document) = serde_json::from_str::<serde_json::Value>(text) else {
        return String::new();
    };
    let pointer = format!("/{}", path.replace(['.', '['], "/").replace(']', ""));
    document.pointer(&pointer).map(ToString::to_string).unwrap_or_default()
}
