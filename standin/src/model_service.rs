use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::channel::bounded;
use async_std::net::TcpStream;
use async_std::task;
use async_trait::async_trait;
use futures::stream::TryStreamExt;
use http_types::{Body, Method, Request, Response, StatusCode};
use serde_json::json;

use crate::completion::{AnswerEncoder, AnswerForm};
use crate::engine::Shared;
use crate::generator::{Call, Generator};
use crate::load::{Load, LoadReport};
use crate::order_book::{OrderBook, OrderOutcome};
use crate::schema::{CompletionRequest, Model, Order};
use crate::service::{contains, error_response, json_response, request_id, Service};
use crate::signal::Signal;
use crate::tokens::{PromptHashes, BLOCK_TOKENS};

/// Outputs that may wait for a slow caller.
const OUTPUT_QUEUE: usize = 16;

/// The protocol of a model engine.
pub(crate) struct ModelService {
    shared: Arc<Shared>,
    incarnation: u64,
    load: Arc<Load>,
    generator: Arc<Generator>,
    orders: Mutex<OrderBook>,
}

impl ModelService {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incarnation: u64,
        load: Arc<Load>,
        stop: Signal,
    ) -> Self {
        let orders = Mutex::new(OrderBook::new(&shared.options, Instant::now()));
        let generator = Arc::new(Generator::new(shared.clone(), load.clone(), stop));
        Self { shared, incarnation, load, generator, orders }
    }

    fn orders(&self) -> MutexGuard<'_, OrderBook> {
        self.orders.lock().expect("no holder panics")
    }
}

#[async_trait]
impl Service for ModelService {
    async fn answer(&self, mut request: Request, connection: TcpStream) -> Response {
        let Ok(body) = request.body_bytes().await else {
            return error_response(StatusCode::BadRequest, "bad_body", "the body ended early");
        };
        let url = request.url().clone();
        let path: Vec<_> = url.path().trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            (Method::Post, ["v1", "chat", "completions"]) => {
                self.complete(&request, &body, AnswerForm::Chat, connection).await
            }
            (Method::Post, ["v1", "completions"]) => {
                self.complete(&request, &body, AnswerForm::Text, connection).await
            }
            (Method::Post, ["v1", "streams", id, "cancel"]) => self.cancel(id),
            (Method::Get, ["v1", "kv", hash]) => self.export_prefix(hash),
            (Method::Put, ["v1", "kv", hash]) => self.import_prefix(hash, &body),
            (Method::Get, ["v1", "cache", "events"]) => self.cache_events(&request),
            (Method::Get, ["v1", "load"]) => {
                let load = self.load();
                let slots = self.shared.options.slots;
                let body =
                    json!({"running": load.running, "waiting": load.waiting, "slots": slots});
                json_response(StatusCode::Ok, &body)
            }
            (Method::Post, ["v1", "orders"]) => self.take_order(&body),
            (Method::Get, ["v1", "models"]) => {
                let models = self.orders().to_json(Instant::now());
                json_response(StatusCode::Ok, &models)
            }
            _ => error_response(StatusCode::NotFound, "not_found", "there is no such path"),
        }
    }

    fn models(&self) -> Vec<Model> {
        self.orders().ready_models(Instant::now())
    }

    fn role(&self) -> String {
        self.orders().role().to_owned()
    }

    fn load(&self) -> LoadReport {
        self.load.report()
    }
}

impl ModelService {
    async fn complete(
        &self,
        request: &Request,
        body: &[u8],
        form: AnswerForm,
        connection: TcpStream,
    ) -> Response {
        let completion: CompletionRequest = match serde_json::from_slice(body) {
            Ok(completion) => completion,
            Err(error) => {
                let message = error.to_string();
                return error_response(StatusCode::BadRequest, "bad_request", &message);
            }
        };
        let resume = request.header("x-resume-position").map(|values| values.as_str().parse());
        let Ok(first_position) = resume.unwrap_or(Ok(0)) else {
            let message = "x-resume-position is not a number";
            return error_response(StatusCode::BadRequest, "bad_resume_position", message);
        };
        let model = {
            let orders = self.orders();
            let found = orders.find(&completion.model, &completion.adapter, Instant::now());
            found.map(str::to_owned)
        };
        let Some(model) = model else {
            let message = format!("model {} is not loaded", completion.model);
            return error_response(StatusCode::NotFound, "model_not_found", &message);
        };
        let prompt = completion.prompt_text();
        let options = &self.shared.options;
        if contains(&prompt, options.fail_on.as_deref()) {
            let message = "the prompt cannot be processed";
            return error_response(StatusCode::UnprocessableEntity, "unprocessable", message);
        }
        let hashes = PromptHashes::of(&model, &prompt);
        let request_id = request_id(request);
        let encoder = AnswerEncoder {
            form,
            id: format!("cmpl-{request_id}"),
            model,
            prompt_tokens: hashes.token_count,
            streams: completion.stream,
        };
        let call = Call {
            request_id,
            hashes,
            first_position,
            token_limit: completion.token_limit(),
            crashes: contains(&prompt, options.crash_on.as_deref()),
        };
        let (sender, outputs) = bounded(OUTPUT_QUEUE);
        task::spawn(self.generator.clone().run(call, sender, connection));
        if !completion.stream {
            return json_response(StatusCode::Ok, &encoder.into_body(outputs).await);
        }
        let mut response = Response::new(StatusCode::Ok);
        let events = encoder.into_events(outputs).into_async_read();
        response.set_body(Body::from_reader(events, None));
        response.insert_header("content-type", "text/event-stream");
        response
    }

    fn cancel(&self, request_id: &str) -> Response {
        let count = self.generator.cancel(request_id);
        if count == 0 {
            let message = "no such request runs";
            return error_response(StatusCode::NotFound, "not_running", message);
        }
        json_response(StatusCode::Ok, &json!({"cancelled": count}))
    }

    /// The body is the number of blocks, their hashes, and filler in place of keys and values.
    fn export_prefix(&self, hash: &str) -> Response {
        let Ok(hash) = u64::from_str_radix(hash, 16) else {
            return error_response(StatusCode::BadRequest, "bad_hash", "the hash is not hex");
        };
        let Some(chain) = self.generator.cache().chain_to(hash) else {
            return error_response(StatusCode::NotFound, "not_cached", "the prefix is not cached");
        };
        let mut body = (chain.len() as u32).to_le_bytes().to_vec();
        chain.iter().for_each(|hash| body.extend_from_slice(&hash.to_le_bytes()));
        let bytes_per_token = self.shared.options.kv_bytes_per_token as usize;
        body.resize(body.len() + chain.len() * BLOCK_TOKENS * bytes_per_token, 0xa5);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "application/octet-stream");
        response
    }

    fn import_prefix(&self, hash: &str, body: &[u8]) -> Response {
        let chain = decode_prefix(body, self.shared.options.kv_bytes_per_token as usize);
        let last = u64::from_str_radix(hash, 16).ok();
        let Some(chain) = chain.filter(|chain| chain.last().copied() == last) else {
            let message = "the body is not an exported prefix with this hash";
            return error_response(StatusCode::BadRequest, "bad_prefix", message);
        };
        self.generator.cache().store(&chain, Instant::now());
        json_response(StatusCode::Ok, &json!({"blocks": chain.len()}))
    }

    fn cache_events(&self, request: &Request) -> Response {
        let mut pairs = request.url().query_pairs();
        let after = pairs.find(|(name, _)| name == "after").map(|(_, value)| value.parse());
        let Ok(after) = after.unwrap_or(Ok(0)) else {
            return error_response(StatusCode::BadRequest, "bad_after", "after is not a number");
        };
        let options = &self.shared.options;
        let lag = Duration::from_millis(options.cache_event_lag_ms);
        let drop_every = options.cache_event_drop_every;
        let events = self.generator.cache().events(after, lag, drop_every, Instant::now());
        json_response(StatusCode::Ok, &json!({"incarnation": self.incarnation, "events": events}))
    }

    fn take_order(&self, body: &[u8]) -> Response {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => {
                let message = error.to_string();
                return error_response(StatusCode::BadRequest, "bad_request", &message);
            }
        };
        let shared = &self.shared;
        let mut orders = self.orders();
        let highest = shared.highest_fence.fetch_max(order.fence, Ordering::SeqCst);
        let mut stats = shared.stats.lock().expect("no holder panics");
        let stale = shared.options.checks_fencing && order.fence < highest;
        if stale && !orders.has_taken(&order.order_id) {
            stats.orders_refused += 1;
            let message = format!("fence {} is below {highest}", order.fence);
            return error_response(StatusCode::Conflict, "stale_fence", &message);
        }
        match orders.take(&order, Instant::now()) {
            OrderOutcome::Accepted(load_time) => {
                stats.orders_taken += 1;
                let load_ms = load_time.as_millis() as u64;
                let body = json!({"order_id": order.order_id, "repeated": false,
                    "ready_in_ms": load_ms});
                json_response(StatusCode::Accepted, &body)
            }
            OrderOutcome::Repeated => {
                let body = json!({"order_id": order.order_id, "repeated": true});
                json_response(StatusCode::Accepted, &body)
            }
            OrderOutcome::IdTaken => {
                stats.orders_refused += 1;
                let message = "another order has this id";
                error_response(StatusCode::Conflict, "order_id_taken", message)
            }
            OrderOutcome::Invalid(message) => {
                stats.orders_refused += 1;
                error_response(StatusCode::BadRequest, "invalid_order", message)
            }
        }
    }
}

fn decode_prefix(body: &[u8], bytes_per_token: usize) -> Option<Vec<u64>> {
    let (count, rest) = body.split_first_chunk::<4>()?;
    let count = u32::from_le_bytes(*count) as usize;
    let block_bytes = 8 + BLOCK_TOKENS * bytes_per_token;
    if count.checked_mul(block_bytes) != Some(rest.len()) {
        return None;
    }
    let hashes = rest.chunks_exact(8).take(count);
    Some(hashes.map(|hash| u64::from_le_bytes(hash.try_into().expect("8 bytes"))).collect())
}
