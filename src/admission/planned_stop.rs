use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::OnceLock;
use std::time::Instant;

/// The planned stop of a host, which bounds the work that it may still take.
///
/// Work that has been taken must end before the process does, and how long it takes is known only
/// by its time limit. So once the stop has begun, work is taken only if its time limit ends in time;
/// the caller of any other is refused at once, while it can still be served elsewhere.
#[derive(Debug, Default)]
pub struct PlannedStop {
    work_ends_by: OnceLock<Instant>,
    is_closed: AtomicBool,
}

impl PlannedStop {
    /// Begins the stop of a host that finishes its work by `work_ends_by`; a later call has no effect.
    pub fn begin(&self, work_ends_by: Instant) {
        let _ = self.work_ends_by.set(work_ends_by);
    }

    /// Takes no more work, whatever its time limit. Called before the last look for open work: work that is taken
    /// between that look and the end of the process would be cut off.
    pub fn close_intake(&self) {
        // In one order with the counts of open work: work that does not see this is seen by the look that follows.
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// True once the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.work_ends_by.get().is_some()
    }

    /// True if work whose time limit ends at `deadline` may be taken.
    pub fn leaves_time_until(&self, deadline: Instant) -> bool {
        !self.is_closed.load(Ordering::SeqCst)
            && self.work_ends_by.get().is_none_or(|end| deadline <= *end)
    }
}
