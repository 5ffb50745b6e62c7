use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::channel::Sender;
use async_std::net::TcpStream;
use async_std::task;
use futures::{pin_mut, select_biased, FutureExt};

use crate::completion::{Ending, Output};
use crate::engine::Shared;
use crate::kv_cache::KvCache;
use crate::load::{Admitted, Load};
use crate::service::peer_closed;
use crate::signal::Signal;
use crate::tokens::{token_text, PromptHashes, BLOCK_TOKENS};

/// Computes answers with continuous batching and a prefix cache, at the speed in the settings.
pub(crate) struct Generator {
    shared: Arc<Shared>,
    load: Arc<Load>,
    stop: Signal,
    cache: Mutex<KvCache>,
    running: Mutex<BTreeMap<u64, (String, Signal)>>,
    next_serial: AtomicU64,
}

/// One completion to compute.
pub(crate) struct Call {
    pub(crate) request_id: String,
    pub(crate) hashes: PromptHashes,
    /// Position of the first token to send.
    pub(crate) first_position: u64,
    /// Tokens of the whole answer, counted from position 0.
    pub(crate) token_limit: u64,
    /// The engine crashes after the prefill.
    pub(crate) crashes: bool,
}

impl Generator {
    pub(crate) fn new(shared: Arc<Shared>, load: Arc<Load>, stop: Signal) -> Self {
        let cache = Mutex::new(KvCache::new(shared.options.cache_tokens));
        Self {
            shared,
            load,
            stop,
            cache,
            running: Mutex::default(),
            next_serial: AtomicU64::new(1),
        }
    }

    pub(crate) fn cache(&self) -> MutexGuard<'_, KvCache> {
        self.cache.lock().expect("no holder panics")
    }

    /// Cancels the running requests with this id and returns their number.
    pub(crate) fn cancel(&self, request_id: &str) -> usize {
        let running = self.running.lock().expect("no holder panics");
        let signals = running.values().filter(|(id, _)| id == request_id);
        signals.map(|(_, signal)| signal.raise()).count()
    }

    /// Computes one answer until it ends, is cancelled, or its caller or the engine is gone.
    pub(crate) async fn run(
        self: Arc<Self>,
        call: Call,
        outputs: Sender<Output>,
        connection: TcpStream,
    ) {
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
