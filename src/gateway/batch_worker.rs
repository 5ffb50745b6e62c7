use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use bytes::{Bytes, BytesMut};
use futures::channel::oneshot;
use futures::future::{select, Either, FutureExt};

use crate::coordinator::LeaderClient;
use crate::gateway::upstream::steady_ms;
use crate::gateway::{
    CallTarget, EventSplitter, GatewayFleet, Prompt, SendError, StreamConnector, StreamRequest,
};
use crate::http::Headers;
use crate::ledger::command;
use crate::schema::ledger::{command::Command as Kind, FinishItems, FinishedItem};
use crate::schema::peer::{
    call, ItemAssignment, ItemReturn, ItemStop, ReturnItem, RunningItem, StopReason,
};
use crate::telemetry::Counters;

/// Silence of the leader after which a host stops its batch items: another leader may have given them
/// to another host, or their job may have been cancelled. Below the time after which the leader itself
/// gives them away.
const LEADER_SILENCE: Duration = Duration::from_millis(2_000);
/// Time between two looks at the leader's silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that an upstream may work on one item. Items have no deadline of their own; an upstream that
/// holds one for so long is stuck.
const ITEM_DEADLINE: Duration = Duration::from_secs(60);
/// Silence of an upstream after which an item goes on elsewhere. Longer than for online requests,
/// since a preempted run is read again from its start.
const STALL_LIMIT: Duration = Duration::from_millis(2_000);
/// Pause before an item's stream is read again that has no bytes ready. Nobody waits for its single
/// events, and several in one read cost the processor little more than one.
const READ_INTERVAL: Duration = Duration::from_millis(60);
/// Time for one try to tell the leader of the end of an item.
const TELL_BUDGET: Duration = Duration::from_millis(2_000);
/// Tries to tell the leader; after them the item is run again.
const TELL_TRIES: u32 = 8;

/// Status of an item that no upstream can ever do.
const CANNOT_BE_DONE: u16 = 422;

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
    running: HashMap<u64, Running>,
    leader_heard: Option<Instant>,
}

struct Running {
    item: RunningItem,
    stop: Option<oneshot::Sender<StopReason>>,
}

/// How a run ended.
enum RunEnd {
    /// All events are there.
    Finished(Bytes),
    /// No upstream can ever do the item.
    Impossible,
    /// The item is given back.
    Returned(ItemReturn, Bytes, u64),
    /// Nobody wants the item any more.
    Dropped,
}

impl BatchWorker {
    /// Starts a worker without items.
    pub fn spawn(
        fleet: Arc<GatewayFleet>,
        connector: Arc<dyn StreamConnector>,
        leader: Arc<LeaderClient>,
        counters: Counters,
    ) -> Arc<Self> {
        let inner = Mutex::default();
        let worker = Arc::new(Self { fleet, connector, leader, counters, inner });
        task::spawn(watch_leader(worker.clone()));
        worker
    }

    /// The items that this host works on, until the leader knows of their end.
    pub fn running(&self) -> Vec<RunningItem> {
        self.inner().running.values().map(|running| running.item.clone()).collect()
    }

    /// The leader answered.
    pub fn note_leader(&self) {
        self.inner().leader_heard = Some(Instant::now());
    }

    /// Starts the items of an answer.
    pub fn start(self: &Arc<Self>, assignments: &[ItemAssignment]) {
        for assignment in assignments {
            let (stop, stopped) = oneshot::channel();
            let item = RunningItem {
                assignment_id: assignment.assignment_id,
                job_id: assignment.job_id.clone(),
                item: assignment.item,
                upstream_id: assignment.upstream_id.clone(),
            };
            let running = Running { item, stop: Some(stop) };
            self.inner().running.insert(assignment.assignment_id, running);
            task::spawn(run(self.clone(), assignment.clone(), stopped));
        }
    }

    /// Stops items that the leader does not want to run here.
    pub fn stop(&self, stops: &[ItemStop]) {
        let mut inner = self.inner();
        for stop in stops {
            let Some(running) = inner.running.get_mut(&stop.assignment_id) else { continue };
            if let Some(sender) = running.stop.take() {
                // A run that has just ended needs no stop.
                let _ = sender.send(stop.reason());
            }
        }
    }

    /// Gives slots of crowded upstreams back to online requests, the newest items first; gives the
    /// assignments that stop.
    pub fn yield_slots(&self) -> Vec<u64> {
        let mut yielded = Vec::new();
        let mut inner = self.inner();
        for upstream in self.fleet.load().iter() {
            let excess = upstream.batch_excess();
            if excess == 0 {
                continue;
            }
            let on_it = inner.running.values_mut();
            let mut on_it: Vec<&mut Running> =
                on_it.filter(|it| it.item.upstream_id == upstream.upstream_id).collect();
            let stopping = on_it.iter().filter(|it| it.stop.is_none()).count() as u32;
            on_it.sort_by_key(|it| std::cmp::Reverse(it.item.assignment_id));
            let running = on_it.into_iter().filter(|it| it.stop.is_some());
            for running in running.take(excess.saturating_sub(stopping) as usize) {
                let Some(sender) = running.stop.take() else { continue };
                // A run that has just ended needs no stop.
                let _ = sender.send(StopReason::Yield);
                yielded.push(running.item.assignment_id);
            }
        }
        yielded
    }

    /// Gives all items back, before the host stops.
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

    /// Runs an item until it ends or is stopped.
    async fn run_item(
        &self,
        assignment: &ItemAssignment,
        stopped: oneshot::Receiver<StopReason>,
    ) -> RunEnd {
        let mut progress = ItemProgress {
            text: BytesMut::from(&assignment.text[..]),
            last_event_id: assignment.last_event_id,
        };
        let end = {
            let run = Box::pin(self.run_on_upstream(assignment, &mut progress));
            match select(run, stopped).await {
                Either::Left((end, _)) => Ok(end),
                Either::Right((reason, _)) => Err(reason.unwrap_or(StopReason::Cancelled)),
            }
        };
        let text = progress.text.freeze();
        match end {
            Ok(Ok(())) => RunEnd::Finished(text),
            Ok(Err(RunError::Impossible)) => RunEnd::Impossible,
            Ok(Err(RunError::Returned(reason))) => {
                RunEnd::Returned(reason, text, progress.last_event_id)
            }
            Err(StopReason::Cancelled) => RunEnd::Dropped,
            Err(_) => RunEnd::Returned(ItemReturn::Yielded, text, progress.last_event_id),
        }
    }

    async fn run_on_upstream(
        &self,
        assignment: &ItemAssignment,
        progress: &mut ItemProgress,
    ) -> Result<(), RunError> {
        let not_run = RunError::Returned(ItemReturn::NotRun);
        let Some(upstream) = self.fleet.get(&assignment.upstream_id).filter(|it| it.takes_work)
        else {
            return Err(not_run);
        };
        let Some(request) = item_request(assignment) else { return Err(RunError::Impossible) };
        let _guard = upstream.begin_batch();
        let last_event_id = Some(assignment.last_event_id).filter(|id| *id > 0);
        let target = CallTarget {
            upstream_id: &upstream.upstream_id,
            address: upstream.address,
            deadline: ITEM_DEADLINE,
            last_event_id,
            is_repeatable: true,
        };
        let sent = timeout(STALL_LIMIT, self.connector.send(target, &request)).await;
        let mut answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error @ SendError::NotRun { .. })) => {
                log_end(assignment, &error.to_string());
                return Err(not_run);
            }
            Ok(Err(error)) => {
                upstream.note_failure(steady_ms());
                log_end(assignment, &error.to_string());
                return Err(RunError::Returned(ItemReturn::Interrupted));
            }
            Err(_) => {
                log_end(assignment, "no answer in time");
                return Err(RunError::Returned(ItemReturn::Interrupted));
            }
        };
        match answer.head().status {
            200..=299 => {}
            CANNOT_BE_DONE => return Err(RunError::Impossible),
            status => {
                log_end(assignment, &format!("status {status}"));
                return Err(RunError::Returned(ItemReturn::FailedAttempt));
            }
        }
        let mut splitter = EventSplitter::default();
        loop {
            let next = match answer.next_piece().now_or_never() {
                Some(next) => Ok(next),
                None => {
                    task::sleep(READ_INTERVAL).await;
                    timeout(STALL_LIMIT, answer.next_piece()).await
                }
            };
            let piece = match next {
                Ok(Ok(Some(piece))) => piece,
                Ok(Ok(None)) if splitter.is_empty() => return Ok(()),
                Ok(Ok(None)) => break,
                Ok(Err(error)) => {
                    log_end(assignment, &error.to_string());
                    break;
                }
                Err(_) => {
                    log_end(assignment, "the stream stalled");
                    break;
                }
            };
            splitter.push(&piece);
            while let Some(event) = splitter.next_event() {
                if !progress.add(&event) {
                    log_end(assignment, "the stream continues at another event");
                    return Err(RunError::Returned(ItemReturn::Interrupted));
                }
            }
        }
        Err(RunError::Returned(ItemReturn::Interrupted))
    }

    /// Tells the leader how an item ended, until it knows.
    async fn tell(&self, assignment: &ItemAssignment, end: RunEnd) {
        let finished = |failed, text| {
            let ItemAssignment { job_id, item, .. } = assignment;
            let item = FinishedItem { job_id: job_id.clone(), item: *item, failed, text };
            let command = command(Kind::FinishItems(FinishItems { items: vec![item] }));
            call::Call::LedgerCommand(command)
        };
        let (name, call) = match end {
            RunEnd::Finished(text) => ("item_finished", finished(false, text)),
            RunEnd::Impossible => ("item_impossible", finished(true, Bytes::new())),
            RunEnd::Returned(reason, text, last_event_id) => {
                let item = ReturnItem {
                    assignment_id: assignment.assignment_id,
                    job_id: assignment.job_id.clone(),
                    item: assignment.item,
                    reason: reason.into(),
                    text,
                    last_event_id,
                };
                ("item_given_back", call::Call::ReturnItem(item))
            }
            RunEnd::Dropped => {
                self.counters.count("item_dropped");
                return;
            }
        };
        self.counters.count(name);
        for _ in 0..TELL_TRIES {
            match self.leader.call(call.clone(), TELL_BUDGET, TELL_BUDGET).await {
                Ok(_) => {
                    log::info!(event = name, job = assignment.job_id.as_str(),
                        item = assignment.item, assignment = assignment.assignment_id;
                        "the leader knows");
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
    last_event_id: u64,
}

impl ItemProgress {
    /// Adds an event; false if it does not follow the last one.
    fn add(&mut self, event: &crate::gateway::Event) -> bool {
        let id = event.id.unwrap_or(self.last_event_id + 1);
        if self.last_event_id > 0 && id != self.last_event_id + 1 {
            return false;
        }
        if self.last_event_id > 0 {
            self.text.extend_from_slice(b"\n");
        }
        self.text.extend_from_slice(&event.data());
        self.last_event_id = id;
        true
    }
}

enum RunError {
    Impossible,
    Returned(ItemReturn),
}

async fn run(
    worker: Arc<BatchWorker>,
    assignment: ItemAssignment,
    stopped: oneshot::Receiver<StopReason>,
) {
    log::info!(event = "item_started", job = assignment.job_id.as_str(), item = assignment.item,
        assignment = assignment.assignment_id, upstream = assignment.upstream_id.as_str(),
        after_event = assignment.last_event_id; "started");
    let end = worker.run_item(&assignment, stopped).await;
    worker.tell(&assignment, end).await;
    worker.inner().running.remove(&assignment.assignment_id);
}

/// Stops all items while no leader answers.
async fn watch_leader(worker: Arc<BatchWorker>) {
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let heard = worker.inner().leader_heard;
        if heard.is_some_and(|heard| heard.elapsed() > LEADER_SILENCE) {
            worker.stop_all();
        }
    }
}

fn item_request(assignment: &ItemAssignment) -> Option<StreamRequest> {
    let content = assignment.content.as_ref()?;
    let mut headers = Headers::default();
    for header in &content.headers {
        headers.push(header.name.clone(), header.value.clone());
    }
    Some(StreamRequest {
        request_id: content.item_id.clone(),
        host: assignment.host.clone(),
        method: "POST".to_owned(),
        target: content.path.clone(),
        headers,
        body: content.body.clone(),
        patience: None,
        last_event_id: None,
        prompt: Prompt::default(),
        arrived: Instant::now(),
    })
}

fn log_end(assignment: &ItemAssignment, reason: &str) {
    log::warn!(event = "item_attempt_failed", job = assignment.job_id.as_str(),
        item = assignment.item, assignment = assignment.assignment_id,
        upstream = assignment.upstream_id.as_str(); "{reason}");
}
