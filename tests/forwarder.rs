//! Guards against answers that are joined wrongly, refusals that are not true, and requests that run
//! more often than they may. Upstreams are scripted; nothing is sent.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use damaskhoist::directory::{Phase, UpstreamRecord};
use damaskhoist::gateway::{
    AnswerSink, CallTarget, ForwardEnd, Forwarder, GatewayFleet, Prompt, Refusal, RefusalKind,
    SendError, StreamConnector, StreamRequest, UpstreamAnswer, UpstreamHead, UpstreamPiece,
};
use damaskhoist::http::{Headers, HttpError};
use damaskhoist::schema::routes::{Route, RouteKind, ServiceShare};
use damaskhoist::telemetry::Counters;
use rstest::rstest;

/// What an upstream does with the next request.
enum Script {
    Answers { status: u16, events: bool, pieces: Vec<Result<&'static str, SendError>> },
    Fails(SendError),
}

#[derive(Default)]
struct Scripted {
    scripts: Mutex<VecDeque<Script>>,
    sent_after: Mutex<Vec<Option<u64>>>,
}

struct ScriptedAnswer {
    head: UpstreamHead,
    pieces: VecDeque<Result<&'static str, SendError>>,
}

#[async_trait]
impl UpstreamAnswer for ScriptedAnswer {
    fn head(&self) -> &UpstreamHead {
        &self.head
    }

    async fn next_piece(&mut self) -> Result<UpstreamPiece, SendError> {
        let piece = self.pieces.pop_front().transpose()?;
        Ok(piece.map(|piece| Bytes::from_static(piece.as_bytes())))
    }
}

#[async_trait]
impl StreamConnector for Scripted {
    async fn send(
        &self,
        target: CallTarget<'_>,
        _request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        self.sent_after.lock().unwrap().push(target.last_event_id);
        match self.scripts.lock().unwrap().pop_front().expect("a script for each send") {
            Script::Fails(error) => Err(error),
            Script::Answers { status, events, pieces } => {
                let headers = Headers::default();
                let head = UpstreamHead { status, headers, is_event_stream: events };
                Ok(Box::new(ScriptedAnswer { head, pieces: pieces.into() }))
            }
        }
    }

    fn forget(&self, _is_known: &dyn Fn(&str) -> bool) {}
}

#[derive(Default)]
struct Caller {
    status: u16,
    body: String,
    finished: bool,
    refusal: Option<Refusal>,
}

#[async_trait]
impl AnswerSink for Caller {
    async fn start(&mut self, head: &UpstreamHead) -> Result<(), HttpError> {
        assert_eq!(self.status, 0, "two heads");
        self.status = head.status;
        Ok(())
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.body.push_str(std::str::from_utf8(bytes).unwrap());
        Ok(())
    }

    async fn finish(&mut self) -> Result<(), HttpError> {
        self.finished = true;
        Ok(())
    }

    async fn refuse(&mut self, refusal: &Refusal) -> Result<(), HttpError> {
        self.refusal = Some(refusal.clone());
        Ok(())
    }
}

fn route(resumable: bool) -> Route {
    Route {
        name: "r".into(),
        kind: RouteKind::Stream.into(),
        timeout_ms: 5_000,
        shares: vec![ServiceShare { service: "engraver".into(), weight: 1 }],
        max_attempts: 2,
        resumable,
        ..Route::default()
    }
}

fn forward(route: &Route, scripts: Vec<Script>) -> (ForwardEnd, Caller, Vec<Option<u64>>) {
    forward_through(&["a", "b", "c", "d"], route, scripts)
}

/// Forwards a request through a fleet of these upstreams.
fn forward_through(
    upstream_ids: &[&str],
    route: &Route,
    scripts: Vec<Script>,
) -> (ForwardEnd, Caller, Vec<Option<u64>>) {
    let record = |id: &str| UpstreamRecord {
        upstream_id: id.into(),
        service: "engraver".into(),
        address: "10.0.0.1:80".into(),
        zone: "santander".into(),
        region: "cantabria".into(),
        slots: 8,
        phase: Phase::Ready,
        started_at_unix_ms: 1,
        sequence: 1,
    };
    let fleet = Arc::new(GatewayFleet::default());
    let records: Vec<UpstreamRecord> = upstream_ids.iter().map(|id| record(id)).collect();
    fleet.replace(&records);
    let connector =
        Arc::new(Scripted { scripts: Mutex::new(scripts.into()), ..Default::default() });
    let counters = Counters::open("test", None);
    let forwarder = Forwarder::open("santander", "cantabria", fleet, connector.clone(), counters);
    let request = StreamRequest {
        request_id: "r1".into(),
        host: "shop.example".into(),
        method: "POST".into(),
        target: "/x".into(),
        headers: Headers::default(),
        body: Bytes::new(),
        patience: Some(Duration::from_secs(5)),
        last_event_id: None,
        prompt: Prompt::default(),
        arrived: Instant::now(),
    };
    let mut caller = Caller::default();
    let end = task::block_on(forwarder.forward(Some(route), 1, &request, &mut caller)).unwrap();
    let sent = connector.sent_after.lock().unwrap().clone();
    (end, caller, sent)
}

fn lost() -> SendError {
    SendError::Lost("reset".into())
}

fn answers(events: bool, pieces: Vec<Result<&'static str, SendError>>) -> Script {
    Script::Answers { status: 200, events, pieces }
}

/// Guards against a missing or doubled event where a stream goes on at another upstream.
#[test]
fn a_broken_stream_goes_on_after_its_last_whole_event() {
    let broken = answers(true, vec![Ok("id: 1\ndata: a\n\nid: 2\nda"), Err(lost())]);
    let rest = answers(true, vec![Ok("id: 2\ndata: b\n\n")]);
    let (end, caller, sent) = forward(&route(true), vec![broken, rest]);
    assert_eq!(end, ForwardEnd::Answered);
    assert_eq!(caller.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(sent, [None, Some(1)]);
}

/// Guards against two answers joined into one: a body that is no stream, or whose events have no ids,
/// was started again by another upstream after its first part had gone out.
#[rstest]
#[case(answers(false, vec![Ok("half of a bo"), Err(lost())]))]
#[case(answers(true, vec![Ok("data: a\n\n"), Err(lost())]))]
fn an_answer_without_places_to_go_on_is_cut(#[case] broken: Script) {
    let whole = answers(false, vec![Ok("a whole body")]);
    let (end, caller, sent) = forward(&route(true), vec![broken, whole]);
    assert_eq!(end, ForwardEnd::Cut);
    assert!(!caller.finished);
    assert_eq!(sent.len(), 1, "{}", caller.body);
}

/// Guards against a stream that goes on with a body that is no stream.
#[test]
fn a_stream_does_not_go_on_with_another_kind_of_body() {
    let broken = answers(true, vec![Ok("id: 1\ndata: a\n\n"), Err(lost())]);
    let other = answers(false, vec![Ok("a whole body")]);
    let (end, caller, _) = forward(&route(true), vec![broken, other]);
    assert_eq!(end, ForwardEnd::Cut);
    assert_eq!(caller.body, "id: 1\ndata: a\n\n");
}

/// Guards against a stream that ends inside an event and looks complete.
#[test]
fn a_stream_that_ends_inside_an_event_is_cut() {
    let broken = answers(true, vec![Ok("id: 1\ndata: a\n\nid: 2\nda")]);
    let (end, caller, _) = forward(&route(false), vec![broken]);
    assert_eq!((end, caller.finished), (ForwardEnd::Cut, false));
}

/// Guards against a second run of a request that may run once, and against a refusal that says "not
/// run" of one that may have run.
#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    let (end, caller, sent) = forward(&route(false), vec![Script::Fails(lost())]);
    assert_eq!((end, sent.len()), (ForwardEnd::Refused, 1));
    assert_eq!(caller.refusal.unwrap().kind, RefusalKind::MayHaveRun);
}

/// Guards against a request lost to the first upstream that is full or down, although it has not run.
#[test]
fn a_request_that_did_not_run_is_sent_elsewhere() {
    let full = Script::Fails(SendError::NotRun { status: 503 });
    let down = Script::Fails(SendError::NotSent("refused".into()));
    let whole = answers(true, vec![Ok("id: 1\ndata: a\n\n")]);
    let (end, _, sent) = forward(&route(false), vec![full, down, whole]);
    assert_eq!((end, sent.len()), (ForwardEnd::Answered, 3));
}

/// Guards against refusals without the time to come back.
#[test]
fn a_request_that_nobody_runs_is_refused_with_a_time() {
    let full = || Script::Fails(SendError::NotRun { status: 503 });
    let (_, caller, sent) = forward(&route(false), vec![full(), full(), full(), full()]);
    let refusal = caller.refusal.unwrap();
    assert_eq!((refusal.kind, sent.len()), (RefusalKind::NotRun, 4));
    assert!(refusal.retry_after.is_some());
}

/// Guards against callers that use up their only other try before a fleet that restarts knows its
/// upstreams again.
#[test]
fn a_caller_comes_back_later_when_no_upstream_is_known() {
    let (end, caller, _) = forward_through(&[], &route(true), Vec::new());
    assert_eq!(end, ForwardEnd::Refused);
    let refusal = caller.refusal.expect("a refusal");
    assert_eq!(refusal.kind, RefusalKind::NotRun);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)), "{refusal:?}");
}

/// Guards against a batch job that is run as one online request: routes that came while its submission was
/// read did so (soak, seed 30).
#[test]
fn a_batch_job_is_never_passed_on_as_a_request() {
    let batch = Route { kind: RouteKind::Batch.into(), ..route(true) };
    let (end, caller, sent) = forward(&batch, Vec::new());
    assert_eq!((end, sent.len()), (ForwardEnd::Refused, 0));
    assert_eq!(caller.refusal.expect("a refusal").kind, RefusalKind::NotRun);
}
