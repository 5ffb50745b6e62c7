use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;

use crate::gateway::{CallTarget, SendError, StreamConnector, StreamRequest, UpstreamAnswer};
use crate::links::LinkMonitor;
use crate::relay::RelayClient;

/// Time without an answer after which a send that is given up counts as a failure of the upstream. Sends that
/// end earlier do so for other reasons, for example because the caller left.
const UNANSWERED_AFTER: Duration = Duration::from_millis(400);

/// Sends requests directly to upstreams, and through other hosts while the links of this host are lost.
pub struct LinkedConnector {
    direct: Arc<dyn StreamConnector>,
    relay: RelayClient,
    monitor: Arc<LinkMonitor>,
}

/// Records a send that was dropped without a result.
struct UnansweredSend<'a> {
    monitor: Option<&'a LinkMonitor>,
    upstream_id: &'a str,
    started: Instant,
}

impl Drop for UnansweredSend<'_> {
    fn drop(&mut self) {
        if self.started.elapsed() < UNANSWERED_AFTER {
            return;
        }
        if let Some(monitor) = self.monitor {
            monitor.record_failure(self.upstream_id);
        }
    }
}

impl LinkedConnector {
    /// Sends through `relay` while `monitor` says that the links are lost.
    pub fn open(
        direct: Arc<dyn StreamConnector>,
        relay: RelayClient,
        monitor: Arc<LinkMonitor>,
    ) -> Self {
        Self { direct, relay, monitor }
    }
}

#[async_trait]
impl StreamConnector for LinkedConnector {
    async fn send(
        &self,
        target: CallTarget<'_>,
        request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        if self.monitor.is_lost() {
            return self.relay.send(target, request).await;
        }
        let upstream_id = target.upstream_id;
        let mut pending =
            UnansweredSend { monitor: Some(&*self.monitor), upstream_id, started: Instant::now() };
        let result = self.direct.send(target, request).await;
        pending.monitor = None;
        if let Err(SendError::NotSent(_) | SendError::Lost(_)) = &result {
            self.monitor.record_failure(upstream_id);
        }
        result
    }

    async fn is_reachable(&self, address: SocketAddr) -> bool {
        // An upstream that only this host can't reach has not crashed.
        self.direct.is_reachable(address).await
            || self.monitor.may_explain_failures().await
                && self.monitor.is_reached_by_others(address).await.unwrap_or(true)
    }

    fn has_connection(&self, upstream_id: &str, is_repeatable: bool) -> bool {
        self.direct.has_connection(upstream_id, is_repeatable)
    }

    fn retain_upstreams(&self, is_known: &dyn Fn(&str) -> bool) {
        self.direct.retain_upstreams(is_known);
    }
}
