use crate::schema::settings as wire;
use crate::settings::checks::Checks;
use crate::settings::NumberRule;

/// Settings of the entry role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Time for which a caller may use a response of `/v1/entries`.
    pub entries_hold_ms: u64,
    /// Maximum duration of a drain before the process stops.
    pub drain_bound_ms: u64,
    /// Interval between gossip rounds.
    pub gossip_interval_ms: u64,
    /// Age beyond which this host stops using a configuration that was not confirmed again.
    pub configuration_lease_ms: u64,
    /// Deadline of online requests that do not specify one.
    pub default_deadline_ms: u64,
    /// Maximum number of batch items in flight on this host.
    pub batch_in_flight_limit: u64,
    /// Time to live of slot leases.
    pub slot_lease_ms: u64,
}

impl EntrySettings {
    /// Applies the defaults and validates the settings.
    pub(super) fn check(wire: wire::EntrySettings, checks: &mut Checks) -> Self {
        let mut number = |rule, value: Option<u32>| checks.number(rule, value.map(u64::from));
        let settings = Self {
            entries_hold_ms: number(&NumberRule::ENTRIES_HOLD_MS, wire.entries_hold_ms),
            drain_bound_ms: number(&NumberRule::DRAIN_BOUND_MS, wire.drain_bound_ms),
            gossip_interval_ms: number(&NumberRule::GOSSIP_INTERVAL_MS, wire.gossip_interval_ms),
            configuration_lease_ms: number(
                &NumberRule::CONFIGURATION_LEASE_MS,
                wire.configuration_lease_ms,
            ),
            default_deadline_ms: number(&NumberRule::DEFAULT_DEADLINE_MS, wire.default_deadline_ms),
            batch_in_flight_limit: number(
                &NumberRule::BATCH_IN_FLIGHT_LIMIT,
                wire.batch_in_flight_limit,
            ),
            slot_lease_ms: number(&NumberRule::SLOT_LEASE_MS, wire.slot_lease_ms),
        };
        if settings.drain_bound_ms < settings.entries_hold_ms {
            let rule = "must be at least entry.entries_hold_ms, so that callers can switch hosts";
            checks.fail("entry.drain_bound_ms", settings.drain_bound_ms, rule);
        }
        settings
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self::check(wire::EntrySettings::default(), &mut Checks::default())
    }
}
