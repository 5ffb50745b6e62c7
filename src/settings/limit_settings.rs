use crate::schema::settings as wire;
use crate::settings::checks::Checks;
use crate::settings::NumberRule;

/// Limits on the resources that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of open caller connections.
    pub connections: u64,
    /// Maximum size of the headers of a request.
    pub header_bytes: u64,
    /// Maximum size of the body of a request.
    pub body_bytes: u64,
    /// Maximum size of an uploaded file.
    pub file_bytes: u64,
    /// Maximum number of streams in flight.
    pub open_streams: u64,
    /// Time within which a caller must send the headers of a request.
    pub header_timeout_ms: u64,
    /// Maximum time without data from the caller while a request body is read.
    pub body_idle_timeout_ms: u64,
    /// Maximum time for which a connection may stay open without a request.
    pub keep_alive_timeout_ms: u64,
}

impl LimitSettings {
    /// Applies the defaults and validates the settings.
    pub(super) fn check(wire: wire::LimitSettings, checks: &mut Checks) -> Self {
        let mut number = |rule, value: Option<u32>| checks.number(rule, value.map(u64::from));
        let settings = Self {
            connections: number(&NumberRule::CONNECTIONS, wire.connections),
            header_bytes: number(&NumberRule::HEADER_BYTES, wire.header_bytes),
            open_streams: number(&NumberRule::OPEN_STREAMS, wire.open_streams),
            header_timeout_ms: number(&NumberRule::HEADER_TIMEOUT_MS, wire.header_timeout_ms),
            body_idle_timeout_ms: number(
                &NumberRule::BODY_IDLE_TIMEOUT_MS,
                wire.body_idle_timeout_ms,
            ),
            keep_alive_timeout_ms: number(
                &NumberRule::KEEP_ALIVE_TIMEOUT_MS,
                wire.keep_alive_timeout_ms,
            ),
            body_bytes: checks.number(&NumberRule::BODY_BYTES, wire.body_bytes),
            file_bytes: checks.number(&NumberRule::FILE_BYTES, wire.file_bytes),
        };
        if settings.file_bytes < settings.body_bytes {
            let rule = "must be at least limits.body_bytes";
            checks.fail("limits.file_bytes", settings.file_bytes, rule);
        }
        settings
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self::check(wire::LimitSettings::default(), &mut Checks::default())
    }
}
