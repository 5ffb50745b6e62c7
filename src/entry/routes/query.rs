use async_trait::async_trait;
use serde::Deserialize;
use serde_json::Value;
use tide::Response;

use crate::admin::AdminService;
use crate::admission::Refusal;
use crate::entry::caller_request::{invalid_request, CallerRequest};
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::query::{QueryError, Statement};
use crate::telemetry::Span;

/// `POST /v1/admin/query`: executes a statement of the query language.
pub struct RunQuery;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryBody {
    text: String,
}

#[async_trait]
impl RouteHandler for RunQuery {
    fn name(&self) -> &'static str {
        "query"
    }

    async fn handle(
        &self,
        mut request: CallerRequest,
        mut span: Span,
    ) -> Result<Response, Refusal> {
        request.authorize_operator()?;
        let bytes = request.body().await?;
        let body: QueryBody = serde_json::from_slice(&bytes)
            .map_err(|error| invalid_request(format!("the query is not valid: {error}")))?;
        let statement: Statement =
            body.text.parse().map_err(|error: QueryError| invalid_request(error.to_string()))?;
        span.set_text("statement", &statement.to_string());
        let shared = request.shared();
        let service = AdminService {
            membership: &shared.membership,
            configuration: &shared.configuration,
            state: &shared.state,
            ledger: shared.online.ledger(),
            caller: &shared.caller,
        };
        let answer = service.execute(&statement).await?;
        Ok(json_response(&Value::from(&answer)))
    }
}
