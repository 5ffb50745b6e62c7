/// Largest factor by which slow but steady work raises the limit of [`StallClock::is_stalled`].
const MAX_LIMIT_FACTOR: u64 = 4;

/// Measures for how long waiting work has made no progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallClock {
    position: u64,
    since_ms: Option<u64>,
    /// Time that the last step took.
    step_ms: u64,
}

impl StallClock {
    /// Records how far the work has come and whether any is waiting.
    pub fn observe(&mut self, now_ms: u64, position: u64, is_waiting: bool) {
        if position != self.position || !is_waiting {
            if let Some(since_ms) = self.since_ms.take() {
                // Writes that end together are one step.
                if now_ms > since_ms {
                    self.step_ms = now_ms - since_ms;
                }
            }
        }
        if is_waiting {
            self.since_ms.get_or_insert(now_ms);
        }
        self.position = position;
    }

    /// Time since the last progress of waiting work; 0 while none is waiting.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        self.since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Age from which the work counts as stalled: at least `least_ms`, and twice the time of the last
    /// step, since slow work that goes on is none that hangs.
    pub fn limit_ms(&self, least_ms: u64) -> u64 {
        (2 * self.step_ms).clamp(least_ms, MAX_LIMIT_FACTOR * least_ms)
    }

    /// Whether the work counts as stalled.
    pub fn is_stalled(&self, now_ms: u64, least_ms: u64) -> bool {
        self.age_ms(now_ms) >= self.limit_ms(least_ms)
    }
}
