use std::net::SocketAddr;
use std::sync::Arc;

use miette::Result;

use crate::entry::EntryServer;
use crate::host::entry_parts::EntryParts;
use crate::host::handler::Handler;
use crate::host::BoundHost;
use crate::membership::Membership;
use crate::peer::{PeerListener, PeerPool};
use crate::settings::HostSettings;
use crate::telemetry::Tracer;

/// All parts of the system that one process runs.
pub struct Host {
    pub(super) peer_address: SocketAddr,
    pub(super) listener: PeerListener,
    pub(super) pool: PeerPool,
    pub(super) handler: Arc<Handler>,
    pub(super) membership: Membership,
    pub(super) entry: Option<EntryParts>,
    pub(super) tracer: Tracer,
}

impl Host {
    /// Starts the parts that the settings name.
    pub async fn open(settings: HostSettings) -> Result<Self> {
        BoundHost::bind(settings).await?.open().await
    }

    /// Address for callers, when the process has the entry role.
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(|parts| parts.entry.address())
    }

    /// Address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// The entry role, when the process has it.
    pub fn entry(&self) -> Option<&EntryServer> {
        self.entry.as_ref().map(|parts| &parts.entry)
    }

    /// Waits until an operator asks this host to drain.
    pub async fn drain_requested(&self) {
        self.handler.request_tracker.drain_requested().await;
    }

    /// Stops after every request has ended.
    pub async fn drain(mut self) {
        if let Some(control) = &self.handler.control {
            control.transfer_leadership().await;
        }
        if let Some(entry) = self.entry.take() {
            entry.drain().await;
        }
        self.close().await;
    }

    /// Stops at once.
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
