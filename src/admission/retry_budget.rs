use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// Retries allowed, as a percentage of requests, unless a setting says otherwise.
pub const DEFAULT_RETRY_BUDGET_PERCENT: u32 = 20;

/// The balance is counted in thousandths of a retry.
const MILLIS_PER_RETRY: i64 = 1_000;
/// Limit of the balance that traffic builds up. It covers the loss of one upstream whose slots are
/// all in use.
const TRAFFIC_LIMIT: i64 = 100 * MILLIS_PER_RETRY;
/// Limit of the balance that passing time builds up. Without the refill by time, a host with
/// little traffic could never retry.
const TIME_LIMIT: i64 = 10 * MILLIS_PER_RETRY;
/// Thousandths of a retry that each millisecond adds: one retry per second.
const REFILL_PER_MS: u64 = 1;

/// Token bucket for the retries of a host, refilled by a percentage of its requests and slowly by
/// time.
///
/// Callers pass the time. All operations are lock-free.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicI64,
    /// Time up to which the refill by time has been added.
    refilled_ms: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: AtomicI64::new(TIME_LIMIT), refilled_ms: AtomicU64::new(0) }
    }
}

impl RetryBudget {
    /// Records a request, which adds `percent` hundredths of a retry.
    pub fn record_request(&self, percent: u32) {
        let amount = i64::from(percent) * MILLIS_PER_RETRY / 100;
        self.deposit(amount, TRAFFIC_LIMIT);
    }

    /// Withdraws one retry; `false` when the budget is exhausted. `now_ms` counts from any fixed
    /// time.
    pub fn try_withdraw(&self, now_ms: u64) -> bool {
        let refilled_ms = self.refilled_ms.fetch_max(now_ms, Ordering::Relaxed);
        let elapsed_ms = now_ms.saturating_sub(refilled_ms);
        let refill = elapsed_ms.saturating_mul(REFILL_PER_MS).min(TIME_LIMIT as u64);
        self.deposit(refill as i64, TIME_LIMIT);
        let withdraw =
            |balance| (balance >= MILLIS_PER_RETRY).then_some(balance - MILLIS_PER_RETRY);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }

    /// Adds to the balance up to `limit`. A balance that is already above `limit` stays as it is.
    fn deposit(&self, amount: i64, limit: i64) {
        let add = |balance: i64| (balance < limit).then(|| (balance + amount).min(limit));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}
