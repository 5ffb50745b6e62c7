use std::sync::Arc;

use crate::directory::{OriginKeeper, UpstreamRecord, VersionHistory};
use crate::schema::peer::EntryHost;
use crate::schema::routes::RouteTable;

/// State of the fleet as one host sees it; replaced as a whole with each change.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Current routes; version 0 until the first ones arrive.
    pub routes: Arc<RouteTable>,
    /// Ready and draining upstreams, sorted by id.
    pub upstreams: Arc<Vec<UpstreamRecord>>,
    /// On a control host, the newest record of each upstream, gone ones included, to be passed on to
    /// entry hosts; empty on an entry host.
    pub known_upstreams: Arc<Vec<UpstreamRecord>>,
    /// Software versions of each service that any upstream had lately, gone ones included.
    pub service_versions: Arc<VersionHistory>,
    /// Entry hosts that are in contact with the control hosts, sorted by name.
    pub entries: Arc<Vec<Arc<EntryHost>>>,
    /// Peer addresses of the control hosts.
    pub control_addresses: Arc<Vec<String>>,
    /// Peer addresses of the control hosts that run a replica of the ledger.
    pub replica_addresses: Arc<Vec<String>>,
    /// Peer addresses of control hosts of this region that run a replica of the ledger, nearest first.
    pub near_replicas: Arc<Vec<String>>,
    /// Control hosts that may keep origins of streams.
    pub origin_keepers: Arc<Vec<OriginKeeper>>,
    /// Peer address of the leader; `None` while it is unknown.
    pub leader_address: Option<String>,
}

impl FleetView {
    /// On a control host, the start of the newest incarnation of an upstream; `None` if it is unknown.
    pub fn started_at_unix_ms(&self, upstream_id: &str) -> Option<u64> {
        let known = self.known_upstreams.iter().find(|record| record.upstream_id == upstream_id);
        known.map(|record| record.started_at_unix_ms)
    }
}
