use async_trait::async_trait;
use tide::Response;

use crate::admission::{Fingerprint, Refusal, RequestFingerprints, RunOutcome};
use crate::entry::caller_request::CallerRequest;
use crate::entry::route::RouteHandler;
use crate::entry::routes::completions::recorded_response;
use crate::routing::WorkClass;
use crate::serving::{ClaimGuard, PlainCall, RequestIdentity};
use crate::telemetry::Span;

/// `/v1/services/:service/*path`: forwards a call with any method to a plain service.
pub struct Service;

#[async_trait]
impl RouteHandler for Service {
    fn name(&self) -> &'static str {
        "service"
    }

    async fn handle(
        &self,
        mut request: CallerRequest,
        mut span: Span,
    ) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let key = request.idempotency_key()?;
        let marked_not_repeatable = request.is_not_repeatable()?;
        let deadline = request.deadline()?;
        let body = request.body().await?;
        let shared = request.shared().clone();
        let service = request.path_parameter("service").to_owned();
        span.set_text("service", &service);
        let not_repeatable =
            marked_not_repeatable || shared.configuration.load().is_not_repeatable(&service);
        shared.check_serving(&service, !not_repeatable)?;
        let method = request.method();
        let path = match request.url_query() {
            "" => format!("/{}", request.path_parameter("path")),
            query => format!("/{}?{query}", request.path_parameter("path")),
        };
        let identity = RequestIdentity {
            request_id: request.request_id.clone(),
            customer,
            key,
            fingerprint: RequestIdentity::fingerprint_of(
                &[service.as_bytes(), method.as_bytes(), path.as_bytes(), &body].concat(),
            ),
            not_repeatable,
            deadline,
        };
        let ledger = shared.online.ledger();
        let mut claim = ClaimGuard::new(ledger, &identity);
        if identity.needs_claim() {
            if let Some(recorded) = ledger.claim(&identity, &span).await? {
                claim.settled();
                return Ok(recorded_response(&recorded));
            }
        }
        let content_type = request.header("content-type").unwrap_or("application/octet-stream");
        let fingerprint = Fingerprint::of(&[&identity.fingerprint]);
        let fingerprints = RequestFingerprints::of_request(fingerprint);
        let call = PlainCall {
            request_id: &identity.request_id,
            customer: &identity.customer,
            service: &service,
            method,
            path: &path,
            content_type,
            body: &body,
            fingerprints: &fingerprints,
            repeatable: !not_repeatable && is_repeatable(method, &identity.key),
            class: WorkClass::Online,
            deadline,
        };
        // Applies if the caller disconnects while the call is in flight.
        claim.progress = RunOutcome::MayHaveRun;
        let answer = match shared.dispatcher.call_plain(&call, &span).await {
            Ok(answer) => answer,
            Err(refusal) => {
                claim.release(refusal.outcome).await;
                return Err(refusal);
            }
        };
        claim.progress = RunOutcome::Ran;
        if identity.needs_claim() && ledger.record(&identity, answer.view(), &span).await {
            claim.settled();
        }
        let response = Response::builder(answer.status)
            .content_type(answer.content_type.as_str())
            .body(answer.body);
        Ok(response.build())
    }
}

/// Whether a call may be retried: its HTTP method is idempotent, or it has an idempotency key.
fn is_repeatable(method: &str, key: &str) -> bool {
    !key.is_empty() || !matches!(method, "POST" | "PATCH")
}
