use std::sync::Arc;

use async_std::task;
use async_trait::async_trait;
use tide::Response;

use crate::admission::Refusal;
use crate::entry::caller_request::{invalid_request, CallerRequest};
use crate::entry::event_body::EventBody;
use crate::entry::route::RouteHandler;
use crate::entry::routes::answer_stream::AnswerStream;
use crate::entry::shared::EntryShared;
use crate::schema::state::Answer as RecordedAnswer;
use crate::serving::{
    Answer, AnswerFormat, EngineRequest, OnlineAnswer, OnlineRequest, OnlineRun, RequestIdentity,
};
use crate::telemetry::Span;

/// `POST /v1/chat/completions` and `POST /v1/completions`: runs an online request to a model.
pub struct Completions {
    /// Format of requests and answers.
    pub format: AnswerFormat,
}

/// A parsed online request, and whether the answer is streamed.
struct ParsedRequest {
    request: OnlineRequest,
    stream: bool,
}

#[async_trait]
impl RouteHandler for Completions {
    fn name(&self) -> &'static str {
        "completions"
    }

    async fn handle(
        &self,
        mut request: CallerRequest,
        mut span: Span,
    ) -> Result<Response, Refusal> {
        let parsed = self.parse(&mut request).await?;
        let shared = request.shared().clone();
        span.set_text("model", &parsed.request.model);
        let answer = shared.online.begin(&parsed.request, &span).await?;
        match (answer, parsed.stream) {
            (OnlineAnswer::Running(run), true) => {
                Ok(respond_streaming(shared, parsed.request, *run, span))
            }
            (OnlineAnswer::Running(run), false) => {
                respond_whole(&shared, &parsed.request, *run, span).await
            }
            (OnlineAnswer::Recorded(recorded), true) => {
                Ok(replay_as_stream(&parsed.request, &recorded))
            }
            (OnlineAnswer::Recorded(recorded), false) => Ok(recorded_response(&recorded)),
        }
    }
}

impl Completions {
    async fn parse(&self, request: &mut CallerRequest) -> Result<ParsedRequest, Refusal> {
        let customer = request.authenticate_customer()?;
        let key = request.idempotency_key()?;
        let not_repeatable = request.is_not_repeatable()?;
        let deadline = request.deadline()?;
        let (bytes, body) = request.json().await?;
        let shared = request.shared();
        let model = EngineRequest::model_of(&body)?.to_owned();
        let stream = match body.get("stream") {
            None | Some(serde_json::Value::Null) => false,
            Some(serde_json::Value::Bool(stream)) => *stream,
            Some(_) => {
                return Err(invalid_request("field `stream` must be true or false".to_owned()))
            }
        };
        let input = if self.format == AnswerFormat::Chat { "messages" } else { "prompt" };
        if body.get(input).is_none() {
            return Err(invalid_request(format!("field `{input}` is missing")));
        }
        let service = service_of(shared, &model);
        shared.check_serving(&service, !not_repeatable)?;
        let configuration = shared.configuration.load();
        let identity = RequestIdentity {
            request_id: request.request_id.clone(),
            customer,
            key,
            fingerprint: RequestIdentity::fingerprint_of(&bytes),
            not_repeatable: not_repeatable || configuration.is_not_repeatable(&service),
            deadline,
        };
        // A request with a claim is always recorded: the record settles the claim, and a resend
        // under the same key gets the recorded answer.
        let recorded = identity.needs_claim() || configuration.records_answers(&service);
        let expected_tokens = EngineRequest::expected_tokens_of(&body);
        let (body, fingerprints) = EngineRequest::streamed_body(body);
        let request = OnlineRequest {
            identity,
            model,
            format: self.format,
            body,
            fingerprints,
            expected_tokens,
            recorded,
        };
        Ok(ParsedRequest { request, stream })
    }
}

/// Service of the first upstream that serves a model; empty if the model is unknown.
fn service_of(shared: &EntryShared, model: &str) -> String {
    let fleet = shared.dispatcher.fleet().load();
    fleet.service_of(model).unwrap_or_default().to_owned()
}

/// Responds with a stream of events that a separate task produces.
fn respond_streaming(
    shared: Arc<EntryShared>,
    request: OnlineRequest,
    run: OnlineRun,
    span: Span,
) -> Response {
    let (sender, body) = EventBody::channel();
    let request_id = request.identity.request_id.clone();
    let guard = shared.request_tracker.track();
    task::spawn(async move {
        let _guard = guard;
        AnswerStream { shared, request, span }.send(run, sender).await;
    });
    stream_response(&request_id, body)
}

async fn respond_whole(
    shared: &EntryShared,
    request: &OnlineRequest,
    mut run: OnlineRun,
    span: Span,
) -> Result<Response, Refusal> {
    let mut answer = Answer::default();
    while let Some(chunk) = run.next(&span).await? {
        answer.push(&chunk);
    }
    let recorded = shared.online.record(request, run, &answer, &span).await;
    let body = request.format.answer_body(&request.identity.request_id, &request.model, &answer);
    let response = Response::builder(200)
        .content_type("application/json")
        .header("x-request-id", request.identity.request_id.as_str())
        .header("x-answer-recorded", recorded.to_string())
        .body(body.to_string());
    Ok(response.build())
}

/// Responds with a recorded answer, unchanged.
pub fn recorded_response(recorded: &RecordedAnswer) -> Response {
    Response::builder(recorded.status as u16)
        .content_type(recorded.content_type.as_str())
        .header("x-request-id", recorded.request_id.as_str())
        .header("x-answer-recorded", "true")
        .header("x-answer-replayed", "true")
        .body(recorded.body.to_vec())
        .build()
}

/// Responds to a streaming request with a recorded answer, whose text is sent in one event.
fn replay_as_stream(request: &OnlineRequest, recorded: &RecordedAnswer) -> Response {
    let format = request.format;
    let value = serde_json::from_slice(&recorded.body).unwrap_or_default();
    let Some(answer) = format.parse_answer_body(&value) else { return recorded_response(recorded) };
    let (id, model) = (&recorded.request_id, &request.model);
    let chunk = format.chunk(id, model, &answer.text, 0);
    let last = format.last_chunk(id, model, &answer, true);
    let events = format!("data: {chunk}\n\ndata: {last}\n\ndata: [DONE]\n\n");
    Response::builder(200)
        .content_type("text/event-stream")
        .header("x-request-id", recorded.request_id.as_str())
        .header("x-answer-replayed", "true")
        .body(events)
        .build()
}

fn stream_response(request_id: &str, body: EventBody) -> Response {
    Response::builder(200)
        .body(tide::Body::from_reader(body, None))
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header("x-request-id", request_id)
        .build()
}
