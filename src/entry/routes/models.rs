use async_trait::async_trait;
use serde_json::json;
use tide::Response;

use crate::admission::Refusal;
use crate::entry::caller_request::CallerRequest;
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::telemetry::Span;

/// `GET /v1/models`: the models that at least one upstream currently serves.
pub struct ListModels;

#[async_trait]
impl RouteHandler for ListModels {
    fn name(&self) -> &'static str {
        "models"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        request.authenticate_customer()?;
        let fleet = request.shared().dispatcher.fleet().load();
        let models: Vec<_> = fleet
            .models()
            .map(|name| json!({"id": name, "object": "model", "owned_by": "damaskhoist"}))
            .collect();
        Ok(json_response(&json!({"object": "list", "data": models})))
    }
}
