//! Property tests of attempts against upstreams that fail in various ways, checked against an
//! oracle that counts which calls were sent and started, and tests of the policies that limit
//! attempts. Set `PROPTEST_CASES` and `PROPTEST_RNG_SEED` for longer runs.

use std::collections::{HashMap, VecDeque};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use damaskhoist::admission::{
    AdmissionPolicy, CrashDetector, CrashRecord, CrashRecords, CrashVerdict, Fingerprint, Refusal,
    RequestFingerprints, RetryBudget, RunOutcome, SlotQueue, TrialClaim, TrialLeases,
};
use damaskhoist::membership::{UpstreamModel, UpstreamRecord};
use damaskhoist::routing::{EjectionPolicy, Fleet, WeightedScore, WorkClass};
use damaskhoist::serving::{BlockHasher, Dispatcher, EngineRequest};
use damaskhoist::telemetry::{Counters, Tracer};
use damaskhoist::upstream::{
    ResponseReader, UpstreamCall, UpstreamConnector, UpstreamError, UpstreamResponse,
};
use futures::{AsyncBufRead, AsyncRead};
use proptest::prelude::*;
use rstest::rstest;

#[path = "support/proptest_config.rs"]
mod proptest_config;

const TOKENS: u64 = 8;
const UPSTREAMS: u32 = 3;
/// Ends a stalled stream, because the time limits for the next token are longer.
const DEADLINE: Duration = Duration::from_millis(250);

/// Behaviour of an upstream for one call.
#[derive(Clone, Debug)]
enum Step {
    /// Refuses the connection.
    Refuse,
    /// The connection breaks before the response head; `started` tells whether the request ran.
    Lose { started: bool },
    /// Sends no response head until the call times out.
    Freeze,
    /// Sends nothing for this time, then responds completely.
    Pause(Duration),
    /// Responds with a status other than 200. With a status below 500, the upstream has read and
    /// refused the request.
    Status(u16),
    /// Responds with a stream.
    Stream(Script),
}

#[derive(Clone, Debug)]
struct Script {
    /// Positions in the order in which they are sent. Positions below the requested one model
    /// engines that ignore `x-resume-position`.
    order: Vec<u64>,
    end: End,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Complete,
    Cut,
    CleanWithoutDone,
    WithoutReason,
    Cancelled,
    Error,
    Stall,
}

/// Upstreams that follow a list of steps, and answer completely after the last one.
#[derive(Clone, Default)]
struct FakeConnector {
    steps: Arc<Mutex<VecDeque<Step>>>,
    oracle: Arc<Mutex<Oracle>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Oracle {
    sent: u32,
    started: u32,
}

struct FakeBody {
    bytes: Vec<u8>,
    read: usize,
    end: End,
}

impl AsyncRead for FakeBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let bytes = ready!(self.as_mut().poll_fill_buf(context))?;
        let length = bytes.len().min(buffer.len());
        buffer[..length].copy_from_slice(&bytes[..length]);
        self.consume(length);
        Poll::Ready(Ok(length))
    }
}

impl AsyncBufRead for FakeBody {
    fn poll_fill_buf(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<std::io::Result<&[u8]>> {
        let this = self.get_mut();
        match (&this.bytes[this.read..], this.end) {
            ([], End::Cut) => Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into())),
            ([], End::Stall) => Poll::Pending,
            (rest, _) => Poll::Ready(Ok(rest)),
        }
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.read += amount;
    }
}

impl ResponseReader for FakeBody {
    fn cancel(&mut self) {
        self.read = self.bytes.len();
        self.end = End::Complete;
    }
}

fn scripted_body(script: &Script, first_position: u64) -> FakeBody {
    let mut text = String::new();
    // Chunks of the script are sent first; a complete stream then adds the missing ones, starting
    // at the requested position.
    let sent = script.order.iter().filter(|position| **position < TOKENS);
    for position in sent {
        text += &format!(
            "data: {{\"position\":{position},\"choices\":[{{\"text\":\"t{position} \"}}]}}\n\n"
        );
    }
    if script.end == End::Complete {
        let missing = (first_position..TOKENS).filter(|position| !script.order.contains(position));
        for position in missing {
            text += &format!(
                "data: {{\"position\":{position},\"choices\":[{{\"text\":\"t{position} \"}}]}}\n\n"
            );
        }
    }
    let last = |reason: &str| {
        format!(
            "data: {{\"choices\":[{{\"text\":\"\",\"finish_reason\":{reason}}}],\
             \"usage\":{{\"completion_tokens\":{TOKENS}}}}}\n\n"
        )
    };
    match script.end {
        End::Complete => text += &(last("\"stop\"") + "data: [DONE]\n\n"),
        End::WithoutReason => text += "data: [DONE]\n\n",
        End::Cancelled => text += &(last("\"cancelled\"") + "data: [DONE]\n\n"),
        End::Error => text += "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
        End::Cut => text += "data: {\"position\":",
        End::CleanWithoutDone | End::Stall => {}
    }
    FakeBody { bytes: text.into_bytes(), read: 0, end: script.end }
}

#[async_trait]
impl UpstreamConnector for FakeConnector {
    async fn open(&self, call: UpstreamCall<'_>) -> Result<UpstreamResponse, UpstreamError> {
        let response = |status, body| UpstreamResponse {
            status,
            content_type: String::new(),
            body: Box::new(body),
        };
        let complete = Script { order: Vec::new(), end: End::Complete };
        if call.path == "/v1/load" {
            return Ok(response(200, scripted_body(&complete, TOKENS)));
        }
        let header = call.headers.iter().find(|(name, _)| *name == "x-resume-position");
        let first_position = header.map_or(0, |(_, value)| value.parse().unwrap());
        let step = self.steps.lock().unwrap().pop_front();
        let step = step.unwrap_or_else(|| Step::Stream(complete.clone()));
        let (sent, started) = match step {
            Step::Refuse => (false, false),
            Step::Lose { started } => (true, started),
            _ => (true, true),
        };
        {
            let mut oracle = self.oracle.lock().unwrap();
            oracle.sent += u32::from(sent);
            oracle.started += u32::from(started);
        }
        match step {
            Step::Refuse => Err(UpstreamError::NotSent("refused".to_owned())),
            Step::Lose { .. } => Err(UpstreamError::Lost("reset".to_owned())),
            Step::Freeze => {
                task::sleep(call.timeout).await;
                Err(UpstreamError::Silent("no answer".to_owned()))
            }
            Step::Pause(pause) => {
                task::sleep(pause.min(call.timeout)).await;
                match pause < call.timeout {
                    true => Ok(response(200, scripted_body(&complete, first_position))),
                    false => Err(UpstreamError::Silent("no answer".to_owned())),
                }
            }
            Step::Status(status) => Ok(response(status, scripted_body(&complete, TOKENS))),
            Step::Stream(script) => Ok(response(200, scripted_body(&script, first_position))),
        }
    }
}

#[derive(Default)]
struct FakeCrashRecords(Mutex<HashMap<Vec<u8>, Arc<CrashRecord>>>);

impl CrashRecords for FakeCrashRecords {
    fn find(&self, fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>> {
        self.0.lock().unwrap().get(fingerprint.as_bytes()).cloned()
    }

    fn publish(&self, record: CrashRecord) {
        self.0.lock().unwrap().insert(record.fingerprint.clone(), Arc::new(record));
    }

    fn all(&self) -> Vec<Arc<CrashRecord>> {
        self.0.lock().unwrap().values().cloned().collect()
    }
}

#[async_trait]
impl TrialLeases for FakeCrashRecords {
    async fn claim_trial(&self, _upstream: &str, _trial: &str, _lease: Duration) -> TrialClaim {
        TrialClaim::Granted
    }

    async fn release_trial(&self, _upstream: &str, _trial: &str) {}
}

struct EqualShares;

impl AdmissionPolicy for EqualShares {
    fn weight(&self, _customer: &str) -> u32 {
        1
    }

    fn batch_yield(&self) -> u32 {
        50
    }
}

fn dispatcher(connector: FakeConnector) -> Dispatcher {
    let queue = SlotQueue::open(Box::new(EqualShares), true);
    let fleet = Arc::new(Fleet::open(queue.clone()));
    let records: Vec<_> = (0..UPSTREAMS)
        .map(|index| {
            Arc::new(UpstreamRecord {
                upstream_id: format!("upstream-{index}"),
                service: "engraving".to_owned(),
                models: vec![UpstreamModel { name: "m".to_owned(), ..Default::default() }],
                slots: 2,
                ..Default::default()
            })
        })
        .collect();
    fleet.replace(records.iter().map(|record| (record, 1)));
    fleet.load().upstreams().for_each(|upstream| {
        upstream.set_limits(2, 2);
    });
    let balancer = Box::new(WeightedScore::new("", "", Arc::default()));
    let counters = Counters::open("test", None);
    let records = Arc::new(FakeCrashRecords::default());
    Dispatcher::open(
        fleet,
        balancer,
        Box::new(BlockHasher),
        Box::new(connector),
        queue,
        records,
        counters,
    )
}

fn request(repeatable: bool) -> EngineRequest {
    EngineRequest {
        request_id: "request".to_owned(),
        service: String::new(),
        model: "m".to_owned(),
        path: "/v1/completions".to_owned(),
        body: b"{}".to_vec(),
        fingerprints: RequestFingerprints::of_request(Fingerprint::of(&[b"{}"])),
        prefix_hashes: Vec::new(),
        class: WorkClass::Online,
        repeatable,
        deadline: Instant::now() + DEADLINE,
        traceparent: String::new(),
        customer: "c".to_owned(),
        expected_tokens: 0,
        first_position: 0,
        stop: None,
    }
}

fn arbitrary_step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        3 => Just(End::Complete),
        4 => Just(End::Cut),
        2 => Just(End::CleanWithoutDone),
        2 => Just(End::WithoutReason),
        2 => Just(End::Cancelled),
        2 => Just(End::Error),
        1 => Just(End::Stall),
    ];
    let script = (prop::collection::vec(0..TOKENS, 0..16), end);
    prop_oneof![
        2 => Just(Step::Refuse),
        2 => any::<bool>().prop_map(|started| Step::Lose { started }),
        1 => Just(Step::Freeze),
        2 => prop::sample::select(vec![400, 404, 422, 429, 500, 503]).prop_map(Step::Status),
        8 => script.prop_map(|(order, end)| Step::Stream(Script { order, end })),
    ]
}

async fn check_attempts(steps: Vec<Step>, repeatable: bool) -> Result<(), TestCaseError> {
    let must_succeed = steps.is_empty();
    let connector = FakeConnector::default();
    connector.steps.lock().unwrap().extend(steps);
    let dispatcher = dispatcher(connector.clone());
    let span = Tracer::open("test", None, 0.0).unwrap().start("test", None);
    let mut text = String::new();
    let mut reason = None;
    let end = match dispatcher.start(request(repeatable), &span).await {
        Err(refusal) => Err(refusal),
        Ok(mut answer) => loop {
            match answer.next(&span).await {
                Ok(Some(chunk)) => {
                    text += &chunk.text;
                    reason = chunk.finish_reason.or(reason);
                }
                Ok(None) => break Ok(()),
                Err(refusal) => break Err(refusal),
            }
        },
    };
    let oracle = *connector.oracle.lock().unwrap();
    let expected: String = (0..TOKENS).map(|position| format!("t{position} ")).collect();
    prop_assert!(expected.starts_with(&text), "not a prefix: {text}");
    if !repeatable {
        prop_assert!(oracle.sent <= 1, "sent {} times", oracle.sent);
    }
    prop_assert!(!must_succeed || end.is_ok(), "no step failed, but the answer is incomplete");
    match end {
        Ok(()) => {
            prop_assert_eq!(text, expected);
            prop_assert_eq!(reason.as_deref(), Some("stop"));
        }
        Err(refusal) => match refusal.outcome {
            RunOutcome::NotRun => prop_assert_eq!(oracle.sent, 0, "{}", refusal),
            RunOutcome::MayHaveRun => prop_assert!(oracle.sent > 0, "{}", refusal),
            RunOutcome::Ran => prop_assert!(oracle.started > 0, "{}", refusal),
        },
    }
    let fleet = dispatcher.fleet().load_full();
    let ended = Instant::now();
    while fleet.upstreams().any(|upstream| upstream.in_use() > 0) {
        prop_assert!(ended.elapsed() < Duration::from_secs(1), "a slot was not released");
        task::sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}

proptest! {
    #![proptest_config(proptest_config::config())]

    /// Guards against a second run of a request that must not repeat, a wrong `not_run` outcome,
    /// gaps or duplicates in the text, a truncated answer that looks complete, and leaked slots.
    #[test]
    fn reported_outcomes_match_upstream_runs(
        steps in prop::collection::vec(arbitrary_step(), 0..5),
        repeatable in any::<bool>(),
    ) {
        task::block_on(check_attempts(steps, repeatable))?;
    }

    /// Guards against more retries than the configured percentage of requests.
    #[test]
    fn retries_stay_within_the_budget(
        percent in 0..100u32,
        events in prop::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let budget = RetryBudget::default();
        let (mut requests, mut retries) = (0, 0);
        for is_request in events {
            if is_request {
                requests += 1;
                budget.record_request(percent);
            } else {
                retries += u32::from(budget.try_withdraw(0));
            }
        }
        prop_assert!(retries <= 10 + requests * percent / 100);
    }
}

/// Guards against a host with little traffic that may never retry, and against a budget that grows
/// without limit while the host is idle.
#[test]
fn retry_budget_refills_over_time() {
    let budget = RetryBudget::default();
    let withdraw_all = |now_ms| (0..100).filter(|_| budget.try_withdraw(now_ms)).count();
    assert_eq!(withdraw_all(0), 10);
    assert_eq!(withdraw_all(2_000), 2);
    assert_eq!(withdraw_all(1_000_000), 10);
}

/// Guards against requests that are run again at, or refused for, upstreams that are all silent for a while.
#[test]
fn requests_stay_through_a_silence_of_all_upstreams() {
    let connector = FakeConnector::default();
    let pause = Step::Pause(Duration::from_millis(3_500));
    connector.steps.lock().unwrap().extend(vec![pause; 12]);
    let dispatcher = dispatcher(connector.clone());
    dispatcher.fleet().load().upstreams().for_each(|upstream| {
        upstream.token_latency.record_first_token(Duration::from_millis(50));
    });
    let span = Tracer::open("test", None, 0.0).unwrap().start("test", None);
    let call = async |_| {
        let deadline = Instant::now() + Duration::from_secs(10);
        let request = EngineRequest { deadline, ..request(true) };
        let mut answer = dispatcher.start(request, &span).await?;
        while answer.next(&span).await?.is_some() {}
        Ok::<(), Refusal>(())
    };
    // As many requests as there are slots.
    let ends = task::block_on(futures::future::join_all((0..2 * UPSTREAMS).map(call)));
    let sent = connector.oracle.lock().unwrap().sent;
    assert!(ends.iter().all(Result::is_ok), "{sent} sent: {ends:?}");
    assert_eq!(sent, 2 * UPSTREAMS);
}

/// Guards against ejecting more upstreams than the limit allows, and against ejecting an upstream
/// for a single failure.
#[rstest]
#[case(5, 0, 10, false)]
#[case(6, 0, 10, true)]
#[case(6, 2, 10, true)]
#[case(6, 3, 10, false)]
#[case(6, 0, 3, false)]
fn ejection_respects_its_limit(
    #[case] weight: u32,
    #[case] ejected: usize,
    #[case] total: usize,
    #[case] ejects: bool,
) {
    assert_eq!(EjectionPolicy { limit_percent: 30 }.should_eject(weight, ejected, total), ejects);
}

/// Guards against convicting a request for one crash that two hosts recorded, and against a verdict
/// that remains after the request completed.
#[test]
fn two_crashes_convict_a_request_and_a_completion_clears_it() {
    let detector = CrashDetector { verdict_ms: 100, request_conviction_losses: 2 };
    let fingerprint = Fingerprint::of(&[b"request"]);
    let request = RequestFingerprints::of_request(fingerprint);
    let record_loss = |record: Option<&CrashRecord>, loss| {
        detector.after_loss(record, &fingerprint, false, loss, 1_000)
    };
    let verdict_at = |record: &CrashRecord, now_ms| {
        let records = FakeCrashRecords::default();
        records.publish(record.clone());
        detector.verdict(&request, &records, now_ms)
    };
    let verdict = |record: &CrashRecord| verdict_at(record, 1_050);
    let first = record_loss(None, "a@1");
    assert_eq!(verdict(&first), CrashVerdict::Suspect);
    assert_eq!(verdict(&first.union(&record_loss(None, "a@1"))), CrashVerdict::Suspect);
    let second = first.union(&record_loss(None, "a@2"));
    let convicted = CrashVerdict::Convicted { expires_unix_ms: 1_100, losses: 2, fingerprint };
    assert_eq!(verdict(&second), convicted);
    assert_eq!(verdict_at(&second, 1_100), CrashVerdict::Clear);
    let cleared = CrashDetector::after_run(Some(&first)).unwrap();
    assert_eq!(verdict(&cleared.union(&first)), CrashVerdict::Clear);
    assert_eq!(verdict(&record_loss(Some(&cleared), "b@1")), CrashVerdict::Suspect);
}
