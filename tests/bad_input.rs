//! Malformed, oversized or slow input gets an error that names the field or limit, and does not
//! affect other callers.

mod support;

use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use serde_json::json;
use support::{Cluster, ClusterOptions, MODEL};

/// Time limit for the response to a faulty request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

fn options() -> ClusterOptions {
    let mut options = ClusterOptions::new(1, 1);
    options.adjust = |settings| {
        settings.limits.body_bytes = 64 * 1024;
        settings.limits.header_timeout_ms = 700;
        settings.limits.body_idle_timeout_ms = 500;
    };
    options
}

#[rstest]
#[case::broken_json("{\"model\": ", 400, "invalid_request", "JSON")]
#[case::no_model("{\"messages\": []}", 400, "invalid_request", "`model`")]
#[case::wrong_type("{\"model\": 3, \"messages\": []}", 400, "invalid_request", "`model`")]
#[case::no_input("{\"model\": \"m\"}", 400, "invalid_request", "`messages`")]
#[case::unknown_model("{\"model\": \"m\", \"messages\": []}", 404, "unknown_model", "`m`")]
fn malformed_body_error_names_the_field(
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
    #[case] expected_text: &str,
) {
    task::block_on(async {
        let cluster = Cluster::open(options()).await;
        let answer = cluster.caller(0).call("POST", "/v1/chat/completions", &[], body.as_bytes());
        let answer = answer.await.unwrap();
        let error = &answer.json()["error"];
        assert_eq!((answer.status, error["code"].as_str()), (status, Some(code)));
        assert_eq!(error["outcome"], "not_run");
        assert!(error["message"].as_str().unwrap().contains(expected_text), "{}", answer.body);
        cluster.close().await;
    });
}

#[test]
fn oversized_body_error_names_the_limit() {
    task::block_on(async {
        let cluster = Cluster::open(options()).await;
        let body = vec![b' '; 200 * 1024];
        let answer = cluster.caller(0).call("POST", "/v1/chat/completions", &[], &body).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, 413);
        assert!(answer.body.contains("65536 bytes"), "{}", answer.body);
        cluster.close().await;
    });
}

/// Guards against a host that answers before it has read the whole body and then closes the
/// connection with unread input: the kernel resets it, and a caller that still sends loses the
/// answer.
#[test]
fn a_caller_that_still_sends_gets_the_answer_to_an_oversized_body() {
    task::block_on(async {
        let cluster = Cluster::open(options()).await;
        let mut stream = TcpStream::connect(cluster.address(0)).await.unwrap();
        let head =
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 204800\r\n\r\n";
        stream.write_all(head).await.unwrap();
        for _ in 0..20 {
            task::sleep(Duration::from_millis(10)).await;
            stream.write_all(&[b' '; 10 * 1024]).await.expect("the host still reads");
        }
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let read = async_std::future::timeout(RESPONSE_TIMEOUT, read).await;
        read.expect("the connection is closed").expect("the connection is not reset");
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        cluster.close().await;
    });
}

#[test]
fn oversized_head_error_names_the_limit() {
    task::block_on(async {
        let cluster = Cluster::open(options()).await;
        let address = cluster.address(0);
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a\r\nx-long: ").await.unwrap();
        // The host may close the connection before the whole head is written.
        let _ = stream.write_all(&vec![b'a'; 1024 * 1024]).await;
        let mut answer = Vec::new();
        let _ = async_std::future::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut answer)).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        assert!(answer.contains("8192 bytes"), "{answer}");
        cluster.close().await;
    });
}

/// Guards against callers that occupy a connection by sending very slowly, and against closing such
/// a connection without a response.
#[rstest]
#[case::head(b"GET /v1/models HTTP/1.1\r\nhost: a\r\nx-slow: " as &[u8])]
#[case::body(b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n")]
fn slow_sender_gets_408_within_the_timeout(#[case] start: &'static [u8]) {
    task::block_on(async {
        let cluster = Cluster::open(options()).await;
        let mut slow = TcpStream::connect(cluster.address(0)).await.unwrap();
        slow.write_all(start).await.unwrap();
        let mut writer = slow.clone();
        let slow_writer = task::spawn(async move {
            for _ in 0..100 {
                task::sleep(Duration::from_millis(100)).await;
                if writer.write_all(b"a").await.is_err() {
                    return;
                }
            }
        });
        let started = Instant::now();
        let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "hello"}]});
        let served = cluster.caller(0).post("/v1/chat/completions", &[], &body).await.unwrap();
        assert_eq!(served.status, 200, "{}", served.body);
        let mut answer = Vec::new();
        let read =
            async_std::future::timeout(RESPONSE_TIMEOUT, slow.read_to_end(&mut answer)).await;
        assert!(read.is_ok(), "the slow connection is still open after {:?}", started.elapsed());
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        slow_writer.cancel().await;
        cluster.close().await;
    });
}
