use std::sync::atomic::{fence, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

use async_std::channel::Sender;

use crate::admission::{AnswerTimes, SlotCell, SlotCounts};
use crate::membership::UpstreamRecord;
use crate::routing::{
    Health, Location, PreemptibleStreams, PrefixCell, RequestView, SlotWatcher, TokenLatency,
    WorkClass,
};

/// One upstream as seen by this host: its record, health, load and the slots in use.
#[derive(Debug)]
pub struct Upstream {
    /// Record that the upstream announced.
    pub record: Arc<UpstreamRecord>,
    /// Incarnation number; increases with each start of the upstream.
    pub incarnation: u64,
    /// Recent token latencies.
    pub token_latency: Arc<TokenLatency>,
    /// When it sent something for the requests of this host, and when it was silent.
    pub answer_times: Arc<AnswerTimes>,
    /// Health, which decides whether the upstream accepts requests.
    pub health: Arc<Health>,
    /// Region and availability zone.
    pub location: Location,
    /// Prompt blocks that are probably in its prefix cache.
    pub prefixes: Arc<PrefixCell>,
    watcher: Arc<dyn SlotWatcher>,
    usage: Arc<Usage>,
}

/// Slots and load of one incarnation of an upstream, kept when its record changes.
#[derive(Debug, Default)]
struct Usage {
    slots: SlotCell,
    preemptible: PreemptibleStreams,
    average_slot_us: AtomicU64,
    reported_running: AtomicU32,
    reported_waiting: AtomicU32,
    /// Requests of this host in flight when the load was last reported.
    in_use_at_report: AtomicU32,
}

impl Upstream {
    /// Creates an upstream without slots or requests in flight. `watcher` is notified of each slot
    /// that becomes free.
    pub fn new(
        record: Arc<UpstreamRecord>,
        incarnation: u64,
        watcher: Arc<dyn SlotWatcher>,
    ) -> Self {
        Self {
            location: Location::new(&record.zone, &record.region),
            record,
            incarnation,
            token_latency: Arc::default(),
            answer_times: Arc::default(),
            health: Arc::default(),
            prefixes: Arc::default(),
            watcher,
            usage: Arc::default(),
        }
    }

    /// Returns the same incarnation with a new record. Usage, health and prefixes are shared with
    /// the old value.
    pub fn with_record(&self, record: Arc<UpstreamRecord>) -> Self {
        Self {
            location: Location::new(&record.zone, &record.region),
            record,
            incarnation: self.incarnation,
            token_latency: self.token_latency.clone(),
            answer_times: self.answer_times.clone(),
            health: self.health.clone(),
            prefixes: self.prefixes.clone(),
            watcher: self.watcher.clone(),
            usage: self.usage.clone(),
        }
    }

    /// Slots in use by this host, with their limits.
    pub fn slots(&self) -> SlotCounts {
        self.usage.slots.load()
    }

    /// Number of requests of this host in flight at the upstream.
    pub fn in_use(&self) -> u32 {
        self.usage.slots.load().in_use().into()
    }

    /// Number of requests of one class of this host in flight at the upstream.
    pub fn in_use_by_class(&self, class: WorkClass) -> u32 {
        let counts = self.usage.slots.load();
        match class {
            WorkClass::Online => counts.online_in_use.into(),
            WorkClass::Batch => counts.batch_in_use.into(),
        }
    }

    /// Number of slots that this host can still acquire for a class.
    pub fn free_slots(&self, class: WorkClass) -> u32 {
        self.usage.slots.load().free(class).into()
    }

    /// Sets the number of slots that this host may use, and how many of them batch work may use.
    /// Returns the new counts.
    pub fn set_limits(self: &Arc<Self>, slots: u32, batch_slots: u32) -> SlotCounts {
        let old = self.usage.slots.load();
        let saturating_u16 = |slots: u32| u16::try_from(slots).unwrap_or(u16::MAX);
        let new = self.usage.slots.set_limits(saturating_u16(slots), saturating_u16(batch_slots));
        if new.slots > old.slots || new.batch_slots > old.batch_slots {
            self.watcher.slot_freed(self);
        }
        new
    }

    /// Returns true if the upstream has the service and model of a request and has not failed it
    /// before.
    pub fn can_serve(&self, request: &RequestView<'_>) -> bool {
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

    /// Moving average of the time that an online request occupies a slot, in microseconds; 0 before
    /// the first measurement.
    pub fn average_slot_us(&self) -> u64 {
        self.usage.average_slot_us.load(Ordering::Relaxed)
    }

    /// Acquires one slot. Returns `None` if the class has no free slot or the upstream is
    /// unavailable.
    pub fn acquire(self: &Arc<Self>, class: WorkClass) -> Option<SlotPermit> {
        if !self.health.is_available() || !self.usage.slots.acquire(class) {
            return None;
        }
        // A trial reserves the upstream first and reads the slots afterwards, so at least one of
        // the two observes the other. Pairs with the fence in `Trial::acquire`.
        fence(Ordering::SeqCst);
        if !self.health.is_available() {
            // The watcher is not notified, since no request may use the slot now.
            self.usage.slots.release(class);
            return None;
        }
        Some(self.new_permit(class))
    }

    /// Acquires one slot even if the upstream is unavailable to ordinary requests.
    pub(super) fn acquire_for_trial(self: &Arc<Self>, class: WorkClass) -> Option<SlotPermit> {
        self.usage.slots.acquire(class).then(|| self.new_permit(class))
    }

    /// Notifies the watcher that the free slots may serve waiting requests.
    pub fn offer_slots(self: &Arc<Self>) {
        self.watcher.slot_freed(self);
    }

    fn new_permit(self: &Arc<Self>, class: WorkClass) -> SlotPermit {
        SlotPermit {
            upstream: self.clone(),
            class,
            acquired_at: Instant::now(),
            preemptible_id: None,
        }
    }

    /// Batch streams that can be preempted.
    pub fn preemptible(&self) -> &PreemptibleStreams {
        &self.usage.preemptible
    }

    /// Records the total load from all hosts as reported by the upstream; reports arrive with a
    /// delay.
    pub fn record_load(&self, running: u32, waiting: u32) {
        self.usage.reported_running.store(running, Ordering::Relaxed);
        self.usage.reported_waiting.store(waiting, Ordering::Relaxed);
        self.usage.in_use_at_report.store(self.in_use(), Ordering::Relaxed);
    }

    /// Estimated number of requests of all hosts at the upstream: those of other hosts as last
    /// reported, plus the current ones of this host.
    pub fn estimated_load(&self) -> u32 {
        let (running, waiting) = self.reported_load();
        let own_at_report = self.usage.in_use_at_report.load(Ordering::Relaxed);
        self.in_use() + (running + waiting).saturating_sub(own_at_report)
    }

    /// Load that the upstream last reported: running requests and waiting requests.
    pub fn reported_load(&self) -> (u32, u32) {
        let running = self.usage.reported_running.load(Ordering::Relaxed);
        (running, self.usage.reported_waiting.load(Ordering::Relaxed))
    }
}

/// Updates an exponential moving average with a weight of one eighth for the new value. A lost
/// update between threads is harmless.
fn update_average(cell: &AtomicU64, value: u64) {
    let old = cell.load(Ordering::Relaxed);
    let new = if old == 0 { value } else { (old * 7 + value) / 8 };
    cell.store(new, Ordering::Relaxed);
}

/// An acquired slot, which is released on drop.
#[derive(Debug)]
pub struct SlotPermit {
    upstream: Arc<Upstream>,
    class: WorkClass,
    acquired_at: Instant,
    preemptible_id: Option<u64>,
}

impl SlotPermit {
    /// Upstream to which the slot belongs.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Allows online requests that wait for a slot to preempt this work by closing `stop`.
    pub fn allow_preemption(&mut self, stop: &Sender<()>) {
        self.preemptible_id = Some(self.upstream.usage.preemptible.add(stop.clone()));
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(id) = self.preemptible_id {
            self.upstream.usage.preemptible.remove(id);
        }
        if self.class == WorkClass::Online {
            update_average(
                &self.upstream.usage.average_slot_us,
                self.acquired_at.elapsed().as_micros() as u64,
            );
        }
        self.upstream.usage.slots.release(self.class);
        self.upstream.watcher.slot_freed(&self.upstream);
    }
}
