use std::array;
use std::sync::atomic::{AtomicU64, Ordering};

/// Buckets below 4 hold one value each; above, each power of two has four.
const BUCKETS: usize = 252;

/// Distribution of the times under one name, without a lock.
pub(super) struct Timer {
    buckets: [AtomicU64; BUCKETS],
    total_us: AtomicU64,
    max_us: AtomicU64,
}

impl Timer {
    pub(super) fn record(&self, us: u64) {
        self.buckets[bucket_of(us)].fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(us, Ordering::Relaxed);
        self.max_us.fetch_max(us, Ordering::Relaxed);
    }

    pub(super) fn count(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.load(Ordering::Relaxed)).sum()
    }

    pub(super) fn total_us(&self) -> u64 {
        self.total_us.load(Ordering::Relaxed)
    }

    pub(super) fn max_us(&self) -> u64 {
        self.max_us.load(Ordering::Relaxed)
    }

    /// Upper bound, at most a quarter too large, of the time that `percent` of all stay within.
    pub(super) fn percentile_us(&self, percent: u64) -> u64 {
        let wanted = (self.count() * percent).div_ceil(100);
        let mut seen = 0;
        for (index, bucket) in self.buckets.iter().enumerate() {
            seen += bucket.load(Ordering::Relaxed);
            if seen >= wanted {
                return largest_in(index).min(self.max_us());
            }
        }
        self.max_us()
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self {
            buckets: array::from_fn(|_| AtomicU64::new(0)),
            total_us: AtomicU64::new(0),
            max_us: AtomicU64::new(0),
        }
    }
}

fn bucket_of(us: u64) -> usize {
    if us < 4 {
        return us as usize;
    }
    let power = us.ilog2();
    (power as usize - 1) * 4 + (us >> (power - 2)) as usize % 4
}

fn largest_in(bucket: usize) -> u64 {
    if bucket < 4 {
        return bucket as u64;
    }
    let (power, quarter) = (bucket / 4 + 1, bucket as u64 % 4);
    let smallest = (4 + quarter) << (power - 2);
    smallest + (1 << (power - 2)) - 1
}
