use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How many usual times an upstream may stay silent before it counts as frozen.
const FIRST_TOKEN_FACTOR: u64 = 8;
const TOKEN_FACTOR: u64 = 16;
/// Bounds on the silence before the first token. Prefill grows with the prompt, so one average
/// says little about a long prompt; the upper bound leaves time for another upstream.
const FIRST_TOKEN_MIN_US: u64 = 3_000_000;
const FIRST_TOKEN_MAX_US: u64 = 30_000_000;
/// Bounds on the silence between tokens: above the pauses of a busy engine, and below the time
/// after which most callers give up.
const TOKEN_MIN_US: u64 = 1_000_000;
const TOKEN_MAX_US: u64 = 10_000_000;
/// Assumed averages before the first answer.
const FIRST_TOKEN_ASSUMED_US: u64 = 1_000_000;
const TOKEN_ASSUMED_US: u64 = 200_000;
/// Weight of the past in an average, over the weight of a new time.
const HISTORY: u64 = 7;

/// Times that an upstream took lately, and the bounds on its silence that follow from them.
#[derive(Debug, Default)]
pub struct Pace {
    first_token_us: AtomicU64,
    token_us: AtomicU64,
}

impl Pace {
    /// Average time to the first token, in microseconds; 0 before the first one.
    pub fn first_token_us(&self) -> u64 {
        self.first_token_us.load(Ordering::Relaxed)
    }

    /// Notes the time from a request to its first token.
    pub fn record_first_token(&self, time: Duration) {
        average(&self.first_token_us, time);
    }

    /// Average time of a token after the first, in microseconds; 0 before the first answer.
    pub fn token_us(&self) -> u64 {
        self.token_us.load(Ordering::Relaxed)
    }

    /// Notes the time that an answer took for its tokens after the first.
    pub fn record_tokens(&self, tokens: u64, time: Duration) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if let Some(time) = time.checked_div(tokens) {
            average(&self.token_us, time);
        }
    }

    /// Longest silence before the first token.
    pub fn first_token_limit(&self) -> Duration {
        let known = self.first_token_us();
        let usual = if known == 0 { FIRST_TOKEN_ASSUMED_US } else { known };
        let limit = usual.saturating_mul(FIRST_TOKEN_FACTOR);
        Duration::from_micros(limit.clamp(FIRST_TOKEN_MIN_US, FIRST_TOKEN_MAX_US))
    }

    /// Longest silence after the first token.
    pub fn token_limit(&self) -> Duration {
        let known = self.token_us();
        let usual = if known == 0 { TOKEN_ASSUMED_US } else { known };
        let limit = usual.saturating_mul(TOKEN_FACTOR);
        Duration::from_micros(limit.clamp(TOKEN_MIN_US, TOKEN_MAX_US))
    }
}

/// A lost update of two threads only delays the average by one time.
fn average(cell: &AtomicU64, time: Duration) {
    let time_us = (time.as_micros() as u64).max(1);
    let old = cell.load(Ordering::Relaxed);
    let new = if old == 0 { time_us } else { (old * HISTORY + time_us) / (HISTORY + 1) };
    cell.store(new, Ordering::Relaxed);
}
