use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Weight of the last measurements, in measurements.
const WINDOW: u64 = 8;

/// How long tasks of this process wait until they run, averaged over the last measurements.
#[derive(Debug, Default)]
pub(super) struct ExecutorLag {
    average_us: AtomicU64,
}

impl ExecutorLag {
    /// Records how late a timer was handled. Called by one task only.
    pub(super) fn record(&self, late: Duration) {
        let before_us = self.average_us.load(Ordering::Relaxed);
        let late_us = late.as_micros() as u64;
        let average_us = (before_us * (WINDOW - 1) + late_us) / WINDOW;
        self.average_us.store(average_us, Ordering::Relaxed);
    }

    /// The average.
    pub(super) fn get(&self) -> Duration {
        Duration::from_micros(self.average_us.load(Ordering::Relaxed))
    }
}
