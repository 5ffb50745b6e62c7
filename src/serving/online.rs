use std::time::Duration;

use crate::admission::{Refusal, RefusalKind, RequestFingerprints, RunOutcome};
use crate::routing::WorkClass;
use crate::schema::state::{Answer as RecordedAnswer, ClaimStatus};
use crate::serving::{
    Answer, AnswerFormat, AnswerLedger, ClaimGuard, Dispatcher, EngineRequest, FinishedAnswer,
    RequestIdentity, RunningAnswer,
};
use crate::telemetry::Span;
use crate::upstream::Chunk;

/// Longest time for which the first token of a repeatable request is held back until its claim is
/// committed. Without a reply from the quorum, the request runs without the claim; its answer is
/// marked as not recorded unless recording it succeeds later.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// An online request from a caller.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// Identifies the request across hosts.
    pub identity: RequestIdentity,
    /// Model name.
    pub model: String,
    /// JSON format of the answer.
    pub format: AnswerFormat,
    /// Request body for the engine.
    pub body: Vec<u8>,
    /// Fingerprints of the body's content, for crash detection.
    pub fingerprints: RequestFingerprints,
    /// Maximum number of tokens in the answer; 0 if the caller sets none.
    pub expected_tokens: u32,
    /// True when the answer must be recorded before its end is sent.
    pub recorded: bool,
}

/// Source of the answer to an online request.
pub enum OnlineAnswer {
    /// An upstream generates the answer.
    Running(Box<OnlineRun>),
    /// The answer was recorded by an earlier run of the request.
    Recorded(RecordedAnswer),
}

/// An answer in progress and the claim under which the request runs. Dropping it cancels the work
/// at the upstream and releases the claim.
pub struct OnlineRun {
    running: RunningAnswer,
    claim: ClaimGuard,
}

impl OnlineRun {
    /// Number of chunks returned so far, including those of earlier attempts.
    pub fn position(&self) -> u64 {
        self.running.position()
    }

    /// Whether the request ran, as far as is known.
    pub fn progress(&self) -> RunOutcome {
        self.running.progress()
    }

    /// Returns the next chunk in order, or `None` once the answer is complete. Releases the claim
    /// before it returns a refusal.
    pub async fn next(&mut self, span: &Span) -> Result<Option<Chunk>, Refusal> {
        let next = self.running.next(span).await;
        match &next {
            Ok(_) => self.claim.progress = self.running.progress(),
            Err(refusal) => self.claim.release(refusal.outcome).await,
        }
        next
    }

    /// Cancels the run and releases the claim, after the caller disconnected or read too slowly.
    pub async fn abandon(mut self) {
        let progress = self.running.progress();
        // Free the upstream's slot without waiting for the release of the claim.
        drop(self.running);
        self.claim.release(progress).await;
    }
}

/// Serves online requests and records their answers.
#[derive(Clone)]
pub struct OnlineService {
    dispatcher: Dispatcher,
    ledger: AnswerLedger,
}

impl OnlineService {
    /// Creates a service that runs requests through `dispatcher` and records answers in `ledger`.
    pub fn open(dispatcher: Dispatcher, ledger: AnswerLedger) -> Self {
        Self { dispatcher, ledger }
    }

    /// Ledger of claims and recorded answers.
    pub fn ledger(&self) -> &AnswerLedger {
        &self.ledger
    }

    /// Starts a request, or returns its recorded answer.
    pub async fn begin(
        &self,
        request: &OnlineRequest,
        span: &Span,
    ) -> Result<OnlineAnswer, Refusal> {
        let identity = &request.identity;
        let mut claim = ClaimGuard::new(&self.ledger, identity);
        if !identity.needs_claim() {
            return self.start(request, claim, span).await;
        }
        if !identity.not_repeatable {
            return self.begin_while_claiming(request, claim, span).await;
        }
        if let Some(recorded) = self.ledger.claim(identity, span).await? {
            claim.settled();
            return Ok(OnlineAnswer::Recorded(recorded));
        }
        self.start(request, claim, span).await
    }

    /// Submits the claim of a repeatable request while the upstream already generates the first
    /// token.
    async fn begin_while_claiming(
        &self,
        request: &OnlineRequest,
        mut claim: ClaimGuard,
        span: &Span,
    ) -> Result<OnlineAnswer, Refusal> {
        let identity = &request.identity;
        let claim_reply = self.ledger.submit_claim(identity, 0, span);
        let claim_reply = async_std::future::timeout(CLAIM_TIMEOUT, claim_reply);
        let started = self.dispatcher.start(self.engine_request(request), span);
        let (claim_reply, started) = futures::join!(claim_reply, started);
        let claim_reply = match claim_reply {
            Ok(Ok(claim_reply)) => claim_reply,
            Err(_) => return self.finish_start(started, claim).await,
            Ok(Err(refusal)) if refusal.kind == RefusalKind::ControlUnavailable => {
                return self.finish_start(started, claim).await;
            }
            Ok(Err(refusal)) => return Err(refusal.with_outcome_at_least(outcome_of(&started))),
        };
        if claim_reply.status() == ClaimStatus::Held {
            return self.finish_start(started, claim).await;
        }
        // Another request with the same key is running or has run, so cancel the run started here.
        let outcome = outcome_of(&started);
        drop(started);
        match self.ledger.wait_for_claim(identity, claim_reply, span).await {
            Ok(Some(recorded)) => {
                claim.settled();
                Ok(OnlineAnswer::Recorded(recorded))
            }
            Ok(None) => self.start(request, claim, span).await,
            Err(refusal) => Err(refusal.with_outcome_at_least(outcome)),
        }
    }

    async fn start(
        &self,
        request: &OnlineRequest,
        mut claim: ClaimGuard,
        span: &Span,
    ) -> Result<OnlineAnswer, Refusal> {
        // Applies if this future is dropped while the request is being sent.
        claim.progress = RunOutcome::MayHaveRun;
        let started = self.dispatcher.start(self.engine_request(request), span).await;
        self.finish_start(started, claim).await
    }

    async fn finish_start(
        &self,
        started: Result<RunningAnswer, Refusal>,
        mut claim: ClaimGuard,
    ) -> Result<OnlineAnswer, Refusal> {
        match started {
            Ok(running) => {
                claim.progress = running.progress();
                Ok(OnlineAnswer::Running(Box::new(OnlineRun { running, claim })))
            }
            Err(refusal) => {
                claim.release(refusal.outcome).await;
                Err(refusal)
            }
        }
    }

    /// Records the complete answer of a run. Returns `false` when no quorum confirmed the record in
    /// time, or when the request asks for no record.
    pub async fn record(
        &self,
        request: &OnlineRequest,
        mut run: OnlineRun,
        answer: &Answer,
        span: &Span,
    ) -> bool {
        if !request.recorded {
            return false;
        }
        let identity = &request.identity;
        let body =
            request.format.answer_body(&identity.request_id, &request.model, answer).to_string();
        let finished =
            FinishedAnswer { status: 200, content_type: "application/json", body: body.as_bytes() };
        let recorded = self.ledger.record(identity, finished, span).await;
        if recorded {
            run.claim.settled();
        }
        recorded
    }

    fn engine_request(&self, request: &OnlineRequest) -> EngineRequest {
        EngineRequest {
            request_id: request.identity.request_id.clone(),
            service: String::new(),
            model: request.model.clone(),
            path: request.format.path().to_owned(),
            body: request.body.clone(),
            fingerprints: request.fingerprints.clone(),
            prefix_hashes: Vec::new(),
            class: WorkClass::Online,
            repeatable: !request.identity.not_repeatable,
            deadline: request.identity.deadline,
            traceparent: String::new(),
            customer: request.identity.customer.clone(),
            expected_tokens: request.expected_tokens,
            first_position: 0,
            stop: None,
        }
    }
}

fn outcome_of(started: &Result<RunningAnswer, Refusal>) -> RunOutcome {
    started.as_ref().map_or_else(|refusal| refusal.outcome, RunningAnswer::progress)
}
