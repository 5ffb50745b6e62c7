use std::time::Instant;

use crate::directory::UpstreamRecord;
use crate::ledger::Job;

/// Estimated run time of an item on an upstream: a thousand tokens at 4 ms each, minus the time
/// that shorter items and earlier progress save.
const ESTIMATED_RUN_MS: u64 = 3_000;

/// Inputs of a scheduling decision other than the scheduler's own state.
pub struct SchedulerInput<'a> {
    /// Registered upstreams, sorted by id.
    pub upstreams: &'a [UpstreamRecord],
    /// Services that may run the items of a job; empty if the job no longer has a route.
    pub services: &'a dyn Fn(&Job) -> Vec<String>,
    /// Time at which the results of a job are due, in Unix milliseconds.
    pub due_unix_ms: &'a dyn Fn(&Job) -> u64,
    /// Current time in Unix milliseconds.
    pub now_unix_ms: u64,
    /// Current monotonic time.
    pub now: Instant,
}

impl SchedulerInput<'_> {
    /// Finds an upstream by id with a binary search.
    pub(super) fn upstream(&self, upstream_id: &str) -> Option<&UpstreamRecord> {
        let index =
            self.upstreams.binary_search_by(|record| record.upstream_id.as_str().cmp(upstream_id));
        index.ok().and_then(|index| self.upstreams.get(index))
    }

    /// True if an item of the job that starts now is likely to finish before the job is due.
    pub(super) fn can_meet_target(&self, job: &Job) -> bool {
        self.now_unix_ms + ESTIMATED_RUN_MS <= (self.due_unix_ms)(job)
    }
}
