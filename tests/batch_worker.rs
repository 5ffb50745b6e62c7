//! Tests of the batch worker. They guard against items that occupy slots for too long, either because
//! their streams are read more slowly than they are produced or because they do not yield to online
//! requests.

use std::net::SocketAddr;
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
use damaskhoist::schema::ledger::{command, FinishItems, NewItem, Outcome};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{
    call, reply, Call, ItemAssignment, ItemReturn, Reply, ReturnItem, StreamOrigin,
};
use damaskhoist::telemetry::Counters;

const SLOTS: u32 = 2;

/// Sends `event_count` events as fast as they are read, then ends the stream or leaves it open and
/// idle.
struct ScriptedUpstream {
    event_count: u64,
    ends_stream: bool,
}

struct ScriptedAnswer {
    head: UpstreamHead,
    sent: u64,
    event_count: u64,
    ends_stream: bool,
}

#[async_trait]
impl UpstreamAnswer for ScriptedAnswer {
    fn head(&self) -> &UpstreamHead {
        &self.head
    }

    async fn next_chunk(&mut self) -> Result<BodyChunk, SendError> {
        if self.sent == self.event_count && !self.ends_stream {
            return futures::future::pending().await;
        }
        if self.sent == self.event_count {
            return Ok(None);
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
            status: 200,
            headers: Headers::default(),
            is_event_stream: true,
            has_framing: true,
            notice: UpstreamNotice::default(),
        };
        Ok(Box::new(ScriptedAnswer {
            head,
            sent: 0,
            event_count: self.event_count,
            ends_stream: self.ends_stream,
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
    fn leader_address(&self) -> Option<String> {
        Some("leader".to_owned())
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
    let (worker, _fleet, leader) = spawn(ScriptedUpstream { event_count: 400, ends_stream: true });
    worker.start(&[assignment(1)]);
    wait_until("the item to finish", || !leader.finished.lock().unwrap().is_empty()).await;
    let finished = leader.finished.lock().unwrap();
    assert_eq!(finished[0].items[0].text.iter().filter(|byte| **byte == b'x').count(), 400);
}

/// Guards against an online request that waits for the leader while an item of the same host occupies
/// the slot. The newest item, and only that one, must be stopped at once and keep its events.
#[async_std::test]
async fn the_newest_item_yields_its_slot_to_an_online_request() {
    let (worker, fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ends_stream: false });
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
    let (worker, _fleet, leader) = spawn(ScriptedUpstream { event_count: 3, ends_stream: true });
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
