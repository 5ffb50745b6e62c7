/// Measures for how long waiting work has made no progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallClock {
    position: u64,
    since_ms: Option<u64>,
}

impl StallClock {
    /// Records how far the work has come and whether any is waiting.
    pub fn observe(&mut self, now_ms: u64, position: u64, is_waiting: bool) {
        if !is_waiting {
            self.since_ms = None;
        } else if self.since_ms.is_none() || position != self.position {
            self.since_ms = Some(now_ms);
        }
        self.position = position;
    }

    /// Time since the last progress of waiting work; 0 while none is waiting.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        self.since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}
