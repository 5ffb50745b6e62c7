use std::collections::hash_map::{Entry, HashMap};
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use bytes::{Bytes, BytesMut};
use futures::channel::oneshot;
use futures::future::{select, Either, FutureExt};

use crate::coordinator::LeaderClient;
use crate::directory::StreamOrigin;
use crate::gateway::failed_items::FailedItems;
use crate::gateway::upstream::monotonic_ms;
use crate::gateway::{
    CallTarget, Event, EventSplitter, GatewayFleet, Prompt, SendError, StreamConnector,
    StreamRequest, Upstream,
};
use crate::http::{BufferLease, Headers};
use crate::ledger::{check_item, command};
use crate::schema::ledger::{command::Command as Kind, FinishItems, FinishedItem};
use crate::schema::peer::{
    call, FailedItem, ItemAssignment, ItemReturn, ItemStop, ReturnItem, RunningItem, StopReason,
};
use crate::telemetry::Counters;

/// Time without an answer from the leader after which a host stops its batch items: a new leader may
/// have assigned them to another host, or their job may have been cancelled. Shorter than the time after
/// which the leader reassigns the items of a host that does not report.
const LEADER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval at which the time since the last answer of the leader is checked.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that an upstream may work on one item. Items have no deadline of their own; an upstream that
/// works on one for so long is stuck, also if it sends bytes without end.
const ITEM_DEADLINE: Duration = Duration::from_secs(60);
/// Time without a whole event from an upstream after which an item is returned to the leader, to continue at
/// another upstream. Longer than for online requests, since a preempted run has to be processed again
/// from its start.
const STALL_LIMIT: Duration = Duration::from_millis(2_000);
/// Delay before the next read of an item's stream when no bytes are available. Single events of an item
/// are not urgent, and reading several at once costs little more processor time than reading one.
const READ_INTERVAL: Duration = Duration::from_millis(60);
/// Time for one attempt to report the end of an item to the leader.
const REPORT_BUDGET: Duration = Duration::from_millis(2_000);
/// Attempts to report the end of an item; if all fail, the leader assigns the item again.
const REPORT_ATTEMPTS: u32 = 8;
/// Time after which an item is no longer listed though its end could not be reported: all attempts and a
/// margin for their pauses.
const REPORT_LIMIT: Duration = Duration::from_millis(2_000 * 8 + 1_000);
/// Time after which a run is given up: the item's deadline, and the stall limit for its start and its last read.
const RUN_LIMIT: Duration = Duration::from_secs(60 + 2 * 2);
/// Chunks that are read in a row before the task lets others run and looks whether it must stop.
const CHUNKS_IN_A_ROW: u32 = 32;

/// Largest text of an item; pages of results hold no more.
const TEXT_LIMIT_BYTES: usize = 1 << 20;

/// Status code of an item that no upstream can process.
const UNPROCESSABLE_STATUS: u16 = 422;

/// Runs the batch items that the leader assigns to this host.
pub struct BatchWorker {
    fleet: Arc<GatewayFleet>,
    connector: Arc<dyn StreamConnector>,
    leader: Arc<LeaderClient>,
    counters: Counters,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    running: HashMap<u64, RunningEntry>,
    failed: FailedItems,
    /// Time of the last answer of the leader.
    last_leader_contact: Option<Instant>,
}

struct RunningEntry {
    item: RunningItem,
    /// Stops the run; `None` once it was used.
    stop: Option<oneshot::Sender<StopReason>>,
}

/// How a run ended.
enum RunEnd {
    /// The stream ended; all its events were received.
    Finished(Bytes),
    /// No upstream can process the item.
    Unprocessable,
    /// The item is returned to the leader, with its progress.
    Returned(ItemReturn, ItemProgress),
    /// The item was cancelled or is already finished; nothing is reported.
    Cancelled,
}

impl BatchWorker {
    /// Creates a worker without items and starts the task that monitors the leader.
    pub fn spawn(
        fleet: Arc<GatewayFleet>,
        connector: Arc<dyn StreamConnector>,
        leader: Arc<LeaderClient>,
        counters: Counters,
    ) -> Arc<Self> {
        let inner = Mutex::default();
        let worker = Arc::new(Self { fleet, connector, leader, counters, inner });
        task::spawn(monitor_leader(worker.clone()));
        worker
    }

    /// The items that this host works on. An item is listed until its end was reported to the leader.
    pub fn running(&self) -> Vec<RunningItem> {
        self.inner().running.values().map(|running| running.item.clone()).collect()
    }

    /// The items that failed at this host lately.
    pub fn failed(&self) -> Vec<FailedItem> {
        self.inner().failed.list(Instant::now())
    }

    /// Records the time of an answer of the leader.
    pub fn record_leader_contact(&self) {
        self.inner().last_leader_contact = Some(Instant::now());
    }

    /// Starts the items that the leader assigned in an answer.
    pub fn start(self: &Arc<Self>, assignments: &[ItemAssignment]) {
        for assignment in assignments {
            let (stop, stopped) = oneshot::channel();
            let item = RunningItem {
                assignment_id: assignment.assignment_id,
                job_id: assignment.job_id.clone(),
                item: assignment.item,
                upstream_id: assignment.upstream_id.clone(),
            };
            let running = RunningEntry { item, stop: Some(stop) };
            match self.inner().running.entry(assignment.assignment_id) {
                Entry::Vacant(entry) => entry.insert(running),
                Entry::Occupied(_) => {
                    log::warn!(event = "assignment_repeated", job = assignment.job_id.as_str(),
                        item = assignment.item, assignment = assignment.assignment_id;
                        "the assignment already runs");
                    continue;
                }
            };
            let listing = Listing { worker: self.clone(), assignment_id: assignment.assignment_id };
            task::spawn(run_assignment(listing, assignment.clone(), stopped));
        }
    }

    /// Stops the items that the leader asked this host to stop.
    pub fn stop(&self, stops: &[ItemStop]) {
        let mut inner = self.inner();
        for stop in stops {
            let Some(running) = inner.running.get_mut(&stop.assignment_id) else { continue };
            if let Some(sender) = running.stop.take() {
                // Sending fails if the run has just ended, and then nothing is left to stop.
                let _ = sender.send(stop.reason());
            }
        }
    }

    /// Stops as many batch items as needed to release the slots that online requests need, the newest
    /// items first. Returns the ids of the stopped assignments.
    pub fn yield_slots(&self) -> Vec<u64> {
        let mut yielded = Vec::new();
        let mut inner = self.inner();
        for upstream in self.fleet.load().iter() {
            let excess = upstream.batch_excess();
            if excess == 0 {
                continue;
            }
            let entries = inner.running.values_mut();
            let mut entries: Vec<&mut RunningEntry> =
                entries.filter(|entry| entry.item.upstream_id == upstream.upstream_id).collect();
            let stopping = entries.iter().filter(|entry| entry.stop.is_none()).count() as u32;
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.item.assignment_id));
            let running = entries.into_iter().filter(|entry| entry.stop.is_some());
            for running in running.take(excess.saturating_sub(stopping) as usize) {
                let Some(sender) = running.stop.take() else { continue };
                // Sending fails if the run has just ended, and then nothing is left to stop.
                let _ = sender.send(StopReason::Yield);
                yielded.push(running.item.assignment_id);
            }
        }
        yielded
    }

    /// Stops all items and returns them to the leader: before the host stops, or while no leader answers.
    pub fn stop_all(&self) {
        for running in self.inner().running.values_mut() {
            if let Some(sender) = running.stop.take() {
                let _ = sender.send(StopReason::Yield);
            }
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs an item until it ends or is stopped through `stopped`.
    async fn run_item(
        &self,
        assignment: &ItemAssignment,
        stopped: oneshot::Receiver<StopReason>,
    ) -> RunEnd {
        let mut progress = ItemProgress::of(assignment);
        let end = {
            let run = self.run_on_upstream(assignment, &mut progress);
            // A panic must not end the task before the leader is told.
            let run = Box::pin(AssertUnwindSafe(timeout(RUN_LIMIT, run)).catch_unwind());
            match select(run, stopped).await {
                Either::Left((Ok(Ok(end)), _)) => Ok(end),
                Either::Left((Ok(Err(_)), _)) => {
                    log_failed_attempt(assignment, "the run exceeded its time limit");
                    Ok(Err(RunError::Returned(ItemReturn::Interrupted)))
                }
                Either::Left((Err(_), _)) => {
                    log_failed_attempt(assignment, "the run panicked");
                    Ok(Err(RunError::Panicked))
                }
                Either::Right((reason, _)) => Err(reason.unwrap_or(StopReason::Cancelled)),
            }
        };
        match end {
            Ok(Ok(())) => RunEnd::Finished(progress.text.freeze()),
            Ok(Err(RunError::Unprocessable)) => RunEnd::Unprocessable,
            // What was received may be incomplete. A failure of this host is no attempt of the item: only the
            // answers of upstreams may give it up.
            Ok(Err(RunError::Panicked)) => {
                RunEnd::Returned(ItemReturn::Interrupted, ItemProgress::of(assignment))
            }
            Ok(Err(RunError::Returned(reason))) => RunEnd::Returned(reason, progress),
            Err(StopReason::Cancelled) => RunEnd::Cancelled,
            Err(_) => RunEnd::Returned(ItemReturn::Yielded, progress),
        }
    }

    /// Sends an item to its upstream and reads the answer into `progress`.
    async fn run_on_upstream(
        &self,
        assignment: &ItemAssignment,
        progress: &mut ItemProgress,
    ) -> Result<(), RunError> {
        let not_run = RunError::Returned(ItemReturn::NotRun);
        let Some(upstream) =
            self.fleet.get(&assignment.upstream_id).filter(|upstream| upstream.accepts_work)
        else {
            return Err(not_run);
        };
        if !upstream.may_continue(progress.origin.as_ref()) {
            log_failed_attempt(
                assignment,
                "the upstream has another software version than the one that began the item",
            );
            return Err(not_run);
        }
        let Some(request) = item_request(assignment) else { return Err(RunError::Unprocessable) };
        let _guard = upstream.begin_batch();
        let last_event_id = Some(progress.last_event_id).filter(|id| *id > 0);
        let target = CallTarget {
            upstream_id: &upstream.upstream_id,
            address: upstream.address,
            deadline: Instant::now() + ITEM_DEADLINE,
            last_event_id,
            is_repeatable: true,
        };
        let sent = timeout(STALL_LIMIT, self.connector.send(target, &request)).await;
        let mut answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error @ SendError::NotRun { notice, .. })) => {
                self.fleet.record_refusal_notice(&upstream, &notice);
                log_failed_attempt(assignment, &error.to_string());
                return Err(not_run);
            }
            Ok(Err(error)) => {
                if !matches!(error, SendError::HeldUp(_)) {
                    upstream.record_failure(monotonic_ms());
                }
                log_failed_attempt(assignment, &error.to_string());
                return Err(RunError::Returned(ItemReturn::Interrupted));
            }
            Err(_) => {
                log_failed_attempt(assignment, "the upstream sent no answer in time");
                return Err(RunError::Returned(ItemReturn::Interrupted));
            }
        };
        self.fleet.record_answer_notice(&upstream, &answer.head().notice);
        match answer.head().status {
            200..=299 => {}
            UNPROCESSABLE_STATUS => return Err(RunError::Unprocessable),
            status => {
                log_failed_attempt(
                    assignment,
                    &format!("the upstream answered with status {status}"),
                );
                return Err(RunError::Returned(ItemReturn::FailedAttempt));
            }
        }
        let mut splitter = EventSplitter::new(BufferLease::for_answer());
        let mut text_lease = BufferLease::for_answer();
        let (has_framing, mut has_event) = (answer.head().has_framing, false);
        let deadline = Instant::now() + ITEM_DEADLINE;
        let mut last_event_at = Instant::now();
        let mut chunks_in_a_row = 0;
        while Instant::now() < deadline {
            if chunks_in_a_row == CHUNKS_IN_A_ROW {
                chunks_in_a_row = 0;
                task::yield_now().await;
            }
            let next = match answer.next_chunk().now_or_never() {
                Some(next) => {
                    chunks_in_a_row += 1;
                    Ok(next)
                }
                None => {
                    task::sleep(READ_INTERVAL).await;
                    let until_stall = STALL_LIMIT.saturating_sub(last_event_at.elapsed());
                    timeout(until_stall, answer.next_chunk()).await
                }
            };
            let chunk = match next {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) if splitter.is_empty() && (has_framing || has_event) => return Ok(()),
                Ok(Ok(None)) => break,
                Ok(Err(error)) => {
                    log_failed_attempt(assignment, &error.to_string());
                    break;
                }
                Err(_) => {
                    log_failed_attempt(
                        assignment,
                        "the upstream sent no event within the stall limit",
                    );
                    break;
                }
            };
            splitter.push(&chunk);
            while let Some(event) = splitter.next_event() {
                has_event = true;
                last_event_at = Instant::now();
                if !progress.append(&event, &upstream) {
                    log_failed_attempt(
                        assignment,
                        "the event ids of the stream are not consecutive",
                    );
                    return Err(RunError::Returned(ItemReturn::Interrupted));
                }
            }
            let may_hold_text =
                progress.text.len() <= TEXT_LIMIT_BYTES && text_lease.resize(progress.text.len());
            if last_event_at.elapsed() > STALL_LIMIT {
                log_failed_attempt(assignment, "the upstream sent no whole event in time");
                break;
            }
            if !splitter.may_hold_rest() || !may_hold_text {
                log_failed_attempt(assignment, "the answer is larger than the limit");
                *progress = ItemProgress::of(assignment);
                return Err(RunError::Returned(ItemReturn::Interrupted));
            }
        }
        Err(RunError::Returned(ItemReturn::Interrupted))
    }

    /// Reports to the leader how an item ended; retries until the leader answers or the attempts are used
    /// up.
    async fn report_end(&self, assignment: &ItemAssignment, end: RunEnd) {
        let finished = |failed, text| {
            let ItemAssignment { job_id, item, .. } = assignment;
            let item = FinishedItem { job_id: job_id.clone(), item: *item, failed, text };
            let command = command(Kind::FinishItems(FinishItems { items: vec![item] }));
            call::Call::LedgerCommand(command)
        };
        let (name, call) = match end {
            RunEnd::Finished(text) => ("item_finished", finished(false, text)),
            RunEnd::Unprocessable => ("item_impossible", finished(true, Bytes::new())),
            RunEnd::Returned(reason, progress) => {
                let ItemAssignment { job_id, item, failed_attempts: known, .. } = assignment;
                let failed_attempts = match reason {
                    ItemReturn::FailedAttempt => {
                        self.inner().failed.record(job_id, *item, *known, Instant::now())
                    }
                    _ => 0,
                };
                let item = ReturnItem {
                    assignment_id: assignment.assignment_id,
                    job_id: assignment.job_id.clone(),
                    item: assignment.item,
                    reason: reason.into(),
                    text: progress.text.freeze(),
                    last_event_id: progress.last_event_id,
                    origin: progress.origin.as_ref().map(Into::into),
                    failed_attempts,
                };
                ("item_given_back", call::Call::ReturnItem(item))
            }
            RunEnd::Cancelled => {
                self.counters.count("item_dropped");
                return;
            }
        };
        self.counters.count(name);
        for _ in 0..REPORT_ATTEMPTS {
            match self.leader.call(call.clone(), Duration::ZERO, REPORT_BUDGET).await {
                Ok(_) => {
                    log::info!(event = name, job = assignment.job_id.as_str(),
                        item = assignment.item, assignment = assignment.assignment_id;
                        "the leader acknowledged the end of the item");
                    return;
                }
                Err(error) => {
                    log::warn!(event = "leader_not_told", job = assignment.job_id.as_str(),
                        item = assignment.item, assignment = assignment.assignment_id; "{error}");
                }
            }
        }
    }
}

#[derive(Debug)]
struct ItemProgress {
    text: BytesMut,
    /// Id of the last event; 0 before the first.
    last_event_id: u64,
    /// Where the events come from; `None` before the first.
    origin: Option<StreamOrigin>,
}

impl ItemProgress {
    /// Progress at the start of a run.
    fn of(assignment: &ItemAssignment) -> Self {
        let origin = assignment.origin.clone().filter(|_| assignment.last_event_id > 0);
        let Some(origin) = origin else {
            // Events of an unknown origin can't be continued.
            return Self { text: BytesMut::new(), last_event_id: 0, origin: None };
        };
        Self {
            text: BytesMut::from(&assignment.text[..]),
            last_event_id: assignment.last_event_id,
            origin: Some(origin.into()),
        }
    }

    /// Appends the data of an event of `upstream`; returns false if it has no id or one that does not
    /// follow the last one.
    fn append(&mut self, event: &Event, upstream: &Upstream) -> bool {
        let Some(id) = event.id else { return false };
        if self.last_event_id > 0 && id != self.last_event_id + 1 {
            return false;
        }
        if self.last_event_id > 0 {
            self.text.extend_from_slice(b"\n");
        }
        self.text.extend_from_slice(&event.data());
        self.last_event_id = id;
        self.origin.get_or_insert_with(|| upstream.origin());
        true
    }
}

enum RunError {
    Unprocessable,
    Panicked,
    Returned(ItemReturn),
}

/// The entry of a run in the list of running items. Dropping it removes the entry, so that the leader assigns
/// the item again however the run ends.
struct Listing {
    worker: Arc<BatchWorker>,
    assignment_id: u64,
}

impl Drop for Listing {
    fn drop(&mut self) {
        self.worker.inner().running.remove(&self.assignment_id);
    }
}

async fn run_assignment(
    listing: Listing,
    assignment: ItemAssignment,
    stopped: oneshot::Receiver<StopReason>,
) {
    log::info!(event = "item_started", job = assignment.job_id.as_str(), item = assignment.item,
        assignment = assignment.assignment_id, upstream = assignment.upstream_id.as_str(),
        after_event = assignment.last_event_id; "starting the batch item");
    let worker = &listing.worker;
    let end = worker.run_item(&assignment, stopped).await;
    if timeout(REPORT_LIMIT, worker.report_end(&assignment, end)).await.is_err() {
        log::warn!(event = "leader_not_told", job = assignment.job_id.as_str(),
            item = assignment.item, assignment = assignment.assignment_id;
            "the report took longer than its limit");
    }
}

/// Stops all items when the leader has not answered for [`LEADER_TIMEOUT`].
async fn monitor_leader(worker: Arc<BatchWorker>) {
    loop {
        task::sleep(LEADER_CHECK_INTERVAL).await;
        let last_contact = worker.inner().last_leader_contact;
        if last_contact.is_some_and(|contact| contact.elapsed() > LEADER_TIMEOUT) {
            worker.stop_all();
        }
    }
}

/// The request of an item; `None` if the assignment has no content.
fn item_request(assignment: &ItemAssignment) -> Option<StreamRequest> {
    let content = assignment.content.as_ref()?;
    // An earlier build may have accepted an item that no request can carry.
    check_item(&content.item_id, &content.path, &content.headers).ok()?;
    let mut headers = Headers::default();
    for header in &content.headers {
        headers.push(header.name.clone(), header.value.clone());
    }
    Some(StreamRequest {
        request_id: content.item_id.clone(),
        host: assignment.host.clone(),
        method: "POST".to_owned(),
        target: content.path.clone(),
        headers: headers.end_to_end(),
        body: content.body.clone(),
        caller_timeout: None,
        last_event_id: None,
        resumes: None,
        prompt: Prompt::default(),
        arrived: Instant::now(),
    })
}

fn log_failed_attempt(assignment: &ItemAssignment, reason: &str) {
    log::warn!(event = "item_attempt_failed", job = assignment.job_id.as_str(),
        item = assignment.item, assignment = assignment.assignment_id,
        upstream = assignment.upstream_id.as_str(); "{reason}");
}
