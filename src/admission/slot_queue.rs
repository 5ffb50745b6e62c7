use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver, Sender};
use futures::channel::oneshot;

use crate::admission::{
    AdmissionPolicy, BatchShare, FairQueue, QueueKey, QueuedRequest, Refusal, RefusalKind,
    SlotDemand,
};
use crate::routing::{RequestView, SlotPermit, SlotWatcher, Upstream, WorkClass};

/// Online requests that may wait on one host; more would hold more memory than they are worth.
const ONLINE_LIMIT: usize = 4_096;

/// Requests of this host that wait for a slot, one line for each class.
///
/// A slot that becomes free goes to the first request in order that fits; online goes before batch.
pub struct SlotQueue {
    policy: Box<dyn AdmissionPolicy>,
    gives_way: bool,
    started: Instant,
    waiting_online: AtomicUsize,
    waiting_batch: AtomicUsize,
    /// End of the pause of batch, in milliseconds after `started`.
    batch_paused_until_ms: AtomicU64,
    lines: Mutex<Lines>,
    /// Holds a notice when this host should ask for slots or give some back.
    demands: (Sender<()>, Receiver<()>),
}

#[derive(Default)]
struct Lines {
    next_ticket: u64,
    online: FairQueue,
    batch: FairQueue,
    waiting: HashMap<u64, Waiting>,
}

struct Waiting {
    class: WorkClass,
    service: String,
    model: String,
    excluded: Vec<String>,
    permit: oneshot::Sender<SlotPermit>,
}

/// A place in the queue; dropping it gives the place up.
pub struct QueuePlace {
    queue: Arc<SlotQueue>,
    class: WorkClass,
    key: QueueKey,
    permit: oneshot::Receiver<SlotPermit>,
}

impl SlotQueue {
    /// An empty queue. Without `gives_way`, batch work is never held back for online requests, as
    /// in a plain queue; measurements compare against that.
    pub fn open(policy: Box<dyn AdmissionPolicy>, gives_way: bool) -> Arc<Self> {
        Arc::new(Self {
            policy,
            gives_way,
            started: Instant::now(),
            waiting_online: AtomicUsize::new(0),
            waiting_batch: AtomicUsize::new(0),
            batch_paused_until_ms: AtomicU64::new(0),
            lines: Mutex::default(),
            demands: bounded(1),
        })
    }

    /// Notices that this host should ask for slots or give some back.
    pub fn slot_demands(&self) -> Receiver<()> {
        self.demands.1.clone()
    }

    /// Lets this host ask for slots soon.
    pub fn ask_for_slots(&self) {
        // A full queue means that a notice waits already.
        let _ = self.demands.0.try_send(());
    }

    /// Waiting online requests for each upstream, each request counted at one that fits: in
    /// `region` if there is one, and at another one in each `round`.
    pub fn spread_waiting(
        &self,
        upstreams: &[&Arc<Upstream>],
        region: &str,
        round: u64,
    ) -> Vec<u32> {
        let mut counts = vec![0; upstreams.len()];
        if self.waiting(WorkClass::Online) == 0 {
            return counts;
        }
        let lines = self.lock();
        for (ticket, waiting) in &lines.waiting {
            if waiting.class != WorkClass::Online {
                continue;
            }
            let fitting = |is_near: bool| {
                let view = waiting.view();
                let upstreams = upstreams.iter().enumerate();
                let fitting = upstreams.filter(move |(_, upstream)| {
                    (!is_near || upstream.record.region == region) && upstream.fits(&view)
                });
                fitting.map(|(index, _)| index).collect::<Vec<usize>>()
            };
            let mut places = fitting(true);
            if places.is_empty() {
                places = fitting(false);
            }
            if !places.is_empty() {
                counts[places[((ticket + round) % places.len() as u64) as usize]] += 1;
            }
        }
        counts
    }

    /// Meaning of the balance that is configured.
    pub fn share(&self) -> BatchShare {
        BatchShare::new(self.policy.batch_yield())
    }

    /// True when batch streams are cut for online requests.
    pub fn gives_way(&self) -> bool {
        self.gives_way
    }

    /// Requests of a class that wait.
    pub fn waiting(&self, class: WorkClass) -> usize {
        self.count(class).load(Ordering::Acquire)
    }

    /// True when a request of the class may not take a slot past those that wait.
    pub fn is_held(&self, class: WorkClass) -> bool {
        let waits = self.waiting(class) > 0;
        match class {
            WorkClass::Online => waits,
            WorkClass::Batch => waits || self.waiting(WorkClass::Online) > 0 || self.is_paused(),
        }
    }

    /// True while batch takes no slots after a burst.
    pub fn is_paused(&self) -> bool {
        self.pause_left() > Duration::ZERO
    }

    /// Time until batch may take slots again.
    pub fn pause_left(&self) -> Duration {
        let until = Duration::from_millis(self.batch_paused_until_ms.load(Ordering::Acquire));
        until.saturating_sub(self.started.elapsed())
    }

    /// Starts or prolongs the pause of batch, as online requests have to wait.
    pub fn pause_batch(&self) -> Duration {
        let pause = self.share().pause();
        let until_ms = (self.started.elapsed() + pause).as_millis() as u64;
        if !pause.is_zero() {
            self.batch_paused_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        }
        pause
    }

    /// Adds a request to the line of its class. The caller then offers it the slots that are free.
    pub fn enter(self: &Arc<Self>, view: &RequestView<'_>, demand: &SlotDemand<'_>) -> QueuePlace {
        let (sender, permit) = oneshot::channel();
        let deadline = demand.deadline.saturating_duration_since(self.started).as_micros() as u64;
        let weight = self.policy.weight(demand.customer);
        let mut lines = self.lock();
        lines.next_ticket += 1;
        let ticket = lines.next_ticket;
        let waiting = Waiting {
            class: view.class,
            service: view.service.to_owned(),
            model: view.model.to_owned(),
            excluded: view.excluded.to_vec(),
            permit: sender,
        };
        lines.waiting.insert(ticket, waiting);
        let (customer, cost) = (demand.customer, demand.expected_tokens);
        let request = QueuedRequest { ticket, customer, weight, deadline, cost };
        let key = lines.of(view.class).push(request);
        self.count(view.class).fetch_add(1, Ordering::AcqRel);
        QueuePlace { queue: self.clone(), class: view.class, key, permit }
    }

    /// Refuses a request that waits in vain: the line is too long, or its deadline can't be met.
    pub fn check(
        &self,
        place: &QueuePlace,
        demand: &SlotDemand<'_>,
        candidates: &[Arc<Upstream>],
    ) -> Result<(), Refusal> {
        if place.class == WorkClass::Batch {
            return Ok(());
        }
        if self.waiting(WorkClass::Online) > ONLINE_LIMIT {
            let message = format!("over {ONLINE_LIMIT} requests wait for a slot on this host");
            return Err(Refusal::not_run(RefusalKind::Overloaded, message));
        }
        let weight = self.policy.weight(demand.customer);
        let ahead = self.lock().online.ahead_of(demand.customer, weight, place.key.deadline);
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

    /// Gives the free slots of an upstream to requests that wait.
    pub fn serve(&self, upstream: &Arc<Upstream>) {
        if self.waiting(WorkClass::Online) + self.waiting(WorkClass::Batch) == 0 {
            return;
        }
        let mut unwanted = Vec::new();
        let mut lines = self.lock();
        while let Some(served) = self.serve_next(&mut lines, upstream) {
            unwanted.extend(served.err());
        }
        drop(lines);
        // Permits of requests that just left go back only now, because that takes the lock again.
        drop(unwanted);
    }

    /// Serves one request; gives the permit back as an error when the request has left.
    fn serve_next(
        &self,
        lines: &mut Lines,
        upstream: &Arc<Upstream>,
    ) -> Option<Result<(), SlotPermit>> {
        for class in [WorkClass::Online, WorkClass::Batch] {
            if class == WorkClass::Batch && self.is_paused() {
                continue;
            }
            let Some(place) = lines.first(class, upstream) else { continue };
            let Some(permit) = upstream.acquire(class) else { continue };
            lines.of(class).take(&place);
            let waiting = lines.waiting.remove(&place.ticket).expect("each place has its request");
            self.count(class).fetch_sub(1, Ordering::AcqRel);
            return Some(waiting.permit.send(permit));
        }
        None
    }

    fn leave(&self, place: &QueuePlace) {
        let mut lines = self.lock();
        if lines.waiting.remove(&place.key.ticket).is_none() {
            return;
        }
        lines.of(place.class).remove(&place.key);
        self.count(place.class).fetch_sub(1, Ordering::AcqRel);
    }

    fn count(&self, class: WorkClass) -> &AtomicUsize {
        match class {
            WorkClass::Online => &self.waiting_online,
            WorkClass::Batch => &self.waiting_batch,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().expect("lock is not poisoned")
    }
}

impl Lines {
    fn of(&mut self, class: WorkClass) -> &mut FairQueue {
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
        queue.first(|ticket| upstream.fits(&self.waiting[&ticket].view()))
    }
}

impl Waiting {
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

impl QueuePlace {
    /// Waits for a slot until `deadline`; `None` when it passed without one.
    pub async fn permit(&mut self, deadline: Instant) -> Option<SlotPermit> {
        let left = deadline.saturating_duration_since(Instant::now());
        let permit = async_std::future::timeout(left, &mut self.permit).await;
        permit.ok().and_then(Result::ok)
    }

    /// The slot, if the request has got one.
    pub fn try_permit(&mut self) -> Option<SlotPermit> {
        self.permit.try_recv().ok().flatten()
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.queue.leave(self);
    }
}

impl SlotWatcher for SlotQueue {
    fn slot_freed(&self, upstream: &Arc<Upstream>) {
        let counts = upstream.slots();
        // The slot was above the lease, so it may serve another host once its owner knows.
        if counts.in_use() >= counts.slots && u32::from(counts.slots) < upstream.record.slots {
            self.ask_for_slots();
        }
        self.serve(upstream);
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
