use std::time::Duration;

use crate::admission::{AnswerTimes, Silence};

/// Interval at which a request that has passed its stall limit is judged again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the stall limit, as a percentage, after which another upstream counts as silent or answering. Upstreams
/// that fall silent at once have sent their last events at different times.
const WINDOW_PERCENT: u32 = 75;
/// Multiple of the stall limit after which a request leaves an upstream though most are silent, if another one is not:
/// the silent ones may be gone for good.
const OF_MOST_FACTOR: u32 = 2;
/// Multiple of the stall limit for which a silent upstream is remembered after its requests have left: as many waits as
/// a request has sends.
const MEMORY_FACTOR: u32 = 4;

/// The wait of a request for the next data of its upstream. Times are on the clock of [`AnswerTimes`].
#[derive(Debug)]
pub struct StallCheck {
    limit: Duration,
    since_ms: u64,
    /// When most upstreams were last seen silent.
    most_silent_at_ms: Option<u64>,
}

impl StallCheck {
    /// A wait that began at `since_ms` and may last for `limit`.
    pub fn new(limit: Duration, since_ms: u64) -> Self {
        Self { limit, since_ms, most_silent_at_ms: None }
    }

    /// Time since the wait began.
    pub fn waited(&self, now_ms: u64) -> Duration {
        elapsed(self.since_ms, now_ms)
    }

    /// Time until the wait has to be judged.
    pub fn until_judged(&self, now_ms: u64) -> Duration {
        let waited = self.waited(now_ms);
        let next = [self.window(), self.limit].into_iter().find(|time| *time > waited);
        next.map_or(RECHECK_INTERVAL, |time| time - waited)
    }

    /// True once the stall limit has passed.
    pub fn has_stalled(&self, now_ms: u64) -> bool {
        self.waited(now_ms) >= self.limit
    }

    /// Records the upstream of the wait as silent if it has sent nothing to any request for too long by the limit of
    /// this one.
    pub fn record_silence(&self, upstream: &AnswerTimes, now_ms: u64) {
        if elapsed(self.since_ms.max(upstream.heard_at_ms()), now_ms) >= self.window() {
            upstream.record_silent(now_ms);
        }
    }

    /// True if the silence of the upstream is reason to leave it, by what the `others` of its service do.
    pub fn is_reason_to_leave<'a>(
        &mut self,
        others: impl Iterator<Item = &'a AnswerTimes>,
        now_ms: u64,
    ) -> bool {
        let is_long = self.waited(now_ms) >= self.limit * OF_MOST_FACTOR;
        match self.judge(others, now_ms) {
            // After a silence of most, each works off what it was sent meanwhile.
            Silence::OfOne => {
                let of_most = self.most_silent_at_ms;
                is_long || of_most.is_none_or(|at_ms| elapsed(at_ms, now_ms) >= self.limit)
            }
            Silence::OfMost { has_other } => {
                self.most_silent_at_ms = Some(now_ms);
                has_other && is_long
            }
        }
    }

    fn judge<'a>(&self, others: impl Iterator<Item = &'a AnswerTimes>, now_ms: u64) -> Silence {
        let (mut silent, mut answering, mut unknown) = (0, 0, 0);
        for other in others {
            if other.is_silent(self.limit * MEMORY_FACTOR, now_ms) {
                silent += 1;
                continue;
            }
            match other.was_heard_within(self.window(), now_ms) {
                true => answering += 1,
                false => unknown += 1,
            }
        }
        Silence::judge(silent, answering, unknown)
    }

    fn window(&self) -> Duration {
        self.limit * WINDOW_PERCENT / 100
    }
}

fn elapsed(since_ms: u64, now_ms: u64) -> Duration {
    Duration::from_millis(now_ms.saturating_sub(since_ms))
}
