use std::time::Instant;

use async_std::task;
use futures::AsyncReadExt;

use crate::admission::{Refusal, RefusalKind, RunOutcome, SlotDemand};
use crate::routing::{RequestView, SlotPermit, WorkClass};
use crate::serving::dispatcher::time_left;
use crate::serving::{AttemptFailure, AttemptPolicy, Dispatcher, FinishedAnswer, NextStep};
use crate::telemetry::Span;
use crate::upstream::{UpstreamCall, UpstreamError, UpstreamResponse};

/// Largest answer of a plain service.
const ANSWER_LIMIT_BYTES: u64 = 4 * 1024 * 1024;

/// A call of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainCall<'a> {
    /// Names the request towards the service.
    pub request_id: &'a str,
    /// Customer whose share of the slots it uses.
    pub customer: &'a str,
    /// Service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Whole body.
    pub body: &'a [u8],
    /// It may be sent again after an upstream may have started it.
    pub repeatable: bool,
    /// Online or batch.
    pub class: WorkClass,
    /// Time at which the answer must be there.
    pub deadline: Instant,
}

/// Whole answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type, or empty.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

impl PlainAnswer {
    /// The answer as the ledger records it.
    pub fn view(&self) -> FinishedAnswer<'_> {
        FinishedAnswer { status: self.status, content_type: &self.content_type, body: &self.body }
    }
}

impl Dispatcher {
    /// Calls a plain service and reads its whole answer.
    pub async fn call_plain_whole(
        &self,
        call: &PlainCall<'_>,
        parent: &Span,
    ) -> Result<PlainAnswer, Refusal> {
        let (permit, response) = self.call_plain(call, parent).await?;
        let mut body = Vec::new();
        let mut reader = response.body.take(ANSWER_LIMIT_BYTES + 1);
        let read = reader.read_to_end(&mut body);
        let read = async_std::future::timeout(time_left(call.deadline), read).await;
        drop(permit);
        match read {
            Err(_) => Err(broken("the deadline passed during the answer".to_owned())),
            Ok(Err(error)) => Err(broken(format!("the answer broke off: {error}"))),
            Ok(Ok(_)) if body.len() as u64 > ANSWER_LIMIT_BYTES => {
                Err(broken(format!("the answer is over {ANSWER_LIMIT_BYTES} bytes")))
            }
            Ok(Ok(_)) => Ok(PlainAnswer {
                status: response.status,
                content_type: response.content_type,
                body,
            }),
        }
    }

    /// Calls a plain service and waits for the head of its answer.
    pub async fn call_plain(
        &self,
        call: &PlainCall<'_>,
        parent: &Span,
    ) -> Result<(SlotPermit, UpstreamResponse), Refusal> {
        let mut excluded = Vec::new();
        let mut sent = false;
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
            let acquired = self.acquire_for(&view, &demand).await;
            let permit = acquired.map_err(|refusal| match sent {
                true => refusal.with_outcome(RunOutcome::MayHaveRun),
                false => refusal,
            })?;
            let mut span = parent.child("upstream_attempt");
            span.text("upstream_id", &permit.upstream().record.upstream_id);
            let failure = match self.open_plain(call, &permit, &span).await {
                Ok(response) => return Ok((permit, response)),
                Err(failure) => failure,
            };
            span.text("error", &failure.reason);
            permit.upstream().record_failure();
            excluded.push(permit.upstream().record.upstream_id.clone());
            drop(permit);
            let policy = AttemptPolicy {
                repeatable: call.repeatable,
                attempts,
                sent_before: sent,
                time_left: time_left(call.deadline),
            };
            sent |= failure.sent;
            match policy.next_step(&failure, rand::random()) {
                NextStep::GiveUp(refusal) => return Err(refusal),
                NextStep::Retry { pause } => task::sleep(pause).await,
            }
        }
        Err(Refusal::not_run(RefusalKind::UpstreamFailed, "no attempt was made"))
    }

    async fn open_plain(
        &self,
        call: &PlainCall<'_>,
        permit: &SlotPermit,
        span: &Span,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let traceparent = span.traceparent();
        let headers = [
            ("content-type", call.content_type),
            ("x-request-id", call.request_id),
            ("traceparent", traceparent.as_str()),
        ];
        let call = UpstreamCall {
            address: &permit.upstream().record.address,
            method: call.method,
            path: call.path,
            headers: &headers,
            body: call.body,
            repeatable: call.repeatable,
            timeout: time_left(call.deadline),
        };
        self.connector().open(call).await.map_err(|error| match error {
            UpstreamError::NotSent(reason) => AttemptFailure { sent: false, status: 0, reason },
            UpstreamError::Lost(reason) => AttemptFailure { sent: true, status: 0, reason },
        })
    }
}

/// The service ran, but its answer is not whole.
fn broken(message: String) -> Refusal {
    Refusal::not_run(RefusalKind::UpstreamFailed, message).with_outcome(RunOutcome::Ran)
}
