use async_trait::async_trait;
use tide::Response;

use crate::admission::{Refusal, RefusalKind};
use crate::entry::caller_request::CallerRequest;
use crate::entry::route::RouteHandler;
use crate::entry::routes::completions::recorded_response;
use crate::telemetry::Span;

/// `GET /v1/requests/:id`: the recorded answer of an online request.
pub struct GetRecordedAnswer;

#[async_trait]
impl RouteHandler for GetRecordedAnswer {
    fn name(&self) -> &'static str {
        "recorded"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let request_id = request.path_parameter("id");
        let ledger = request.shared().online.ledger();
        let recorded = ledger.find(&customer, request_id, "").await?;
        let recorded = recorded.ok_or_else(|| {
            let message = format!("no answer is recorded for request `{request_id}`");
            Refusal::not_run(RefusalKind::NotFound, message)
        })?;
        Ok(recorded_response(&recorded))
    }
}
