//! Upstreams and callers that fail while real hosts serve them.

mod support;

use std::time::{Duration, Instant};

use async_std::task;
use futures::future::join_all;
use futures::{AsyncBufReadExt, AsyncReadExt, StreamExt};
use serde_json::Value;
use standin::CallerAnswer;
use support::{chat, expected_text, wait_until, Cluster, ClusterOptions, MODEL};

const CHAT: &str = "/v1/chat/completions";
const POISON: &str = "a poisonous inscription";
/// Time in which an abandoned request must free its slot at the engine.
const FREED_WITHIN: Duration = Duration::from_secs(1);

async fn post(cluster: &Cluster, host: usize, content: &str, tokens: u32) -> CallerAnswer {
    let body = chat(content, tokens, true);
    cluster.caller(host).post(CHAT, &[], &body).await.expect("the host answers")
}

/// A whole stream, or one whose last event is an error.
fn is_whole(answer: &CallerAnswer, content: &str, tokens: u32) -> bool {
    if answer.status == 200 && answer.events().last() == Some(&"[DONE]") {
        assert_eq!(answer.streamed_text(), expected_text(content, tokens));
        return true;
    }
    let error = error_of(answer);
    assert!(error["code"].is_string(), "neither whole nor clearly broken: {}", answer.body);
    false
}

fn error_of(answer: &CallerAnswer) -> Value {
    let last = answer.events().last().map(ToString::to_string);
    let text = last.unwrap_or_else(|| answer.body.clone());
    serde_json::from_str::<Value>(&text).unwrap_or_default()["error"].clone()
}

/// Index of the engine that runs something.
fn busy_engine(cluster: &Cluster) -> usize {
    let busy = cluster.engines.iter().position(|engine| engine.stats().running > 0);
    busy.expect("an engine is busy")
}

async fn until_running(cluster: &Cluster) {
    wait_until("a request runs", Duration::from_secs(5), || cluster.running() > 0).await;
}

/// Guards against a gap, a repeat or a short answer when an engine is killed in mid-stream.
#[test]
fn a_killed_engine_does_not_show_in_the_stream() {
    task::block_on(async {
        let cluster = Cluster::open(ClusterOptions::new(2, 3)).await;
        let streams = (0..6).map(|index| {
            let cluster = &cluster;
            async move {
                let content = format!("bell {index}");
                let answer = post(cluster, index % 2, &content, 100).await;
                is_whole(&answer, &content, 100)
            }
        });
        let kill = async {
            until_running(&cluster).await;
            task::sleep(Duration::from_millis(150)).await;
            cluster.engines[busy_engine(&cluster)].crash();
        };
        let (whole, ()) = futures::join!(join_all(streams), kill);
        assert_eq!(whole, [true; 6]);
        wait_until("all slots are back", FREED_WITHIN, || cluster.slots_in_use() == 0).await;
        cluster.close().await;
    });
}

/// Guards against a service with one upstream whose streams end with each broken connection.
#[test]
fn the_only_engine_may_continue_after_its_restart() {
    task::block_on(async {
        let cluster = Cluster::open(ClusterOptions::new(1, 1)).await;
        let restart = async {
            until_running(&cluster).await;
            task::sleep(Duration::from_millis(150)).await;
            cluster.engines[0].restart();
        };
        let (answer, ()) = futures::join!(post(&cluster, 0, "bell", 100), restart);
        assert!(is_whole(&answer, "bell", 100), "{}", answer.body);
        cluster.close().await;
    });
}

/// Guards against callers that wait for a frozen engine until their deadline.
#[test]
fn a_frozen_engine_is_left_in_mid_stream() {
    task::block_on(async {
        let cluster = Cluster::open(ClusterOptions::new(1, 2)).await;
        let started = Instant::now();
        let freeze = async {
            until_running(&cluster).await;
            task::sleep(Duration::from_millis(150)).await;
            cluster.engines[busy_engine(&cluster)].freeze(Duration::from_secs(20));
        };
        let (answer, ()) = futures::join!(post(&cluster, 0, "bell", 100), freeze);
        assert!(is_whole(&answer, "bell", 100), "{}", answer.body);
        assert!(started.elapsed() < Duration::from_secs(10), "took {:?}", started.elapsed());
        cluster.close().await;
    });
}

/// Guards against a poison request that takes down more than two engines, against innocents that
/// are refused for it, and against a resend that finds another host without the verdict.
#[test]
fn a_poison_request_takes_down_two_engines_at_most() {
    task::block_on(async {
        let options = ClusterOptions::new(3, 5).with_engines(|engine| {
            engine.crash_on = Some(POISON.to_owned());
            engine.restart_after_ms = Some(500);
        });
        let cluster = Cluster::open(options).await;
        let innocents = (0..9).map(|index| {
            let cluster = &cluster;
            async move {
                let content = format!("innocent {index}");
                let answer = post(cluster, index % 3, &content, 60).await;
                is_whole(&answer, &content, 60)
            }
        });
        let poison = async {
            task::sleep(Duration::from_millis(100)).await;
            let mut codes = Vec::new();
            for host in 0..3 {
                let answer = post(&cluster, host, POISON, 10).await;
                codes.push(error_of(&answer)["code"].as_str().unwrap_or("").to_owned());
            }
            codes
        };
        let (whole, codes) = futures::join!(join_all(innocents), poison);
        assert_eq!(codes, ["crashes_upstreams"; 3]);
        assert_eq!(whole, [true; 9]);
        task::sleep(Duration::from_millis(700)).await;
        let starts: u64 = cluster.engines.iter().map(|engine| engine.stats().starts).sum();
        assert!(starts <= 5 + 2, "{} engines were lost", starts - 5);
        // Those that were present at a loss are served again like any other.
        for index in 0..9 {
            let content = format!("innocent {index}");
            let answer = post(&cluster, 0, &content, 5).await;
            assert!(is_whole(&answer, &content, 5), "{}", answer.body);
        }
        cluster.close().await;
    });
}

/// Guards against work that reaches an upstream which said that it is leaving.
#[test]
fn a_leaving_upstream_gets_nothing_new() {
    task::block_on(async {
        let cluster = Cluster::open(ClusterOptions::new(3, 3)).await;
        let started = Instant::now();
        let load = (0..6).map(|worker| {
            let cluster = &cluster;
            async move {
                let mut whole = 0;
                while started.elapsed() < Duration::from_secs(5) {
                    let content = format!("load {worker}");
                    let answer = post(cluster, worker % 3, &content, 4).await;
                    whole += u32::from(is_whole(&answer, &content, 4));
                }
                whole
            }
        });
        let leave = async {
            task::sleep(Duration::from_millis(500)).await;
            cluster.engines[0].leave();
            task::sleep(Duration::from_secs(2)).await;
            let before = cluster.engines[0].stats().started.len();
            task::sleep(Duration::from_secs(2)).await;
            cluster.engines[0].stats().started.len() - before
        };
        let (whole, after_bound) = futures::join!(join_all(load), leave);
        assert_eq!(after_bound, 0);
        assert!(whole.iter().sum::<u32>() > 50, "too little load: {whole:?}");
        cluster.close().await;
    });
}

/// Guards against engines that work on for callers that went away before the first token, with
/// and without a stream.
#[test]
fn a_caller_that_vanishes_during_prefill_frees_its_slot() {
    task::block_on(async {
        let options = ClusterOptions::new(1, 1)
            .with_engines(|engine| engine.prefill_time_us_per_token = 3_000_000);
        let cluster = Cluster::open(options).await;
        for stream in [true, false] {
            for key in ["", "vanishing"] {
                let body = chat("two words", 10, stream).to_string();
                let headers = [("idempotency-key", key)];
                let headers = if key.is_empty() { &headers[..0] } else { &headers[..] };
                let call = cluster.caller(0).open_call("POST", CHAT, headers, body.as_bytes());
                // A stream gives its head at once; a whole answer is given up after this time.
                let call = async_std::future::timeout(Duration::from_millis(500), call);
                let (head, ()) = futures::join!(call, until_running(&cluster));
                assert_eq!(head.is_ok(), stream);
                drop(head);
                wait_until("the engine is idle", FREED_WITHIN, || cluster.running() == 0).await;
                wait_until("the slot is free", FREED_WITHIN, || cluster.slots_in_use() == 0).await;
            }
        }
        cluster.close().await;
    });
}

/// Guards against a resend that waits for a claim whose caller went away.
#[test]
fn a_resend_after_a_vanished_caller_runs_at_once() {
    task::block_on(async {
        let cluster = Cluster::open(ClusterOptions::new(2, 2)).await;
        let headers = [("idempotency-key", "again")];
        let body = chat("bell", 400, true);
        let bytes = body.to_string();
        let call = cluster.caller(0).open_call("POST", CHAT, &headers, bytes.as_bytes());
        let response = call.await.expect("the stream begins");
        until_running(&cluster).await;
        drop(response);
        wait_until("the engine is idle", FREED_WITHIN, || cluster.running() == 0).await;
        let started = Instant::now();
        let answer = cluster.caller(1).post(CHAT, &headers, &body).await.expect("an answer");
        assert!(is_whole(&answer, "bell", 400), "{}", answer.body);
        assert!(started.elapsed() < Duration::from_secs(5), "took {:?}", started.elapsed());
        cluster.close().await;
    });
}

/// Guards against a caller that reads nothing and keeps a slot, or memory, for as long as it likes.
#[test]
fn a_caller_that_reads_nothing_frees_its_slot() {
    task::block_on(async {
        let options = ClusterOptions::new(1, 1).with_engines(|engine| engine.token_time_us = 5);
        let cluster = Cluster::open(options).await;
        let tokens = 400_000;
        let body = chat("bell", tokens, true).to_string();
        let headers = [("x-deadline-ms", "60000")];
        let call = cluster.caller(0).open_call("POST", CHAT, &headers, body.as_bytes());
        let mut response = call.await.expect("the stream begins");
        until_running(&cluster).await;
        wait_until("the engine is idle", Duration::from_secs(25), || cluster.running() == 0).await;
        let produced = cluster.engines[0].stats().tokens_produced;
        assert!(produced < u64::from(tokens), "the whole answer was buffered");
        // What is left must not look like a whole answer.
        let mut rest = Vec::new();
        let read = response.read_to_end(&mut rest).await;
        let rest = String::from_utf8_lossy(&rest);
        assert!(!rest.contains("[DONE]"));
        assert!(read.is_err() || rest.contains("\"error\""), "the stream just ended");
        cluster.close().await;
    });
}

/// Guards against a stream that is cut because its caller reads slowly.
#[test]
fn a_caller_that_reads_slowly_gets_all() {
    task::block_on(async {
        let options = ClusterOptions::new(1, 1).with_engines(|engine| engine.token_time_us = 100);
        let cluster = Cluster::open(options).await;
        let body = chat("bell", 3_000, true).to_string();
        let call = cluster.caller(0).open_call("POST", CHAT, &[], body.as_bytes());
        let mut lines = call.await.expect("the stream begins").lines();
        let mut events = 0;
        let mut last = String::new();
        while let Some(line) = lines.next().await {
            let line = line.expect("the stream goes on");
            if line.starts_with("data: ") {
                events += 1;
                last = line;
            }
            if events % 300 == 0 {
                task::sleep(Duration::from_millis(10)).await;
            }
        }
        assert_eq!((events, last.as_str()), (3_002, "data: [DONE]"));
        cluster.close().await;
    });
}

/// Guards against a request marked not repeatable that runs twice when its engine dies, or when
/// its caller sends it again to another host.
#[test]
fn a_not_repeatable_request_runs_once() {
    task::block_on(async {
        let cluster =
            Cluster::open(ClusterOptions { control_hosts: 3, ..ClusterOptions::new(3, 3) }).await;
        let headers = [("x-not-repeatable", "true"), ("idempotency-key", "once")];
        let body = chat("bell", 200, true);
        let kill = async {
            until_running(&cluster).await;
            task::sleep(Duration::from_millis(100)).await;
            cluster.engines[busy_engine(&cluster)].crash();
        };
        let first = cluster.caller(0).post(CHAT, &headers, &body);
        let (first, ()) = futures::join!(first, kill);
        let first = first.expect("the host answers");
        assert_eq!(error_of(&first)["outcome"], "ran", "{}", first.body);
        for host in 0..3 {
            let again = cluster.caller(host).post(CHAT, &headers, &body).await;
            let again = again.expect("the host answers");
            assert_eq!(error_of(&again)["outcome"], "may_have_run", "{}", again.body);
        }
        assert_eq!(cluster.started(), 1);
        assert!(cluster.shared(1).dispatcher.fleet().load().has_model(MODEL));
        cluster.close().await;
    });
}

/// Submits a batch job with one item for each content; returns the path of the job.
async fn submit_job(cluster: &Cluster, contents: &[&str], tokens: u32) -> String {
    let lines: String = contents
        .iter()
        .enumerate()
        .map(|(item, content)| {
            let body = chat(content, tokens, false);
            let line = serde_json::json!({"custom_id": format!("item-{item}"),
                "method": "POST", "url": CHAT, "body": body});
            format!("{line}\n")
        })
        .collect();
    let caller = cluster.caller(0);
    let file = caller.call("POST", "/v1/files?purpose=batch", &[], lines.as_bytes()).await;
    let file = file.expect("the file is taken").json();
    let batch = serde_json::json!({"input_file_id": file["id"], "endpoint": CHAT});
    let job = caller.post("/v1/batches", &[], &batch).await.expect("a job").json();
    format!("/v1/batches/{}", job["id"].as_str().expect("an id"))
}

/// Guards against a sound batch item that is given up because several engines crashed under it.
#[test]
fn an_item_under_which_engines_crash_is_still_owed() {
    const CRASHES: usize = 4;
    task::block_on(async {
        let options = ClusterOptions::new(1, 4).with_engines(|engine| {
            engine.restart_after_ms = Some(300);
        });
        let cluster = Cluster::open(options).await;
        let path = submit_job(&cluster, &["sheet"], 400).await;
        for _ in 0..CRASHES {
            wait_until("the item runs", Duration::from_secs(30), || cluster.running() > 0).await;
            cluster.engines[busy_engine(&cluster)].crash();
        }
        let started = Instant::now();
        let mut job = Value::Null;
        while job["status"] != "completed" {
            assert!(started.elapsed() < Duration::from_secs(60), "the job did not end: {job}");
            task::sleep(Duration::from_millis(100)).await;
            job = cluster.caller(0).get(&path).await.expect("the job").json();
        }
        let results = cluster.caller(0).get(&format!("{path}/results")).await;
        let results = results.expect("results").body;
        assert!(results.contains(&expected_text("sheet", 400)), "{results}");
        cluster.close().await;
    });
}

/// Guards against a batch item that crashes engine after engine without a pause, one that is given up
/// for it, and against a job that it takes down.
#[test]
fn a_poison_item_is_held_back_and_the_others_finish() {
    /// Time after the submission at which the engines are counted. Pauses of 1, 2 and 4 s lie between
    /// the runs of the item.
    const CHECKED_AFTER: Duration = Duration::from_secs(6);
    const LOST_ENGINES: u64 = 3;
    task::block_on(async {
        let options = ClusterOptions::new(1, 4).with_engines(|engine| {
            engine.crash_on = Some(POISON.to_owned());
            engine.restart_after_ms = Some(500);
        });
        let cluster = Cluster::open(options).await;
        let contents = ["one", "two", POISON, "three", "four"];
        let started = Instant::now();
        let path = submit_job(&cluster, &contents, 20).await;
        task::sleep(CHECKED_AFTER.saturating_sub(started.elapsed())).await;
        let starts: u64 = cluster.engines.iter().map(|engine| engine.stats().starts).sum();
        assert!(starts <= 4 + LOST_ENGINES, "{} engines were lost", starts - 4);
        let job = cluster.caller(0).get(&path).await.expect("the job").json();
        assert_ne!(job["status"], "completed", "the item is not owed any more: {job}");
        let results = cluster.caller(0).get(&format!("{path}/results")).await;
        let results = results.expect("results").body;
        for content in contents.iter().filter(|content| **content != POISON) {
            assert!(results.contains(&expected_text(content, 20)), "{content}: {results}");
        }
        assert_eq!(results.lines().count(), 4, "{results}");
        cluster.close().await;
    });
}
