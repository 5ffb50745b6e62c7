use std::time::Instant;

use crate::coordinator::JobPlan;
use crate::directory::UpstreamRecord;
use crate::ledger::JobHead;

/// Estimated run time of an item on an upstream: a thousand tokens at 4 ms each, minus the time
/// that shorter items and earlier progress save.
const ESTIMATED_RUN_MS: u64 = 3_000;

/// Inputs of a scheduling decision other than the scheduler's own state.
pub struct SchedulerInput<'a> {
    /// Registered upstreams, sorted by id.
    pub upstreams: &'a [UpstreamRecord],
    /// Version of the current routes.
    pub routes_version: u64,
    /// Derives the plan of a job from the current routes.
    pub plan: &'a dyn Fn(&JobHead) -> JobPlan,
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

    /// True if an item of a job with this plan that starts now is likely to finish before it is due.
    pub(super) fn can_meet_target(&self, plan: &JobPlan) -> bool {
        self.now_unix_ms + ESTIMATED_RUN_MS <= plan.due_unix_ms
    }
}
