//! Guards against a relay that gives upstreams more time than a request has left, or requests that nobody
//! waits for. The hosts call each other in memory; their upstreams are scripted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use damaskhoist::admission::PlannedStop;
use damaskhoist::directory::{Phase, UpstreamRecord};
use damaskhoist::gateway::{
    CallTarget, GatewayFleet, Prompt, SendError, StreamConnector, StreamRequest, UpstreamAnswer,
};
use damaskhoist::http::Headers;
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::relay::{RelayClient, RelayServer, TransitDelays};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{call, reply, Call, EntryHost, RelayedRequest, Reply, SentAt};
use damaskhoist::telemetry::Counters;

/// Records the time that is left of each request when it would be written to its upstream.
#[derive(Default)]
struct RecordingConnector {
    left: Mutex<Vec<Duration>>,
}

#[async_trait]
impl StreamConnector for RecordingConnector {
    async fn send(
        &self,
        target: CallTarget<'_>,
        _request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        self.left.lock().unwrap().push(target.time_left().unwrap_or_default());
        Err(SendError::Lost("reset".into()))
    }

    async fn is_reachable(&self, _address: SocketAddr) -> bool {
        true
    }

    fn retain_upstreams(&self, _is_known: &dyn Fn(&str) -> bool) {}
}

/// Hands the calls of a relay client to a relay that stands still for a while first.
struct StandingRelay {
    server: Arc<RelayServer>,
    stands_for: Mutex<Duration>,
}

#[async_trait]
impl PeerCaller for StandingRelay {
    async fn call(
        &self,
        _address: &str,
        _class: TrafficClass,
        call: Call,
        _timeout: Duration,
    ) -> Result<Reply, CallError> {
        let stands_for = *self.stands_for.lock().unwrap();
        task::sleep(stands_for).await;
        let Some(call::Call::RelayedRequest(request)) = call.call else { panic!("{call:?}") };
        Ok(Reply { reply: Some(self.server.open_request(request).await) })
    }

    fn send(&self, _address: &str, _class: TrafficClass, _body: Body) {}
}

fn relay_server() -> (Arc<RelayServer>, Arc<RecordingConnector>) {
    let fleet = Arc::new(GatewayFleet::default());
    fleet.replace(&[UpstreamRecord {
        upstream_id: "a".into(),
        service: "engraver".into(),
        address: "10.0.0.1:80".into(),
        zone: "santander".into(),
        region: "cantabria".into(),
        version: "v1".into(),
        slots: 8,
        phase: Phase::Ready,
        started_at_unix_ms: 1,
        sequence: 1,
    }]);
    let connector = Arc::<RecordingConnector>::default();
    let stop = Arc::<PlannedStop>::default();
    let counters = Counters::open("test", None);
    (RelayServer::spawn(fleet, connector.clone(), counters, stop), connector)
}

fn request() -> StreamRequest {
    StreamRequest {
        request_id: "r1".into(),
        host: "shop.example".into(),
        method: "POST".into(),
        target: "/x".into(),
        headers: Headers::default(),
        body: Bytes::new(),
        caller_timeout: None,
        last_event_id: None,
        resumes: None,
        prompt: Prompt::default(),
        arrived: Instant::now(),
    }
}

/// Sends requests through a relay that stands still for a while before it handles the last one. Returns the
/// result of that one, and the time that each upstream was given.
fn send_through_standing_relay(
    left: Duration,
    stands_for: Duration,
) -> (Option<SendError>, Vec<Duration>) {
    let (server, connector) = relay_server();
    let caller = Arc::new(StandingRelay { server, stands_for: Mutex::default() });
    let host = EntryHost { peer_address: "10.0.0.2:7720".into(), ..EntryHost::default() };
    let hosts = vec![Arc::new(host)];
    let client = RelayClient::open(
        "santander",
        "cantabria",
        caller.clone(),
        Box::new(move || hosts.clone()),
    );
    let send = async || {
        let target = CallTarget {
            upstream_id: "a",
            address: "10.0.0.1:80".parse().unwrap(),
            deadline: Instant::now() + left,
            last_event_id: None,
            is_repeatable: false,
        };
        client.send(target, &request()).await.err()
    };
    let result = task::block_on(async {
        send().await;
        *caller.stands_for.lock().unwrap() = stands_for;
        send().await
    });
    let left = connector.left.lock().unwrap().clone();
    (result, left)
}

/// Guards against upstreams that work on beyond the time of the caller, because the time on the way to the
/// relay does not count.
#[test]
fn time_on_the_way_to_a_relay_counts_against_the_deadline() {
    let left = Duration::from_millis(1_500);
    let (_, given) = send_through_standing_relay(left, Duration::from_millis(600));
    assert_eq!(given.len(), 2);
    assert!(given[0] > Duration::from_millis(1_400), "{given:?}");
    assert!(given[1] < Duration::from_millis(1_000), "{given:?}");
}

/// Guards against an upstream that gets a request whose caller has stopped waiting.
#[test]
fn a_request_whose_time_ended_on_the_way_to_a_relay_is_not_sent() {
    let (result, given) =
        send_through_standing_relay(Duration::from_millis(300), Duration::from_millis(500));
    assert_eq!(given.len(), 1, "{given:?}");
    assert!(matches!(result, Some(SendError::HeldUp(_))), "{result:?}");
}

/// Guards against a run for nobody: a relay handles a close in place and a request in a task of its own, so
/// the close may come first.
#[test]
fn a_request_that_was_closed_before_the_relay_opened_it_is_not_sent() {
    let (server, connector) = relay_server();
    let wire = RelayedRequest {
        relay_id: 7,
        upstream_id: "a".into(),
        deadline_ms: 1_000,
        ..RelayedRequest::default()
    };
    server.close_request(wire.relay_id);
    let reply = task::block_on(server.open_request(wire));
    assert!(connector.left.lock().unwrap().is_empty(), "it was sent");
    assert!(matches!(reply, reply::Reply::RelayFailure(_)), "{reply:?}");
}

/// Guards against sound requests that are refused because the clocks of two hosts drift apart.
#[test]
fn clocks_that_drift_apart_do_not_look_like_a_delay() {
    let mut delays = TransitDelays::default();
    for second in 0..3_600 {
        // Two quartz clocks of servers differ by up to 100 parts in a million.
        let (sent_ms, now_ms) = (second * 1_000, 5_000_000 + second * 1_000 + second / 10);
        let sent_at = SentAt { clock_id: 1, clock_ms: sent_ms };
        assert!(delays.record(&sent_at, now_ms) < Duration::from_millis(15));
    }
    let held_up = delays.record(&SentAt { clock_id: 1, clock_ms: 3_600_000 }, 8_600_860);
    assert!(held_up >= Duration::from_millis(500), "{held_up:?}");
}
