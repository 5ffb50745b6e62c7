use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Sender};
use async_std::net::TcpStream;
use async_std::task;
use async_trait::async_trait;
use futures::stream::TryStreamExt;
use futures::{pin_mut, select_biased, FutureExt};
use http_types::{Body, Method, Request, Response, StatusCode};
use serde_json::json;

use crate::completion::{AnswerEncoder, AnswerForm, Ending, Output};
use crate::engine::Shared;
use crate::kv_cache::KvCache;
use crate::load::{Admitted, Load, LoadReport};
use crate::order_book::{OrderBook, OrderOutcome};
use crate::schema::{CompletionRequest, Model, Order};
use crate::service::{contains, error_response, json_response, peer_closed, request_id, Service};
use crate::signal::Signal;
use crate::tokens::{token_text, PromptHashes, BLOCK_TOKENS};

/// Outputs that may wait for a slow caller.
const OUTPUT_QUEUE: usize = 16;

/// A model engine with continuous batching and a prefix cache.
pub(crate) struct ModelService {
    core: Arc<Core>,
}

struct Core {
    shared: Arc<Shared>,
    incarnation: u64,
    load: Arc<Load>,
    stop: Signal,
    cache: Mutex<KvCache>,
    orders: Mutex<OrderBook>,
    running: Mutex<BTreeMap<u64, (String, Signal)>>,
    next_serial: AtomicU64,
}

/// One completion to compute.
struct Call {
    request_id: String,
    hashes: PromptHashes,
    first_position: u64,
    token_limit: u64,
    crashes: bool,
}

impl ModelService {
    pub(crate) fn new(
        shared: Arc<Shared>,
        incarnation: u64,
        load: Arc<Load>,
        stop: Signal,
    ) -> Self {
        let now = Instant::now();
        let core = Core {
            cache: Mutex::new(KvCache::new(shared.options.cache_tokens)),
            orders: Mutex::new(OrderBook::new(&shared.options, now)),
            running: Mutex::default(),
            next_serial: AtomicU64::new(1),
            shared,
            incarnation,
            load,
            stop,
        };
        Self { core: Arc::new(core) }
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
                let slots = self.core.shared.options.slots;
                let body =
                    json!({"running": load.running, "waiting": load.waiting, "slots": slots});
                json_response(StatusCode::Ok, &body)
            }
            (Method::Post, ["v1", "orders"]) => self.take_order(&body),
            (Method::Get, ["v1", "models"]) => {
                let models = self.core.orders().to_json(Instant::now());
                json_response(StatusCode::Ok, &models)
            }
            _ => error_response(StatusCode::NotFound, "not_found", "there is no such path"),
        }
    }

    fn models(&self) -> Vec<Model> {
        self.core.orders().ready_models(Instant::now())
    }

    fn role(&self) -> String {
        self.core.orders().role().to_owned()
    }

    fn load(&self) -> LoadReport {
        self.core.load.report()
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
            let orders = self.core.orders();
            let found = orders.find(&completion.model, &completion.adapter, Instant::now());
            found.map(str::to_owned)
        };
        let Some(model) = model else {
            let message = format!("model {} is not loaded", completion.model);
            return error_response(StatusCode::NotFound, "model_not_found", &message);
        };
        let prompt = completion.prompt_text();
        let options = &self.core.shared.options;
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
        task::spawn(self.core.clone().run(call, sender, connection));
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
        let running = self.core.running.lock().expect("no holder panics");
        let mut count = 0;
        for (_, signal) in running.values().filter(|(id, _)| id == request_id) {
            signal.raise();
            count += 1;
        }
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
        let Some(chain) = self.core.cache().chain_to(hash) else {
            return error_response(StatusCode::NotFound, "not_cached", "the prefix is not cached");
        };
        let mut body = (chain.len() as u32).to_le_bytes().to_vec();
        chain.iter().for_each(|hash| body.extend_from_slice(&hash.to_le_bytes()));
        let bytes_per_token = self.core.shared.options.kv_bytes_per_token as usize;
        body.resize(body.len() + chain.len() * BLOCK_TOKENS * bytes_per_token, 0xa5);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "application/octet-stream");
        response
    }

    fn import_prefix(&self, hash: &str, body: &[u8]) -> Response {
        let chain = decode_prefix(body, self.core.shared.options.kv_bytes_per_token as usize);
        let last = u64::from_str_radix(hash, 16).ok();
        let Some(chain) = chain.filter(|chain| chain.last().copied() == last) else {
            let message = "the body is not an exported prefix with this hash";
            return error_response(StatusCode::BadRequest, "bad_prefix", message);
        };
        self.core.cache().store(&chain, Instant::now());
        json_response(StatusCode::Ok, &json!({"blocks": chain.len()}))
    }

    fn cache_events(&self, request: &Request) -> Response {
        let mut pairs = request.url().query_pairs();
        let after = pairs.find(|(name, _)| name == "after").map(|(_, value)| value.parse());
        let Ok(after) = after.unwrap_or(Ok(0)) else {
            return error_response(StatusCode::BadRequest, "bad_after", "after is not a number");
        };
        let options = &self.core.shared.options;
        let lag = Duration::from_millis(options.cache_event_lag_ms);
        let drop_every = options.cache_event_drop_every;
        let events = self.core.cache().events(after, lag, drop_every, Instant::now());
        json_response(
            StatusCode::Ok,
            &json!({"incarnation": self.core.incarnation, "events": events}),
        )
    }

    fn take_order(&self, body: &[u8]) -> Response {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => {
                let message = error.to_string();
                return error_response(StatusCode::BadRequest, "bad_request", &message);
            }
        };
        let shared = &self.core.shared;
        let mut orders = self.core.orders();
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

impl Core {
    fn cache(&self) -> std::sync::MutexGuard<'_, KvCache> {
        self.cache.lock().expect("no holder panics")
    }

    fn orders(&self) -> std::sync::MutexGuard<'_, OrderBook> {
        self.orders.lock().expect("no holder panics")
    }

    /// Computes one answer until it ends, is cancelled, or its caller or the engine is gone.
    async fn run(self: Arc<Self>, call: Call, outputs: Sender<Output>, connection: TcpStream) {
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        let cancel = Signal::new();
        let entry = (call.request_id.clone(), cancel.clone());
        self.running.lock().expect("no holder panics").insert(serial, entry);
        self.shared.record_start(&call.request_id);
        let mut admitted = self.load.admit();

        let ending = {
            let stopped = self.stop.wait().fuse();
            let cancelled = cancel.wait().fuse();
            let gone = peer_closed(&connection).fuse();
            let produced = self.produce(&call, &mut admitted, &outputs).fuse();
            pin_mut!(stopped, cancelled, gone, produced);
            select_biased! {
                () = stopped => Ending::Lost,
                () = cancelled => Ending::Cancelled,
                () = gone => Ending::Cancelled,
                ending = produced => ending,
            }
        };

        // Everything is counted before the caller can see the end.
        drop(admitted);
        self.running.lock().expect("no holder panics").remove(&serial);
        self.shared.record_end(&call.request_id, ending);
        let _ = outputs.send(Output::End(ending)).await;
    }

    async fn produce(
        &self,
        call: &Call,
        admitted: &mut Admitted,
        outputs: &Sender<Output>,
    ) -> Ending {
        self.prefill(call).await;
        if call.crashes {
            self.shared.crash();
            return Ending::Lost;
        }
        let options = &self.shared.options;
        let token_time = Duration::from_micros(options.token_time_us);
        let mut due = Instant::now();
        for position in call.first_position..call.token_limit {
            due += self.load.stretched(token_time, options.slots);
            sleep_until(due).await;
            self.shared.thawed().await;
            // Time lost to a freeze or a slow caller is not made up for.
            due = due.max(Instant::now() - token_time);
            admitted.first_token();
            let text = token_text(call.hashes.prompt, position);
            if outputs.send(Output::Token { position, text }).await.is_err() {
                return Ending::Cancelled;
            }
            self.shared.tokens_produced.fetch_add(1, Ordering::Relaxed);
        }
        Ending::Finished
    }

    /// Computes what the cache does not hold of the prompt and of the tokens before the first.
    async fn prefill(&self, call: &Call) {
        let options = &self.shared.options;
        let hashes = &call.hashes;
        let cached_tokens = self.cache().cached_tokens(&hashes.blocks);
        let hit_blocks = cached_tokens / BLOCK_TOKENS;
        {
            let mut stats = self.shared.stats.lock().expect("no holder panics");
            stats.prefix_hit_blocks += hit_blocks as u64;
            stats.prefix_miss_blocks += (hashes.blocks.len() - hit_blocks) as u64;
        }
        let computed = (hashes.token_count - cached_tokens) as u64 + call.first_position;
        let time = Duration::from_micros(options.prefill_time_us_per_token * computed);
        task::sleep(self.load.stretched(time, options.slots)).await;
        self.cache().store(&hashes.blocks, Instant::now());
    }
}

async fn sleep_until(due: Instant) {
    let now = Instant::now();
    if due > now {
        task::sleep(due - now).await;
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
