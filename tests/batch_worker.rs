//! Guards against batch items that hold slots longer than they must: streams that are read more slowly
//! than they are made, and items that stay while online requests need their slot.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use damaskhoist::coordinator::{LeaderClient, LeaderHint};
use damaskhoist::directory::{Phase, UpstreamRecord};
use damaskhoist::gateway::{
    BatchWorker, BodyChunk, CallTarget, GatewayFleet, SendError, StreamConnector, StreamRequest,
    UpstreamAnswer, UpstreamHead,
};
use damaskhoist::http::Headers;
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::schema::ledger::{command, FinishItems, NewItem, Outcome};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{call, reply, Call, ItemAssignment, ItemReturn, Reply, ReturnItem};
use damaskhoist::telemetry::Counters;

const SLOTS: u32 = 2;

/// Sends events as fast as they are read, up to `limit`; then ends, or stays open without a word.
struct Upstream {
    limit: u64,
    ends: bool,
}

struct Answer {
    head: UpstreamHead,
    sent: u64,
    limit: u64,
    ends: bool,
}

#[async_trait]
impl UpstreamAnswer for Answer {
    fn head(&self) -> &UpstreamHead {
        &self.head
    }

    async fn next_chunk(&mut self) -> Result<BodyChunk, SendError> {
        if self.sent == self.limit && !self.ends {
            return futures::future::pending().await;
        }
        if self.sent == self.limit {
            return Ok(None);
        }
        self.sent += 1;
        Ok(Some(Bytes::from(format!("id: {}\ndata: x\n\n", self.sent))))
    }
}

#[async_trait]
impl StreamConnector for Upstream {
    async fn send(
        &self,
        _target: CallTarget<'_>,
        _request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        let head = UpstreamHead { status: 200, headers: Headers::default(), is_event_stream: true };
        Ok(Box::new(Answer { head, sent: 0, limit: self.limit, ends: self.ends }))
    }

    fn retain_upstreams(&self, _is_known: &dyn Fn(&str) -> bool) {}
}

/// A leader that takes all that it is told.
#[derive(Default)]
struct Leader {
    finished: Mutex<Vec<FinishItems>>,
    returned: Mutex<Vec<ReturnItem>>,
}

#[async_trait]
impl PeerCaller for Leader {
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

struct Hint;

impl LeaderHint for Hint {
    fn leader_address(&self) -> Option<String> {
        Some("leader".to_owned())
    }

    fn control_addresses(&self) -> Vec<String> {
        vec!["leader".to_owned()]
    }
}

fn spawn(upstream: Upstream) -> (Arc<BatchWorker>, Arc<GatewayFleet>, Arc<Leader>) {
    let fleet = Arc::new(GatewayFleet::default());
    fleet.replace(&[UpstreamRecord {
        upstream_id: "a".into(),
        service: "engraver".into(),
        address: "10.0.0.1:80".into(),
        zone: "santander".into(),
        region: "cantabria".into(),
        slots: SLOTS,
        phase: Phase::Ready,
        started_at_unix_ms: 1,
        sequence: 1,
    }]);
    let leader = Arc::new(Leader::default());
    let client = Arc::new(LeaderClient::open(leader.clone(), Arc::new(Hint)));
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
        content: Some(NewItem { item_id: format!("i{assignment_id}"), ..NewItem::default() }),
        ..ItemAssignment::default()
    }
}

async fn until(what: &str, is_true: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_true() {
        assert!(started.elapsed() < Duration::from_secs(3), "waited for {what}");
        task::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a pause after each event, which reads a stream more slowly than it is made: its upstream
/// had long ended when the item was still read, and the item ran again.
#[async_std::test]
async fn a_stream_is_read_as_fast_as_it_is_made() {
    let (worker, _fleet, leader) = spawn(Upstream { limit: 400, ends: true });
    worker.start(&[assignment(1)]);
    until("the item", || !leader.finished.lock().unwrap().is_empty()).await;
    let finished = leader.finished.lock().unwrap();
    assert_eq!(finished[0].items[0].text.iter().filter(|byte| **byte == b'x').count(), 400);
}

/// Guards against an online request that waits for the leader while an item of the same host holds the
/// slot: the newest item is stopped at once, and only it, and keeps its events.
#[async_std::test]
async fn the_newest_item_gives_its_slot_to_an_online_request() {
    let (worker, fleet, leader) = spawn(Upstream { limit: 3, ends: false });
    worker.start(&[assignment(1), assignment(2)]);
    let upstream = fleet.get("a").unwrap();
    until("both items to run", || upstream.in_use() == SLOTS).await;
    assert!(worker.yield_slots().is_empty(), "nobody needs a slot");
    // Lets the items read their events.
    task::sleep(Duration::from_millis(200)).await;

    let _online = upstream.begin_online();
    assert!(upstream.is_contended());
    assert_eq!(worker.yield_slots(), [2]);
    assert!(worker.yield_slots().is_empty(), "one slot is needed once");
    until("the item to come back", || !leader.returned.lock().unwrap().is_empty()).await;
    let returned = leader.returned.lock().unwrap();
    assert_eq!((returned.len(), returned[0].assignment_id), (1, 2));
    assert_eq!(returned[0].reason(), ItemReturn::Yielded);
    assert_eq!((returned[0].last_event_id, &returned[0].text[..]), (3, &b"x\nx\nx"[..]));
}
