use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver, Sender};
use futures::channel::oneshot;

use crate::admission::{
    AdmissionPolicy, BatchPolicy, FairQueue, QueueKey, QueuedRequest, Refusal, RefusalKind,
    SlotDemand,
};
use crate::routing::{RequestView, SlotPermit, SlotWatcher, Upstream, WorkClass};

/// Limit of online requests that wait on one host; more would not be worth their memory.
const ONLINE_LIMIT: usize = 4_096;

/// Requests of this host that wait for a slot, in one fair queue per class.
///
/// A slot that becomes free goes to the first request in queue order that the upstream can run;
/// online requests go before batch.
pub struct SlotQueue {
    policy: Box<dyn AdmissionPolicy>,
    preempts_batch: bool,
    started: Instant,
    waiting_online: AtomicUsize,
    waiting_batch: AtomicUsize,
    /// End of the pause of batch, in milliseconds after `started`.
    batch_paused_until_ms: AtomicU64,
    queues: Mutex<ClassQueues>,
    /// Signals that this host should report its slots at once, to gain or release some.
    report_signal: (Sender<()>, Receiver<()>),
}

#[derive(Default)]
struct ClassQueues {
    next_ticket: u64,
    online: FairQueue,
    batch: FairQueue,
    waiting: HashMap<u64, WaitingRequest>,
}

struct WaitingRequest {
    class: WorkClass,
    service: String,
    model: String,
    excluded: Vec<String>,
    permit: oneshot::Sender<SlotPermit>,
}

/// A queued request; dropping the entry removes the request from the queue.
pub struct QueueEntry {
    queue: Arc<SlotQueue>,
    class: WorkClass,
    key: QueueKey,
    permit: oneshot::Receiver<SlotPermit>,
}

impl SlotQueue {
    /// Opens an empty queue. Without `preempts_batch`, batch is neither cut nor paused for online
    /// requests; benchmarks use that as their baseline.
    pub fn open(policy: Box<dyn AdmissionPolicy>, preempts_batch: bool) -> Arc<Self> {
        Arc::new(Self {
            policy,
            preempts_batch,
            started: Instant::now(),
            waiting_online: AtomicUsize::new(0),
            waiting_batch: AtomicUsize::new(0),
            batch_paused_until_ms: AtomicU64::new(0),
            queues: Mutex::default(),
            report_signal: bounded(1),
        })
    }

    /// Receives a message when this host should report its slots at once.
    pub fn report_requests(&self) -> Receiver<()> {
        self.report_signal.1.clone()
    }

    /// Requests an immediate report of this host's slots.
    pub fn request_report(&self) {
        // A full channel means that a request is already pending.
        let _ = self.report_signal.0.try_send(());
    }

    /// Number of waiting online requests for each upstream. Each request is counted at one upstream
    /// that can run it, in `region` if there is one, and at another one in each `round`.
    pub fn waiting_by_upstream(
        &self,
        upstreams: &[&Arc<Upstream>],
        region: &str,
        round: u64,
    ) -> Vec<u32> {
        let mut counts = vec![0; upstreams.len()];
        if self.waiting(WorkClass::Online) == 0 {
            return counts;
        }
        let queues = self.lock();
        for (ticket, waiting) in &queues.waiting {
            if waiting.class != WorkClass::Online {
                continue;
            }
            let find_fitting = |same_region_only: bool| {
                let view = waiting.view();
                let upstreams = upstreams.iter().enumerate();
                let fitting = upstreams.filter(move |(_, upstream)| {
                    (!same_region_only || upstream.record.region == region)
                        && upstream.can_serve(&view)
                });
                fitting.map(|(index, _)| index).collect::<Vec<usize>>()
            };
            let mut indices = find_fitting(true);
            if indices.is_empty() {
                indices = find_fitting(false);
            }
            if !indices.is_empty() {
                counts[indices[((ticket + round) % indices.len() as u64) as usize]] += 1;
            }
        }
        counts
    }

    /// Limits on batch work from the configuration in force.
    pub fn batch_policy(&self) -> BatchPolicy {
        BatchPolicy::new(self.policy.batch_yield())
    }

    /// True when batch streams are cut for online requests.
    pub fn preempts_batch(&self) -> bool {
        self.preempts_batch
    }

    /// Number of waiting requests of a class.
    pub fn waiting(&self, class: WorkClass) -> usize {
        self.waiting_counter(class).load(Ordering::Acquire)
    }

    /// True when a new request of the class must queue, even if a slot is free.
    pub fn must_queue(&self, class: WorkClass) -> bool {
        let has_waiting = self.waiting(class) > 0;
        match class {
            WorkClass::Online => has_waiting,
            WorkClass::Batch => {
                has_waiting || self.waiting(WorkClass::Online) > 0 || self.is_batch_paused()
            }
        }
    }

    /// True while batch may acquire no slots after a burst of online requests.
    pub fn is_batch_paused(&self) -> bool {
        self.batch_pause_left() > Duration::ZERO
    }

    /// Time until batch may acquire slots again.
    pub fn batch_pause_left(&self) -> Duration {
        let until = Duration::from_millis(self.batch_paused_until_ms.load(Ordering::Acquire));
        until.saturating_sub(self.started.elapsed())
    }

    /// Starts or extends the pause of batch because online requests have to wait, and returns its
    /// length.
    pub fn pause_batch(&self) -> Duration {
        let pause = self.batch_policy().pause();
        let until_ms = (self.started.elapsed() + pause).as_millis() as u64;
        if !pause.is_zero() {
            self.batch_paused_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        }
        pause
    }

    /// Adds a request to the queue of its class. The caller then assigns it the slots that are
    /// free.
    pub fn enqueue(
        self: &Arc<Self>,
        view: &RequestView<'_>,
        demand: &SlotDemand<'_>,
    ) -> QueueEntry {
        let (sender, permit) = oneshot::channel();
        let deadline = demand.deadline.saturating_duration_since(self.started).as_micros() as u64;
        let weight = self.policy.weight(demand.customer);
        let mut queues = self.lock();
        queues.next_ticket += 1;
        let ticket = queues.next_ticket;
        let waiting = WaitingRequest {
            class: view.class,
            service: view.service.to_owned(),
            model: view.model.to_owned(),
            excluded: view.excluded.to_vec(),
            permit: sender,
        };
        queues.waiting.insert(ticket, waiting);
        let (customer, cost) = (demand.customer, demand.expected_tokens);
        let request = QueuedRequest { ticket, customer, weight, deadline, cost };
        let key = queues.queue_mut(view.class).push(request);
        self.waiting_counter(view.class).fetch_add(1, Ordering::AcqRel);
        QueueEntry { queue: self.clone(), class: view.class, key, permit }
    }

    /// Refuses a queued online request when the queue is too long or its deadline can't be met.
    pub fn check_wait(
        &self,
        entry: &QueueEntry,
        demand: &SlotDemand<'_>,
        candidates: &[Arc<Upstream>],
    ) -> Result<(), Refusal> {
        if entry.class == WorkClass::Batch {
            return Ok(());
        }
        if self.waiting(WorkClass::Online) > ONLINE_LIMIT {
            let message = format!("over {ONLINE_LIMIT} requests wait for a slot on this host");
            return Err(Refusal::not_run(RefusalKind::Overloaded, message));
        }
        let weight = self.policy.weight(demand.customer);
        let ahead = self.lock().online.ahead_of(demand.customer, weight, entry.key.deadline);
        let wait = demand.expected_wait(ahead, candidates);
        let needed = wait + demand.run_time(candidates);
        let left = demand.deadline.saturating_duration_since(Instant::now());
        if needed <= left {
            return Ok(());
        }
        let message = format!(
            "the answer would take about {} ms, {} ms of them in the queue, and {} ms are left",
            needed.as_millis(),
            wait.as_millis(),
            left.as_millis()
        );
        Err(Refusal::not_run(RefusalKind::DeadlineExceeded, message))
    }

    /// Assigns the free slots of an upstream to waiting requests.
    pub fn assign_slots(&self, upstream: &Arc<Upstream>) {
        if self.waiting(WorkClass::Online) + self.waiting(WorkClass::Batch) == 0 {
            return;
        }
        let mut undelivered = Vec::new();
        let mut queues = self.lock();
        while let Some(assigned) = self.assign_next(&mut queues, upstream) {
            undelivered.extend(assigned.err());
        }
        drop(queues);
        // Dropping a permit that could not be delivered locks the queues again, so they are
        // unlocked first.
        drop(undelivered);
    }

    /// Assigns a slot to the next request; returns the permit as an error when the request was
    /// cancelled.
    fn assign_next(
        &self,
        queues: &mut ClassQueues,
        upstream: &Arc<Upstream>,
    ) -> Option<Result<(), SlotPermit>> {
        for class in [WorkClass::Online, WorkClass::Batch] {
            if class == WorkClass::Batch && self.is_batch_paused() {
                continue;
            }
            let Some(key) = queues.first(class, upstream) else { continue };
            let Some(permit) = upstream.acquire(class) else { continue };
            queues.queue_mut(class).dequeue(&key);
            let waiting =
                queues.waiting.remove(&key.ticket).expect("each queued key has a waiting request");
            self.waiting_counter(class).fetch_sub(1, Ordering::AcqRel);
            return Some(waiting.permit.send(permit));
        }
        None
    }

    fn remove(&self, entry: &QueueEntry) {
        let mut queues = self.lock();
        if queues.waiting.remove(&entry.key.ticket).is_none() {
            return;
        }
        queues.queue_mut(entry.class).remove(&entry.key);
        self.waiting_counter(entry.class).fetch_sub(1, Ordering::AcqRel);
    }

    fn waiting_counter(&self, class: WorkClass) -> &AtomicUsize {
        match class {
            WorkClass::Online => &self.waiting_online,
            WorkClass::Batch => &self.waiting_batch,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ClassQueues> {
        self.queues.lock().expect("lock is not poisoned")
    }
}

impl ClassQueues {
    fn queue_mut(&mut self, class: WorkClass) -> &mut FairQueue {
        match class {
            WorkClass::Online => &mut self.online,
            WorkClass::Batch => &mut self.batch,
        }
    }

    /// The first request of a class that an upstream can run.
    fn first(&self, class: WorkClass, upstream: &Upstream) -> Option<QueueKey> {
        let queue = match class {
            WorkClass::Online => &self.online,
            WorkClass::Batch => &self.batch,
        };
        queue.first(|ticket| upstream.can_serve(&self.waiting[&ticket].view()))
    }
}

impl WaitingRequest {
    fn view(&self) -> RequestView<'_> {
        RequestView {
            service: &self.service,
            model: &self.model,
            class: self.class,
            prefix_hashes: &[],
            excluded: &self.excluded,
        }
    }
}

impl QueueEntry {
    /// Waits for a slot until `deadline`; `None` when none was assigned in time.
    pub async fn permit(&mut self, deadline: Instant) -> Option<SlotPermit> {
        let left = deadline.saturating_duration_since(Instant::now());
        let permit = async_std::future::timeout(left, &mut self.permit).await;
        permit.ok().and_then(Result::ok)
    }

    /// The permit, if a slot has been assigned.
    pub fn try_permit(&mut self) -> Option<SlotPermit> {
        self.permit.try_recv().ok().flatten()
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.queue.remove(self);
    }
}

impl SlotWatcher for SlotQueue {
    fn slot_freed(&self, upstream: &Arc<Upstream>) {
        let counts = upstream.slots();
        // The slot exceeds the lease, so another host may use it once its owner receives a report.
        if counts.in_use() >= counts.slots && u32::from(counts.slots) < upstream.record.slots {
            self.request_report();
        }
        self.assign_slots(upstream);
    }
}

impl fmt::Debug for SlotQueue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SlotQueue")
            .field("waiting_online", &self.waiting_online)
            .field("waiting_batch", &self.waiting_batch)
            .finish_non_exhaustive()
    }
}
