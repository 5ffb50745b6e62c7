use std::array;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of histogram buckets: one for each value below 4, then four per power of two up to 2^64.
const BUCKETS: usize = 252;

/// Lock-free histogram of durations in microseconds.
pub(crate) struct Timer {
    buckets: [AtomicU64; BUCKETS],
    total_us: AtomicU64,
    max_us: AtomicU64,
}

impl Timer {
    pub(crate) fn record(&self, us: u64) {
        self.buckets[bucket_index(us)].fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(us, Ordering::Relaxed);
        self.max_us.fetch_max(us, Ordering::Relaxed);
    }

    pub(crate) fn count(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.load(Ordering::Relaxed)).sum()
    }

    pub(crate) fn total_us(&self) -> u64 {
        self.total_us.load(Ordering::Relaxed)
    }

    pub(crate) fn max_us(&self) -> u64 {
        self.max_us.load(Ordering::Relaxed)
    }

    /// Returns an upper bound of the given percentile, at most 25% above the exact value; 0 if
    /// nothing was recorded.
    pub(crate) fn percentile_us(&self, percent: u64) -> u64 {
        let rank = (self.count() * percent).div_ceil(100);
        let mut cumulative = 0;
        for (index, bucket) in self.buckets.iter().enumerate() {
            cumulative += bucket.load(Ordering::Relaxed);
            if cumulative >= rank {
                return bucket_max(index).min(self.max_us());
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

fn bucket_index(us: u64) -> usize {
    if us < 4 {
        return us as usize;
    }
    let power = us.ilog2();
    (power as usize - 1) * 4 + (us >> (power - 2)) as usize % 4
}

fn bucket_max(bucket: usize) -> u64 {
    if bucket < 4 {
        return bucket as u64;
    }
    let (power, quarter) = (bucket / 4 + 1, bucket as u64 % 4);
    let bucket_min = (4 + quarter) << (power - 2);
    bucket_min + (1 << (power - 2)) - 1
}
