use async_trait::async_trait;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use tide::Response;
use uuid::Uuid;

use crate::admission::{Refusal, RefusalKind};
use crate::batch::ItemInput;
use crate::control::unix_ms;
use crate::entry::caller_request::{invalid_request, CallerRequest};
use crate::entry::route::RouteHandler;
use crate::entry::routes::json::json_response;
use crate::entry::shared::EntryShared;
use crate::schema::state::{
    command, outcome, query, query_answer, CancelJob, CreateJob, GetJob, Item, ItemState, Job,
    JobState, ListItems, ListJobs, ReadFile,
};
use crate::serving::{AnswerFormat, EngineRequest, RequestIdentity};
use crate::telemetry::Span;

/// Time until the deadline of a job if the request sets none.
const DEFAULT_WINDOW_MS: u64 = 24 * 3_600 * 1_000;
/// Maximum number of jobs per page.
const JOBS_PAGE_LIMIT: u32 = 100;
/// Maximum number of items per page of results.
const ITEMS_PAGE_LIMIT: u32 = 1_000;
/// Maximum body bytes per page of results.
const ITEMS_PAGE_BYTES: u32 = 1024 * 1024;

/// `POST /v1/batches`: creates a batch job from an uploaded file.
pub struct CreateBatch;

/// `GET /v1/batches/:id`: one batch job.
pub struct GetBatch;

/// `GET /v1/batches`: one page of the customer's batch jobs.
pub struct ListBatches;

/// `POST /v1/batches/:id/cancel`: cancels a batch job.
pub struct CancelBatch;

/// `GET /v1/batches/:id/results`: one page of results as JSON lines.
pub struct ReadResults;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewBatch {
    input_file_id: String,
    endpoint: String,
    #[serde(default)]
    service: String,
    #[serde(default)]
    deadline_unix_ms: Option<u64>,
    #[serde(default)]
    completion_window: Option<String>,
    #[serde(default)]
    metadata: Map<String, Value>,
}

impl NewBatch {
    fn deadline_unix_ms(&self) -> Result<u64, Refusal> {
        if let Some(deadline_unix_ms) = self.deadline_unix_ms {
            return Ok(deadline_unix_ms);
        }
        let Some(window) = &self.completion_window else {
            return Ok(unix_ms() + DEFAULT_WINDOW_MS);
        };
        let hours = window.strip_suffix('h').and_then(|hours| hours.parse::<u64>().ok());
        let hours = hours.filter(|hours| (1..=24 * 31).contains(hours)).ok_or_else(|| {
            invalid_request(format!(
                "field `completion_window` must be hours such as `24h`: `{window}`"
            ))
        })?;
        Ok(unix_ms() + hours * 3_600 * 1_000)
    }
}

#[async_trait]
impl RouteHandler for CreateBatch {
    fn name(&self) -> &'static str {
        "create_batch"
    }

    async fn handle(&self, mut request: CallerRequest, span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let idempotency_key = request.idempotency_key()?;
        let bytes = request.body().await?;
        let batch: NewBatch = serde_json::from_slice(&bytes)
            .map_err(|error| invalid_request(format!("the batch is not valid: {error}")))?;
        let shared = request.shared();
        shared.check_serving(&batch.service, false)?;
        if batch.service.is_empty() && AnswerFormat::of_path(&batch.endpoint).is_none() {
            let message = "field `endpoint` must be /v1/chat/completions or /v1/completions, \
                           or `service` must name a plain service";
            return Err(invalid_request(message.to_owned()));
        }
        let service = match batch.service.as_str() {
            "" => shared.service_of_file(&customer, &batch.input_file_id).await?,
            service => service.to_owned(),
        };
        let create = CreateJob {
            customer: customer.clone(),
            job_id: format!("batch-{}", Uuid::new_v4().simple()),
            idempotency_key,
            fingerprint: RequestIdentity::fingerprint_of(&bytes).into(),
            deadline_unix_ms: batch.deadline_unix_ms()?,
            file_id: batch.input_file_id,
            endpoint: batch.endpoint,
            max_attempts: shared.configuration.load().max_attempts(&service),
            service,
            metadata_json: Value::Object(batch.metadata).to_string(),
        };
        let commit = span.child("commit_job");
        let command_id = format!("create-{}", create.job_id);
        let created = shared.submit(command_id, command::Command::CreateJob(create)).await?;
        commit.close();
        let outcome::Outcome::JobCreated(created) = created else {
            return Err(unexpected_answer());
        };
        Ok(json_response(&batch_json(&shared.job(&customer, &created.job_id).await?)))
    }
}

impl EntryShared {
    /// Service that serves the model of the first item in a file.
    async fn service_of_file(&self, customer: &str, file_id: &str) -> Result<String, Refusal> {
        let read = ReadFile {
            customer: customer.to_owned(),
            file_id: file_id.to_owned(),
            from_line: 0,
            limit: 1,
            limit_bytes: ITEMS_PAGE_BYTES,
        };
        let answer = self.query(query::Query::ReadFile(read)).await?;
        let query_answer::Answer::Lines(page) = answer else { return Err(unexpected_answer()) };
        let line = page.lines.first().map(|line| &line[..]).unwrap_or_default();
        let input = ItemInput::try_from(line)
            .map_err(|reason| invalid_request(format!("line 1 of file `{file_id}`: {reason}")))?;
        let model = EngineRequest::model_of(&input.body)?;
        let fleet = self.dispatcher.fleet().load();
        fleet.service_of(model).map(str::to_owned).ok_or_else(|| {
            let message = format!("no upstream serves model `{model}` of line 1");
            Refusal::not_run(RefusalKind::UnknownModel, message)
        })
    }

    async fn job(&self, customer: &str, job_id: &str) -> Result<Job, Refusal> {
        let get = GetJob { customer: customer.to_owned(), job_id: job_id.to_owned() };
        match self.query(query::Query::GetJob(get)).await? {
            query_answer::Answer::Job(job) => Ok(job),
            _ => Err(unexpected_answer()),
        }
    }
}

#[async_trait]
impl RouteHandler for GetBatch {
    fn name(&self) -> &'static str {
        "get_batch"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let job = request.shared().job(&customer, request.path_parameter("id")).await?;
        Ok(json_response(&batch_json(&job)))
    }
}

#[async_trait]
impl RouteHandler for ListBatches {
    fn name(&self) -> &'static str {
        "list_batches"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let list = ListJobs {
            customer: request.authenticate_customer()?,
            after_job_id: request.query_parameter("after").unwrap_or_default(),
            limit: request.query_number("limit", 20)?.clamp(1, JOBS_PAGE_LIMIT),
        };
        let answer = request.shared().query(query::Query::ListJobs(list)).await?;
        let query_answer::Answer::Jobs(page) = answer else { return Err(unexpected_answer()) };
        let jobs: Vec<_> = page.jobs.iter().map(batch_json).collect();
        Ok(json_response(&json!({"object": "list", "data": jobs, "has_more": page.more})))
    }
}

#[async_trait]
impl RouteHandler for CancelBatch {
    fn name(&self) -> &'static str {
        "cancel_batch"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let job_id = request.path_parameter("id").to_owned();
        let shared = request.shared();
        let cancel = CancelJob { customer: customer.clone(), job_id: job_id.clone() };
        shared.submit(String::new(), command::Command::CancelJob(cancel)).await?;
        Ok(json_response(&batch_json(&shared.job(&customer, &job_id).await?)))
    }
}

#[async_trait]
impl RouteHandler for ReadResults {
    fn name(&self) -> &'static str {
        "read_results"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let from_item = request.query_number("from", 0)?;
        let limit = request.query_number("limit", ITEMS_PAGE_LIMIT)?;
        let job_id = request.path_parameter("id");
        let limit = limit.clamp(1, ITEMS_PAGE_LIMIT);
        results_response(request.shared(), &customer, job_id, from_item, limit).await
    }
}

/// Results of finished items as JSON lines, from at most `limit` items that start at `from_item`.
///
/// If items remain, the header `x-next-item` is the number of the first item of the next page.
pub async fn results_response(
    shared: &EntryShared,
    customer: &str,
    job_id: &str,
    from_item: u32,
    limit: u32,
) -> Result<Response, Refusal> {
    let mut lines = Vec::new();
    let mut next_item = from_item;
    let mut more = true;
    let last_item = from_item.saturating_add(limit);
    while more && next_item < last_item {
        let list = ListItems {
            customer: customer.to_owned(),
            job_id: job_id.to_owned(),
            from_item: next_item,
            limit: (last_item - next_item).min(ITEMS_PAGE_LIMIT),
            with_bodies: true,
            limit_bytes: ITEMS_PAGE_BYTES,
        };
        let answer = shared.query(query::Query::ListItems(list)).await?;
        let query_answer::Answer::Items(page) = answer else { return Err(unexpected_answer()) };
        for item in &page.items {
            next_item = item.item + 1;
            let Some(line) = result_json(item) else { continue };
            lines.extend_from_slice(line.to_string().as_bytes());
            lines.push(b'\n');
        }
        more = page.more && !page.items.is_empty();
    }
    let mut response = Response::builder(200).content_type("application/jsonl").body(lines).build();
    if more {
        response.insert_header("x-next-item", next_item.to_string());
    }
    Ok(response)
}

/// Result line of a finished item; `None` if the item is not finished.
fn result_json(item: &Item) -> Option<Value> {
    let body = || {
        serde_json::from_slice::<Value>(&item.body)
            .unwrap_or_else(|_| String::from_utf8_lossy(&item.body).into_owned().into())
    };
    let id = format!("{}-{}", item.job_id, item.item);
    let failed = |code: &str| {
        json!({"id": id, "custom_id": item.custom_id, "response": null,
            "error": {"code": code, "message": body(), "attempts": item.attempts}})
    };
    match item.state() {
        ItemState::ItemSucceeded => Some(json!({
            "id": id, "custom_id": item.custom_id, "error": null,
            "response": {"status_code": item.status, "request_id": id, "body": body()}})),
        ItemState::ItemFailed => Some(failed("failed")),
        ItemState::ItemCancelled => Some(failed("cancelled")),
        _ => None,
    }
}

fn batch_json(job: &Job) -> Value {
    let finished = job.succeeded + job.failed + job.cancelled;
    let status = match job.state() {
        JobState::Completed => "completed",
        JobState::JobCancelledState => "cancelled",
        JobState::InProgress | JobState::Unspecified => "in_progress",
    };
    json!({
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.endpoint,
        "service": job.service,
        "input_file_id": job.file_id,
        "output_file_id": (finished == job.items).then(|| format!("output-{}", job.job_id)),
        "status": status,
        "created_at": job.created_at_unix_ms / 1_000,
        "deadline_unix_ms": job.deadline_unix_ms,
        "finished_at_unix_ms": job.finished_at_unix_ms,
        "request_counts": {
            "total": job.items,
            "completed": job.succeeded,
            "failed": job.failed,
            "cancelled": job.cancelled,
            "running": job.leased,
        },
        "metadata": serde_json::from_str::<Value>(&job.metadata_json).unwrap_or_default(),
    })
}

fn unexpected_answer() -> Refusal {
    Refusal::not_run(RefusalKind::ControlUnavailable, "unexpected answer of the control hosts")
}
