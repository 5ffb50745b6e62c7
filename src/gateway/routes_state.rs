use std::time::Duration;

use crate::gateway::{Refusal, RefusalKind};

/// Age of the last confirmation up to which routes count as current. A route that they lack was then acknowledged
/// less than 2.5 s ago, in which time a platform may expect it to be in force; the rest is a margin.
const ROUTES_LEASE: Duration = Duration::from_millis(2_000);
/// Retry delay of a request that no route matches while the routes are not current. After a restart of all
/// hosts, the election and the first heartbeats take about a second, and callers retry only once.
const RETRY_AFTER_UNCONFIRMED: Duration = Duration::from_millis(1_000);

/// How current the routes are by which a request is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutesState {
    /// Version of the routes; 0 if there are none yet.
    pub version: u64,
    /// Time since they were last known to be the newest; `None` if they never were or newer ones are known.
    pub age: Option<Duration>,
    /// Peer address of the control host that the last confirmation is from; empty if there was none.
    pub source: String,
}

impl RoutesState {
    /// True if callers may be told what the routes don't allow.
    pub fn is_current(&self) -> bool {
        Self::is_current_at(self.version, self.age)
    }

    /// True if routes of this version and age are current.
    pub(super) fn is_current_at(version: u64, age: Option<Duration>) -> bool {
        version > 0 && age.is_some_and(|age| age < ROUTES_LEASE)
    }

    /// The age for the log; -1 if it is unknown.
    pub fn age_ms(&self) -> i64 {
        self.age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// The refusal of a request that no route matches. Requests that a route matches are served by routes of any
    /// age: the loss of the control hosts must not stop callers.
    pub fn missing_route(&self) -> Refusal {
        if self.is_current() {
            return Refusal::of_kind(RefusalKind::NoRoute, "no route matches the request");
        }
        let reason = match self.version {
            0 => "no routes received yet",
            _ => "no route matches the request, and newer routes may be in force",
        };
        Refusal::not_run(reason, RETRY_AFTER_UNCONFIRMED)
    }
}
