//! Measures the choice of an upstream: its cost, and the prefix hits and skew that it leads to.
//!
//! `cargo run --release --example bench_routing [-- SEED]`

#[path = "../tests/routing_support/mod.rs"]
mod routing_support;

use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use damaskhoist::admission::{
    AdmissionPolicy, CrashRecord, CrashRecords, Fingerprint, RefusalKind, SlotQueue, TrialClaim,
    TrialLeases,
};
use damaskhoist::membership::UpstreamRecord;
use damaskhoist::routing::{
    Balancer, FleetSnapshot, HolderIndex, LeastOutstanding, RoundRobin, WeightedScore, WorkClass,
};
use damaskhoist::serving::{BlockHasher, Dispatcher, EngineRequest};
use damaskhoist::telemetry::{Counters, Tracer};
use damaskhoist::upstream::HttpConnector;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing_support::{
    fleet, fleet_of, prompt_hashes, publish_cached_blocks, record, request, zone, MODEL, REGIONS,
};
use standin::{Engine, EngineOptions};

const CHOICES: usize = 200_000;
/// Choices timed together.
const RUN: usize = 20;
const PROMPTS: usize = 2_048;
/// Blocks of a prompt, the first of them shared.
const BLOCKS: usize = 32;
const SHARED_BLOCKS: usize = 24;
/// Blocks that the view of each upstream holds.
const VIEW_BLOCKS: usize = 4_096;

const ENGINES: usize = 10;
const HOSTS: usize = 3;
const CALLERS: usize = 20;
const REQUESTS: usize = 1_500;
const PREFIXES: usize = 100;
/// Prompt tokens: 20 shared blocks and 2 of its own.
const PREFIX_WORDS: usize = 320;
const OWN_WORDS: usize = 32;
/// Blocks that fit in an engine: a quarter of the prefixes.
const CACHE_TOKENS: u64 = 8_192;

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("seed {seed}; time of one choice over {CHOICES} choices of each thread");
    for upstreams in [10, 250, 830] {
        measure_choice(upstreams, seed);
    }
    println!(
        "\n{ENGINES} engines, {HOSTS} hosts, {CALLERS} callers, {REQUESTS} requests, {PREFIXES} \
         prefixes with a share of 1/rank"
    );
    for policy in ["weighted score", "round robin", "least outstanding"] {
        measure_hits(policy, seed);
    }
}

fn measure_choice(upstreams: usize, seed: u64) {
    let fleet = fleet(upstreams);
    let snapshot = fleet.load();
    let mut random = StdRng::seed_from_u64(seed);
    let prompts: Vec<_> = (0..PROMPTS as u64)
        .map(|own| prompt_hashes(random.random_range(0..200), SHARED_BLOCKS, own, BLOCKS))
        .collect();
    let holders = Arc::new(HolderIndex::default());
    // Hosts follow the cache events of their own region only.
    for upstream in snapshot.upstreams().filter(|upstream| upstream.record.region == REGIONS[0]) {
        let mut blocks = Vec::new();
        while blocks.len() < VIEW_BLOCKS {
            let prefix = random.random_range(0..400);
            blocks.extend(prompt_hashes(prefix, SHARED_BLOCKS, 0, SHARED_BLOCKS));
        }
        publish_cached_blocks(upstream, &blocks);
        for hash in &blocks {
            holders.record_stored(*hash, upstream.prefixes.number());
        }
    }
    let weighted = WeightedScore::new(&zone(0), REGIONS[0], holders);
    for threads in [1, 4, 8] {
        let policies: [(&str, &dyn Balancer); 2] =
            [("weighted score", &weighted), ("least outstanding", &LeastOutstanding)];
        for (name, balancer) in policies {
            let (median, mean) = choice_ns(balancer, &snapshot, &prompts, threads, seed);
            println!(
                "{upstreams:4} upstreams, {threads} threads, {name}: median {median:.0} ns, mean \
                 {mean:.0} ns"
            );
        }
    }
    let candidates = snapshot.candidates(&request(&[], &[]));
    let start = Instant::now();
    for prompt in &prompts {
        weighted.record_sent(&request(prompt, &[]), &candidates[0]);
    }
    let ns = start.elapsed().as_nanos() / PROMPTS as u128;
    println!("{upstreams:4} upstreams, note of a sent prompt of {BLOCKS} blocks: {ns} ns");
}

/// Median over runs of [`RUN`] choices, which leaves out runs in which a thread had to wait for a
/// core, and mean of the time of one choice.
fn choice_ns(
    balancer: &dyn Balancer,
    snapshot: &FleetSnapshot,
    prompts: &[Vec<u64>],
    threads: usize,
    seed: u64,
) -> (f64, f64) {
    let run = |thread: usize| {
        let mut random = StdRng::seed_from_u64(seed + thread as u64);
        let mut times = Vec::with_capacity(CHOICES / RUN);
        for first in (0..CHOICES).step_by(RUN) {
            let start = Instant::now();
            for choice in first..first + RUN {
                let view = request(&prompts[(choice * 7 + thread) % PROMPTS], &[]);
                let candidates = snapshot.candidates(&view);
                black_box(balancer.choose(&view, candidates, random.random()));
            }
            times.push(start.elapsed().as_nanos() as f64 / RUN as f64);
        }
        times
    };
    let mut times: Vec<f64> = std::thread::scope(|scope| {
        let run = &run;
        let threads: Vec<_> = (0..threads).map(|thread| scope.spawn(move || run(thread))).collect();
        let times = threads.into_iter().map(|thread| thread.join().expect("no thread panics"));
        times.flatten().collect()
    });
    times.sort_unstable_by(f64::total_cmp);
    (times[times.len() / 2], times.iter().sum::<f64>() / times.len() as f64)
}

fn measure_hits(policy: &str, seed: u64) {
    let engines: Vec<_> = (0..ENGINES).map(|_| engine()).collect();
    let dispatchers: Vec<_> = (0..HOSTS).map(|_| dispatcher(policy, &engines)).collect();
    let mut random = StdRng::seed_from_u64(seed);
    let shares = WeightedIndex::new((1..=PREFIXES).map(|rank| 1.0 / rank as f64));
    let shares = shares.expect("the shares are positive");
    let prefixes: Vec<_> = (0..REQUESTS).map(|_| shares.sample(&mut random)).collect();
    let (next, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let started = Instant::now();
    let mut first_token_ms = task::block_on(async {
        let callers = (0..CALLERS).map(|_| async {
            let mut times = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(prefix) = prefixes.get(number) else { return times };
                match send(&dispatchers[number % HOSTS], number, *prefix).await {
                    Some(time) => times.push(time.as_secs_f64() * 1e3),
                    None => _ = refused.fetch_add(1, Ordering::Relaxed),
                }
            }
        });
        futures::future::join_all(callers).await.concat()
    });
    let total_s = started.elapsed().as_secs_f64();
    first_token_ms.sort_unstable_by(f64::total_cmp);
    let at = |share: f64| first_token_ms[((first_token_ms.len() - 1) as f64 * share) as usize];
    let stats: Vec<_> = engines.iter().map(Engine::stats).collect();
    let hits: u64 = stats.iter().map(|stats| stats.prefix_hit_blocks).sum();
    let misses: u64 = stats.iter().map(|stats| stats.prefix_miss_blocks).sum();
    // The best possible: one cache that holds everything, so only first uses miss.
    let distinct = prefixes.iter().collect::<std::collections::BTreeSet<_>>().len();
    let shared_blocks = PREFIX_WORDS / 16;
    let blocks = REQUESTS * (PREFIX_WORDS + OWN_WORDS) / 16;
    let best = (REQUESTS - distinct) * shared_blocks;
    let requests: Vec<u64> = stats.iter().map(|stats| stats.started.values().sum()).collect();
    let mean = requests.iter().sum::<u64>() as f64 / ENGINES as f64;
    let most = requests.iter().max().copied().unwrap_or(0) as f64;
    let overshoot = stats.iter().map(|stats| stats.max_overshoot).max().unwrap_or(0);
    println!(
        "{policy}: hits {:.1} % of blocks, best possible {:.1} %; busiest engine {:.2} times the \
         mean, overshoot {overshoot}; first token p50 {:.0} ms, p95 {:.0} ms; {total_s:.1} s, {} \
         refused",
        100.0 * hits as f64 / (hits + misses).max(1) as f64,
        100.0 * best as f64 / blocks as f64,
        most / mean,
        at(0.5),
        at(0.95),
        refused.load(Ordering::Relaxed),
    );
    task::block_on(async {
        for engine in engines {
            engine.close().await;
        }
    });
}

/// Time to the first token, or `None` when the request was refused.
async fn send(dispatcher: &Dispatcher, number: usize, prefix: usize) -> Option<Duration> {
    let shared = (0..PREFIX_WORDS).map(|word| format!("p{prefix}w{word}"));
    let own = (0..OWN_WORDS).map(|word| format!("r{number}w{word}"));
    let prompt: Vec<_> = shared.chain(own).collect();
    let body = serde_json::json!({"model": MODEL, "prompt": prompt.join(" "), "max_tokens": 8});
    let (body, fingerprints) = EngineRequest::streamed_body(body);
    let engine_request = EngineRequest {
        request_id: format!("request-{number}"),
        service: String::new(),
        model: MODEL.to_owned(),
        path: "/v1/completions".to_owned(),
        body,
        fingerprints,
        prefix_hashes: Vec::new(),
        class: WorkClass::Online,
        repeatable: true,
        deadline: Instant::now() + Duration::from_secs(10),
        traceparent: String::new(),
        customer: "default".to_owned(),
        expected_tokens: 8,
        first_position: 0,
        stop: None,
    };
    let tracer = Tracer::open("bench", None, 0.0).expect("there is no file to open");
    let span = tracer.start("request", None);
    let started = Instant::now();
    let mut running = match dispatcher.start(engine_request, &span).await {
        Ok(running) => running,
        Err(refusal) => {
            assert_eq!(refusal.kind, RefusalKind::Overloaded, "{refusal}");
            return None;
        }
    };
    let mut first = None;
    while let Ok(Some(chunk)) = running.next(&span).await {
        if !chunk.text.is_empty() {
            first.get_or_insert(started.elapsed());
        }
    }
    first
}

fn engine() -> Engine {
    let mut options = EngineOptions::for_service("engraving", MODEL);
    options.cache_tokens = CACHE_TOKENS;
    options.cache_event_lag_ms = 300;
    options.cache_event_drop_every = 50;
    options.slots = 8;
    Engine::bind(options).expect("a free port")
}

fn dispatcher(policy: &str, engines: &[Engine]) -> Dispatcher {
    let records = engines
        .iter()
        .map(|engine| UpstreamRecord {
            upstream_id: engine.upstream_id().to_owned(),
            address: engine.address().to_string(),
            zone: zone(0),
            region: REGIONS[0].to_owned(),
            ..record(0)
        })
        .collect();
    let fleet = Arc::new(fleet_of(records));
    let holders = Arc::new(HolderIndex::default());
    let balancer: Box<dyn Balancer> = match policy {
        "round robin" => Box::<RoundRobin>::default(),
        "least outstanding" => Box::new(LeastOutstanding),
        _ => Box::new(WeightedScore::new(&zone(0), REGIONS[0], holders.clone())),
    };
    let dispatcher = Dispatcher::open(
        fleet,
        balancer,
        Box::new(BlockHasher),
        Box::new(HttpConnector::open()),
        SlotQueue::open(Box::new(EqualShares), true),
        Arc::new(NoCrashes),
        Counters::open("bench", None),
    );
    dispatcher.follow_cache_events(REGIONS[0], holders);
    dispatcher
}

/// Nothing crashes here.
struct NoCrashes;

impl CrashRecords for NoCrashes {
    fn find(&self, _fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>> {
        None
    }

    fn all(&self) -> Vec<Arc<CrashRecord>> {
        Vec::new()
    }

    fn publish(&self, _record: CrashRecord) {}
}

#[async_trait]
impl TrialLeases for NoCrashes {
    async fn claim_trial(&self, _scope: &str, _holder: &str, _lease: Duration) -> TrialClaim {
        TrialClaim::Granted
    }

    async fn release_trial(&self, _scope: &str, _holder: &str) {}
}

struct EqualShares;

impl AdmissionPolicy for EqualShares {
    fn weight(&self, _customer: &str) -> u32 {
        1
    }

    fn batch_yield(&self) -> u32 {
        50
    }
}
