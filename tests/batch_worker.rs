//! Tests of the batch worker. They guard against items that occupy slots for too long, either because
//! their streams are read more slowly than they are produced or because they do not yield to online
//! requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use damaskhoist::coordinator::{LeaderClient, LeaderHint};
use damaskhoist::directory::{Phase, UpstreamRecord};
use damaskhoist::gateway::{
    BatchWorker, BodyChunk, CallTarget, GatewayFleet, SendError, StreamConnector, StreamRequest,
    UpstreamAnswer, UpstreamHead, UpstreamNotice,
};
use damaskhoist::http::Headers;
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::raft::LeaderBelief;
use damaskhoist::schema::ledger::{command, FinishItems, NewItem, Outcome};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{
    call, reply, Call, ItemAssignment, ItemReturn, Reply, ReturnItem, StreamOrigin,
};
use damaskhoist::telemetry::Counters;

const SLOTS: u32 = 2;
/// Shorter than the interval at which an item's stream is read.
const DRIP_INTERVAL: Duration = Duration::from_millis(20);

/// What a scripted upstream does after its events.
#[derive(Clone, Copy, PartialEq)]
enum Ending {
    /// Ends the stream.
    End,
    /// Leaves the stream open and idle.
    Idle,
    /// Sends an event without end, one byte at each read.
    Flood,
    /// Sends an event without end, one byte each [`DRIP_INTERVAL`].
    Drip,
    /// The code that reads the stream panics.
    Panic,
    /// Fails the request instead of the stream.
    Fails,
}

/// Sends `event_count` events as fast as they are read, and then acts as `ending` says.
struct ScriptedUpstream {
    event_count: u64,
    ending: Ending,
}

struct ScriptedAnswer {
    head: UpstreamHead,
    sent: u64,
    event_count: u64,
    ending: Ending,
    last_chunk_at: Instant,
}

#[async_trait]
impl UpstreamAnswer for ScriptedAnswer {
    fn head(&self) -> &UpstreamHead {
        &self.head
    }

    async fn next_chunk(&mut self) -> Result<BodyChunk, SendError> {
        if self.sent == self.event_count {
            return match self.ending {
                Ending::End | Ending::Fails => Ok(None),
                Ending::Idle => futures::future::pending().await,
                Ending::Flood => Ok(Some(Bytes::from_static(b"x"))),
                Ending::Drip => {
                    let due = self.last_chunk_at + DRIP_INTERVAL;
                    task::sleep(due.saturating_duration_since(Instant::now())).await;
                    self.last_chunk_at = Instant::now();
                    Ok(Some(Bytes::from_static(b"x")))
                }
                Ending::Panic => panic!("the scripted stream panics"),
            };
        }
        self.sent += 1;
        Ok(Some(Bytes::from(format!("id: {}\ndata: x\n\n", self.sent))))
    }
}

#[async_trait]
impl StreamConnector for ScriptedUpstream {
    async fn send(
        &self,
        _target: CallTarget<'_>,
        _request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        let head = UpstreamHead {
            status: if self.ending == Ending::Fails { 500 } else { 200 },
            headers: Headers::default(),
            is_event_stream: true,
            has_framing: true,
            notice: UpstreamNotice::default(),
        };
        Ok(Box::new(ScriptedAnswer {
            head,
            sent: 0,
            event_count: self.event_count,
            ending: self.ending,
            last_chunk_at: Instant::now(),
        }))
    }

    async fn is_reachable(&self, _address: SocketAddr) -> bool {
        true
    }

    fn retain_upstreams(&self, _is_known: &dyn Fn(&str) -> bool) {}
}

/// Accepts and records all commands and returned items.
#[derive(Default)]
struct RecordingLeader {
    /// Calls have no end, not even at their time limit.
    is_silent: AtomicBool,
    finished: Mutex<Vec<FinishItems>>,
    returned: Mutex<Vec<ReturnItem>>,
}

#[async_trait]
impl PeerCaller for RecordingLeader {
    async fn call(
        &self,
        _address: &str,
        _class: TrafficClass,
        call: Call,
        _timeout: Duration,
    ) -> Result<Reply, CallError> {
        if self.is_silent.load(Ordering::SeqCst) {
            return futures::future::pending().await;
        }
        match call.call {
            Some(call::Call::LedgerCommand(command)) => {
                if let Some(command::Command::FinishItems(finish)) = command.command {
                    self.finished.lock().unwrap().push(finish);
                }
            }
            Some(call::Call::ReturnItem(item)) => self.returned.lock().unwrap().push(item),
            other => panic!("unexpected call {other:?}"),
        }
        Ok(Reply { reply: Some(reply::Reply::LedgerOutcome(Outcome::default())) })
    }

    fn send(&self, _address: &str, _class: TrafficClass, _body: Body) {}
}

struct FixedLeaderHint;

impl LeaderHint for FixedLeaderHint {
    fn leader(&self) -> Option<Arc<LeaderBelief>> {
        let (address, source) = ("leader".to_owned(), "leader".to_owned());
        Some(Arc::new(LeaderBelief { address, term: 0, source, heard_at: Instant::now() }))
    }

    fn replica_addresses(&self) -> Vec<String> {
        Vec::new()
    }

    fn control_addresses(&self) -> Vec<String> {
        vec!["leader".to_owned()]
    }
}

fn spawn(
    upstream: ScriptedUpstream,
) -> (Arc<BatchWorker>, Arc<GatewayFleet>, Arc<RecordingLeader>) {
    let fleet = Arc::new(GatewayFleet::default());
    fleet.replace(&[UpstreamRecord {
        upstream_id: "a".into(),
        service: "engraver".into(),
        address: "10.0.0.1:80".into(),
        zone: "santander".into(),
        region: "cantabria".into(),
        version: "v1".into(),
        slots: SLOTS,
        phase: Phase::Ready,
        started_at_unix_ms: 1,
        sequence: 1,
    }]);
    let leader = Arc::new(RecordingLeader::default());
    let client = Arc::new(LeaderClient::open(leader.clone(), Arc::new(FixedLeaderHint)));
    let counters = Counters::open("test", None);
    let worker = BatchWorker::spawn(fleet.clone(), Arc::new(upstream), client, counters);
    (worker, fleet, leader)
}

fn assignment(assignment_id: u64) -> ItemAssignment {
    ItemAssignment {
        assignment_id,
        job_id: "j".into(),
        item: assignment_id as u32,
        upstream_id: "a".into(),
        host: "shop.example".into(),
        content: Some(NewItem {
            item_id: format!("i{assignment_id}"),
            path: "/sheets/1".into(),
            ..NewItem::default()
        }),
        ..ItemAssignment::default()
    }
}

async fn wait_until(condition: &str, is_true: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_true() {
        assert!(started.elapsed() < Duration::from_secs(3), "timed out waiting for {condition}");
        task::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a pause after each event, which reads a stream more slowly than it is produced. The
/// upstream had ended long before the item was read in full, and the item ran again.
#[async_std::test]
async fn a_stream_is_read_as_fast_as_it_is_produced() {
    let (worker, _fleet, leader) =
        spawn(ScriptedUpstream { event_count: 400, ending: Ending::End });
    worker.start(&[assignment(1)]);
    wait_until("the item to finish", || !leader.finished.lock().unwrap().is_empty()).await;
    let finished = leader.finished.lock().unwrap();
    assert_eq!(finished[0].items[0].text.iter().filter(|byte| **byte == b'x').count(), 400);
}

/// Guards against an online request that waits for the leader while an item of the same host occupies
/// the slot. The newest item, and only that one, must be stopped at once and keep its events.
#[async_std::test]
async fn the_newest_item_yields_its_slot_to_an_online_request() {
    let (worker, fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ending: Ending::Idle });
    worker.start(&[assignment(1), assignment(2)]);
    let upstream = fleet.get("a").unwrap();
    wait_until("both items to run", || upstream.in_use() == SLOTS).await;
    assert!(worker.yield_slots().is_empty(), "no online request needs a slot");
    // Gives the items time to read their events.
    task::sleep(Duration::from_millis(200)).await;

    let _online = upstream.begin_online();
    assert!(upstream.is_contended());
    assert_eq!(worker.yield_slots(), [2]);
    assert!(worker.yield_slots().is_empty(), "the slot is already being yielded");
    wait_until("the item to come back", || !leader.returned.lock().unwrap().is_empty()).await;
    let returned = leader.returned.lock().unwrap();
    assert_eq!((returned.len(), returned[0].assignment_id), (1, 2));
    assert_eq!(returned[0].reason(), ItemReturn::Yielded);
    assert_eq!((returned[0].last_event_id, &returned[0].text[..]), (3, &b"x\nx\nx"[..]));
}

/// Guards against a result whose text comes from two versions of the upstream software: an upstream may come
/// back with another version between the assignment of an item and its start.
#[async_std::test]
async fn an_item_of_another_version_is_not_sent() {
    let (worker, _fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ending: Ending::End });
    let origin = StreamOrigin { service: "engraver".into(), version: "v0".into() };
    worker.start(&[ItemAssignment {
        text: "half".into(),
        last_event_id: 9,
        origin: Some(origin.clone()),
        ..assignment(1)
    }]);
    wait_until("the item to come back", || !leader.returned.lock().unwrap().is_empty()).await;
    let returned = leader.returned.lock().unwrap();
    assert_eq!(returned[0].reason(), ItemReturn::NotRun);
    assert_eq!((&returned[0].text[..], &returned[0].origin), (&b"half"[..], &Some(origin)));
}

/// Guards against an item whose run panics and that stays listed for good: the leader takes it for running
/// and never assigns it again.
#[async_std::test]
async fn an_item_whose_run_panics_is_returned_and_unlisted() {
    let (worker, fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ending: Ending::Panic });
    worker.start(&[assignment(1)]);
    wait_until("the item to be unlisted", || worker.running().is_empty()).await;
    let returned = leader.returned.lock().unwrap();
    assert_eq!((returned.len(), returned[0].assignment_id), (1, 1));
    // Only answers of upstreams may give an item up.
    assert_eq!(returned[0].reason(), ItemReturn::Interrupted);
    assert_eq!(fleet.get("a").unwrap().in_use(), 0, "its slot is free");
}

/// Guards against a second assignment with the id of one that still runs: it replaced the entry of the
/// first, which was then dropped as cancelled, and the second ran unlisted, so the leader assigned the item
/// elsewhere as well.
#[async_std::test]
async fn an_assignment_that_comes_twice_runs_once_and_stays_listed() {
    let (worker, fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ending: Ending::Idle });
    worker.start(&[assignment(1)]);
    let upstream = fleet.get("a").unwrap();
    wait_until("the item to run", || upstream.in_use() == 1).await;
    worker.start(&[assignment(1)]);
    task::sleep(Duration::from_millis(200)).await;
    assert_eq!((worker.running().len(), upstream.in_use()), (1, 1));
    worker.stop_all();
    wait_until("the item to come back", || worker.running().is_empty()).await;
    let returned = leader.returned.lock().unwrap();
    assert_eq!((returned.len(), returned[0].last_event_id), (1, 3));
    assert_eq!(upstream.in_use(), 0);
}

/// Guards against a stream that always has bytes and so keeps its task from seeing that it must stop.
#[async_std::test]
async fn an_item_is_stopped_while_its_upstream_sends_bytes_without_pause() {
    let upstream = ScriptedUpstream { event_count: 3, ending: Ending::Flood };
    let (worker, _fleet, leader) = spawn(upstream);
    worker.start(&[assignment(1)]);
    task::sleep(Duration::from_millis(100)).await;
    worker.stop_all();
    let started = Instant::now();
    wait_until("the item to come back", || worker.running().is_empty()).await;
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    let returned = leader.returned.lock().unwrap();
    assert_eq!((returned[0].reason(), returned[0].last_event_id), (ItemReturn::Yielded, 3));
}

/// Guards against a stall limit that bytes without a whole event keep from running out: the item occupied its
/// slot without progress for a minute.
#[async_std::test]
async fn bytes_without_a_whole_event_do_not_extend_the_stall_limit() {
    let (worker, _fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ending: Ending::Drip });
    worker.start(&[assignment(1)]);
    wait_until("the item to come back", || worker.running().is_empty()).await;
    let returned = leader.returned.lock().unwrap();
    assert_eq!((returned[0].reason(), returned[0].last_event_id), (ItemReturn::Interrupted, 3));
}

/// Guards against an item that stays listed for good because no leader takes its end: the leader takes it for
/// running, and no other host runs it.
#[async_std::test]
async fn an_item_whose_end_cannot_be_reported_is_unlisted_within_the_bound() {
    let (worker, _fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ending: Ending::End });
    leader.is_silent.store(true, Ordering::SeqCst);
    worker.start(&[assignment(1)]);
    // Eight attempts of two seconds, and a margin.
    let bound = Duration::from_millis(18_000);
    let started = Instant::now();
    while !worker.running().is_empty() {
        assert!(started.elapsed() < bound, "listed for {:?}", started.elapsed());
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an item that fails without end, as its entry host begins to count anew each time: it keeps a bounded number
/// of items, and forgets old ones.
#[async_std::test]
async fn failures_that_only_the_leader_remembers_count() {
    let (worker, _fleet, leader) =
        spawn(ScriptedUpstream { event_count: 0, ending: Ending::Fails });
    worker.start(&[assignment(1)]);
    wait_until("the first return", || leader.returned.lock().unwrap().len() == 1).await;
    let reported = worker.failed();
    assert_eq!((reported.len(), reported[0].item, reported[0].attempts), (1, 1, 1));
    worker.start(&[ItemAssignment { assignment_id: 2, failed_attempts: 4, ..assignment(1) }]);
    wait_until("the second return", || leader.returned.lock().unwrap().len() == 2).await;
    let returned = leader.returned.lock().unwrap();
    let attempts: Vec<u32> = returned.iter().map(|item| item.failed_attempts).collect();
    assert_eq!(attempts, [1, 5]);
}
