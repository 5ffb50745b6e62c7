use std::time::Duration;

/// `batch_yield` where the configuration sets none.
pub const DEFAULT_BATCH_YIELD: u32 = 90;
/// Pause of batch after a burst of online requests when `batch_yield` is 0.
const MAX_PAUSE_MS: u64 = 1_000;

/// Limits on batch work that follow from the setting `batch_yield`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchPolicy {
    batch_yield: u32,
}

impl BatchPolicy {
    /// Limits for a `batch_yield` from 0 to 100; larger values count as 100.
    pub fn new(batch_yield: u32) -> Self {
        Self { batch_yield: batch_yield.min(100) }
    }

    /// Slots of an upstream that batch must leave free for online requests: half of them when
    /// `batch_yield` is 0, none when it is 100.
    pub fn online_reserve(self, slots: u32) -> u32 {
        (slots * (100 - self.batch_yield) + 100) / 200
    }

    /// Time during which no new batch work starts after online requests had to wait: 1 s when
    /// `batch_yield` is 0, none when it is 100.
    pub fn pause(self) -> Duration {
        Duration::from_millis(MAX_PAUSE_MS * u64::from(100 - self.batch_yield) / 100)
    }
}
