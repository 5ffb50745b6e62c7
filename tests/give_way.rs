//! Tests the preemption of batch work. Guards against online requests that wait behind batch work,
//! and against preempted batch items that lose or duplicate part of their answers. Uses the
//! stand-in engine over loopback.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::settings::HostSettings;
use damaskhoist::Host;
use futures::AsyncReadExt;
use serde_json::{json, Value};
use standin::{Caller, Engine, EngineOptions};
use support::{Cluster, ClusterOptions};

const MODEL: &str = support::MODEL;
const SLOTS: u32 = 4;
const ITEMS: usize = 16;
const ITEM_TOKENS: u32 = 60;
const BURST: usize = 3;
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Target time from the arrival of a burst until slots are free for it.
const SLOT_FREE_TARGET: Duration = Duration::from_millis(100);

#[async_std::test]
async fn a_burst_preempts_batch_and_each_item_finishes_once() {
    let folder = tempfile::tempdir().unwrap();
    let mut settings = HostSettings::loopback("give-way-1", "bahir-lake", "amhara");
    settings.roles.control = true;
    settings.control.data_folder = folder.path().to_path_buf();
    let host = Host::open(settings).await.unwrap();
    let address = host.caller_address().unwrap();
    let caller = Caller::open(address);
    let mut options = EngineOptions::for_service("slippers", MODEL);
    options.entry_addresses = vec![address.to_string()];
    options.slots = SLOTS;
    options.token_time_us = 10_000;
    let token_time = Duration::from_micros(options.token_time_us);
    let engine = Engine::bind(options).unwrap();
    wait_until("the model is announced", || async {
        caller.get("/v1/models").await.is_ok_and(|models| models.json()["data"][0]["id"] == MODEL)
    })
    .await;

    let job_id = create_job(&caller, ITEMS).await;
    wait_until("batch fills the slots", || async { engine.stats().running == u64::from(SLOTS) })
        .await;
    // Let the items generate some tokens, so that they have progress to resume from.
    task::sleep(token_time * 10).await;
    let burst = futures::future::join_all((0..BURST).map(|_| time_to_first_token(&caller))).await;
    for (index, time) in burst.iter().enumerate() {
        let bound = SLOT_FREE_TARGET + token_time * 2;
        assert!(*time < bound, "request {index} of the burst got its first token after {time:?}");
    }

    wait_until("the job ends", || async {
        let job = caller.get(&format!("/v1/batches/{job_id}")).await;
        job.is_ok_and(|job| job.json()["status"] == "completed")
    })
    .await;
    let stats = engine.stats();
    let results = caller.get(&format!("/v1/batches/{job_id}/results")).await.unwrap();
    let lines: Vec<Value> =
        results.body.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let names: BTreeSet<&str> =
        lines.iter().map(|line| line["custom_id"].as_str().unwrap()).collect();
    assert_eq!((lines.len(), names.len()), (ITEMS, ITEMS), "each item has one result");
    let engine_caller = Caller::open(engine.address());
    let uninterrupted = futures::future::join_all(lines.iter().map(|line| async move {
        let number = line["custom_id"].as_str().unwrap().trim_start_matches("lot-");
        engine_caller.post("/v1/chat/completions", &[], &item_body(number)).await.unwrap().json()
    }))
    .await;
    for (line, uninterrupted) in lines.iter().zip(&uninterrupted) {
        let number = &line["custom_id"];
        let expected = &uninterrupted["choices"][0]["message"]["content"];
        let got = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(got, expected, "item {number} has its complete answer, each chunk once");
    }
    assert_eq!(stats.max_overshoot, 0, "the engine never ran more requests than it has slots");
    let cancelled = stats.cancelled.keys().filter(|name| name.starts_with(&job_id)).count();
    assert!(
        cancelled >= BURST,
        "each request of the burst preempts an item, but only {cancelled} items were preempted"
    );
    let item_tokens = ITEMS as u64 * u64::from(ITEM_TOKENS);
    let wasted = stats.tokens_produced.saturating_sub(item_tokens + BURST as u64 * 8);
    assert!(
        wasted <= 20,
        "preempted items did not resume at their position: {wasted} tokens were generated twice"
    );
    engine.close().await;
    host.close().await;
}

/// Sends an online request and returns the time to its first token, after reading the rest of the
/// answer.
async fn time_to_first_token(caller: &Caller) -> Duration {
    let body = json!({"model": MODEL, "stream": true, "max_tokens": 8,
        "messages": [{"role": "user", "content": "Size 42 in brown?"}]})
    .to_string();
    let started = Instant::now();
    let call = caller.open_call("POST", "/v1/chat/completions", &[], body.as_bytes());
    let mut response = call.await.unwrap();
    assert_eq!(response.status() as u16, 200);
    let mut first = [0; 1];
    response.read_exact(&mut first).await.unwrap();
    let time = started.elapsed();
    let mut rest = Vec::new();
    response.read_to_end(&mut rest).await.unwrap();
    time
}

async fn create_job(caller: &Caller, items: usize) -> String {
    let lines: String = (0..items)
        .map(|item| {
            let line = json!({"custom_id": format!("lot-{item}"), "method": "POST",
                "url": "/v1/chat/completions", "body": item_body(&item.to_string())});
            format!("{line}\n")
        })
        .collect();
    let started = Instant::now();
    let file = loop {
        let file = caller.call("POST", "/v1/files?purpose=batch", &[], lines.as_bytes()).await;
        let file = file.unwrap();
        if file.status == 200 {
            break file.json();
        }
        // The single control host refuses files until it has elected itself leader.
        assert!(started.elapsed() < STEP_TIMEOUT, "the file was refused: {}", file.body);
        task::sleep(Duration::from_millis(50)).await;
    };
    let batch = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions"});
    let created = caller.post("/v1/batches", &[], &batch).await.unwrap();
    created.json()["id"].as_str().unwrap().to_owned()
}

fn item_body(number: &str) -> Value {
    json!({"model": MODEL, "max_tokens": ITEM_TOKENS,
        "messages": [{"role": "user", "content": format!("Cutting sheet {number}")}]})
}

async fn wait_until<F: std::future::Future<Output = bool>>(what: &str, is_met: impl Fn() -> F) {
    let started = Instant::now();
    while !is_met().await {
        assert!(started.elapsed() < STEP_TIMEOUT, "did not happen: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against hosts that together send an engine more requests than it has slots, and against a
/// host that gets no slot because batch work of another host holds all of them.
#[async_std::test]
async fn hosts_share_slots_and_recall_batch_for_each_other() {
    let options = ClusterOptions::new(3, 2).with_engines(|engine| {
        engine.slots = SLOTS;
        engine.token_time_us = 10_000;
    });
    let cluster = Cluster::open(options).await;
    let slots = u64::from(SLOTS) * 2;
    // Slot leases spread over the hosts while the job runs, so it must outlast that.
    create_job(cluster.caller(0), 6 * ITEMS).await;
    support::wait_until("batch fills the slots", STEP_TIMEOUT, || cluster.running() >= slots - 1)
        .await;
    // One host, which holds about a third of the fleet's slots, requests all of them.
    let caller = cluster.caller(2);
    let burst = futures::future::join_all((0..slots).map(|_| time_to_first_token(caller))).await;
    // Allow two token times on top, as in the test above.
    let longest = burst.into_iter().max().unwrap();
    assert!(
        longest < SLOT_FREE_TARGET + Duration::from_millis(20),
        "a request got its first token after {longest:?}"
    );
    for engine in &cluster.engines {
        assert_eq!(engine.stats().max_overshoot, 0, "{}", engine.upstream_id());
    }
    cluster.close().await;
}
