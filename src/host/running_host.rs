use std::net::SocketAddr;
use std::sync::Arc;

use miette::Result;

use crate::entry::EntryServer;
use crate::host::entry_parts::EntryParts;
use crate::host::handler::HostPeerHandler;
use crate::host::BoundHost;
use crate::membership::Membership;
use crate::peer::{PeerListener, PeerPool};
use crate::settings::HostSettings;
use crate::telemetry::Tracer;

/// A running host: the peer connections, membership and the roles enabled in its settings.
pub struct Host {
    pub(super) peer_address: SocketAddr,
    pub(super) listener: PeerListener,
    pub(super) pool: PeerPool,
    pub(super) handler: Arc<HostPeerHandler>,
    pub(super) membership: Membership,
    pub(super) entry: Option<EntryParts>,
    pub(super) tracer: Tracer,
}

impl Host {
    /// Binds the addresses of the settings and starts the roles that they enable.
    ///
    /// # Errors
    /// If an address can't be bound or a component can't be started.
    pub async fn open(settings: HostSettings) -> Result<Self> {
        BoundHost::bind(settings).await?.open().await
    }

    /// Address on which the host accepts callers, or `None` without the entry role.
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(|parts| parts.entry.address())
    }

    /// Address on which the host accepts peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Server of the entry role, or `None` without that role.
    pub fn entry(&self) -> Option<&EntryServer> {
        self.entry.as_ref().map(|parts| &parts.entry)
    }

    /// Waits until a drain of this host is requested.
    pub async fn drain_requested(&self) {
        self.handler.request_tracker.drain_requested().await;
    }

    /// Stops gracefully: transfers Raft leadership, drains the entry role, then closes the host.
    pub async fn drain(mut self) {
        if let Some(control) = &self.handler.control {
            control.transfer_leadership().await;
        }
        if let Some(entry) = self.entry.take() {
            entry.drain().await;
        }
        self.close().await;
    }

    /// Stops without waiting for open requests.
    pub async fn close(mut self) {
        if let Some(entry) = self.entry.take() {
            entry.close().await;
        }
        if let Some(control) = self.handler.control.clone() {
            control.close().await;
        }
        self.membership.close().await;
        self.listener.close().await;
        self.pool.close();
        self.tracer.close();
    }
}
