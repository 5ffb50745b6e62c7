use async_trait::async_trait;
use serde::Deserialize;
use serde_json::json;
use tide::Response;

use crate::admission::Refusal;
use crate::entry::caller_request::{invalid_request, CallerRequest};
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::membership::{AnnounceOutcome, Announcement, UpstreamModel, UpstreamRecord};
use crate::telemetry::Span;

/// Valid range of the lease duration that an upstream may request.
const LEASE_RANGE_MS: std::ops::RangeInclusive<u32> = 500..=60_000;

/// `POST /v1/upstreams/announce`: registers an upstream, renews its lease, or marks it as leaving.
pub struct AnnounceUpstream;

#[derive(Deserialize)]
struct AnnounceBody {
    upstream_id: String,
    incarnation: u64,
    #[serde(default)]
    sequence: u64,
    service: String,
    address: String,
    zone: String,
    region: String,
    #[serde(default)]
    models: Vec<Model>,
    slots: u32,
    #[serde(default = "default_lease_ms")]
    lease_ms: u32,
    #[serde(default)]
    checks_fencing: bool,
    #[serde(default)]
    role: String,
    #[serde(default)]
    plain: bool,
    #[serde(default)]
    status: UpstreamStatus,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

#[derive(Deserialize)]
struct Model {
    name: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    adapters: Vec<String>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum UpstreamStatus {
    #[default]
    Serving,
    Leaving,
}

fn default_lease_ms() -> u32 {
    3_000
}

impl From<AnnounceBody> for Announcement {
    fn from(body: AnnounceBody) -> Self {
        let models = body.models.into_iter().map(|model| UpstreamModel {
            name: model.name,
            version: model.version,
            adapters: model.adapters,
        });
        let record = UpstreamRecord {
            upstream_id: body.upstream_id,
            announced_incarnation: body.incarnation,
            service: body.service,
            address: body.address,
            zone: body.zone,
            region: body.region,
            models: models.collect(),
            slots: body.slots,
            lease_ms: body.lease_ms,
            checks_fencing: body.checks_fencing,
            role: body.role,
            home_host_id: String::new(),
            plain: body.plain,
        };
        Self { record, sequence: body.sequence, leaving: body.status == UpstreamStatus::Leaving }
    }
}

#[async_trait]
impl RouteHandler for AnnounceUpstream {
    fn name(&self) -> &'static str {
        "announce"
    }

    async fn handle(&self, mut request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let bytes = request.body().await?;
        let body: AnnounceBody = serde_json::from_slice(&bytes)
            .map_err(|error| invalid_request(format!("the announcement is not valid: {error}")))?;
        validate(&body)?;
        let shared = request.shared();
        shared.dispatcher.fleet().record_load(&body.upstream_id, body.running, body.waiting);
        let status = match shared.membership.announce(body.into()) {
            AnnounceOutcome::Accepted => "accepted",
            AnnounceOutcome::Stale => "stale",
            AnnounceOutcome::AlreadyLeft => "left",
        };
        Ok(json_response(&json!({
            "status": status,
            "entries": shared.entry_addresses(""),
            "hold_ms": shared.settings.entry.entries_hold_ms,
        })))
    }
}

fn validate(body: &AnnounceBody) -> Result<(), Refusal> {
    if body.upstream_id.is_empty() || body.service.is_empty() {
        return Err(invalid_request(
            "fields `upstream_id` and `service` must not be empty".to_owned(),
        ));
    }
    if body.address.parse::<std::net::SocketAddr>().is_err() {
        let message = format!("field `address` must be an IP address and port: `{}`", body.address);
        return Err(invalid_request(message));
    }
    if !LEASE_RANGE_MS.contains(&body.lease_ms) {
        let (low, high) = (LEASE_RANGE_MS.start(), LEASE_RANGE_MS.end());
        return Err(invalid_request(format!("field `lease_ms` must be from {low} to {high}")));
    }
    if body.slots == 0 {
        return Err(invalid_request("field `slots` must be at least 1".to_owned()));
    }
    Ok(())
}
