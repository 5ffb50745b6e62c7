//! Replicas with disks and timers in one process.

mod raft_support;

use raft_support::Cluster;

// Guards against outcomes that are given before the command is applied on a quorum, and against
// replicas that apply different sequences.
#[async_std::test]
async fn commands_reach_all_replicas_in_order() {
    let cluster = Cluster::start(3, |_| {});
    for number in 0..50 {
        cluster.propose(&format!("c{number}")).await;
    }
    cluster.converge(50).await;
    let point = cluster.groups[&cluster.leader().await].read_barrier().await.unwrap();
    assert!(point.index >= 50);
    cluster.close_all().await;
}

// Guards against loss of acknowledged commands when all processes restart.
#[async_std::test]
async fn acknowledged_commands_survive_a_restart_of_all() {
    let mut cluster = Cluster::start(3, |_| {});
    for number in 0..20 {
        cluster.propose(&format!("c{number}")).await;
    }
    for id in 1..=3 {
        cluster.close(id).await;
    }
    for id in 1..=3 {
        cluster.open(id).unwrap();
    }
    cluster.propose("after").await;
    cluster.converge(21).await;
    cluster.close_all().await;
}
