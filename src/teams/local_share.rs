use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use crate::admission::rendezvous_rank;
use crate::teams::TeamLimit;

/// Part of the capacity that all hosts together use at once when they stop hearing of each other, if the team was at its
/// quota by then.
const PACED_SHARE: f64 = 0.1;
/// The same in parts of what a team may send in five seconds, if it was below its quota. Beside the slack, so much is
/// within what a platform may tolerate.
const UNPACED_SHARE: f64 = 0.08;
const UNPACED_TIME_S: f64 = 5.0;
/// Requests that a host saves up beyond the initial ones while none arrive, as those of a few callers come unevenly.
const SAVED_REQUESTS: f64 = 2.0;

/// The even share of a quota that a host uses on its own while no leader tells it of the others. Lock-free.
#[derive(Debug)]
pub(super) struct LocalShare {
    /// Number of the span without a leader that `due_us` belongs to.
    span: AtomicU64,
    /// Differs between hosts and teams.
    phase: u64,
    /// Time at which the next request is admitted.
    due_us: AtomicI64,
}

impl LocalShare {
    /// Creates a share that no span has begun for. `phase` is a hash of the host and the team.
    pub(super) fn new(phase: u64) -> Self {
        Self { span: AtomicU64::new(0), phase, due_us: AtomicI64::new(0) }
    }

    /// Takes a request out of the share of one of `hosts`. `span` names the time without a leader; each begins anew.
    /// `was_paced` if the team was at its quota before.
    pub(super) fn try_take(
        &self,
        limit: &TeamLimit,
        was_paced: bool,
        hosts: u32,
        span: u64,
        now_us: u64,
    ) -> bool {
        let hosts = f64::from(hosts.max(1));
        let interval_us = (hosts * 1e6 / limit.requests_per_s).min(1e12) as i64;
        let initial_requests = match was_paced {
            true => limit.capacity_requests * PACED_SHARE,
            false => {
                let in_time = limit.requests_per_s * UNPACED_TIME_S + limit.capacity_requests;
                in_time * UNPACED_SHARE + limit.slack_requests
            }
        };
        let initial = initial_requests / hosts;
        let now_us = now_us as i64;
        if self.span.swap(span, Ordering::AcqRel) != span {
            // The shares of most hosts are no whole requests, so each host begins at another point between two.
            let hash = rendezvous_rank(&span.to_be_bytes(), "") ^ self.phase;
            let ahead = hash as f64 / u64::MAX as f64 - initial;
            self.due_us.store(now_us + (ahead * interval_us as f64) as i64, Ordering::Release);
        }
        let earliest_us = now_us - ((initial + SAVED_REQUESTS) * interval_us as f64) as i64;
        let take = |due_us: i64| (due_us <= now_us).then(|| due_us.max(earliest_us) + interval_us);
        self.due_us.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }
}
