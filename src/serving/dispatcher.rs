use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;

use crate::admission::{
    CrashVerdict, CrashWatch, Refusal, RefusalKind, RequestFingerprints, RetryBudget, SlotDemand,
    SlotQueue, TrialLeases, DEFAULT_CRASH_VERDICT_MS, DEFAULT_RETRY_BUDGET_PERCENT,
};
use crate::control::unix_ms;
use crate::routing::{
    Balancer, Ejector, Fleet, HolderIndex, PromptHasher, RequestView, SlotPermit, Upstream,
    WorkClass, DEFAULT_EJECTION_LIMIT_PERCENT,
};
use crate::schema::config::Policy;
use crate::serving::{
    cache_feed, probe, AttemptFailure, EngineRequest, FailureCause, RunningAnswer,
};
use crate::telemetry::{Counters, Span};
use crate::upstream::{EngineStream, UpstreamCall, UpstreamConnector};

/// Time within which gossip distributes a verdict to all hosts.
const VERDICT_GOSSIP_TIME: Duration = Duration::from_millis(1_000);

/// Losses after which a request is convicted. After the first one it runs alone on an upstream, so the
/// second loss is its own.
const REQUEST_CONVICTION_LOSSES: usize = 2;

/// Longest time for which a batch item queues on this host before another host may run it.
const BATCH_WAIT_LIMIT: Duration = Duration::from_secs(2);

/// Dispatches requests to the upstreams that the balancer selects.
#[derive(Clone)]
pub struct Dispatcher {
    shared: Arc<Shared>,
}

pub(super) struct Shared {
    pub(super) fleet: Arc<Fleet>,
    balancer: Box<dyn Balancer>,
    hasher: Box<dyn PromptHasher>,
    pub(super) connector: Box<dyn UpstreamConnector>,
    queue: Arc<SlotQueue>,
    /// True while a task waits for the end of the batch pause.
    pause_timer_running: AtomicBool,
    counters: Counters,
    started: Instant,
    pub(super) ejector: Ejector,
    crashes: CrashWatch,
    trials: Arc<dyn TrialLeases>,
    retries: RetryBudget,
    retry_percent: AtomicU32,
}

impl Dispatcher {
    /// Creates a dispatcher for the fleet. Requests wait for a slot in `queue`; `crashes` holds the
    /// crash records that all hosts share.
    pub fn open(
        fleet: Arc<Fleet>,
        balancer: Box<dyn Balancer>,
        hasher: Box<dyn PromptHasher>,
        connector: Box<dyn UpstreamConnector>,
        queue: Arc<SlotQueue>,
        crashes: Arc<dyn TrialLeases>,
        counters: Counters,
    ) -> Self {
        let shared = Arc::new(Shared {
            fleet,
            balancer,
            hasher,
            connector,
            queue,
            pause_timer_running: AtomicBool::new(false),
            counters,
            started: Instant::now(),
            ejector: Ejector::open(),
            crashes: CrashWatch::open(crashes.clone(), REQUEST_CONVICTION_LOSSES),
            trials: crashes,
            retries: RetryBudget::default(),
            retry_percent: AtomicU32::new(DEFAULT_RETRY_BUDGET_PERCENT),
        });
        probe::spawn(&shared);
        Self { shared }
    }

    /// Starts to poll the cache events of the upstreams in `region`, which update `holders` and the
    /// views of the prefix caches.
    pub fn follow_cache_events(&self, region: &str, holders: Arc<HolderIndex>) {
        cache_feed::spawn(&self.shared, region, holders);
    }

    /// Applies the policy settings of a new configuration.
    pub fn apply_policy(&self, policy: &Policy) {
        let shared = &self.shared;
        let retry_percent = policy.retry_budget_percent.unwrap_or(DEFAULT_RETRY_BUDGET_PERCENT);
        shared.retry_percent.store(retry_percent, Ordering::Relaxed);
        let limit = policy.ejection_limit_percent.unwrap_or(DEFAULT_EJECTION_LIMIT_PERCENT);
        shared.ejector.set_limit_percent(limit);
        shared.crashes.set_verdict_ms(policy.crash_verdict_ms.unwrap_or(DEFAULT_CRASH_VERDICT_MS));
    }

    /// Upstreams that requests can be dispatched to.
    pub fn fleet(&self) -> &Fleet {
        &self.shared.fleet
    }

    /// Connector for calls to upstreams.
    pub fn connector(&self) -> &dyn UpstreamConnector {
        &*self.shared.connector
    }

    /// Detects requests that crash upstreams.
    pub fn crashes(&self) -> &CrashWatch {
        &self.shared.crashes
    }

    /// Leases on the trials of crash suspects.
    pub(super) fn trials(&self) -> &Arc<dyn TrialLeases> {
        &self.shared.trials
    }

    /// Ejects failing upstreams for a while.
    pub fn ejector(&self) -> &Ejector {
        &self.shared.ejector
    }

    /// Records a new request, which adds its share to the retry budget.
    pub(super) fn record_request(&self) {
        self.shared.retries.record_request(self.shared.retry_percent.load(Ordering::Relaxed));
    }

    /// Milliseconds since the dispatcher was opened.
    pub(super) fn now_ms(&self) -> u64 {
        self.shared.started.elapsed().as_millis() as u64
    }

    /// Withdraws one retry from the budget. Returns `false` when the budget is exhausted.
    pub(super) fn try_withdraw_retry(&self) -> bool {
        let taken = self.shared.retries.try_withdraw(self.now_ms());
        if !taken {
            self.shared.counters.count("attempt.budget_empty");
        }
        taken
    }

    /// Records a failed attempt. Ejects the upstream if it fails often, and makes the request a
    /// crash suspect if the upstream crashed with the request in flight. Returns a refusal when the
    /// request is thereby convicted of crashing upstreams; batch items never are.
    pub(super) async fn record_failure(
        &self,
        upstream: &Arc<Upstream>,
        fingerprints: &RequestFingerprints,
        class: WorkClass,
        deadline: Instant,
        failure: &AttemptFailure,
    ) -> Result<(), Refusal> {
        let shared = &self.shared;
        shared.counters.count("attempt.failed");
        if let Some(kind) = failure.upstream_failure() {
            if shared.ejector.record_failure(&shared.fleet.load(), upstream, kind) {
                shared.counters.count("upstream.ejected");
            }
        }
        // A connection can break without a crash, so probe the upstream.
        if failure.cause != FailureCause::Lost || shared.is_alive(upstream).await {
            return Ok(());
        }
        shared.counters.count("upstream.lost_under_request");
        let verdict = shared.crashes.record_loss(
            fingerprints,
            &upstream.record.upstream_id,
            upstream.incarnation,
        );
        let CrashVerdict::Convicted { expires_unix_ms, .. } = verdict else { return Ok(()) };
        if class == WorkClass::Batch {
            return Ok(());
        }
        shared.counters.count("crash.convicted");
        // If the caller sends the request again, every host must already know the verdict.
        task::sleep(VERDICT_GOSSIP_TIME.min(time_left(deadline))).await;
        Err(convicted(expires_unix_ms))
    }

    /// Metric counters.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Starts a request and waits until an upstream sends the response head.
    pub async fn start(
        &self,
        mut request: EngineRequest,
        span: &Span,
    ) -> Result<RunningAnswer, Refusal> {
        request.prefix_hashes = self.shared.hasher.prefix_hashes(&request.model, &request.body);
        RunningAnswer::start(self.clone(), request, span).await
    }

    /// Queue of the requests that wait for a slot.
    pub fn queue(&self) -> &SlotQueue {
        &self.shared.queue
    }

    /// Acquires a slot at the best upstream for the request, and queues when no slot is free.
    pub async fn acquire(
        &self,
        request: &EngineRequest,
        excluded: &[String],
    ) -> Result<SlotPermit, Refusal> {
        let mut permit = self.acquire_permit(&request.view(excluded), &request.demand()).await?;
        if let Some(stop) = &request.stop {
            permit.allow_preemption(stop);
        }
        Ok(permit)
    }

    pub(super) async fn acquire_permit(
        &self,
        view: &RequestView<'_>,
        demand: &SlotDemand<'_>,
    ) -> Result<SlotPermit, Refusal> {
        if !self.shared.queue.must_queue(view.class) {
            let snapshot = self.shared.fleet.load();
            if let Some(permit) = self.take_free_slot(view, snapshot.candidates(view)) {
                return Ok(permit);
            }
        }
        let snapshot = self.shared.fleet.load_full();
        let candidates = snapshot.candidates(view);
        if candidates.is_empty() {
            return Err(unknown_target(view));
        }
        if !candidates.iter().any(|upstream| upstream.can_serve(view)) {
            let message = "no other upstream can run the request";
            return Err(Refusal::not_run(RefusalKind::Overloaded, message));
        }
        self.wait_for_slot(view, demand, candidates).await
    }

    fn take_free_slot(
        &self,
        view: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
    ) -> Option<SlotPermit> {
        // Another thread may acquire the last slot between the choice and the acquisition.
        for _ in 0..candidates.len() {
            let choice = self.shared.balancer.choose(view, candidates, rand::random());
            if let Some(permit) = candidates[choice?].acquire(view.class) {
                self.shared.balancer.record_sent(view, permit.upstream());
                return Some(permit);
            }
        }
        None
    }

    async fn wait_for_slot(
        &self,
        view: &RequestView<'_>,
        demand: &SlotDemand<'_>,
        candidates: &[Arc<Upstream>],
    ) -> Result<SlotPermit, Refusal> {
        let queue = &self.shared.queue;
        let mut place = queue.enqueue(view, demand);
        // A slot may have become free before the request was enqueued.
        candidates.iter().for_each(|upstream| queue.assign_slots(upstream));
        if let Some(permit) = place.try_permit() {
            return Ok(permit);
        }
        queue.check_wait(&place, demand, candidates)?;
        let entered = Instant::now();
        let latest = match view.class {
            WorkClass::Online => {
                self.shared.counters.count("admission.queued");
                self.cut_batch(view, candidates);
                demand.deadline.checked_sub(demand.run_time(candidates)).unwrap_or(entered)
            }
            WorkClass::Batch => demand.deadline.min(entered + BATCH_WAIT_LIMIT),
        };
        if let Some(permit) = place.permit(latest).await {
            self.shared.balancer.record_sent(view, permit.upstream());
            let wait_us = entered.elapsed().as_micros() as u64;
            if view.class == WorkClass::Online {
                self.shared.counters.time_us("admission.wait", wait_us);
            }
            return Ok(permit);
        }
        Err(match view.class {
            WorkClass::Online => {
                let message = "no slot became free early enough for the deadline";
                Refusal::not_run(RefusalKind::DeadlineExceeded, message)
            }
            WorkClass::Batch => {
                let message = "no slot became idle";
                Refusal::not_run(RefusalKind::Overloaded, message)
            }
        })
    }

    /// Preempts one batch stream in favour of a queued online request, at the suitable upstream
    /// with the most preemptible batch streams.
    fn cut_batch(&self, view: &RequestView<'_>, candidates: &[Arc<Upstream>]) {
        let queue = &self.shared.queue;
        if !queue.preempts_batch() {
            return;
        }
        let eligible = candidates.iter().filter(|upstream| upstream.can_serve(view));
        let target = eligible.max_by_key(|upstream| upstream.preemptible().len());
        match target.is_some_and(|upstream| upstream.preemptible().preempt_newest()) {
            true => self.shared.counters.count("batch.cut"),
            // Other hosts may have idle slots or batch streams.
            false => queue.request_report(),
        }
        self.pause_batch();
    }

    /// Keeps batch work from acquiring slots for a while, and assigns free slots again afterwards.
    fn pause_batch(&self) {
        let shared = &self.shared;
        if shared.queue.pause_batch().is_zero()
            || shared.pause_timer_running.swap(true, Ordering::AcqRel)
        {
            return;
        }
        let shared = shared.clone();
        task::spawn(async move {
            loop {
                let left = shared.queue.batch_pause_left();
                if left.is_zero() {
                    break;
                }
                task::sleep(left).await;
            }
            shared.pause_timer_running.store(false, Ordering::Release);
            let snapshot = shared.fleet.load_full();
            snapshot.upstreams().for_each(|upstream| shared.queue.assign_slots(upstream));
        });
    }

    /// Opens a stream at the upstream of `permit`, starting at chunk `position` of the answer.
    /// Waits at most `timeout` for the response head.
    pub async fn open_stream(
        &self,
        request: &EngineRequest,
        permit: &SlotPermit,
        position: u64,
        timeout: Duration,
    ) -> Result<EngineStream, AttemptFailure> {
        let position = position.to_string();
        let headers = [
            ("content-type", "application/json"),
            ("x-request-id", request.request_id.as_str()),
            ("traceparent", request.traceparent.as_str()),
            ("x-resume-position", position.as_str()),
        ];
        let headers = if position == "0" { &headers[..3] } else { &headers[..] };
        let call = UpstreamCall {
            address: &permit.upstream().record.address,
            method: "POST",
            path: &request.path,
            headers,
            body: &request.body,
            repeatable: request.repeatable,
            timeout,
        };
        let response = self.shared.connector.open(call).await?;
        if response.status != 200 {
            return Err(AttemptFailure::status(response.status));
        }
        Ok(EngineStream::new(response))
    }
}

impl Shared {
    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }
}

/// Creates the refusal of a request that is known to crash upstreams.
pub(super) fn convicted(expires_unix_ms: u64) -> Refusal {
    let left_ms = expires_unix_ms.saturating_sub(unix_ms());
    let message = format!(
        "two upstreams died with this request in flight; it is refused for another {left_ms} ms"
    );
    Refusal::not_run(RefusalKind::CrashesUpstreams, message)
}

/// Returns the time until `deadline`, or zero if it has passed.
pub(super) fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

pub(super) fn unknown_target(request: &RequestView<'_>) -> Refusal {
    if request.service.is_empty() {
        let message = format!("no upstream serves model `{}`", request.model);
        return Refusal::not_run(RefusalKind::UnknownModel, message);
    }
    let message = format!("no upstream belongs to service `{}`", request.service);
    Refusal::not_run(RefusalKind::UnknownService, message)
}
