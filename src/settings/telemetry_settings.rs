use std::net::SocketAddr;
use std::path::PathBuf;

use crate::schema::settings as wire;
use crate::settings::checks::Checks;
use crate::telemetry::logs::LogFormat;

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const DEFAULT_LOG_LEVEL: &str = "info";
const DEFAULT_SPAN_SAMPLE_RATIO: f64 = 1.0;

/// Settings of logs, metrics and trace spans.
#[derive(Clone, Debug, PartialEq)]
pub struct TelemetrySettings {
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Log level: error, warn, info, debug or trace.
    pub log_level: String,
    /// File to which spans are appended as JSON lines; `None` disables the export.
    pub span_file: Option<PathBuf>,
    /// Share of the traces starting on this host whose spans are exported, from 0 to 1.
    pub span_sample_ratio: f64,
    /// UDP address of a StatsD server; `None` disables the export.
    pub statsd_address: Option<SocketAddr>,
}

impl TelemetrySettings {
    /// Applies the defaults and validates the settings.
    pub(super) fn check(wire: wire::TelemetrySettings, checks: &mut Checks) -> Self {
        let log_level = wire.log_level.unwrap_or_else(|| DEFAULT_LOG_LEVEL.to_owned());
        if !LOG_LEVELS.contains(&log_level.as_str()) {
            let rule = "must be error, warn, info, debug or trace";
            checks.fail("telemetry.log_level", log_level.as_str(), rule);
        }
        let span_sample_ratio = wire.span_sample_ratio.unwrap_or(DEFAULT_SPAN_SAMPLE_RATIO);
        if !(0.0..=1.0).contains(&span_sample_ratio) {
            let rule = "must be between 0 and 1";
            checks.fail("telemetry.span_sample_ratio", span_sample_ratio, rule);
        }
        let log_format = match wire::LogFormat::try_from(wire.log_format) {
            Ok(wire::LogFormat::Text) => LogFormat::Text,
            Ok(wire::LogFormat::Json) => LogFormat::Json,
            Err(_) => {
                checks.fail("telemetry.log_format", wire.log_format, "must be TEXT or JSON");
                LogFormat::Text
            }
        };
        let statsd_address = match wire.statsd_address.as_str() {
            "" => None,
            address => checks.address("telemetry.statsd_address", address),
        };
        let span_file = Some(wire.span_file).filter(|file| !file.is_empty()).map(PathBuf::from);
        Self { log_format, log_level, span_file, span_sample_ratio, statsd_address }
    }
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self::check(wire::TelemetrySettings::default(), &mut Checks::default())
    }
}
