use std::sync::Arc;

use crate::directory::UpstreamRecord;
use crate::schema::peer::EntryHost;
use crate::schema::routes::RouteTable;

/// What a host knows of the fleet; replaced as a whole with each change.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Routes in force; version 0 before the first.
    pub routes: Arc<RouteTable>,
    /// Upstreams that are there.
    pub upstreams: Arc<Vec<UpstreamRecord>>,
    /// Entry hosts that ask the control hosts.
    pub entries: Arc<Vec<EntryHost>>,
    /// Peer addresses of the control hosts.
    pub control_addresses: Arc<Vec<String>>,
    /// Peer address of the leader, as far as known.
    pub leader_address: Option<String>,
}
