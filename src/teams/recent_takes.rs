use std::sync::atomic::{AtomicU64, Ordering};

/// Length of a slot.
const SLOT_MS: u64 = 500;
/// Slots of the window.
const SLOTS: usize = 10;

/// Number of requests that were admitted in the last five seconds, to half a second. Lock-free.
#[derive(Debug, Default)]
pub(super) struct RecentTakes {
    /// Number of the slot in the upper half, its count in the lower one.
    slots: [AtomicU64; SLOTS],
}

impl RecentTakes {
    /// Counts a request.
    pub(super) fn record(&self, now_ms: u64) {
        let number = now_ms / SLOT_MS;
        let slot = &self.slots[number as usize % SLOTS];
        // The closure always returns a value, so the update succeeds.
        let _ = slot.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |slot| {
            Some(if slot >> 32 == number { slot + 1 } else { (number << 32) + 1 })
        });
    }

    /// Requests in the last five seconds.
    pub(super) fn count(&self, now_ms: u64) -> u64 {
        let number = now_ms / SLOT_MS;
        let slots = self.slots.iter().map(|slot| slot.load(Ordering::Relaxed));
        slots
            .filter(|slot| (slot >> 32) + SLOTS as u64 > number)
            .map(|slot| slot & 0xffff_ffff)
            .sum()
    }
}
