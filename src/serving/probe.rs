use std::sync::{Arc, Weak};
use std::time::Duration;

use async_std::task;

use crate::routing::Upstream;
use crate::serving::dispatcher::Shared;
use crate::upstream::UpstreamCall;

/// Interval at which ejected upstreams are checked for a due probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time to wait for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Spawns a task that probes ejected upstreams until the dispatcher is dropped.
pub(super) fn spawn(shared: &Arc<Shared>) {
    task::spawn(run(Arc::downgrade(shared)));
}

async fn run(shared: Weak<Shared>) {
    loop {
        task::sleep(PROBE_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let due: Vec<_> = shared.ejector.due_for_probe(&shared.fleet.load()).cloned().collect();
        let probes = due.iter().map(|upstream| async {
            shared.ejector.record_probe(upstream, shared.is_alive(upstream).await);
        });
        futures::future::join_all(probes).await;
    }
}

impl Shared {
    /// Probes an upstream on a new connection by requesting its load. Any response counts as alive,
    /// because plain services may not serve this path.
    pub(super) async fn is_alive(&self, upstream: &Upstream) -> bool {
        let call = UpstreamCall {
            address: &upstream.record.address,
            method: "GET",
            path: "/v1/load",
            headers: &[],
            body: &[],
            repeatable: false,
            timeout: PROBE_TIMEOUT,
        };
        let answer = async_std::future::timeout(PROBE_TIMEOUT, self.connector.open(call));
        matches!(answer.await, Ok(Ok(_)))
    }
}
