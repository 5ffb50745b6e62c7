//! Whole requests through real hosts and stand-in engines in one process.

mod support;

use async_std::task;
use rstest::rstest;
use support::{chat, expected_text, Cluster, ClusterOptions};

/// Guards against hosts that start but do not find the control hosts or the engines.
#[rstest]
#[case(1)]
#[case(3)]
fn each_host_serves_the_model(#[case] control_hosts: usize) {
    task::block_on(async {
        let cluster =
            Cluster::open(ClusterOptions { control_hosts, ..ClusterOptions::new(3, 2) }).await;
        for host in 0..3 {
            let body = chat("a bell", 8, true);
            let answer = cluster.caller(host).post("/v1/chat/completions", &[], &body).await;
            let answer = answer.expect("the host answers");
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(answer.streamed_text(), expected_text("a bell", 8));
            assert_eq!(answer.events().last(), Some(&"[DONE]"));
        }
        cluster.close().await;
    });
}
