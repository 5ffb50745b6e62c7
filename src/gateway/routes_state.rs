use std::time::Duration;

use crate::gateway::{Refusal, RefusalKind};

/// Retry delay of a request while the host has no routes yet. After a restart of all
/// hosts, the election and the first heartbeats take about a second, and callers retry only once.
const RETRY_AFTER_STARTUP: Duration = Duration::from_millis(1_000);

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
    /// The refusal of a request that no route matches.
    pub fn missing_route(&self) -> Refusal {
        match self.version {
            0 => Refusal::not_run("no routes received yet", RETRY_AFTER_STARTUP),
            _ => Refusal::of_kind(RefusalKind::NoRoute, "no route matches the request"),
        }
    }
}
