use std::time::Instant;

use crate::directory::UpstreamRecord;
use crate::ledger::Job;

/// Time that an item needs on an upstream: a thousand tokens at four milliseconds each, less what
/// shorter items and earlier progress save.
const RUN_ESTIMATE_MS: u64 = 3_000;

/// What a decision of the scheduler depends on besides its own state.
pub struct SchedulerInput<'a> {
    /// Upstreams that are there, in the order of their ids.
    pub upstreams: &'a [UpstreamRecord],
    /// Services that may run the items of a job; empty if its route is gone.
    pub services: &'a dyn Fn(&Job) -> Vec<String>,
    /// Time at which the results of a job are due, on the ledger's clock.
    pub due_unix_ms: &'a dyn Fn(&Job) -> u64,
    /// Now on the ledger's clock.
    pub now_unix_ms: u64,
    /// Now.
    pub now: Instant,
}

impl SchedulerInput<'_> {
    /// The upstream with this id; upstreams are in the order of their ids.
    pub(super) fn upstream(&self, upstream_id: &str) -> Option<&UpstreamRecord> {
        let place = self.upstreams.binary_search_by(|it| it.upstream_id.as_str().cmp(upstream_id));
        place.ok().and_then(|place| self.upstreams.get(place))
    }

    /// True if an item that is started now is likely to be finished when it is due.
    pub(super) fn is_in_time(&self, job: &Job) -> bool {
        self.now_unix_ms + RUN_ESTIMATE_MS <= (self.due_unix_ms)(job)
    }
}
