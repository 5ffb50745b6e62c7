use std::time::Duration;

use crate::admission::{Fingerprint, Refusal, RefusalKind, RunOutcome};
use crate::routing::WorkClass;
use crate::schema::state::{Answer as RecordedAnswer, ClaimStatus};
use crate::serving::{
    Answer, AnswerFormat, AnswerLedger, ClaimGuard, Dispatcher, EngineRequest, FinishedAnswer,
    RequestIdentity, RunningAnswer,
};
use crate::telemetry::Span;
use crate::upstream::Chunk;

/// Longest time that the first token of a repeatable request waits for its claim. Without an answer
/// of the quorum the request goes on, and its answer is marked as not recorded unless that works.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// An online request as its caller sent it.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// What makes it the same request on each host.
    pub identity: RequestIdentity,
    /// Model.
    pub model: String,
    /// Shape of the answer.
    pub format: AnswerFormat,
    /// Body for the engine.
    pub body: Vec<u8>,
    /// Recognises the content of the body.
    pub fingerprint: Fingerprint,
    /// Tokens of the answer at most; 0 when the caller does not say.
    pub expected_tokens: u32,
    /// The answer is recorded before its end is sent.
    pub recorded: bool,
}

/// How an online request is answered.
pub enum OnlineAnswer {
    /// An upstream produces the answer.
    Running(Box<OnlineRun>),
    /// The answer was recorded before.
    Recorded(RecordedAnswer),
}

/// An answer that is produced, and the claim under which it runs. Dropping it cancels the work and
/// gives the claim back.
pub struct OnlineRun {
    running: RunningAnswer,
    claim: ClaimGuard,
}

impl OnlineRun {
    /// Tokens that were handed on so far.
    pub fn position(&self) -> u64 {
        self.running.position()
    }

    /// What is known of the request now.
    pub fn progress(&self) -> RunOutcome {
        self.running.progress()
    }

    /// The next piece in order; `None` once the answer is whole. A refusal gives the claim back.
    pub async fn next(&mut self, span: &Span) -> Result<Option<Chunk>, Refusal> {
        let next = self.running.next(span).await;
        match &next {
            Ok(_) => self.claim.progress = self.running.progress(),
            Err(refusal) => self.claim.release(refusal.outcome).await,
        }
        next
    }

    /// Gives the claim back after the caller went away or reads too slowly.
    pub async fn abandon(mut self) {
        let progress = self.running.progress();
        // The slot at the upstream does not wait for the claim.
        drop(self.running);
        self.claim.release(progress).await;
    }
}

/// Serves online requests and keeps their answers.
#[derive(Clone)]
pub struct OnlineService {
    dispatcher: Dispatcher,
    ledger: AnswerLedger,
}

impl OnlineService {
    /// A service that runs requests through `dispatcher` and records them in `ledger`.
    pub fn open(dispatcher: Dispatcher, ledger: AnswerLedger) -> Self {
        Self { dispatcher, ledger }
    }

    /// Claims and recorded answers.
    pub fn ledger(&self) -> &AnswerLedger {
        &self.ledger
    }

    /// Starts a request, or finds its recorded answer.
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
            return self.begin_beside_claim(request, claim, span).await;
        }
        if let Some(recorded) = self.ledger.claim(identity, span).await? {
            claim.settled();
            return Ok(OnlineAnswer::Recorded(recorded));
        }
        self.start(request, claim, span).await
    }

    /// Commits the claim of a repeatable request while the upstream works on the first token.
    async fn begin_beside_claim(
        &self,
        request: &OnlineRequest,
        mut claim: ClaimGuard,
        span: &Span,
    ) -> Result<OnlineAnswer, Refusal> {
        let identity = &request.identity;
        let taken = self.ledger.take(identity, 0, span);
        let taken = async_std::future::timeout(CLAIM_TIMEOUT, taken);
        let started = self.dispatcher.start(self.engine_request(request), span);
        let (taken, started) = futures::join!(taken, started);
        let taken = match taken {
            Ok(Ok(taken)) => taken,
            Err(_) => return self.started(started, claim).await,
            Ok(Err(refusal)) if refusal.kind == RefusalKind::ControlUnavailable => {
                return self.started(started, claim).await;
            }
            Ok(Err(refusal)) => return Err(refusal.with_outcome_at_least(outcome_of(&started))),
        };
        if taken.status() == ClaimStatus::Held {
            return self.started(started, claim).await;
        }
        // Another request runs or ran under the key; what was started here is cancelled.
        let outcome = outcome_of(&started);
        drop(started);
        match self.ledger.resolve(identity, taken, span).await {
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
        // Holds if this call is dropped while the request is on its way.
        claim.progress = RunOutcome::MayHaveRun;
        let started = self.dispatcher.start(self.engine_request(request), span).await;
        self.started(started, claim).await
    }

    async fn started(
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

    /// Records the whole answer of a run. `false` when no quorum confirmed it in time.
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
        let body = request.format.whole(&identity.request_id, &request.model, answer).to_string();
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
            fingerprint: request.fingerprint,
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
