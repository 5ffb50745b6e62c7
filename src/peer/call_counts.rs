use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::peer::CallClass;
use crate::telemetry::Timer;

/// What became of the calls of other hosts, by class.
#[derive(Default)]
pub struct CallCounts {
    classes: [ClassCounts; CallClass::COUNT],
}

#[derive(Default)]
struct ClassCounts {
    waits: Timer,
    handlings: Timer,
    refused: AtomicU64,
    expired: AtomicU64,
    late: AtomicU64,
}

impl CallCounts {
    /// Records that a call is started after it waited for this time.
    pub fn record_start(&self, class: CallClass, waited: Duration) {
        self.classes[class as usize].waits.record(waited.as_micros() as u64);
    }

    /// Records that a call is done after it was handled for this time, and whether its caller still waits.
    pub fn record_end(&self, class: CallClass, handled: Duration, is_late: bool) {
        let counts = &self.classes[class as usize];
        counts.handlings.record(handled.as_micros() as u64);
        counts.late.fetch_add(is_late.into(), Ordering::Relaxed);
    }

    /// Counts a call that is refused because too many wait.
    pub fn count_refused(&self, class: CallClass) {
        self.classes[class as usize].refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that its caller gave up before it was started.
    pub fn count_expired(&self, class: CallClass) {
        self.classes[class as usize].expired.fetch_add(1, Ordering::Relaxed);
    }

    /// Calls `visit` with each class, name and value.
    pub fn for_each(&self, mut visit: impl FnMut(CallClass, &'static str, u64)) {
        for class in CallClass::ALL {
            let counts = &self.classes[class as usize];
            let (waits, handlings) = (&counts.waits, &counts.handlings);
            visit(class, "started", waits.count());
            visit(class, "refused", counts.refused.load(Ordering::Relaxed));
            visit(class, "expired", counts.expired.load(Ordering::Relaxed));
            visit(class, "late", counts.late.load(Ordering::Relaxed));
            visit(class, "wait_total_us", waits.total_us());
            visit(class, "wait_max_us", waits.max_us());
            visit(class, "wait_p50_us", waits.percentile_us(50));
            visit(class, "wait_p99_us", waits.percentile_us(99));
            visit(class, "handling_p50_us", handlings.percentile_us(50));
            visit(class, "handling_p99_us", handlings.percentile_us(99));
        }
    }
}
