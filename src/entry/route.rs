use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use tide::{Endpoint, Request, Response};

use crate::admission::Refusal;
use crate::entry::caller_request::CallerRequest;
use crate::entry::refusal_response::refusal_response;
use crate::entry::shared::EntryShared;
use crate::telemetry::Span;

/// Handles the requests to one path of the HTTP interface.
#[async_trait]
pub trait RouteHandler: Send + Sync + 'static {
    /// Name of the request span.
    fn name(&self) -> &'static str;

    /// Handles a request; a refusal becomes an error response.
    async fn handle(&self, request: CallerRequest, span: Span) -> Result<Response, Refusal>;
}

/// Adapts a [`RouteHandler`] to an endpoint: adds spans, counters and the encoding of refusals.
pub struct Route {
    handler: Box<dyn RouteHandler>,
}

impl Route {
    /// Wraps a handler.
    pub fn new(handler: impl RouteHandler) -> Self {
        Self { handler: Box::new(handler) }
    }
}

#[async_trait]
impl Endpoint<Arc<EntryShared>> for Route {
    async fn call(&self, request: Request<Arc<EntryShared>>) -> tide::Result {
        let shared = request.state().clone();
        let started = Instant::now();
        let request = CallerRequest::new(request);
        let request_id = request.request_id.clone();
        let mut span = shared.tracer.start(self.handler.name(), request.header("traceparent"));
        span.set_text("request_id", &request_id);
        let traceparent = span.traceparent();
        let _guard = shared.request_tracker.track();
        shared.counters.count("request.received");
        let mut response = match self.handler.handle(request, span).await {
            Ok(response) => response,
            Err(refusal) => {
                shared.counters.count("request.refused");
                shared.counters.count(refusal.kind.code());
                refusal_response(&refusal, &shared.other_entry_addresses())
            }
        };
        if response.header("x-request-id").is_none() {
            response.insert_header("x-request-id", request_id);
        }
        response.insert_header("traceparent", traceparent);
        shared.counters.time_us("request.head_time", started.elapsed().as_micros() as u64);
        Ok(response)
    }
}
