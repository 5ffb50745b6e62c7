use std::sync::Arc;

use crate::directory::FleetWatch;
use crate::gateway::connector_probe::ConnectorProbe;
use crate::gateway::{GatewayFleet, LinkedConnector, StreamConnector};
use crate::links::{LinkMonitor, LinkMonitorOptions, LinkPeers};
use crate::peer::PeerCaller;
use crate::relay::{RelayClient, RelayHosts};
use crate::schema::peer::EntryHost;
use crate::settings::FleetHostSettings;

/// Parts of an entry host from which its links are set up.
pub(super) struct LinkSetup<'a> {
    pub(super) settings: &'a FleetHostSettings,
    pub(super) caller: &'a Arc<dyn PeerCaller>,
    pub(super) direct: &'a Arc<dyn StreamConnector>,
    pub(super) fleet: &'a Arc<GatewayFleet>,
    pub(super) watch: &'a Arc<FleetWatch>,
}

impl LinkSetup<'_> {
    /// Starts the monitor of this host's links, which calls `on_change`, and returns the connector that follows
    /// it.
    pub(super) fn spawn(
        self,
        on_change: Box<dyn Fn(bool) + Send + Sync>,
    ) -> Arc<dyn StreamConnector> {
        let (hosts, peers) = (self.relay_hosts(), self.relay_hosts());
        let Self { settings, caller, direct, fleet, .. } = self;
        let upstreams = fleet.clone();
        let options = LinkMonitorOptions {
            probe: Arc::new(ConnectorProbe { connector: direct.clone() }),
            peers: LinkPeers::open(caller.clone()),
            upstreams: Box::new(move || {
                let upstreams = upstreams.load();
                let usable = upstreams.iter().filter(|upstream| upstream.accepts_work);
                usable.map(|upstream| upstream.address.to_string()).collect()
            }),
            hosts: Box::new(move || {
                peers().into_iter().map(|host| host.peer_address.clone()).collect()
            }),
            on_change,
        };
        let monitor = LinkMonitor::spawn(options);
        let relay = RelayClient::open(&settings.zone, &settings.region, caller.clone(), hosts);
        Arc::new(LinkedConnector::open(direct.clone(), relay, monitor))
    }

    /// Other entry hosts that have not reported that their links are lost.
    fn relay_hosts(&self) -> RelayHosts {
        let (watch, own_host_id) = (self.watch.clone(), self.settings.host_id.clone());
        Box::new(move || {
            let view = watch.view();
            let is_usable = |host: &&Arc<EntryHost>| {
                host.ready
                    && !host.links_lost
                    && !host.peer_address.is_empty()
                    && host.host_id != own_host_id
            };
            view.entries.iter().filter(is_usable).cloned().collect()
        })
    }
}
