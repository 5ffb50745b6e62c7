//! Tests of the stand-in upstream over its protocol.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::prelude::BufReadExt;
use async_std::net::TcpStream;
use async_std::{future, task};
use futures::StreamExt;
use http_types::{Method, Request, Response, StatusCode};
use rstest::rstest;
use serde_json::{json, Value};

use standin::tokens::{token_text, PromptHashes};
use standin::{Engine, EngineOptions};

const MODEL: &str = "engraver-llm";
const CHANGE_BOUND: Duration = Duration::from_secs(5);
/// Time in which a caller that goes away frees its slot, from section 5.8 of the design page.
const CANCEL_BOUND: Duration = Duration::from_secs(1);

fn options() -> EngineOptions {
    EngineOptions { token_time_us: 1_000, ..EngineOptions::for_service("inscriptions", MODEL) }
}

async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> http_types::Result<Response> {
    let stream = TcpStream::connect(address).await?;
    let mut request = Request::new(method, format!("http://{address}{path}").as_str());
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    async_h1::connect(stream, request).await
}

async fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: Value) -> Response {
    let body = body.to_string();
    send(address, Method::Post, path, headers, body.as_bytes()).await.expect("an answer")
}

async fn get(address: SocketAddr, path: &str) -> Value {
    let mut response = send(address, Method::Get, path, &[], b"").await.expect("an answer");
    response.body_json().await.expect("a JSON body")
}

fn prompt(text: &str, max_tokens: u32) -> Value {
    json!({"model": MODEL, "prompt": text, "max_tokens": max_tokens, "stream": true})
}

/// Next event of a stream, or `None` after its last one.
async fn next_event(response: &mut Response) -> Option<Value> {
    let mut line = String::new();
    loop {
        line.clear();
        let read = response.read_line(&mut line).await.expect("an uncut stream");
        assert!(read > 0, "the stream ended without its last event");
        let Some(data) = line.trim().strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return None;
        }
        return Some(serde_json::from_str(data).expect("a JSON event"));
    }
}

/// Positions and texts of the tokens of a stream, and its reason to finish.
async fn read_stream(mut response: Response) -> (Vec<(u64, String)>, String) {
    let mut tokens = Vec::new();
    let mut reason = String::new();
    while let Some(event) = next_event(&mut response).await {
        let choice = &event["choices"][0];
        if let Some(finish) = choice["finish_reason"].as_str() {
            reason = finish.to_owned();
            continue;
        }
        let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
        let text = text.expect("a text").to_owned();
        tokens.push((event["position"].as_u64().expect("a position"), text));
    }
    (tokens, reason)
}

fn expected_tokens(text: &str, positions: std::ops::Range<u64>) -> Vec<(u64, String)> {
    let hash = PromptHashes::of(MODEL, text).prompt;
    positions.map(|position| (position, token_text(hash, position))).collect()
}

async fn wait_until(what: &str, mut reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !reached() {
        assert!(start.elapsed() < CHANGE_BOUND, "not reached in time: {what}");
        task::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against lost, repeated or reordered tokens in a stream.
#[rstest]
#[case("/v1/completions", prompt("in memoriam", 12), "in memoriam")]
#[case(
    "/v1/chat/completions",
    json!({"messages": [{"role": "user", "content": "in memoriam"}],
        "max_tokens": 12, "stream": true}),
    "user\nin memoriam\n"
)]
#[async_std::test]
async fn stream_is_whole(#[case] path: &str, #[case] body: Value, #[case] text: &str) {
    let engine = Engine::bind(options()).unwrap();
    let headers = [("x-request-id", "r1"), ("traceparent", "00-01-02-01")];
    let response = post(engine.address(), path, &headers, body).await;
    assert_eq!(response.header("traceparent").unwrap().as_str(), "00-01-02-01");
    let (tokens, reason) = read_stream(response).await;
    assert_eq!(tokens, expected_tokens(text, 0..12));
    assert_eq!(reason, "length");
    let stats = engine.stats();
    assert_eq!((stats.started["r1"], stats.finished["r1"], stats.running), (1, 1, 0));
    assert_eq!(stats.tokens_produced, 12);
    engine.close().await;
}

/// Guards against an answer without streaming that differs from the streamed one.
#[async_std::test]
async fn whole_answer_equals_stream() {
    let engine = Engine::bind(options()).unwrap();
    let body = json!({"model": MODEL, "prompt": "a b c", "max_tokens": 5});
    let mut response = post(engine.address(), "/v1/completions", &[], body).await;
    let answer: Value = response.body_json().await.unwrap();
    let texts: String = expected_tokens("a b c", 0..5).into_iter().map(|(_, text)| text).collect();
    assert_eq!(answer["choices"][0]["text"], texts);
    let usage = json!({"prompt_tokens": 3, "completion_tokens": 5, "total_tokens": 8});
    assert_eq!(answer["usage"], usage);
    engine.close().await;
}

/// Guards against a resumed stream that repeats, skips or changes tokens, also on another engine.
#[async_std::test]
async fn resume_gives_the_same_continuation() {
    let first = Engine::bind(options()).unwrap();
    let second = Engine::bind(options()).unwrap();
    let whole = post(first.address(), "/v1/completions", &[], prompt("lapide", 10)).await;
    let (whole, _) = read_stream(whole).await;
    for engine in [&first, &second] {
        let headers = [("x-resume-position", "4")];
        let rest = post(engine.address(), "/v1/completions", &headers, prompt("lapide", 10)).await;
        let (rest, reason) = read_stream(rest).await;
        assert_eq!(rest, whole[4..]);
        assert_eq!(reason, "length");
    }
    first.close().await;
    second.close().await;
}

/// Guards against a cancelled stream that keeps its slot or that looks finished.
#[async_std::test]
async fn cancel_frees_the_slot() {
    let engine = Engine::bind(options()).unwrap();
    let headers = [("x-request-id", "r1")];
    let mut response =
        post(engine.address(), "/v1/completions", &headers, prompt("x", 100_000)).await;
    next_event(&mut response).await.expect("a token");
    assert_eq!(engine.stats().running, 1);
    let cancel = post(engine.address(), "/v1/streams/r1/cancel", &[], json!({})).await;
    assert_eq!(cancel.status(), StatusCode::Ok);
    let (_, reason) = read_stream(response).await;
    assert_eq!(reason, "cancelled");
    let stats = engine.stats();
    assert_eq!((stats.running, stats.cancelled["r1"], stats.finished.len()), (0, 1, 0));
    let again = post(engine.address(), "/v1/streams/r1/cancel", &[], json!({})).await;
    assert_eq!(again.status(), StatusCode::NotFound);
    engine.close().await;
}

/// Guards against streams that run on after their caller closed the connection.
#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[async_std::test]
async fn closed_connection_cancels(#[case] stream: bool) {
    let engine = Engine::bind(options()).unwrap();
    let body = json!({"model": MODEL, "prompt": "x", "max_tokens": 100_000, "stream": stream});
    let headers = [("x-request-id", "r1")];
    let address = engine.address();
    let caller = task::spawn(async move {
        let _response = post(address, "/v1/completions", &headers, body).await;
        future::pending::<()>().await;
    });
    wait_until("the request runs", || engine.stats().running == 1).await;
    caller.cancel().await;
    let closed = Instant::now();
    wait_until("the request is cancelled", || engine.stats().cancelled.contains_key("r1")).await;
    assert!(closed.elapsed() < CANCEL_BOUND);
    assert_eq!(engine.stats().running, 0);
    engine.close().await;
}

/// Guards against a prefix cache that finds nothing, or finds blocks that were never stored.
#[async_std::test]
async fn prefix_hits_are_counted() {
    let engine = Engine::bind(options()).unwrap();
    let shared: String = (0..32).map(|word| format!("w{word} ")).collect();
    for tail in ["first", "second"] {
        let body = prompt(&format!("{shared}{tail}"), 1);
        read_stream(post(engine.address(), "/v1/completions", &[], body).await).await;
    }
    let stats = engine.stats();
    assert_eq!((stats.prefix_hit_blocks, stats.prefix_miss_blocks), (2, 2));
    engine.close().await;
}

/// Guards against cache events that disagree with the cache, and against gaps where none are set.
#[rstest]
#[case::without_gaps(0, vec![1, 2, 3, 4])]
#[case::with_gaps(2, vec![1, 3])]
#[async_std::test]
async fn cache_events_follow_the_cache(#[case] drop_every: u64, #[case] sequences: Vec<u64>) {
    let options =
        EngineOptions { cache_tokens: 32, cache_event_drop_every: drop_every, ..options() };
    let engine = Engine::bind(options).unwrap();
    let words: String = (0..48).map(|word| format!("w{word} ")).collect();
    let other: String = (0..16).map(|word| format!("v{word} ")).collect();
    for text in [&words, &other] {
        read_stream(post(engine.address(), "/v1/completions", &[], prompt(text, 1)).await).await;
    }
    let kept = PromptHashes::of(MODEL, &words).blocks;
    let added = PromptHashes::of(MODEL, &other).blocks;
    let all =
        [("stored", kept[0]), ("stored", kept[1]), ("stored", added[0]), ("evicted", kept[1])];
    let expected: Vec<_> = sequences
        .into_iter()
        .map(|sequence| {
            let (kind, hash) = all[sequence as usize - 1];
            json!({"sequence": sequence, "kind": kind, "hash": format!("{hash:016x}")})
        })
        .collect();
    let answer = get(engine.address(), "/v1/cache/events?after=0").await;
    assert_eq!(answer["events"], json!(expected));
    engine.close().await;
}

/// Guards against an imported prefix that is not used, or a damaged one that is taken.
#[async_std::test]
async fn exported_prefix_is_imported() {
    let (from, to) = (Engine::bind(options()).unwrap(), Engine::bind(options()).unwrap());
    let text: String = (0..40).map(|word| format!("w{word} ")).collect();
    read_stream(post(from.address(), "/v1/completions", &[], prompt(&text, 1)).await).await;
    let hash = PromptHashes::of(MODEL, &text).blocks[1];
    let path = format!("/v1/kv/{hash:016x}");
    let mut export = send(from.address(), Method::Get, &path, &[], b"").await.unwrap();
    let bytes = export.body_bytes().await.unwrap();
    let cut = send(to.address(), Method::Put, &path, &[], &bytes[..bytes.len() - 1]).await.unwrap();
    assert_eq!(cut.status(), StatusCode::BadRequest);
    let whole = send(to.address(), Method::Put, &path, &[], &bytes).await.unwrap();
    assert_eq!(whole.status(), StatusCode::Ok);
    read_stream(post(to.address(), "/v1/completions", &[], prompt(&text, 1)).await).await;
    let stats = to.stats();
    assert_eq!((stats.prefix_hit_blocks, stats.prefix_miss_blocks), (2, 0));
    from.close().await;
    to.close().await;
}

/// Guards against old orders that a checking upstream obeys, and repeats that take effect twice.
#[rstest]
#[case::checked(true, StatusCode::Conflict, 1, 1)]
#[case::ignored(false, StatusCode::Accepted, 2, 0)]
#[async_std::test]
async fn old_fences_are_refused_when_checked(
    #[case] checks_fencing: bool,
    #[case] status: StatusCode,
    #[case] taken: u64,
    #[case] refused: u64,
) {
    let options = EngineOptions { checks_fencing, weight_bytes: 0, ..options() };
    let engine = Engine::bind(options).unwrap();
    let order = |id: &str, fence: u64, model: &str| {
        json!({"order_id": id, "fence": fence, "kind": "load_model", "model": model,
            "version": "2"})
    };
    for _ in 0..2 {
        let answer = post(engine.address(), "/v1/orders", &[], order("o1", 5, "m1")).await;
        assert_eq!(answer.status(), StatusCode::Accepted);
    }
    let answer = post(engine.address(), "/v1/orders", &[], order("o2", 4, "m2")).await;
    assert_eq!(answer.status(), status);
    let stats = engine.stats();
    assert_eq!((stats.orders_taken, stats.orders_refused), (taken, refused));
    let models = get(engine.address(), "/v1/models").await;
    assert_eq!(models["data"].as_array().unwrap().len() as u64, 1 + taken);
    engine.close().await;
}

/// Guards against an engine that hides overload: twice the slots must take twice the token time.
#[async_std::test]
async fn streams_slow_down_above_the_slots() {
    const TOKEN_TIME_US: u64 = 5_000;
    const WINDOW: Duration = Duration::from_millis(200);
    let options = EngineOptions { slots: 2, token_time_us: TOKEN_TIME_US, ..options() };
    let engine = Engine::bind(options).unwrap();
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream = post(engine.address(), "/v1/completions", &[], prompt("x", 100_000)).await;
        next_event(&mut stream).await.expect("a token");
        streams.push(stream);
    }
    let start = Instant::now();
    let before = engine.stats().tokens_produced;
    task::sleep(WINDOW).await;
    let produced = engine.stats().tokens_produced - before;
    // Each of the 4 streams may have one token under way and make up for one late token.
    let most = 2 * start.elapsed().as_micros() as u64 / TOKEN_TIME_US + 2 * 4;
    assert!(produced <= most, "{produced} tokens are more than {most}");
    let stats = engine.stats();
    assert_eq!((stats.running, stats.max_running, stats.max_overshoot), (4, 4, 2));
    engine.close().await;
}

/// Guards against a crashed engine that still answers, and a cut answer that looks whole.
#[async_std::test]
async fn crash_cuts_streams_until_restart() {
    let engine = Engine::bind(options()).unwrap();
    let headers = [("x-request-id", "r1")];
    let mut response =
        post(engine.address(), "/v1/completions", &headers, prompt("x", 100_000)).await;
    next_event(&mut response).await.expect("a token");
    engine.crash();
    let mut rest = Vec::new();
    let read = async_std::io::ReadExt::read_to_end(&mut response, &mut rest).await;
    let text = String::from_utf8(rest).unwrap();
    assert!(read.is_err() || !text.contains("[DONE]"), "the cut stream looks whole");
    wait_until("the request is counted as lost", || engine.stats().lost.contains_key("r1")).await;
    assert!(send(engine.address(), Method::Get, "/v1/load", &[], b"").await.is_err());
    engine.restart();
    wait_until("the engine has started again", || engine.stats().starts == 2).await;
    assert_eq!(get(engine.address(), "/v1/load").await["running"], 0);
    engine.close().await;
}

/// Guards against a crashing request that is answered, and a failing one that crashes the engine.
#[async_std::test]
async fn marked_prompts_crash_or_fail() {
    let options = EngineOptions {
        crash_on: Some("dies".to_owned()),
        fail_on: Some("fails".to_owned()),
        ..options()
    };
    let engine = Engine::bind(options).unwrap();
    let failed = post(engine.address(), "/v1/completions", &[], prompt("it fails", 2)).await;
    assert_eq!(failed.status(), StatusCode::UnprocessableEntity);
    let body = json!({"model": MODEL, "prompt": "it dies", "max_tokens": 2}).to_string();
    let path = "/v1/completions";
    let lost = send(engine.address(), Method::Post, path, &[], body.as_bytes()).await;
    assert!(lost.is_err(), "a crashed engine answered");
    engine.close().await;
}

/// Guards against a freeze that lets tokens through or that loses them.
#[async_std::test]
async fn freeze_delays_but_loses_nothing() {
    let engine = Engine::bind(options()).unwrap();
    let freeze = Duration::from_millis(100);
    let start = Instant::now();
    engine.freeze(freeze);
    let response = post(engine.address(), "/v1/completions", &[], prompt("x", 8)).await;
    let (tokens, _) = read_stream(response).await;
    assert!(start.elapsed() >= freeze);
    assert_eq!(tokens, expected_tokens("x", 0..8));
    engine.close().await;
}

/// Guards against doubles that a plain service does not show.
#[async_std::test]
async fn plain_service_counts_calls_by_id() {
    let engine = Engine::bind(EngineOptions::for_plain_service("stock")).unwrap();
    for (id, count) in [("a", 1), ("b", 1), ("a", 2)] {
        let headers = [("x-request-id", id)];
        let sent = send(engine.address(), Method::Put, "/plates/7", &headers, b"brass").await;
        let answer: Value = sent.unwrap().body_json().await.unwrap();
        let expected = json!({"service": "stock", "path": "/plates/7", "method": "PUT",
            "body_bytes": 5, "count": count});
        assert_eq!(answer, expected);
    }
    engine.close().await;
}

/// Guards against announcements that skip a working entry, repeat a sequence or hide a leave.
#[async_std::test]
async fn announcements_reach_the_next_entry() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_address = closed.local_addr().unwrap();
    drop(closed);
    let entry = async_std::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry_address = entry.local_addr().unwrap();
    let options = EngineOptions {
        entry_addresses: vec![closed_address.to_string(), entry_address.to_string()],
        announce_interval_ms: 20,
        ..options()
    };
    let engine = Engine::bind(options).unwrap();
    let (sender, received) = async_std::channel::unbounded();
    let serving = task::spawn(async move {
        let mut incoming = entry.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            let sender = sender.clone();
            let answer = async_h1::accept(stream, |mut request| {
                let sender = sender.clone();
                async move {
                    let body: Value = request.body_json().await?;
                    let _ = sender.send((request.url().path().to_owned(), body)).await;
                    Ok(Response::new(StatusCode::Ok))
                }
            });
            let _ = answer.await;
        }
    });
    let (path, first) = received.recv().await.unwrap();
    assert_eq!(path, "/v1/upstreams/announce");
    assert_eq!(first["address"], engine.address().to_string());
    assert_eq!((&first["status"], &first["slots"]), (&json!("serving"), &json!(4)));
    let mut sequence = first["sequence"].as_u64().unwrap();
    engine.leave();
    loop {
        let receiving = future::timeout(CHANGE_BOUND, received.recv()).await;
        let (_, next) = receiving.expect("an announcement in time").unwrap();
        assert_eq!(next["incarnation"], first["incarnation"]);
        assert!(next["sequence"].as_u64().unwrap() > sequence);
        sequence = next["sequence"].as_u64().unwrap();
        if next["status"] == "leaving" {
            break;
        }
    }
    engine.close().await;
    serving.cancel().await;
}

/// Guards against a planned stop that cuts the last events of a stream.
#[async_std::test]
async fn drain_finishes_streams() {
    for _ in 0..20 {
        let engine = Engine::bind(EngineOptions { announce_interval_ms: 1, ..options() }).unwrap();
        let mut response = post(engine.address(), "/v1/completions", &[], prompt("x", 20)).await;
        next_event(&mut response).await.expect("a token");
        let reader = task::spawn(read_stream(response));
        engine.drain().await;
        engine.close().await;
        let (tokens, reason) = reader.await;
        assert_eq!(tokens, expected_tokens("x", 1..20));
        assert_eq!(reason, "length");
    }
}
