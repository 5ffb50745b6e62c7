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

/// Caller address of a process without the entry role: an ephemeral port on the loopback interface.
const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// Validated settings of one process.
#[derive(Clone, PartialEq)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host_id: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Roles that this process runs.
    pub roles: Roles,
    /// IP address and port that callers, upstreams and operators connect to.
    pub caller_address: SocketAddr,
    /// IP address and port that other hosts connect to.
    pub peer_address: SocketAddr,
    /// Peer addresses of the hosts that this host contacts first.
    pub seed_addresses: Vec<String>,
    /// Peer addresses of the control hosts.
    pub control_addresses: Vec<String>,
    /// Key with which hosts authenticate to each other; empty if none is set.
    pub peer_key: String,
    /// Token with which operators authenticate; empty if none is set.
    pub operator_token: String,
    /// Settings of the control role.
    pub control: ControlSettings,
    /// Settings of the entry role.
    pub entry: EntrySettings,
    /// Settings of logs, metrics and trace spans.
    pub telemetry: TelemetrySettings,
    /// Limits on the resources that callers may use.
    pub limits: LimitSettings,
}

impl HostSettings {
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
    /// As for [`HostSettings::read`].
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        let wire: wire::HostSettings = parse_json(text)?;
        Self::try_from(wire)
    }

    /// Returns settings for tests and embedding: both roles, ephemeral loopback ports and defaults.
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
        let roles = check_roles(&wire.roles, &mut checks);
        let caller_address = match wire.caller_address.as_str() {
            "" if !roles.entry => ANY_LOOPBACK_PORT,
            address => address,
        };
        let mut settings = Self {
            host_id: checks.name("host_id", wire.host_id),
            zone: checks.name("zone", wire.zone),
            region: checks.name("region", wire.region),
            roles,
            caller_address: checks.advertised_address("caller_address", caller_address),
            peer_address: checks.advertised_address("peer_address", &wire.peer_address),
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
    /// Fills `control_addresses` from the replica list if the settings leave it empty.
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
    /// Omits the peer key and the operator token, so that they do not reach the logs.
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

/// Parses a settings document. An error contains the path and the value of the invalid field.
pub(super) fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, SettingsErrors> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let parsed = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        SettingsErrors::single(&path, value_at(text, &path), error.inner().to_string())
    })?;
    deserializer
        .end()
        .map_err(|error| SettingsErrors::single(".", String::new(), error.to_string()))?;
    Ok(parsed)
}

/// Converts the list of roles and checks that it is not empty and has no duplicates.
pub(super) fn check_roles(wire: &[i32], checks: &mut Checks) -> Roles {
    let mut roles = Roles { entry: false, control: false };
    for (index, role) in wire.iter().enumerate() {
        let path = format!("roles[{index}]");
        let has_role = match wire::Role::try_from(*role) {
            Ok(wire::Role::Entry) => &mut roles.entry,
            Ok(wire::Role::Control) => &mut roles.control,
            Ok(wire::Role::Unspecified) | Err(_) => {
                checks.fail(&path, *role, "must be ENTRY or CONTROL");
                continue;
            }
        };
        if *has_role {
            checks.fail(&path, *role, "must not be listed twice");
        }
        *has_role = true;
    }
    if wire.is_empty() {
        checks.fail("roles", serde_json::json!([]), "must list ENTRY, CONTROL or both");
    }
    roles
}

/// Returns the JSON value at a path such as `control.replicas[1].zone`, or an empty string if there
/// is none.
fn value_at(text: &str, path: &str) -> String {
    let Ok(document) = serde_json::from_str::<serde_json::Value>(text) else {
        return String::new();
    };
    let pointer = format!("/{}", path.replace(['.', '['], "/").replace(']', ""));
    document.pointer(&pointer).map(ToString::to_string).unwrap_or_default()
}
