use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for a new version of the routes to arrive from near hosts at a control host, which passes it on, and at an
/// entry host. After it, one control host of another region is asked.
const CONTROL_HOST_WAIT: Duration = Duration::from_millis(300);
const ENTRY_HOST_WAIT: Duration = Duration::from_millis(600);
/// Time after which the next control host of another region is asked. With a first one that does not answer, routes then
/// come in less than the 2.5 s that a platform may allow until they are in force.
const NEXT_SOURCE_TIME: Duration = Duration::from_millis(700);
/// Most missing versions whose times are kept. Those of the oldest ones decide.
const MISSING_LIMIT: usize = 64;

/// Decides which control hosts send a host the routes.
///
/// A table may have 100 KB. Sent by each control host to each host that polls it, each new version took seconds of a link
/// between regions, late answers were repeated, and the messages of the agreement waited behind them. So control hosts
/// of other regions leave the routes out while near hosts, or the replica of this host, are expected to bring them; they
/// only tell their version.
#[derive(Clone, Debug)]
pub struct RoutesFetch {
    wait: Duration,
    /// Newest version that any control host has told.
    heard_version: u64,
    /// Versions that this host has heard of and does not have, with the time at which it heard of each.
    missing: BTreeMap<u64, Instant>,
    /// Oldest missing version, and number of the source, at the last request.
    requested: Option<(u64, u64)>,
}

impl RoutesFetch {
    /// Creates the decision of a control host.
    pub fn of_control_host() -> Self {
        Self::new(CONTROL_HOST_WAIT)
    }

    /// Creates the decision of an entry host.
    pub fn of_entry_host() -> Self {
        Self::new(ENTRY_HOST_WAIT)
    }

    fn new(wait: Duration) -> Self {
        Self { wait, heard_version: 0, missing: BTreeMap::new(), requested: None }
    }

    /// Records the version that a control host has told, and the one that this host has.
    pub fn record(&mut self, told_version: u64, own_version: u64, now: Instant) {
        let is_new = told_version > self.heard_version;
        self.heard_version = self.heard_version.max(told_version);
        self.missing = self.missing.split_off(&(own_version + 1));
        if is_new && told_version > own_version && self.missing.len() < MISSING_LIMIT {
            self.missing.insert(told_version, now);
        }
    }

    /// Newest version that this host has heard of.
    pub fn heard_version(&self) -> u64 {
        self.heard_version
    }

    /// True if near hosts have not brought a newer version in time.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.turn(now).is_some()
    }

    /// Which of the control hosts of other regions must send the routes now.
    pub fn far_source<'a>(&self, far: &[&'a str], now: Instant) -> Option<&'a str> {
        let turn = self.turn(now)? as usize;
        far.get(turn.checked_rem(far.len())?).copied()
    }

    /// True once for each version and source that must be asked for, as calls that wait were sent before that.
    pub fn begin_request(&mut self, now: Instant) -> bool {
        let version = self.missing.keys().next().copied();
        let request = version.zip(self.turn(now));
        std::mem::replace(&mut self.requested, request) != request && request.is_some()
    }

    /// Number of the source that must be asked; `None` unless a version is overdue.
    fn turn(&self, now: Instant) -> Option<u64> {
        let (_, heard_at) = self.missing.first_key_value()?;
        let overdue = now.saturating_duration_since(*heard_at).checked_sub(self.wait)?;
        Some((overdue.as_millis() / NEXT_SOURCE_TIME.as_millis()) as u64)
    }
}
