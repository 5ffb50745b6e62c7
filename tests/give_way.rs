//! Guards against online requests that wait behind batch work, and against batch items that lose
//! or repeat a part of their answers when they give way. Real stand-in engine over loopback.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::settings::HostSettings;
use damaskhoist::Host;
use futures::AsyncReadExt;
use serde_json::{json, Value};
use standin::{Caller, Engine, EngineOptions};

const MODEL: &str = "slipper-lm";
const SLOTS: u32 = 4;
const ITEMS: usize = 10;
const ITEM_TOKENS: u32 = 60;
const BURST: usize = 3;
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Target for the time from a burst to free slots.
const FREE_WITHIN: Duration = Duration::from_millis(100);

#[async_std::test]
async fn batch_gives_way_to_a_burst_and_finishes_each_item_once() {
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

    let job_id = create_job(&caller).await;
    wait_until("batch fills the slots", || async { engine.stats().running == u64::from(SLOTS) })
        .await;
    // Lets the items get some way, so that they have progress to keep.
    task::sleep(token_time * 10).await;
    let burst = futures::future::join_all((0..BURST).map(|_| first_token(&caller))).await;
    for (index, time) in burst.iter().enumerate() {
        let bound = FREE_WITHIN + token_time * 2;
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
    let whole = Caller::open(engine.address());
    let direct = futures::future::join_all(lines.iter().map(|line| async move {
        let number = line["custom_id"].as_str().unwrap().trim_start_matches("lot-");
        whole.post("/v1/chat/completions", &[], &item_body(number)).await.unwrap().json()
    }))
    .await;
    for (line, direct) in lines.iter().zip(&direct) {
        let number = &line["custom_id"];
        let expected = &direct["choices"][0]["message"]["content"];
        let got = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(got, expected, "item {number} has its whole answer, each piece once");
    }
    assert_eq!(stats.max_overshoot, 0, "the engine never ran more than its slots");
    let cancelled = stats.cancelled.keys().filter(|name| name.starts_with(&job_id)).count();
    assert!(cancelled >= BURST, "each request of the burst cut an item, not {cancelled}");
    let item_tokens = ITEMS as u64 * u64::from(ITEM_TOKENS);
    let wasted = stats.tokens_produced.saturating_sub(item_tokens + BURST as u64 * 8);
    assert!(wasted <= 20, "cut items went on at their position, but {wasted} tokens came twice");
    engine.close().await;
    host.close().await;
}

/// Time to the first token of an online request; reads the rest as well.
async fn first_token(caller: &Caller) -> Duration {
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

async fn create_job(caller: &Caller) -> String {
    let lines: String = (0..ITEMS)
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
        // The single control host needs a moment to elect itself.
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
