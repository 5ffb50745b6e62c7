/// Clock of the state machine, driven by the timestamps that leaders put into commands.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StateClock {
    now_unix_ms: u64,
}

impl StateClock {
    pub(crate) fn at(now_unix_ms: u64) -> Self {
        Self { now_unix_ms }
    }

    /// Advances the clock to a timestamp and returns the resulting time. An older timestamp, from a
    /// leader whose clock is behind, has no effect.
    pub(crate) fn advance(&mut self, stamp_unix_ms: u64) -> u64 {
        self.now_unix_ms = self.now_unix_ms.max(stamp_unix_ms);
        self.now_unix_ms
    }

    pub(crate) fn now_unix_ms(self) -> u64 {
        self.now_unix_ms
    }
}
