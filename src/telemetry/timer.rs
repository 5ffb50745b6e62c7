use std::sync::atomic::{AtomicU64, Ordering};

/// Count, total and maximum of the times under one name.
#[derive(Default)]
pub(super) struct Timer {
    count: AtomicU64,
    total_us: AtomicU64,
    max_us: AtomicU64,
}

impl Timer {
    pub(super) fn record(&self, us: u64) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(us, Ordering::Relaxed);
        self.max_us.fetch_max(us, Ordering::Relaxed);
    }

    pub(super) fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    pub(super) fn total_us(&self) -> u64 {
        self.total_us.load(Ordering::Relaxed)
    }

    pub(super) fn max_us(&self) -> u64 {
        self.max_us.load(Ordering::Relaxed)
    }
}
