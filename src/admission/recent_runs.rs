use std::sync::atomic::{AtomicU64, Ordering};

use crate::admission::Fingerprint;

/// Number of cells; a power of two. Two contents in the same cell replace each other.
const CELLS: usize = 4_096;

/// When this host last saw each content run without a crash. A lossy table of atomic words without
/// locks: a lost entry only delays the clearing of a suspicion.
#[derive(Debug)]
pub struct RecentRuns {
    /// A tag of the fingerprint in the upper half, the time in the lower half.
    cells: Box<[AtomicU64]>,
}

impl Default for RecentRuns {
    fn default() -> Self {
        Self { cells: (0..CELLS).map(|_| AtomicU64::new(0)).collect() }
    }
}

impl RecentRuns {
    /// Records a run; `now_ms` is on a monotonic clock.
    pub fn record(&self, fingerprint: &Fingerprint, now_ms: u64) {
        let (index, tag) = Self::place(fingerprint);
        self.cells[index].store(tag << 32 | now_ms & u64::from(u32::MAX), Ordering::Relaxed);
    }

    /// True if the content ran within the last `window_ms`.
    pub fn is_recent(&self, fingerprint: &Fingerprint, now_ms: u64, window_ms: u32) -> bool {
        let (index, tag) = Self::place(fingerprint);
        let cell = self.cells[index].load(Ordering::Relaxed);
        cell >> 32 == tag && (now_ms as u32).wrapping_sub(cell as u32) <= window_ms
    }

    /// Cell of a fingerprint, and the tag that tells it from others in the cell; never 0.
    fn place(fingerprint: &Fingerprint) -> (usize, u64) {
        let bytes = fingerprint.as_bytes();
        let word = |from: usize| u32::from_le_bytes(std::array::from_fn(|at| bytes[from + at]));
        (word(0) as usize % CELLS, u64::from(word(4) | 1))
    }
}
