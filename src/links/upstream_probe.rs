use std::collections::HashSet;
use std::net::SocketAddr;

use async_trait::async_trait;
use futures::future::join_all;

/// Finds out whether upstreams can be reached from this host.
#[async_trait]
pub trait UpstreamProbe: Send + Sync {
    /// True if a connection to the upstream can be opened. Nothing is sent.
    async fn is_reachable(&self, address: SocketAddr) -> bool;
}

/// Those of `addresses` that can be reached; all are tried at once.
pub(super) async fn reached_of(probe: &dyn UpstreamProbe, addresses: &[String]) -> HashSet<String> {
    let tries = addresses.iter().map(|address| async move {
        let parsed = address.parse().ok()?;
        probe.is_reachable(parsed).await.then(|| address.clone())
    });
    join_all(tries).await.into_iter().flatten().collect()
}
