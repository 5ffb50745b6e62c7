use crate::admission::{Refusal, RunOutcome};
use crate::routing::WorkClass;
use crate::schema::state::{Answer as RecordedAnswer, ClaimStatus};
use crate::serving::{
    Answer, AnswerFormat, AnswerLedger, Dispatcher, EngineRequest, FinishedAnswer, RequestIdentity,
    RunningAnswer,
};
use crate::telemetry::Span;

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
    /// Tokens of the answer at most; 0 when the caller does not say.
    pub expected_tokens: u32,
    /// The answer is recorded before its end is sent.
    pub recorded: bool,
}

/// How an online request is answered.
pub enum OnlineAnswer {
    /// An upstream produces the answer.
    Running(Box<RunningAnswer>),
    /// The answer was recorded before.
    Recorded(RecordedAnswer),
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
        if !identity.needs_claim() {
            return self.start(request, span).await;
        }
        if !identity.not_repeatable {
            // The claim is committed while the upstream works on the first token.
            let claim = self.ledger.take(identity, 0, span);
            let (taken, started) = futures::join!(claim, self.start(request, span));
            let taken = taken?;
            if taken.status() == ClaimStatus::Held {
                return started;
            }
            drop(started);
            if let Some(recorded) = self.ledger.resolve(identity, taken, span).await? {
                return Ok(OnlineAnswer::Recorded(recorded));
            }
        } else if let Some(recorded) = self.ledger.claim(identity, span).await? {
            return Ok(OnlineAnswer::Recorded(recorded));
        }
        self.start(request, span).await
    }

    async fn start(&self, request: &OnlineRequest, span: &Span) -> Result<OnlineAnswer, Refusal> {
        match self.dispatcher.start(self.engine_request(request), span).await {
            Ok(running) => Ok(OnlineAnswer::Running(Box::new(running))),
            Err(refusal) => {
                self.release(request, refusal.outcome).await;
                Err(refusal)
            }
        }
    }

    /// Records a whole answer. `false` when no quorum confirmed it in time.
    pub async fn record(&self, request: &OnlineRequest, answer: &Answer, span: &Span) -> bool {
        if !request.recorded {
            return false;
        }
        let identity = &request.identity;
        let body = request.format.whole(&identity.request_id, &request.model, answer).to_string();
        let finished =
            FinishedAnswer { status: 200, content_type: "application/json", body: body.as_bytes() };
        self.ledger.record(identity, finished, span).await
    }

    /// Gives a claim back after a request without a whole answer.
    pub async fn release(&self, request: &OnlineRequest, outcome: RunOutcome) {
        self.ledger.release(&request.identity, outcome).await;
    }

    fn engine_request(&self, request: &OnlineRequest) -> EngineRequest {
        EngineRequest {
            request_id: request.identity.request_id.clone(),
            service: String::new(),
            model: request.model.clone(),
            path: request.format.path().to_owned(),
            body: request.body.clone(),
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
