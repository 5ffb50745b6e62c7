use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::admission::Silence;
use crate::gateway::stall_limit::stall_limit;
use crate::gateway::upstream::monotonic_ms;
use crate::gateway::Upstream;
use crate::schema::routes::Route;

/// Interval at which a request that has passed its stall limit is judged again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the stall limit, as a percentage, after which another upstream counts as silent or answering. Upstreams
/// that fall silent at once have sent their last events at different times.
const WINDOW_PERCENT: u32 = 75;
/// Multiple of the stall limit after which a request leaves an upstream though most are silent, if another one is not:
/// the silent ones may be gone for good.
const OF_MOST_FACTOR: u32 = 2;

/// The wait of a request for the next data of its upstream.
#[derive(Debug)]
pub(super) struct StallCheck {
    limit: Duration,
    since: Instant,
    /// When most upstreams were last seen silent.
    most_silent_at: Option<Instant>,
}

/// Why a request that has passed its stall limit waits on, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StaysFor {
    /// Most upstreams of the service are silent.
    SilenceOfMost,
    /// It can't be sent to another upstream.
    NoOther,
    /// The retry budget is used up.
    Budget,
}

impl StallCheck {
    /// A wait that began at `since`, at the begin of the answer or within it.
    pub(super) fn new(route: &Route, has_begun: bool, since: Instant) -> Self {
        Self { limit: stall_limit(route, has_begun), since, most_silent_at: None }
    }

    /// Time since the wait began.
    pub(super) fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }

    /// Time until the wait has to be judged.
    pub(super) fn until_judged(&self) -> Duration {
        match self.limit.saturating_sub(self.since.elapsed()) {
            Duration::ZERO => RECHECK_INTERVAL,
            left => left,
        }
    }

    /// True once the stall limit has passed.
    pub(super) fn has_stalled(&self) -> bool {
        self.since.elapsed() >= self.limit
    }

    /// True if the silence of `upstream` is reason to leave it, by what the others of its service do.
    pub(super) fn is_reason_to_leave(
        &mut self,
        upstream: &Upstream,
        all: &[Arc<Upstream>],
    ) -> bool {
        let is_long = self.since.elapsed() >= self.limit * OF_MOST_FACTOR;
        match self.judge(upstream, all) {
            // After a silence of most, each works off what it was sent meanwhile.
            Silence::OfOne => {
                is_long || self.most_silent_at.is_none_or(|at| at.elapsed() >= self.limit)
            }
            Silence::OfMost { has_other } => {
                self.most_silent_at = Some(Instant::now());
                has_other && is_long
            }
        }
    }

    fn judge(&self, upstream: &Upstream, all: &[Arc<Upstream>]) -> Silence {
        let (window, now_ms) = (self.limit * WINDOW_PERCENT / 100, monotonic_ms());
        let others = all.iter().filter(|other| {
            other.service == upstream.service
                && other.upstream_id != upstream.upstream_id
                && other.accepts_work
        });
        let (mut silent, mut answering, mut unknown) = (0, 0, 0);
        for other in others {
            if other.was_heard_within(window, now_ms) {
                answering += 1;
                continue;
            }
            match other.silent_time(now_ms).is_some_and(|time| time >= window) {
                true => silent += 1,
                false => unknown += 1,
            }
        }
        Silence::judge(silent, answering, unknown)
    }
}
