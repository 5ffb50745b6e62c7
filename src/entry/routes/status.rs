use async_trait::async_trait;
use serde_json::json;
use tide::Response;

use crate::admission::Refusal;
use crate::entry::caller_request::CallerRequest;
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::telemetry::Span;

/// `GET /v1/admin/status`: this host's view of the fleet.
pub struct Status;

/// `POST /v1/admin/drain`: requests a graceful stop of this host.
pub struct DrainHost;

#[async_trait]
impl RouteHandler for Status {
    fn name(&self) -> &'static str {
        "status"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        request.authorize_operator()?;
        let shared = request.shared();
        let members = shared.membership.view();
        let hosts: Vec<_> = members
            .hosts
            .iter()
            .map(|host| {
                json!({"host_id": host.record.host_id, "zone": host.record.zone,
                    "region": host.record.region, "entry": host.record.entry,
                    "control": host.record.control, "status": host.status.name(),
                    "caller_address": host.record.caller_address,
                    "configuration_version": host.record.configuration_version})
            })
            .collect();
        let fleet = shared.dispatcher.fleet().load();
        let upstreams: Vec<_> = members
            .upstreams
            .iter()
            .map(|upstream| {
                let upstream_state = fleet.upstream(&upstream.record.upstream_id);
                json!({"upstream_id": upstream.record.upstream_id,
                    "service": upstream.record.service, "zone": upstream.record.zone,
                    "address": upstream.record.address, "slots": upstream.record.slots,
                    "status": upstream.status.name(),
                    "in_use_here": upstream_state.map_or(0, |upstream| upstream.in_use())})
            })
            .collect();
        Ok(json_response(&json!({
            "host_id": shared.settings.host_id,
            "draining": shared.request_tracker.is_draining(),
            "open_requests": shared.request_tracker.open_count(),
            "configuration_version": shared.configuration.load().version(),
            "configuration_age_ms": shared.configuration.confirmed_age_ms(),
            "hosts": hosts,
            "upstreams": upstreams,
            "counters": shared.counters.snapshot(),
        })))
    }
}

#[async_trait]
impl RouteHandler for DrainHost {
    fn name(&self) -> &'static str {
        "drain"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        request.authorize_operator()?;
        let shared = request.shared();
        shared.request_tracker.request_drain();
        Ok(json_response(&json!({"host_id": shared.settings.host_id, "draining": true})))
    }
}
