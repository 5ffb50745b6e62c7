use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::admission::{Refusal, RefusalKind, RunOutcome};
use crate::schema::state::{
    command, outcome, query, query_answer, Answer as RecordedAnswer, ClaimStatus, ClaimTaken,
    Command, GetAnswer, Query, RecordAnswer, SettleClaim, TakeClaim,
};
use crate::serving::dispatcher::time_left;
use crate::serving::state_calls::unavailable;
use crate::serving::RequestIdentity;
use crate::state::StateClient;
use crate::telemetry::{Counters, Span};

/// Longest time that the end of an answer waits for its record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between two looks for the record of a request that another host runs.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// Looks for a record before the claim itself is looked at again.
const JOIN_LOOKS: u32 = 10;
/// Time that a claim holds after the deadline of its request.
const CLAIM_MARGIN_MS: u32 = 5_000;

/// An answer to be recorded.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAnswer<'a> {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

/// Claims and recorded answers of online requests, known to all hosts.
#[derive(Clone)]
pub struct AnswerLedger {
    state: Arc<dyn StateClient>,
    counters: Counters,
    host_id: Arc<str>,
    incarnation: u64,
}

impl AnswerLedger {
    /// Access under the name of this host.
    pub fn open(
        state: Arc<dyn StateClient>,
        counters: Counters,
        host_id: &str,
        incarnation: u64,
    ) -> Self {
        Self { state, counters, host_id: host_id.into(), incarnation }
    }

    /// Claims the request's key; gives the recorded answer when there is one.
    ///
    /// Waits for the record while another request under the key runs.
    pub async fn claim(
        &self,
        identity: &RequestIdentity,
        span: &Span,
    ) -> Result<Option<RecordedAnswer>, Refusal> {
        let taken = self.take(identity, 0, span).await?;
        self.resolve(identity, taken, span).await
    }

    /// Follows a claim that was taken until this host holds it or an answer is recorded.
    pub async fn resolve(
        &self,
        identity: &RequestIdentity,
        mut taken: ClaimTaken,
        span: &Span,
    ) -> Result<Option<RecordedAnswer>, Refusal> {
        for attempt in 1.. {
            match taken.status() {
                ClaimStatus::Held => return Ok(None),
                ClaimStatus::Answered => return Ok(taken.answer),
                ClaimStatus::Running => {
                    if let Some(recorded) = self.join(identity).await? {
                        return Ok(Some(recorded));
                    }
                }
                // The claim was given back, so it can be taken anew.
                ClaimStatus::Free => {}
                ClaimStatus::Unknown | ClaimStatus::Unspecified => break,
            }
            taken = self.take(identity, attempt, span).await?;
        }
        let message = "an earlier attempt under this key may have run";
        let refusal = Refusal::not_run(RefusalKind::OutcomeUnknown, message);
        Err(refusal.with_outcome(RunOutcome::MayHaveRun))
    }

    /// Records a whole answer. `false` when no quorum confirmed it in time.
    pub async fn record(
        &self,
        identity: &RequestIdentity,
        answer: FinishedAnswer<'_>,
        span: &Span,
    ) -> bool {
        let mut span = span.child("record_answer");
        let key = if identity.needs_claim() { identity.claim_key() } else { String::new() };
        let record = RecordAnswer {
            customer: identity.customer.clone(),
            key,
            fingerprint: identity.fingerprint.clone().into(),
            request_id: identity.request_id.clone(),
            status: answer.status.into(),
            content_type: answer.content_type.to_owned(),
            body: answer.body.to_vec().into(),
        };
        let command_id = format!("record-{}", identity.request_id);
        let command = command_of(command_id, command::Command::RecordAnswer(record));
        let timeout = RECORD_TIMEOUT.min(time_left(identity.deadline).max(JOIN_INTERVAL));
        let submitted = async_std::future::timeout(timeout, self.state.submit(command)).await;
        let recorded = matches!(&submitted, Ok(Ok(outcome))
            if matches!(outcome.outcome, Some(outcome::Outcome::AnswerRecorded(_))));
        if !recorded {
            span.text("error", "no quorum confirmed the record in time");
            self.counters.count("answer.not_recorded");
        }
        recorded
    }

    /// Gives a claim back after a request without a whole answer.
    pub async fn release(&self, identity: &RequestIdentity, outcome: RunOutcome) {
        if !identity.needs_claim() {
            return;
        }
        let settle = SettleClaim {
            customer: identity.customer.clone(),
            key: identity.claim_key(),
            request_id: identity.request_id.clone(),
            not_run: outcome == RunOutcome::NotRun || !identity.not_repeatable,
        };
        let command = command_of(String::new(), command::Command::SettleClaim(settle));
        let _ = self.state.submit(command).await;
    }

    /// The recorded answer of a request, by its id or its key.
    pub async fn find(
        &self,
        customer: &str,
        request_id: &str,
        key: &str,
    ) -> Result<Option<RecordedAnswer>, Refusal> {
        let get = GetAnswer {
            customer: customer.to_owned(),
            request_id: request_id.to_owned(),
            key: key.to_owned(),
        };
        let query = Query { query: Some(query::Query::GetAnswer(get)) };
        let answer = self.state.query(query).await.map_err(unavailable)?;
        match answer.answer {
            Some(query_answer::Answer::Recorded(recorded)) => Ok(Some(recorded)),
            _ => Ok(None),
        }
    }

    /// Asks for the claim once. `attempt` tells apart the questions of one request.
    pub async fn take(
        &self,
        identity: &RequestIdentity,
        attempt: u32,
        span: &Span,
    ) -> Result<ClaimTaken, Refusal> {
        let mut span = span.child("claim");
        let claim = TakeClaim {
            customer: identity.customer.clone(),
            key: identity.claim_key(),
            fingerprint: identity.fingerprint.clone().into(),
            request_id: identity.request_id.clone(),
            holder: self.host_id.to_string(),
            holder_incarnation: self.incarnation,
            lease_ms: time_left(identity.deadline).as_millis() as u32 + CLAIM_MARGIN_MS,
            not_repeatable: identity.not_repeatable,
        };
        let command_id = format!("claim-{}-{attempt}", identity.request_id);
        let command = command_of(command_id, command::Command::TakeClaim(claim));
        let submitted = self.state.submit(command).await.map_err(unavailable)?;
        match submitted.outcome {
            Some(outcome::Outcome::ClaimTaken(taken)) => {
                span.text("status", taken.status().as_str_name());
                Ok(taken)
            }
            Some(outcome::Outcome::Refused(refused)) => Err(Refusal::from(refused)),
            _ => Err(Refusal::not_run(RefusalKind::ControlUnavailable, "unexpected outcome")),
        }
    }

    /// Waits for the record of a request that runs elsewhere; `None` when its claim may have ended.
    async fn join(&self, identity: &RequestIdentity) -> Result<Option<RecordedAnswer>, Refusal> {
        for _ in 0..JOIN_LOOKS {
            if time_left(identity.deadline) <= JOIN_INTERVAL {
                let message = "a request under this key is still running";
                let refusal = Refusal::not_run(RefusalKind::InProgress, message);
                return Err(refusal.with_outcome(RunOutcome::MayHaveRun));
            }
            task::sleep(JOIN_INTERVAL).await;
            let key = identity.claim_key();
            if let Some(recorded) = self.find(&identity.customer, "", &key).await? {
                return Ok(Some(recorded));
            }
        }
        Ok(None)
    }
}

fn command_of(command_id: String, command: command::Command) -> Command {
    Command { command_id, proposed_at_unix_ms: 0, command: Some(command) }
}
