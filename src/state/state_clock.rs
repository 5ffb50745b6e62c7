/// Time of the state machine, taken from the leaders' stamps in the commands.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StateClock {
    now_unix_ms: u64,
}

impl StateClock {
    pub(crate) fn at(now_unix_ms: u64) -> Self {
        Self { now_unix_ms }
    }

    /// Moves to a stamp and gives the time; an older stamp, from a leader whose clock is behind,
    /// changes nothing.
    pub(crate) fn advance(&mut self, stamp_unix_ms: u64) -> u64 {
        self.now_unix_ms = self.now_unix_ms.max(stamp_unix_ms);
        self.now_unix_ms
    }

    pub(crate) fn now_unix_ms(self) -> u64 {
        self.now_unix_ms
    }
}
