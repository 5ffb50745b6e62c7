use async_trait::async_trait;
use serde_json::json;
use tide::Response;

use crate::admission::Refusal;
use crate::entry::caller_request::CallerRequest;
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::telemetry::Span;

/// `GET /v1/entries?zone=Z`: the entry addresses that a caller should use, in order of preference.
pub struct ListEntries;

#[async_trait]
impl RouteHandler for ListEntries {
    fn name(&self) -> &'static str {
        "entries"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let zone = request.query_parameter("zone").unwrap_or_default();
        let shared = request.shared();
        shared.check_joined()?;
        Ok(json_response(&json!({
            "entries": shared.entry_addresses(&zone),
            "hold_ms": shared.settings.entry.entries_hold_ms,
        })))
    }
}
