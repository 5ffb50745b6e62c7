use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Multiples of the average latency after which an upstream without output counts as frozen.
const FIRST_TOKEN_TIMEOUT_FACTOR: u64 = 8;
const TOKEN_TIMEOUT_FACTOR: u64 = 16;
/// Bounds on the timeout of the first token. Prefill time grows with the prompt, so the average
/// says little about a long prompt; the upper bound leaves time for a retry at another upstream.
const MIN_FIRST_TOKEN_TIMEOUT_US: u64 = 3_000_000;
const MAX_FIRST_TOKEN_TIMEOUT_US: u64 = 30_000_000;
/// Bounds on the timeout between tokens: above the pauses of a busy engine, and below the time
/// after which most callers give up.
const MIN_TOKEN_TIMEOUT_US: u64 = 1_000_000;
const MAX_TOKEN_TIMEOUT_US: u64 = 10_000_000;
/// Averages that are assumed before the first measurement.
const DEFAULT_FIRST_TOKEN_US: u64 = 1_000_000;
const DEFAULT_TOKEN_US: u64 = 200_000;
/// Weight of the old average relative to a new measurement.
const HISTORY_WEIGHT: u64 = 7;

/// Moving averages of an upstream's token latencies, and the timeouts derived from them.
#[derive(Debug, Default)]
pub struct TokenLatency {
    first_token_us: AtomicU64,
    token_us: AtomicU64,
}

impl TokenLatency {
    /// Average time to the first token, in microseconds; 0 before the first measurement.
    pub fn first_token_us(&self) -> u64 {
        self.first_token_us.load(Ordering::Relaxed)
    }

    /// Records the time from a request to its first token.
    pub fn record_first_token(&self, time: Duration) {
        update_average(&self.first_token_us, time);
    }

    /// Average time per token after the first, in microseconds; 0 before the first measurement.
    pub fn token_us(&self) -> u64 {
        self.token_us.load(Ordering::Relaxed)
    }

    /// Records the total time of `tokens` tokens after the first; ignored if `tokens` is 0.
    pub fn record_tokens(&self, tokens: u64, time: Duration) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if let Some(time) = time.checked_div(tokens) {
            update_average(&self.token_us, time);
        }
    }

    /// Time without output after which a request that waits for its first token has timed out.
    pub fn first_token_timeout(&self) -> Duration {
        let measured = self.first_token_us();
        let average = if measured == 0 { DEFAULT_FIRST_TOKEN_US } else { measured };
        let limit = average.saturating_mul(FIRST_TOKEN_TIMEOUT_FACTOR);
        Duration::from_micros(limit.clamp(MIN_FIRST_TOKEN_TIMEOUT_US, MAX_FIRST_TOKEN_TIMEOUT_US))
    }

    /// Time without output after which a request has timed out once its first token has arrived.
    pub fn token_timeout(&self) -> Duration {
        let measured = self.token_us();
        let average = if measured == 0 { DEFAULT_TOKEN_US } else { measured };
        let limit = average.saturating_mul(TOKEN_TIMEOUT_FACTOR);
        Duration::from_micros(limit.clamp(MIN_TOKEN_TIMEOUT_US, MAX_TOKEN_TIMEOUT_US))
    }
}

/// Adds a measurement to a moving average. A lost update between two threads only skips one
/// measurement.
fn update_average(cell: &AtomicU64, time: Duration) {
    let time_us = (time.as_micros() as u64).max(1);
    let old = cell.load(Ordering::Relaxed);
    let new =
        if old == 0 { time_us } else { (old * HISTORY_WEIGHT + time_us) / (HISTORY_WEIGHT + 1) };
    cell.store(new, Ordering::Relaxed);
}
