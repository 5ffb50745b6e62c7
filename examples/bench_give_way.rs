//! Measures online beside batch with real hosts and stand-in engines over loopback: harm to the
//! first token, batch throughput, the wait for a slot in a burst, and overshoot at the engines.
//!
//! `cargo run --release --example bench_give_way`

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::routing::{LeastOutstanding, RoundRobin};
use damaskhoist::SharingOptions;
use futures::future::join_all;
use futures::AsyncReadExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standin::Caller;
use support::{chat, Cluster, ClusterOptions};

const HOSTS: usize = 4;
const ENGINES: usize = 10;
const SLOTS: u32 = 8;
const TOKEN_US: u64 = 20_000;
const ONLINE_PER_S: f64 = 100.0;
const ONLINE_TOKENS: u32 = 10;
const BURST: usize = 30;
const ITEMS: usize = 6_000;
const ITEM_TOKENS: u32 = 40;
const PHASE: Duration = Duration::from_secs(6);

struct Case {
    name: &'static str,
    sharing: fn() -> SharingOptions,
    batch_yield: u32,
}

#[derive(Default)]
struct Online {
    first_token: Vec<Duration>,
    refused: u64,
    tokens: u64,
}

fn main() {
    let ours = SharingOptions::default;
    let case = |name, sharing, batch_yield| Case { name, sharing, batch_yield };
    let cases = [
        case("round robin, first in first out, no give-way", round_robin, 100),
        case("least outstanding of the host, no give-way", least_outstanding, 100),
        case("leases, batch_yield 100", ours, 100),
        case("leases, batch_yield 90", ours, 90),
        case("leases, batch_yield 75", ours, 75),
        case("leases, batch_yield 50", ours, 50),
        case("leases, batch_yield 0", ours, 0),
    ];
    println!(
        "{HOSTS} hosts, {ENGINES} engines with {SLOTS} slots, {} ms per token",
        TOKEN_US / 1_000
    );
    println!("online: {ONLINE_PER_S} requests/s of {ONLINE_TOKENS} tokens; times in ms");
    println!(
        "{:<46} {:>17} {:>20} {:>6} {:>6} {:>7} {:>7} {:>9}",
        "",
        "alone p50/95/99",
        "with batch p50/95/99",
        "ratio",
        "batch",
        "b.alone",
        "burst",
        "overshoot"
    );
    for case in cases {
        task::block_on(measure(&case));
    }
}

fn round_robin() -> SharingOptions {
    let balancer = Some(Box::new(RoundRobin::default()) as Box<_>);
    SharingOptions { balancer, preempts_batch: false, leases: false }
}

fn least_outstanding() -> SharingOptions {
    let balancer = Some(Box::new(LeastOutstanding) as Box<_>);
    SharingOptions { balancer, preempts_batch: false, leases: false }
}

async fn measure(case: &Case) {
    let mut options = ClusterOptions::new(HOSTS, ENGINES).with_engines(|engine| {
        engine.slots = SLOTS;
        engine.token_time_us = TOKEN_US;
    });
    options.sharing = case.sharing;
    let cluster = Cluster::open(options).await;
    set_batch_yield(cluster.caller(0), case.batch_yield).await;
    task::sleep(Duration::from_secs(1)).await;

    let alone = online(&cluster, PHASE).await;
    create_job(cluster.caller(0)).await;
    task::sleep(Duration::from_secs(3)).await;
    let (started, before) = (Instant::now(), produced(&cluster));
    let beside = online(&cluster, PHASE).await;
    let time = started.elapsed().as_secs_f64();
    let capacity = f64::from(SLOTS) * ENGINES as f64 * 1e6 / TOKEN_US as f64;
    let batch = (produced(&cluster) - before).saturating_sub(beside.tokens) as f64 / time;
    let idle = capacity - beside.tokens as f64 / time;

    task::sleep(Duration::from_secs(2)).await;
    let (started, before) = (Instant::now(), produced(&cluster));
    task::sleep(PHASE / 2).await;
    let batch_alone =
        (produced(&cluster) - before) as f64 / started.elapsed().as_secs_f64() / capacity;
    let burst = burst(&cluster).await;
    let overshoot = cluster.engines.iter().map(|engine| engine.stats().max_overshoot).max();
    let (one, two) = (percentiles(&alone), percentiles(&beside));
    println!(
        "{:<46} {:>17} {:>20} {:>6.2} {:>5.0}% {:>6.0}% {:>7.0} {:>9}  refused {}+{}",
        case.name,
        show(one),
        show(two),
        two[2] / one[2],
        100.0 * batch / idle,
        100.0 * batch_alone,
        burst.as_secs_f64() * 1e3 - one[0],
        overshoot.unwrap_or(0),
        alone.refused,
        beside.refused
    );
    cluster.close().await;
}

/// Online requests at random times, spread over the hosts.
async fn online(cluster: &Cluster, time: Duration) -> Online {
    let result = Arc::new(Mutex::new(Online::default()));
    let mut random = StdRng::seed_from_u64(7);
    let (started, mut due, mut running) = (Instant::now(), 0.0, Vec::new());
    loop {
        due += -(1.0 - random.random::<f64>()).ln() / ONLINE_PER_S;
        let wait = Duration::from_secs_f64(due).saturating_sub(started.elapsed());
        if due >= time.as_secs_f64() {
            break;
        }
        task::sleep(wait).await;
        let caller = *cluster.caller(running.len() % HOSTS);
        let (result, number) = (result.clone(), running.len());
        running.push(task::spawn(async move {
            let (first_token, tokens) = request(&caller, number).await;
            let mut result = result.lock().expect("no holder panics");
            result.tokens += tokens;
            match first_token {
                Some(first_token) => result.first_token.push(first_token),
                None => result.refused += 1,
            }
        }));
    }
    join_all(running).await;
    let result = std::mem::take(&mut *result.lock().expect("no holder panics"));
    result
}

/// Sends many requests at once; gives the time until the last one has its first token.
async fn burst(cluster: &Cluster) -> Duration {
    let requests = (0..BURST).map(|number| request(cluster.caller(number % HOSTS), number));
    let times = join_all(requests).await;
    times.into_iter().filter_map(|(first_token, _)| first_token).max().unwrap_or_default()
}

/// Time to the first token, and the tokens of the whole answer; no time for a refused request.
async fn request(caller: &Caller, number: usize) -> (Option<Duration>, u64) {
    let body = chat(&format!("plate {number}"), ONLINE_TOKENS, true).to_string();
    let started = Instant::now();
    let call = caller.open_call("POST", "/v1/chat/completions", &[], body.as_bytes()).await;
    let Ok(mut response) = call else { return (None, 0) };
    let mut first = [0; 1];
    if response.status() as u16 != 200 || response.read_exact(&mut first).await.is_err() {
        return (None, 0);
    }
    let first_token = started.elapsed();
    let mut rest = Vec::new();
    let _ = response.read_to_end(&mut rest).await;
    (Some(first_token), ONLINE_TOKENS.into())
}

async fn create_job(caller: &Caller) {
    let lines: String = (0..ITEMS)
        .map(|item| {
            let body = chat(&format!("sheet {item}"), ITEM_TOKENS, false);
            let line = json!({"custom_id": format!("sheet-{item}"), "method": "POST",
                "url": "/v1/chat/completions", "body": body});
            format!("{line}\n")
        })
        .collect();
    let file = caller.call("POST", "/v1/files?purpose=batch", &[], lines.as_bytes()).await;
    let file = file.expect("the host answers").json();
    let batch = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions"});
    let created = caller.post("/v1/batches", &[], &batch).await.expect("the host answers");
    assert_eq!(created.status, 200, "the job was refused: {}", created.body);
}

async fn set_batch_yield(caller: &Caller, batch_yield: u32) {
    let change = json!({"base_version": 0,
        "edits": [{"put_policy": {"batch_yield": batch_yield}}]});
    let changed = caller.post("/v1/admin/configuration", &[], &change).await;
    let changed = changed.expect("the host answers");
    assert_eq!(changed.status, 200, "{}", changed.body);
}

fn produced(cluster: &Cluster) -> u64 {
    cluster.engines.iter().map(|engine| engine.stats().tokens_produced).sum()
}

/// The 50th, 95th and 99th percentile in milliseconds.
fn percentiles(online: &Online) -> [f64; 3] {
    let mut times = online.first_token.clone();
    times.sort_unstable();
    [50, 95, 99].map(|percent| {
        let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
        times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
    })
}

fn show(times: [f64; 3]) -> String {
    format!("{:.0}/{:.0}/{:.0}", times[0], times[1], times[2])
}
