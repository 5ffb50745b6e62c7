use std::sync::atomic::{fence, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

use async_std::channel::Sender;

use crate::admission::{SlotCell, SlotCounts};
use crate::membership::UpstreamRecord;
use crate::routing::{
    CuttableStreams, Health, Pace, Place, PrefixCell, RequestView, SlotWatcher, WorkClass,
};

/// One upstream as this host sees it: its record and what was sent to it.
#[derive(Debug)]
pub struct Upstream {
    /// Record that the upstream announced.
    pub record: Arc<UpstreamRecord>,
    /// Grows with each start of the upstream.
    pub incarnation: u64,
    /// Times that it took lately.
    pub pace: Arc<Pace>,
    /// Whether it may get requests.
    pub health: Arc<Health>,
    /// Where it is.
    pub place: Place,
    /// What it probably holds in its prefix cache.
    pub prefixes: Arc<PrefixCell>,
    watcher: Arc<dyn SlotWatcher>,
    use_state: Arc<UseState>,
}

/// What was sent to one incarnation of an upstream, whatever record it announces meanwhile.
#[derive(Debug, Default)]
struct UseState {
    slots: SlotCell,
    cuttable: CuttableStreams,
    service_us: AtomicU64,
    reported_running: AtomicU32,
    reported_waiting: AtomicU32,
    /// Requests of this host in flight when the load was reported.
    in_use_at_report: AtomicU32,
}

impl Upstream {
    /// An upstream with nothing in flight and no slots yet. `watcher` learns of each slot that
    /// becomes free.
    pub fn new(
        record: Arc<UpstreamRecord>,
        incarnation: u64,
        watcher: Arc<dyn SlotWatcher>,
    ) -> Self {
        Self {
            place: Place::new(&record.zone, &record.region),
            record,
            incarnation,
            pace: Arc::default(),
            health: Arc::default(),
            prefixes: Arc::default(),
            watcher,
            use_state: Arc::default(),
        }
    }

    /// The same incarnation with a new record; what is in flight stays counted.
    pub fn with_record(&self, record: Arc<UpstreamRecord>) -> Self {
        Self {
            place: Place::new(&record.zone, &record.region),
            record,
            incarnation: self.incarnation,
            pace: self.pace.clone(),
            health: self.health.clone(),
            prefixes: self.prefixes.clone(),
            watcher: self.watcher.clone(),
            use_state: self.use_state.clone(),
        }
    }

    /// Slots in use by this host and their limits.
    pub fn slots(&self) -> SlotCounts {
        self.use_state.slots.load()
    }

    /// Requests of this host in flight at the upstream.
    pub fn in_use(&self) -> u32 {
        self.use_state.slots.load().in_use().into()
    }

    /// Requests of one class in flight at the upstream.
    pub fn in_use_by(&self, class: WorkClass) -> u32 {
        let counts = self.use_state.slots.load();
        match class {
            WorkClass::Online => counts.online_in_use.into(),
            WorkClass::Batch => counts.batch_in_use.into(),
        }
    }

    /// Slots that this host may still use for a class.
    pub fn free_slots(&self, class: WorkClass) -> u32 {
        self.use_state.slots.load().free(class).into()
    }

    /// Sets the slots that this host may use, and the part of them that batch may.
    pub fn set_limits(self: &Arc<Self>, slots: u32, batch_slots: u32) -> SlotCounts {
        let old = self.use_state.slots.load();
        let bounded = |slots: u32| u16::try_from(slots).unwrap_or(u16::MAX);
        let new = self.use_state.slots.set_limits(bounded(slots), bounded(batch_slots));
        if new.slots > old.slots || new.batch_slots > old.batch_slots {
            self.watcher.slot_freed(self);
        }
        new
    }

    /// True when the upstream can run a request and did not fail it before.
    pub fn fits(&self, request: &RequestView<'_>) -> bool {
        let record = &self.record;
        let has_model = || {
            record.models.iter().any(|model| match request.model.strip_prefix(&*model.name) {
                Some("") => true,
                Some(rest) => rest
                    .strip_prefix(':')
                    .is_some_and(|name| model.adapters.iter().any(|adapter| adapter == name)),
                None => false,
            })
        };
        (request.service.is_empty() || request.service == record.service)
            && (request.model.is_empty() || has_model())
            && !request.excluded.contains(&record.upstream_id)
    }

    /// Average time that an online request uses a slot, in microseconds; 0 before the first one.
    pub fn service_us(&self) -> u64 {
        self.use_state.service_us.load(Ordering::Relaxed)
    }

    /// Takes one slot, or `None` when the class may use no more or the upstream gets no requests
    /// now.
    pub fn acquire(self: &Arc<Self>, class: WorkClass) -> Option<SlotPermit> {
        if !self.health.takes_requests() || !self.use_state.slots.acquire(class) {
            return None;
        }
        // A trial that begins looks at the slots after it has closed the upstream, so one of the
        // two sees the other.
        fence(Ordering::SeqCst);
        if !self.health.takes_requests() {
            // Nobody is told of the free slot, as nobody may have it.
            self.use_state.slots.release(class);
            return None;
        }
        Some(self.permit(class))
    }

    /// Takes one slot whether or not the upstream gets ordinary requests.
    pub(super) fn acquire_on_trial(self: &Arc<Self>, class: WorkClass) -> Option<SlotPermit> {
        self.use_state.slots.acquire(class).then(|| self.permit(class))
    }

    /// Offers the free slots to requests that wait.
    pub fn offer_slots(self: &Arc<Self>) {
        self.watcher.slot_freed(self);
    }

    fn permit(self: &Arc<Self>, class: WorkClass) -> SlotPermit {
        SlotPermit { upstream: self.clone(), class, taken: Instant::now(), cuttable: None }
    }

    /// Batch streams that can be cut.
    pub fn cuttable(&self) -> &CuttableStreams {
        &self.use_state.cuttable
    }

    /// Notes the load of all hosts together, as the upstream reported it some time ago.
    pub fn report_load(&self, running: u32, waiting: u32) {
        self.use_state.reported_running.store(running, Ordering::Relaxed);
        self.use_state.reported_waiting.store(waiting, Ordering::Relaxed);
        self.use_state.in_use_at_report.store(self.in_use(), Ordering::Relaxed);
    }

    /// Requests of all hosts at the upstream: those of other hosts as last reported, and those of
    /// this host as they are now.
    pub fn estimated_load(&self) -> u32 {
        let (running, waiting) = self.reported_load();
        let own = self.use_state.in_use_at_report.load(Ordering::Relaxed);
        self.in_use() + (running + waiting).saturating_sub(own)
    }

    /// Load that the upstream reported last: requests running and waiting.
    pub fn reported_load(&self) -> (u32, u32) {
        let running = self.use_state.reported_running.load(Ordering::Relaxed);
        (running, self.use_state.reported_waiting.load(Ordering::Relaxed))
    }
}

/// Moves an average by an eighth towards a new value; a lost update between threads is harmless.
fn average(cell: &AtomicU64, value: u64) {
    let old = cell.load(Ordering::Relaxed);
    let new = if old == 0 { value } else { (old * 7 + value) / 8 };
    cell.store(new, Ordering::Relaxed);
}

/// A slot in use; dropping it gives the slot back.
#[derive(Debug)]
pub struct SlotPermit {
    upstream: Arc<Upstream>,
    class: WorkClass,
    taken: Instant,
    cuttable: Option<u64>,
}

impl SlotPermit {
    /// Upstream that the slot belongs to.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Lets online requests that wait for a slot cut this work by closing `stop`.
    pub fn allow_cut(&mut self, stop: &Sender<()>) {
        self.cuttable = Some(self.upstream.use_state.cuttable.add(stop.clone()));
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(id) = self.cuttable {
            self.upstream.use_state.cuttable.remove(id);
        }
        if self.class == WorkClass::Online {
            average(&self.upstream.use_state.service_us, self.taken.elapsed().as_micros() as u64);
        }
        self.upstream.use_state.slots.release(self.class);
        self.upstream.watcher.slot_freed(&self.upstream);
    }
}
