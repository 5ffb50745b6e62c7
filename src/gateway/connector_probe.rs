use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;

use crate::gateway::StreamConnector;
use crate::links::UpstreamProbe;

/// Probes upstreams through a connector.
pub(super) struct ConnectorProbe {
    pub(super) connector: Arc<dyn StreamConnector>,
}

#[async_trait]
impl UpstreamProbe for ConnectorProbe {
    async fn is_reachable(&self, address: SocketAddr) -> bool {
        self.connector.is_reachable(address).await
    }
}
