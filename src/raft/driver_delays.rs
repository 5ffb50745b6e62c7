/// Length of the two windows over which maxima are kept.
const WINDOW_MS: u64 = 5_000;

/// Longest delays of a driver in the last five to ten seconds, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DriverDelays {
    window: u64,
    current: Longest,
    previous: Longest,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Longest {
    late_ms: u64,
    pass_ms: u64,
}

impl DriverDelays {
    /// Records a pass of the event loop that was due at `due_ms` at the latest.
    pub fn record(&mut self, due_ms: u64, started_ms: u64, ended_ms: u64) {
        self.advance(ended_ms);
        let Longest { late_ms, pass_ms } = &mut self.current;
        *late_ms = (*late_ms).max(started_ms.saturating_sub(due_ms));
        *pass_ms = (*pass_ms).max(ended_ms.saturating_sub(started_ms));
    }

    /// Longest time by which a pass began after it was due: the executor or the machine gave the
    /// driver no time.
    pub fn late_ms(&self, now_ms: u64) -> u64 {
        let mut delays = *self;
        delays.advance(now_ms);
        delays.current.late_ms.max(delays.previous.late_ms)
    }

    /// Longest duration of a pass, in which no heartbeat was sent and no message handled.
    pub fn pass_ms(&self, now_ms: u64) -> u64 {
        let mut delays = *self;
        delays.advance(now_ms);
        delays.current.pass_ms.max(delays.previous.pass_ms)
    }

    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if window == self.window {
            return;
        }
        let is_next = window == self.window + 1;
        self.previous = if is_next { self.current } else { Longest::default() };
        (self.window, self.current) = (window, Longest::default());
    }
}
