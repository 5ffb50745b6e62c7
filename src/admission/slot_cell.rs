use std::sync::atomic::{AtomicU64, Ordering};

use crate::routing::WorkClass;

/// Slot counts of one upstream on this host: use by class, and the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Slots that online requests use.
    pub online_in_use: u16,
    /// Slots that batch items use.
    pub batch_in_use: u16,
    /// Limit of slots that this host may use.
    pub slots: u16,
    /// Part of `slots` that batch items may use.
    pub batch_slots: u16,
}

impl SlotCounts {
    /// Slots that both classes use together.
    pub fn in_use(&self) -> u16 {
        self.online_in_use + self.batch_in_use
    }

    /// Slots that a class may still acquire.
    pub fn free(&self, class: WorkClass) -> u16 {
        let free = self.slots.saturating_sub(self.in_use());
        match class {
            WorkClass::Online => free,
            WorkClass::Batch => free.min(self.batch_slots.saturating_sub(self.batch_in_use)),
        }
    }

    fn in_use_mut(&mut self, class: WorkClass) -> &mut u16 {
        match class {
            WorkClass::Online => &mut self.online_in_use,
            WorkClass::Batch => &mut self.batch_in_use,
        }
    }
}

impl From<u64> for SlotCounts {
    fn from(word: u64) -> Self {
        let part = |index: u32| (word >> (16 * index)) as u16;
        let (online_in_use, batch_in_use) = (part(0), part(1));
        Self { online_in_use, batch_in_use, slots: part(2), batch_slots: part(3) }
    }
}

impl From<SlotCounts> for u64 {
    fn from(counts: SlotCounts) -> Self {
        let parts = [counts.online_in_use, counts.batch_in_use, counts.slots, counts.batch_slots];
        parts.into_iter().rev().fold(0, |word, part| (word << 16) | Self::from(part))
    }
}

/// Slot counts of an upstream, packed into one atomic word.
///
/// Use and limits change in one atomic step, so that no request acquires a slot under a limit that
/// has already been lowered.
#[derive(Debug, Default)]
pub struct SlotCell {
    word: AtomicU64,
}

impl SlotCell {
    /// Loads the current counts.
    pub fn load(&self) -> SlotCounts {
        self.word.load(Ordering::Acquire).into()
    }

    /// Acquires a slot; `false` when none is free for the class.
    pub fn acquire(&self, class: WorkClass) -> bool {
        let acquired = self.word.fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
            let mut counts = SlotCounts::from(word);
            if counts.free(class) == 0 {
                return None;
            }
            *counts.in_use_mut(class) += 1;
            Some(counts.into())
        });
        acquired.is_ok()
    }

    /// Releases a slot.
    pub fn release(&self, class: WorkClass) {
        self.update(|counts| {
            let used = counts.in_use_mut(class);
            *used = used.saturating_sub(1);
        });
    }

    /// Replaces the limits and returns the new counts. Slots in use above the new limits stay in
    /// use.
    pub fn set_limits(&self, slots: u16, batch_slots: u16) -> SlotCounts {
        self.update(|counts| {
            counts.slots = slots;
            counts.batch_slots = batch_slots;
        })
    }

    fn update(&self, change: impl Fn(&mut SlotCounts)) -> SlotCounts {
        let mut after = SlotCounts::default();
        let updated = self.word.fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
            after = word.into();
            change(&mut after);
            Some(after.into())
        });
        debug_assert!(updated.is_ok(), "the update closure never returns None");
        after
    }
}
