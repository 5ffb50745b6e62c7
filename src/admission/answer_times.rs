use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// When an upstream last sent something for the requests of this host, and when a request last found it silent. Times
/// are in milliseconds on one clock of the host; 0 means never.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    heard_at_ms: AtomicU64,
    silent_at_ms: AtomicU64,
}

impl AnswerTimes {
    /// Records that the upstream has sent something.
    pub fn record_heard(&self, now_ms: u64) {
        self.heard_at_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Records that a request waits for the upstream for longer than its route allows.
    pub fn record_silent(&self, now_ms: u64) {
        self.silent_at_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Time at which the upstream last sent something.
    pub fn heard_at_ms(&self) -> u64 {
        self.heard_at_ms.load(Ordering::Relaxed)
    }

    /// True if the upstream was found silent within `memory` and has sent nothing since.
    pub fn is_silent(&self, memory: Duration, now_ms: u64) -> bool {
        let silent_at_ms = self.silent_at_ms.load(Ordering::Relaxed);
        silent_at_ms > self.heard_at_ms() && is_within(silent_at_ms, memory, now_ms)
    }

    /// True if the upstream has sent something within `window`.
    pub fn was_heard_within(&self, window: Duration, now_ms: u64) -> bool {
        self.heard_at_ms() > 0 && is_within(self.heard_at_ms(), window, now_ms)
    }
}

fn is_within(at_ms: u64, window: Duration, now_ms: u64) -> bool {
    u128::from(now_ms.saturating_sub(at_ms)) < window.as_millis()
}
