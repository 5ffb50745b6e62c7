use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time for which an unused rate adds up, so that a pause is followed by a burst of this length. Short,
/// because many hosts may begin a burst before they hear of each other.
const BURST_TIME_US: u64 = 500_000;
/// Longest time for which requests beyond the limit delay later ones.
const MAX_DEBT_US: u64 = 4_000_000;

/// A limit of requests per second that several hosts share: each counts its own requests before it
/// sends them, and those of the others once it hears of them. Lock-free.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// Time between two requests at the limit; 0 while there is no limit.
    interval_us: AtomicU64,
    /// Time at which all requests counted so far would have been sent at the limit.
    due_us: AtomicU64,
}

impl RateLimit {
    /// Sets the limit in requests per second, or removes it.
    pub fn set(&self, per_second: Option<f64>) {
        let interval_us = per_second.map_or(0, |rate| {
            let interval_us = (1e6 / rate.max(0.0)).min(MAX_DEBT_US as f64);
            (interval_us as u64).max(1)
        });
        self.interval_us.store(interval_us, Ordering::Relaxed);
    }

    /// True while a limit is set.
    pub fn is_set(&self) -> bool {
        self.interval_us.load(Ordering::Relaxed) > 0
    }

    /// Counts a request if the limit has room for it. `now_us` is on a monotonic clock. A host that
    /// does not hear of the others takes one request in `share`, the number of hosts.
    pub fn try_take(&self, now_us: u64, share: u32) -> bool {
        let interval_us = self.interval_us.load(Ordering::Relaxed);
        if interval_us == 0 {
            return true;
        }
        let cost_us = interval_us.saturating_mul(share.max(1).into());
        // Without word of the others, a pause of this host is no room that they have left.
        let burst_us = if share > 1 { 0 } else { burst_us(interval_us) };
        let take = |due_us: u64| {
            let start_us = due_us.max(now_us.saturating_sub(burst_us));
            (start_us <= now_us).then_some(start_us.saturating_add(cost_us))
        };
        self.due_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Counts requests that were sent without asking, as by other hosts.
    pub fn take(&self, requests: u64, now_us: u64) {
        let interval_us = self.interval_us.load(Ordering::Relaxed);
        if interval_us == 0 || requests == 0 {
            return;
        }
        let add = |due_us: u64| {
            let start_us = due_us.max(now_us.saturating_sub(burst_us(interval_us)));
            let due_us = start_us.saturating_add(interval_us.saturating_mul(requests));
            Some(due_us.min(now_us + MAX_DEBT_US))
        };
        // The closure always returns a value, so the update succeeds.
        let _ = self.due_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// True if the limit has room for a request now.
    pub fn has_room(&self, now_us: u64) -> bool {
        !self.is_set() || self.due_us.load(Ordering::Relaxed) <= now_us
    }

    /// True if at least half of the burst is unused.
    pub fn has_spare_room(&self, now_us: u64) -> bool {
        let interval_us = self.interval_us.load(Ordering::Relaxed);
        let spare_us = burst_us(interval_us) / 2;
        interval_us == 0 || self.due_us.load(Ordering::Relaxed) + spare_us <= now_us
    }

    /// Time until the limit has room.
    pub fn time_to_room(&self, now_us: u64) -> Duration {
        if !self.is_set() {
            return Duration::ZERO;
        }
        Duration::from_micros(self.due_us.load(Ordering::Relaxed).saturating_sub(now_us))
    }
}

/// Length of a burst after a pause; at least the time of one request.
fn burst_us(interval_us: u64) -> u64 {
    BURST_TIME_US.max(interval_us)
}
