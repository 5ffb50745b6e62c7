use async_trait::async_trait;
use serde::Deserialize;
use serde_json::json;
use tide::Response;

use crate::admission::{Refusal, RefusalKind};
use crate::entry::caller_request::{invalid_request, CallerRequest};
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::schema::config::Edit;
use crate::schema::state::{command, outcome, ChangeConfiguration as Change};
use crate::telemetry::Span;

/// `GET /v1/admin/configuration`: the configuration, and the version that is active on each host.
pub struct GetConfiguration;

/// `POST /v1/admin/configuration`: applies edits to the configuration.
pub struct ChangeConfiguration;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewChange {
    #[serde(default)]
    command_id: String,
    base_version: u64,
    edits: Vec<Edit>,
}

#[async_trait]
impl RouteHandler for GetConfiguration {
    fn name(&self) -> &'static str {
        "get_configuration"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        request.authorize_operator()?;
        let shared = request.shared();
        let view = shared.configuration.load();
        let members = shared.membership.view();
        let versions: Vec<_> = members
            .hosts
            .iter()
            .map(|host| {
                json!({"host_id": host.record.host_id, "version":
                    host.record.configuration_version, "status": host.status.name()})
            })
            .collect();
        Ok(json_response(&json!({
            "configuration": view.configuration(),
            "confirmed_age_ms": shared.configuration.confirmed_age_ms(),
            "in_force": versions,
        })))
    }
}

#[async_trait]
impl RouteHandler for ChangeConfiguration {
    fn name(&self) -> &'static str {
        "change_configuration"
    }

    async fn handle(&self, mut request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        request.authorize_operator()?;
        let bytes = request.body().await?;
        let change: NewChange = serde_json::from_slice(&bytes)
            .map_err(|error| invalid_request(format!("the change is not valid: {error}")))?;
        let command_id = match change.command_id.as_str() {
            "" => request.request_id.clone(),
            command_id => format!("operator-{command_id}"),
        };
        let change = Change { base_version: change.base_version, edits: change.edits };
        let command = command::Command::ChangeConfiguration(change);
        match request.shared().submit(command_id, command).await? {
            outcome::Outcome::ConfigurationChanged(changed) => {
                Ok(json_response(&json!({"version": changed.version})))
            }
            _ => Err(Refusal::not_run(RefusalKind::ControlUnavailable, "unexpected outcome")),
        }
    }
}
