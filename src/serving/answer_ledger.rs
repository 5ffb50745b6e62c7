use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::admission::{Refusal, RefusalKind, RunOutcome};
use crate::schema::state::{
    command, outcome, query, query_answer, Answer as RecordedAnswer, ClaimStatus, ClaimTaken,
    Command, GetAnswer, Query, RecordAnswer, SettleClaim, TakeClaim,
};
use crate::serving::dispatcher::time_left;
use crate::serving::state_calls::control_unavailable;
use crate::serving::RequestIdentity;
use crate::state::StateClient;
use crate::telemetry::{Counters, Span};

/// Longest time for which the end of an answer is held back until its record is committed.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval at which a host polls for the record of a request that another host runs.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Polls for a record before the claim is requested again.
const RECORD_POLLS_PER_CLAIM: u32 = 10;
/// Time by which the lease of a claim outlasts the deadline of its request.
const CLAIM_MARGIN_MS: u32 = 5_000;

/// A complete answer to record.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAnswer<'a> {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Claims and recorded answers of online requests, kept in the replicated state for all hosts.
#[derive(Clone)]
pub struct AnswerLedger {
    state: Arc<dyn StateClient>,
    counters: Counters,
    host_id: Arc<str>,
    incarnation: u64,
}

impl AnswerLedger {
    /// Creates a ledger whose claims are held by this host.
    pub fn open(
        state: Arc<dyn StateClient>,
        counters: Counters,
        host_id: &str,
        incarnation: u64,
    ) -> Self {
        Self { state, counters, host_id: host_id.into(), incarnation }
    }

    /// Claims the request's key. Returns the recorded answer if there is one, or `None` once this
    /// host holds the claim.
    ///
    /// While another request with the same key runs, waits for the record of its answer.
    pub async fn claim(
        &self,
        identity: &RequestIdentity,
        span: &Span,
    ) -> Result<Option<RecordedAnswer>, Refusal> {
        let claim_reply = self.submit_claim(identity, 0, span).await?;
        self.wait_for_claim(identity, claim_reply, span).await
    }

    /// Repeats the claim, starting from the reply to its first submission, until this host holds it
    /// (`None`) or an answer is recorded.
    pub async fn wait_for_claim(
        &self,
        identity: &RequestIdentity,
        mut claim_reply: ClaimTaken,
        span: &Span,
    ) -> Result<Option<RecordedAnswer>, Refusal> {
        for attempt in 1.. {
            match claim_reply.status() {
                ClaimStatus::Held => return Ok(None),
                ClaimStatus::Answered => return Ok(claim_reply.answer),
                ClaimStatus::Running => {
                    if let Some(recorded) = self.wait_for_record(identity).await? {
                        return Ok(Some(recorded));
                    }
                }
                // The previous holder released the claim, so it can be acquired again.
                ClaimStatus::Free => {}
                ClaimStatus::Unknown | ClaimStatus::Unspecified => break,
            }
            claim_reply = self.submit_claim(identity, attempt, span).await?;
        }
        let message = "an earlier attempt under this key may have run";
        let refusal = Refusal::not_run(RefusalKind::OutcomeUnknown, message);
        Err(refusal.with_outcome(RunOutcome::MayHaveRun))
    }

    /// Records a complete answer. Returns `false` when no quorum confirmed the record in time.
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
        let command = state_command(command_id, command::Command::RecordAnswer(record));
        let timeout = RECORD_TIMEOUT.min(time_left(identity.deadline).max(RECORD_POLL_INTERVAL));
        let submitted = async_std::future::timeout(timeout, self.state.submit(command)).await;
        let recorded = matches!(&submitted, Ok(Ok(outcome))
            if matches!(outcome.outcome, Some(outcome::Outcome::AnswerRecorded(_))));
        if !recorded {
            span.set_text("error", "no quorum confirmed the record in time");
            self.counters.count("answer.not_recorded");
        }
        recorded
    }

    /// Releases the claim of a request that ended without a complete answer.
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
        let command = state_command(String::new(), command::Command::SettleClaim(settle));
        let _ = self.state.submit(command).await;
    }

    /// Looks up the recorded answer of a request by its ID or its key.
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
        let answer = self.state.query(query).await.map_err(control_unavailable)?;
        match answer.answer {
            Some(query_answer::Answer::Recorded(recorded)) => Ok(Some(recorded)),
            _ => Ok(None),
        }
    }

    /// Submits the claim once. `attempt` makes the command ID unique among the submissions of one
    /// request.
    pub async fn submit_claim(
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
        let command = state_command(command_id, command::Command::TakeClaim(claim));
        let submitted = self.state.submit(command).await.map_err(control_unavailable)?;
        match submitted.outcome {
            Some(outcome::Outcome::ClaimTaken(claim_reply)) => {
                span.set_text("status", claim_reply.status().as_str_name());
                Ok(claim_reply)
            }
            Some(outcome::Outcome::Refused(refused)) => Err(Refusal::from(refused)),
            _ => Err(Refusal::not_run(RefusalKind::ControlUnavailable, "unexpected outcome")),
        }
    }

    /// Polls for the record of a request that another host runs. Returns `None` when it is time to
    /// submit the claim again, because the other host's claim may have ended.
    async fn wait_for_record(
        &self,
        identity: &RequestIdentity,
    ) -> Result<Option<RecordedAnswer>, Refusal> {
        for _ in 0..RECORD_POLLS_PER_CLAIM {
            if time_left(identity.deadline) <= RECORD_POLL_INTERVAL {
                let message = "a request under this key is still running";
                let refusal = Refusal::not_run(RefusalKind::InProgress, message);
                return Err(refusal.with_outcome(RunOutcome::MayHaveRun));
            }
            task::sleep(RECORD_POLL_INTERVAL).await;
            let key = identity.claim_key();
            if let Some(recorded) = self.find(&identity.customer, "", &key).await? {
                return Ok(Some(recorded));
            }
        }
        Ok(None)
    }
}

fn state_command(command_id: String, command: command::Command) -> Command {
    Command { command_id, proposed_at_unix_ms: 0, command: Some(command) }
}
