use std::time::Instant;

use async_std::task;
use futures::AsyncReadExt;

use crate::admission::{Refusal, RefusalKind, RequestFingerprints, RunOutcome, SlotDemand};
use crate::routing::{RequestView, Upstream, WorkClass};
use crate::serving::dispatcher::time_left;
use crate::serving::{
    AttemptFailure, AttemptPolicy, Dispatcher, FailureCause, FinishedAnswer, NextStep,
};
use crate::telemetry::Span;
use crate::upstream::{UpstreamCall, UpstreamError};

/// Largest response body of a plain service.
const RESPONSE_LIMIT_BYTES: u64 = 4 * 1024 * 1024;

/// A call to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainCall<'a> {
    /// Request ID, as sent to the service.
    pub request_id: &'a str,
    /// Customer whose share of the slots the request uses.
    pub customer: &'a str,
    /// Service to call.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query string.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Complete body.
    pub body: &'a [u8],
    /// Fingerprints of the call's content, for crash detection.
    pub fingerprints: &'a RequestFingerprints,
    /// True when the request may be sent again although an upstream may have started it.
    pub repeatable: bool,
    /// Work class: online or batch.
    pub class: WorkClass,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// Complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type, or empty.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

impl PlainAnswer {
    /// Borrows the answer in the form that the ledger records.
    pub fn view(&self) -> FinishedAnswer<'_> {
        FinishedAnswer { status: self.status, content_type: &self.content_type, body: &self.body }
    }
}

impl Dispatcher {
    /// Calls a plain service and reads its complete response. Retries at another upstream when one
    /// fails and the call is repeatable.
    pub async fn call_plain(
        &self,
        call: &PlainCall<'_>,
        parent: &Span,
    ) -> Result<PlainAnswer, Refusal> {
        self.record_request();
        let mut excluded = Vec::new();
        let mut progress = RunOutcome::NotRun;
        for attempts in 1.. {
            let view = RequestView {
                service: call.service,
                model: "",
                class: call.class,
                prefix_hashes: &[],
                excluded: &excluded,
            };
            let demand =
                SlotDemand { customer: call.customer, expected_tokens: 0, deadline: call.deadline };
            let decision = parent.child("decision");
            let acquired = self.acquire_by_verdict(&view, &demand, call.fingerprints).await;
            decision.close();
            let (permit, trial) =
                acquired.map_err(|refusal| refusal.with_outcome_at_least(progress))?;
            let upstream = permit.upstream().clone();
            let mut span = parent.child("upstream_attempt");
            span.set_text("upstream_id", &upstream.record.upstream_id);
            self.counters().count("attempt.started");
            let failure = match self.attempt_plain(call, &upstream, &span).await {
                Ok(answer) => {
                    upstream.health.record_success();
                    self.crashes().record_run(call.fingerprints);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            span.set_text("error", &failure.reason);
            excluded.push(upstream.record.upstream_id.clone());
            drop(permit);
            let policy = AttemptPolicy {
                repeatable: call.repeatable,
                can_resume: true,
                attempts,
                progress,
                time_left: time_left(call.deadline),
            };
            progress = policy.outcome(&failure);
            self.record_failure(&upstream, call.fingerprints, call.class, call.deadline, &failure)
                .await
                .map_err(|refusal| refusal.with_outcome_at_least(progress))?;
            // Keep the trial until the crash check above is done, so that no other request starts
            // on an upstream that this call may have crashed.
            drop(trial);
            match policy.next_step(&failure, rand::random()) {
                NextStep::GiveUp(refusal) => return Err(refusal),
                NextStep::Retry { pause } if self.try_withdraw_retry() => task::sleep(pause).await,
                NextStep::Retry { .. } => return Err(policy.refusal(&failure)),
            }
        }
        Err(Refusal::not_run(RefusalKind::UpstreamFailed, "no attempt was made"))
    }

    async fn attempt_plain(
        &self,
        call: &PlainCall<'_>,
        upstream: &Upstream,
        span: &Span,
    ) -> Result<PlainAnswer, AttemptFailure> {
        let traceparent = span.traceparent();
        let headers = [
            ("content-type", call.content_type),
            ("x-request-id", call.request_id),
            ("traceparent", traceparent.as_str()),
        ];
        let upstream_call = UpstreamCall {
            address: &upstream.record.address,
            method: call.method,
            path: call.path,
            headers: &headers,
            body: call.body,
            repeatable: call.repeatable,
            timeout: time_left(call.deadline),
        };
        let is_late =
            |failure: &AttemptFailure| failure.was_sent() && time_left(call.deadline).is_zero();
        let opened = self.connector().open(upstream_call).await.map_err(AttemptFailure::from);
        let response = match opened {
            Err(failure) if is_late(&failure) => return Err(AttemptFailure::deadline()),
            opened => opened?,
        };
        let mut body = Vec::new();
        let mut reader = response.body.take(RESPONSE_LIMIT_BYTES + 1);
        let read = reader.read_to_end(&mut body);
        match async_std::future::timeout(time_left(call.deadline), read).await {
            Err(_) => Err(AttemptFailure::deadline()),
            Ok(Err(error)) => Err(UpstreamError::Lost(error.to_string()).into()),
            Ok(Ok(_)) if body.len() as u64 > RESPONSE_LIMIT_BYTES => {
                let reason = format!("the answer is over {RESPONSE_LIMIT_BYTES} bytes");
                Err(AttemptFailure { cause: FailureCause::TooLarge, reason })
            }
            Ok(Ok(_)) => Ok(PlainAnswer {
                status: response.status,
                content_type: response.content_type,
                body,
            }),
        }
    }
}
