use std::collections::HashMap;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, unbounded, Receiver, Sender};
use async_std::task::{self, JoinHandle};
use futures::future::{select, Either};
use futures::{pin_mut, FutureExt};

use crate::admission::{Fingerprint, Refusal, RefusalKind, RequestFingerprints, RunOutcome};
use crate::batch::ItemInput;
use crate::configuration::ConfigurationWatch;
use crate::control::unix_ms;
use crate::routing::WorkClass;
use crate::schema::state::{
    command, outcome, Command, FinishItems, ItemAttempt, ItemEnd, ItemFinish, LeaseItems,
    LeasedItem, RenewItems,
};
use crate::serving::{Answer, AnswerFormat, Dispatcher, EngineRequest, PlainCall};
use crate::state::{StateClient, StateError};
use crate::telemetry::{Counters, Tracer};

/// Delay before the next attempt when no item could be leased or no slot was idle.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Interval between lease renewals, within which the items of a cancelled job are stopped.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Duration of an item lease without renewal.
const LEASE_MS: u32 = 10_000;
/// Number of batch slots for which the runner leases one item beyond the idle slots. At this ratio
/// items of 300 ms end at about the rate at which a commit of 10 ms in the other region replaces
/// them.
const PREFETCH_DIVISOR: u32 = 8;
/// Pause before an item that was refused or lost its upstream is returned to its job. Returned items
/// are leased first, so without it an item that no upstream can run is leased in a fast loop.
const RETURN_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a report is repeated. A report that no command can carry must not hold up those
/// behind it for ever; without a leader, the leases of its items expire long before.
const REPORT_LIMIT: Duration = Duration::from_secs(60);
/// Pause before a report is repeated.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait in each step of closing a runner.
const CLOSE_STEP_LIMIT: Duration = Duration::from_secs(2);
/// Result body of an item whose last attempt ended in a panic.
const PANIC_REASON: &[u8] = b"the last attempt ended with an internal error of the host";
/// Maximum number of items in one command.
const MAX_COMMAND_ITEMS: usize = 128;
/// Maximum size of the results in one command with several. A frame between hosts holds 16 MiB.
const MAX_COMMAND_BYTES: usize = 4 << 20;

/// Identity and limits of a runner.
#[derive(Clone, Debug)]
pub struct BatchOptions {
    /// Id of the host, which holds the item leases.
    pub host_id: String,
    /// Incarnation number of the host; increases with each start.
    pub incarnation: u64,
    /// Maximum number of items in flight.
    pub in_flight_limit: u32,
}

/// Leases items of batch jobs, runs them on idle slots and reports their results.
pub struct BatchRunner {
    shared: Arc<Shared>,
    leasing: JoinHandle<()>,
    renewing: JoinHandle<()>,
    reporting: JoinHandle<()>,
}

struct Shared {
    options: BatchOptions,
    dispatcher: Dispatcher,
    state: Arc<dyn StateClient>,
    configuration: ConfigurationWatch,
    counters: Counters,
    tracer: Tracer,
    /// Items until their reports are taken, by attempt: a host may lease an item again while an
    /// attempt with a lost lease still runs there.
    running: Mutex<HashMap<ItemAttempt, RunningItem>>,
    finished: Sender<ItemFinish>,
    stopping: AtomicBool,
    /// Channel of capacity 1 that signals the end of an item.
    item_ended: (Sender<()>, Receiver<()>),
}

struct RunningItem {
    /// Closing this channel stops the item.
    stop: Sender<()>,
}

impl BatchRunner {
    /// Spawns the tasks that lease items, renew leases and report results.
    pub fn spawn(
        options: BatchOptions,
        dispatcher: Dispatcher,
        state: Arc<dyn StateClient>,
        configuration: ConfigurationWatch,
        counters: Counters,
        tracer: Tracer,
    ) -> Self {
        let (finished, results) = unbounded();
        let shared = Arc::new(Shared {
            options,
            dispatcher,
            state,
            configuration,
            counters,
            tracer,
            running: Mutex::default(),
            finished,
            stopping: AtomicBool::new(false),
            item_ended: bounded(1),
        });
        let leasing = task::spawn(lease_items(shared.clone()));
        let renewing = task::spawn(renew_leases(shared.clone()));
        let reporting = task::spawn(report_results(shared.clone(), results));
        Self { shared, leasing, renewing, reporting }
    }

    /// Number of items in flight: running, or with a report that is not yet taken.
    pub fn running(&self) -> usize {
        self.shared.running().len()
    }

    /// Stops leasing items and returns the running ones as yielded, with those of a lease whose
    /// reply is on its way. Waits up to 2 s for them to stop and be reported, and up to 2 s more for
    /// the reports.
    pub async fn close(self) {
        let Self { shared, leasing, renewing, reporting } = self;
        shared.stopping.store(true, Ordering::Release);
        shared.stop_items();
        let started = Instant::now();
        end_within(CLOSE_STEP_LIMIT, leasing).await;
        // The leasing task may have started items after the others were stopped.
        shared.stop_items();
        while !shared.running().is_empty() && started.elapsed() < CLOSE_STEP_LIMIT {
            task::sleep(Duration::from_millis(20)).await;
        }
        shared.finished.close();
        end_within(CLOSE_STEP_LIMIT, reporting).await;
        renewing.cancel().await;
    }
}

/// Waits until a task has ended, and cancels it after `limit`.
async fn end_within(limit: Duration, mut task: JoinHandle<()>) {
    if async_std::future::timeout(limit, &mut task).await.is_err() {
        task.cancel().await;
    }
}

impl Shared {
    fn running(&self) -> std::sync::MutexGuard<'_, HashMap<ItemAttempt, RunningItem>> {
        self.running.lock().expect("lock is not poisoned")
    }

    /// Stops all running items, which are then returned as yielded.
    fn stop_items(&self) {
        for item in self.running().values() {
            item.stop.close();
        }
    }

    /// Number of items to lease: one for each idle slot, plus a few that are queued for the next
    /// free slots so that no slot is idle while further items are leased.
    fn lease_capacity(&self) -> u32 {
        if self.dispatcher.queue().is_batch_paused() {
            return 0;
        }
        let in_flight = self.running().len() as u32;
        let waiting = self.dispatcher.queue().waiting(WorkClass::Batch) as u32;
        let fleet = self.dispatcher.fleet().load();
        let (mut free_slots, mut total_slots) = (0, 0);
        for upstream in fleet.upstreams() {
            free_slots += upstream.free_slots(WorkClass::Batch);
            total_slots += u32::from(upstream.slots().batch_slots);
        }
        let target = (free_slots + total_slots.div_ceil(PREFETCH_DIVISOR)).saturating_sub(waiting);
        target.min(self.options.in_flight_limit.saturating_sub(in_flight))
    }

    /// Services with upstreams, and the empty one, whose items run by their model. The state leases
    /// items of these only, so that others cost no leases and returns.
    fn services_with_upstreams(&self) -> Vec<String> {
        let fleet = self.dispatcher.fleet().load();
        let named = fleet.services().map(|(name, _)| name.to_owned());
        named.chain([String::new()]).collect()
    }

    /// Waits until an item has ended, up to [`IDLE_PAUSE`].
    async fn wait_for_capacity(&self) {
        let _ = async_std::future::timeout(IDLE_PAUSE, self.item_ended.1.recv()).await;
    }

    /// Signals that an item has freed its slot or its place among the items in flight.
    fn signal_item_ended(&self) {
        // If the channel is full, the leasing task is already due to check for capacity.
        let _ = self.item_ended.0.try_send(());
    }

    /// Creates a command with an id of its own.
    fn command(&self, command: command::Command) -> Command {
        let command_id = format!("{}-{:x}", self.options.host_id, rand::random::<u128>());
        Command { command_id, proposed_at_unix_ms: 0, command: Some(command) }
    }

    async fn submit(&self, command: Command) -> Result<Option<outcome::Outcome>, StateError> {
        let submitted = self.state.submit(command).await;
        if submitted.is_err() {
            self.counters.count("batch.command_failed");
        }
        Ok(submitted?.outcome)
    }

    /// Submits a lease, again while its outcome is unknown: if it took effect, its items wait for
    /// this host until their leases expire.
    async fn lease(&self, lease: LeaseItems) -> Result<Option<outcome::Outcome>, StateError> {
        let command = self.command(command::Command::LeaseItems(lease));
        let started = Instant::now();
        loop {
            let submitted = self.submit(command.clone()).await;
            let is_unknown = matches!(submitted, Err(StateError::Unknown(_)));
            if !is_unknown || started.elapsed() >= Duration::from_millis(LEASE_MS.into()) {
                return submitted;
            }
            self.counters.count("batch.lease_repeated");
            task::sleep(IDLE_PAUSE).await;
        }
    }

    /// Yields an item: returns it to its job with the part of its answer received so far.
    fn yield_item(&self, item: &LeasedItem, answer: &Answer) {
        self.counters.count("batch.item_yielded");
        self.report(item.attempt.clone(), ItemEnd::Yielded, 0, answer.to_progress());
    }

    /// Queues the result of an item for the next report.
    fn report(&self, attempt: Option<ItemAttempt>, end: ItemEnd, status: u32, body: Vec<u8>) {
        let finish = ItemFinish { attempt, end: end.into(), status, body: body.into() };
        let _ = self.finished.try_send(finish);
    }
}

/// Leases and starts items while slots are idle.
async fn lease_items(shared: Arc<Shared>) {
    while !shared.stopping.load(Ordering::Acquire) {
        let capacity = shared.lease_capacity();
        if capacity == 0 || !shared.configuration.is_confirmed() {
            shared.wait_for_capacity().await;
            continue;
        }
        let lease = LeaseItems {
            holder: shared.options.host_id.clone(),
            holder_incarnation: shared.options.incarnation,
            max_items: capacity.min(MAX_COMMAND_ITEMS as u32),
            lease_ms: LEASE_MS,
            services: shared.services_with_upstreams(),
        };
        let outcome = shared.lease(lease).await;
        let Ok(Some(outcome::Outcome::ItemsLeased(leased))) = outcome else {
            task::sleep(IDLE_PAUSE).await;
            continue;
        };
        for attempt in leased.omitted {
            shared.report(Some(attempt), ItemEnd::Yielded, 0, Vec::new());
        }
        if leased.items.is_empty() {
            task::sleep(IDLE_PAUSE).await;
            continue;
        }
        for item in leased.items {
            if shared.stopping.load(Ordering::Acquire) {
                shared.report(item.attempt, ItemEnd::Yielded, 0, Vec::new());
                continue;
            }
            start_item(&shared, item);
        }
    }
}

fn start_item(shared: &Arc<Shared>, item: LeasedItem) {
    let Some(attempt) = item.attempt.clone() else { return };
    let (stop, stopped) = bounded(1);
    shared.running().insert(attempt.clone(), RunningItem { stop: stop.clone() });
    shared.counters.count("batch.item_started");
    let shared = shared.clone();
    task::spawn(async move {
        let run = AssertUnwindSafe(run_item(&shared, &item, stop, stopped)).catch_unwind();
        // Without a report, the lease would be renewed until this host stops.
        if run.await.is_err() {
            let ItemAttempt { job_id, item: index, attempt: number } = &attempt;
            log::error!("attempt {number} of item {index} of job {job_id} panicked");
            shared.counters.count("batch.item_panicked");
            shared.report(Some(attempt), ItemEnd::AttemptFailed, 0, PANIC_REASON.to_vec());
        }
        shared.signal_item_ended();
    });
}

/// Runs one attempt of an item and queues its result.
async fn run_item(shared: &Shared, item: &LeasedItem, stop: Sender<()>, stopped: Receiver<()>) {
    let input = match ItemInput::try_from(&*item.body) {
        Ok(input) => input,
        Err(reason) => {
            return shared.report(item.attempt.clone(), ItemEnd::Failed, 400, reason.into_bytes())
        }
    };
    let mut answer = Answer::from_progress(&item.progress);
    let result = {
        let work = async {
            match AnswerFormat::of_path(&item.endpoint) {
                Some(format) => run_engine(shared, item, input, format, stop, &mut answer).await,
                None => run_plain(shared, item, input).await,
            }
        };
        pin_mut!(work);
        let stop = stopped.recv();
        pin_mut!(stop);
        match select(work, stop).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    match result {
        Some(Ok((status, body))) => {
            shared.report(item.attempt.clone(), ItemEnd::Succeeded, status.into(), body)
        }
        Some(Err(refusal)) if item_end(&refusal) == ItemEnd::Yielded => {
            if matches!(refusal.kind, RefusalKind::UnknownModel | RefusalKind::UnknownService) {
                shared.counters.count("batch.item_without_upstream");
            }
            task::sleep(RETURN_PAUSE).await;
            shared.yield_item(item, &answer)
        }
        Some(Err(refusal)) => {
            shared.report(
                item.attempt.clone(),
                item_end(&refusal),
                0,
                refusal.to_string().into_bytes(),
            );
        }
        None => shared.yield_item(item, &answer),
    }
}

/// Maps a refusal to the end of an item: a final failure, a failed attempt, or a yield if nothing
/// was run.
fn item_end(refusal: &Refusal) -> ItemEnd {
    match (refusal.kind, refusal.outcome) {
        (RefusalKind::InvalidRequest, _) => ItemEnd::Failed,
        // No answer of an upstream speaks against the item, whatever ended there.
        (RefusalKind::UpstreamLost, _) | (_, RunOutcome::NotRun) => ItemEnd::Yielded,
        _ => ItemEnd::AttemptFailed,
    }
}

async fn run_engine(
    shared: &Shared,
    item: &LeasedItem,
    input: ItemInput,
    format: AnswerFormat,
    stop: Sender<()>,
    answer: &mut Answer,
) -> Result<(u16, Vec<u8>), Refusal> {
    let attempt = item.attempt.as_ref().expect("checked when the item was started");
    let mut span = shared.tracer.start("batch_item", None);
    span.set_text("job_id", &attempt.job_id);
    span.set_number("item", attempt.item.into());
    let model = EngineRequest::model_of(&input.body)?.to_owned();
    let request_id = format!("{}-{}-{}", attempt.job_id, attempt.item, attempt.attempt);
    let expected_tokens = EngineRequest::expected_tokens_of(&input.body);
    let (body, fingerprints) = EngineRequest::streamed_body(input.body);
    let request = EngineRequest {
        request_id: request_id.clone(),
        service: item.service.clone(),
        model: model.clone(),
        path: item.endpoint.clone(),
        expected_tokens,
        body,
        fingerprints,
        prefix_hashes: Vec::new(),
        class: WorkClass::Batch,
        repeatable: true,
        deadline: deadline(item),
        traceparent: String::new(),
        customer: item.customer.clone(),
        first_position: answer.position,
        stop: Some(stop),
    };
    if answer.position > 0 {
        shared.counters.count("batch.item_resumed");
    }
    let mut running = shared.dispatcher.start(request, &span).await?;
    while let Some(chunk) = running.next(&span).await? {
        answer.push(&chunk);
    }
    let body = format.answer_body(&request_id, &model, answer);
    Ok((200, body.to_string().into_bytes()))
}

async fn run_plain(
    shared: &Shared,
    item: &LeasedItem,
    input: ItemInput,
) -> Result<(u16, Vec<u8>), Refusal> {
    let attempt = item.attempt.as_ref().expect("checked when the item was started");
    let span = shared.tracer.start("batch_item", None);
    let body = input.body.to_string().into_bytes();
    let request_id = format!("{}-{}-{}", attempt.job_id, attempt.item, attempt.attempt);
    let content = [item.service.as_bytes(), item.endpoint.as_bytes(), &body];
    let fingerprints = RequestFingerprints::of_request(Fingerprint::of(&content));
    let call = PlainCall {
        request_id: &request_id,
        customer: &item.customer,
        service: &item.service,
        method: "POST",
        path: &item.endpoint,
        content_type: "application/json",
        body: &body,
        fingerprints: &fingerprints,
        repeatable: true,
        class: WorkClass::Batch,
        deadline: deadline(item),
    };
    let answer = shared.dispatcher.call_plain(&call, &span).await?;
    Ok((answer.status, answer.body))
}

/// Deadline of an item on the local clock, at least 60 s from now.
fn deadline(item: &LeasedItem) -> Instant {
    let remaining_ms = item.deadline_unix_ms.saturating_sub(unix_ms()).max(60_000);
    Instant::now() + Duration::from_millis(remaining_ms)
}

/// Renews the leases of the items in flight, and stops the items whose lease was lost.
async fn renew_leases(shared: Arc<Shared>) {
    loop {
        task::sleep(RENEW_INTERVAL).await;
        let items: Vec<ItemAttempt> = shared.running().keys().cloned().collect();
        if items.is_empty() {
            continue;
        }
        let renew = RenewItems {
            holder: shared.options.host_id.clone(),
            holder_incarnation: shared.options.incarnation,
            lease_ms: LEASE_MS,
            items,
        };
        let command = shared.command(command::Command::RenewItems(renew));
        let renewed = shared.submit(command).await;
        let Ok(Some(outcome::Outcome::ItemsRenewed(renewed))) = renewed else { continue };
        for lost in renewed.lost {
            shared.counters.count("batch.lease_lost");
            if let Some(item) = shared.running().get(&lost) {
                item.stop.close();
            }
        }
    }
}

/// Reports the results of items, several per command.
async fn report_results(shared: Arc<Shared>, results: Receiver<ItemFinish>) {
    let mut next = None;
    loop {
        let first = match next.take() {
            Some(first) => first,
            None => match results.recv().await {
                Ok(first) => first,
                Err(_) => return,
            },
        };
        let (items, rest) = take_ready(first, &results);
        next = rest;
        report_items(&shared, items).await;
    }
}

/// Reports results until the control hosts take them or [`REPORT_LIMIT`] has passed.
async fn report_items(shared: &Shared, items: Vec<ItemFinish>) {
    let attempts: Vec<_> = items.iter().filter_map(|item| item.attempt.clone()).collect();
    let finish = FinishItems { holder: shared.options.host_id.clone(), items };
    let command = shared.command(command::Command::FinishItems(finish));
    let started = Instant::now();
    // The command keeps its id, so a report that took effect without a reply does so only once.
    let mut taken = shared.submit(command.clone()).await.is_ok();
    while !taken && started.elapsed() < REPORT_LIMIT {
        shared.counters.count("batch.report_repeated");
        task::sleep(REPORT_PAUSE).await;
        taken = shared.submit(command.clone()).await.is_ok();
    }
    match taken {
        true => shared.counters.add("batch.item_ended", attempts.len() as u64),
        // The items run again after their leases expire.
        false => shared.counters.add("batch.report_dropped", attempts.len() as u64),
    }
    let mut running = shared.running();
    for attempt in &attempts {
        running.remove(attempt);
    }
    drop(running);
    shared.signal_item_ended();
}

/// Takes the results that are ready, up to the limits of one command. Also returns the result that
/// was taken but did not fit.
fn take_ready(
    first: ItemFinish,
    results: &Receiver<ItemFinish>,
) -> (Vec<ItemFinish>, Option<ItemFinish>) {
    let mut body_bytes = first.body.len();
    let mut items = vec![first];
    while items.len() < MAX_COMMAND_ITEMS {
        let Ok(next) = results.try_recv() else { break };
        body_bytes += next.body.len();
        if body_bytes > MAX_COMMAND_BYTES {
            return (items, Some(next));
        }
        items.push(next);
    }
    (items, None)
}
