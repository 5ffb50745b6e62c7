use std::time::Duration;

/// Balance where the configuration names none.
pub const DEFAULT_BATCH_YIELD: u32 = 90;
/// Pause of batch after a burst at `batch_yield` 0.
const LONGEST_PAUSE_MS: u64 = 1_000;

/// What `batch_yield` means for the slots of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchShare {
    batch_yield: u32,
}

impl BatchShare {
    /// The meaning of a value from 0 to 100.
    pub fn new(batch_yield: u32) -> Self {
        Self { batch_yield: batch_yield.min(100) }
    }

    /// Slots of an upstream that batch leaves free: half of them at 0, none at 100.
    pub fn kept_free(self, slots: u32) -> u32 {
        (slots * (100 - self.batch_yield) + 100) / 200
    }

    /// Time without new batch work after online requests had to wait: 1 s at 0, none at 100.
    pub fn pause(self) -> Duration {
        Duration::from_millis(LONGEST_PAUSE_MS * u64::from(100 - self.batch_yield) / 100)
    }
}
