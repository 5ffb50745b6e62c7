//! Settings of a host: parses them from JSON, applies defaults and reports all invalid fields at
//! once.

mod checks;
mod control_settings;
mod entry_settings;
mod fleet_host_settings;
mod host_settings;
mod limit_settings;
mod number_rule;
mod replica_settings;
mod roles;
mod settings_error;
mod settings_errors;
mod telemetry_settings;

pub use control_settings::ControlSettings;
pub use entry_settings::EntrySettings;
pub use fleet_host_settings::FleetHostSettings;
pub use host_settings::HostSettings;
pub use limit_settings::LimitSettings;
pub use number_rule::NumberRule;
pub use replica_settings::ReplicaSettings;
pub use roles::Roles;
pub use settings_error::SettingsError;
pub use settings_errors::SettingsErrors;
pub use telemetry_settings::TelemetrySettings;
