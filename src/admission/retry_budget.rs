use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// Thousandths of a retry.
const RETRY: i64 = 1_000;
/// Retries that traffic may save up, so that the death of one upstream with full slots is covered.
const SAVED_LIMIT: i64 = 100 * RETRY;
/// Retries that time alone saves up. Without them a host with little traffic could never retry.
const IDLE_LIMIT: i64 = 10 * RETRY;
/// Thousandths of a retry that time alone gives in a millisecond: one retry a second.
const IDLE_PER_MS: u64 = 1;

/// Retries that a host may still make: a share of its requests, and a few for each idle time.
///
/// Holds no clock. All operations are lock-free.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicI64,
    /// Time up to which the idle share was given.
    refilled_ms: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: AtomicI64::new(IDLE_LIMIT), refilled_ms: AtomicU64::new(0) }
    }
}

impl RetryBudget {
    /// Notes a request, which allows `percent` hundredths of a retry.
    pub fn note_request(&self, percent: u32) {
        let share = i64::from(percent) * RETRY / 100;
        self.save(share, SAVED_LIMIT);
    }

    /// Takes one retry; `false` when none is left. `now_ms` counts from any fixed time.
    pub fn take(&self, now_ms: u64) -> bool {
        let refilled_ms = self.refilled_ms.fetch_max(now_ms, Ordering::Relaxed);
        let idle_ms = now_ms.saturating_sub(refilled_ms);
        let idle = idle_ms.saturating_mul(IDLE_PER_MS).min(IDLE_LIMIT as u64);
        self.save(idle as i64, IDLE_LIMIT);
        let take = |saved| (saved >= RETRY).then_some(saved - RETRY);
        self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Adds to what is saved, up to a limit that keeps what is above it already.
    fn save(&self, share: i64, limit: i64) {
        let add = |saved: i64| (saved < limit).then(|| (saved + share).min(limit));
        let _ = self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}
