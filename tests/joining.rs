//! A host that starts must not answer for a fleet that it has not heard of yet.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::settings::HostSettings;
use damaskhoist::Host;
use serde_json::json;
use standin::Caller;

/// Time in which a host without an answer from its seeds must begin to serve.
const JOIN_LIMIT: Duration = Duration::from_secs(5);
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a restarted host that refuses requests for good, with "unknown model", or names itself
/// as the only entry, before another host has told it of the fleet's upstreams.
#[test]
fn a_host_that_has_not_joined_refuses_with_a_retry() {
    task::block_on(async {
        // Connections to this seed open, and nothing answers on them.
        let silent_seed = TcpListener::bind("127.0.0.1:0").unwrap();
        let folder = tempfile::tempdir().unwrap();
        let mut settings = HostSettings::loopback("entry-1", "santander", "cantabria");
        settings.control.data_folder = folder.path().to_path_buf();
        settings.seed_addresses = vec![silent_seed.local_addr().unwrap().to_string()];
        let started = Instant::now();
        let host = Host::open(settings).await.unwrap();
        let caller = Caller::open(host.caller_address().unwrap());
        let body = json!({"model": "engraver-llm",
            "messages": [{"role": "user", "content": "An inscription"}]});
        let refused = caller.post("/v1/chat/completions", &[], &body).await.unwrap();
        let error = &refused.json()["error"];
        assert_eq!((refused.status, &error["outcome"]), (503, &json!("not_run")), "{error}");
        let entries = caller.get("/v1/entries").await.unwrap();
        assert_eq!(entries.status, 503, "{}", entries.body);

        // A host whose seeds are gone for good serves alone.
        while caller.get("/v1/entries").await.unwrap().status != 200 {
            assert!(started.elapsed() < JOIN_LIMIT, "still waits after {JOIN_LIMIT:?}");
            task::sleep(Duration::from_millis(50)).await;
        }
        loop {
            let refused = caller.post("/v1/chat/completions", &[], &body).await.unwrap();
            if refused.json()["error"]["code"] == "unknown_model" {
                break;
            }
            assert!(started.elapsed() < STEP_TIMEOUT, "{}", refused.body);
            task::sleep(Duration::from_millis(50)).await;
        }
        host.close().await;
    });
}
