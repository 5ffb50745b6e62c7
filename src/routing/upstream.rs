use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use crate::membership::UpstreamRecord;
use crate::routing::{Health, Pace, Place, PrefixCell, WorkClass};

/// One upstream as this host sees it: its record and what was sent to it.
#[derive(Debug)]
pub struct Upstream {
    /// Record that the upstream announced.
    pub record: Arc<UpstreamRecord>,
    /// Grows with each start of the upstream.
    pub incarnation: u64,
    /// Times that it took lately.
    pub pace: Pace,
    /// Whether it may get requests.
    pub health: Health,
    /// Where it is.
    pub place: Place,
    /// What it probably holds in its prefix cache.
    pub prefixes: PrefixCell,
    online_in_use: AtomicU32,
    batch_in_use: AtomicU32,
    reported_running: AtomicU32,
    reported_waiting: AtomicU32,
    /// Requests of this host in flight when the load was reported.
    in_use_at_report: AtomicU32,
}

impl Upstream {
    /// An upstream with nothing in flight.
    pub fn new(record: Arc<UpstreamRecord>, incarnation: u64) -> Self {
        let place = Place::new(&record.zone, &record.region);
        Self {
            record,
            incarnation,
            place,
            pace: Pace::default(),
            health: Health::default(),
            prefixes: PrefixCell::default(),
            online_in_use: AtomicU32::new(0),
            batch_in_use: AtomicU32::new(0),
            reported_running: AtomicU32::new(0),
            reported_waiting: AtomicU32::new(0),
            in_use_at_report: AtomicU32::new(0),
        }
    }

    /// Requests of this host in flight at the upstream.
    pub fn in_use(&self) -> u32 {
        self.online_in_use.load(Ordering::SeqCst) + self.batch_in_use.load(Ordering::SeqCst)
    }

    /// Requests of one class in flight at the upstream.
    pub fn in_use_by(&self, class: WorkClass) -> u32 {
        self.counter(class).load(Ordering::Relaxed)
    }

    /// Slots that this host may still use.
    pub fn free_slots(&self) -> u32 {
        self.record.slots.saturating_sub(self.in_use())
    }

    /// Takes one slot, or `None` when all are in use or the upstream gets no requests now.
    pub fn acquire(self: &Arc<Self>, class: WorkClass) -> Option<SlotPermit> {
        let permit = self.acquire_on_trial(class)?;
        // Looked at after the slot was taken, as a trial looks at the slots after it began.
        self.health.takes_requests().then_some(permit)
    }

    /// Takes one slot whether or not the upstream gets ordinary requests.
    pub(super) fn acquire_on_trial(self: &Arc<Self>, class: WorkClass) -> Option<SlotPermit> {
        let counter = self.counter(class);
        counter.fetch_add(1, Ordering::SeqCst);
        if self.in_use() > self.record.slots {
            counter.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        Some(SlotPermit { upstream: self.clone(), class })
    }

    /// Notes the load of all hosts together, as the upstream reported it some time ago.
    pub fn report_load(&self, running: u32, waiting: u32) {
        self.reported_running.store(running, Ordering::Relaxed);
        self.reported_waiting.store(waiting, Ordering::Relaxed);
        self.in_use_at_report.store(self.in_use(), Ordering::Relaxed);
    }

    /// Requests of all hosts at the upstream: those of other hosts as last reported, and those of
    /// this host as they are now.
    pub fn estimated_load(&self) -> u32 {
        let (running, waiting) = self.reported_load();
        let own = self.in_use_at_report.load(Ordering::Relaxed);
        self.in_use() + (running + waiting).saturating_sub(own)
    }

    /// Load that the upstream reported last: requests running and waiting.
    pub fn reported_load(&self) -> (u32, u32) {
        let running = self.reported_running.load(Ordering::Relaxed);
        (running, self.reported_waiting.load(Ordering::Relaxed))
    }

    fn counter(&self, class: WorkClass) -> &AtomicU32 {
        match class {
            WorkClass::Online => &self.online_in_use,
            WorkClass::Batch => &self.batch_in_use,
        }
    }
}

/// A slot in use; dropping it gives the slot back.
#[derive(Debug)]
pub struct SlotPermit {
    upstream: Arc<Upstream>,
    class: WorkClass,
}

impl SlotPermit {
    /// Upstream that the slot belongs to.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.upstream.counter(self.class).fetch_sub(1, Ordering::AcqRel);
    }
}
