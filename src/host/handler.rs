use std::sync::{Arc, OnceLock};

use async_trait::async_trait;

use crate::admission::SlotExchange;
use crate::control::Control;
use crate::entry::{EntryShared, RequestTracker};
use crate::membership::Membership;
use crate::peer::{PeerHandler, PeerTraffic};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{call, reply, Call, CallFailure, FailureKind, HostStatus, Reply};
use crate::telemetry::Counters;

/// Dispatches the calls and one-way messages of peers to the components that handle them.
pub(super) struct HostPeerHandler {
    pub(super) host_id: String,
    pub(super) membership: Membership,
    pub(super) control: Option<Control>,
    pub(super) request_tracker: RequestTracker,
    pub(super) counters: Counters,
    /// Set once the entry role is built; empty on hosts without it.
    pub(super) entry: OnceLock<Arc<EntryShared>>,
    /// Set when the entry role opens with slot leases enabled.
    pub(super) exchange: OnceLock<SlotExchange>,
    pub(super) traffic: Arc<PeerTraffic>,
}

#[async_trait]
impl PeerHandler for HostPeerHandler {
    async fn handle_call(&self, _from_host_id: &str, call: Call) -> Reply {
        let reply = match (call.call, &self.control) {
            (Some(call::Call::HostStatus(_)), _) => reply::Reply::HostStatus(self.status()),
            (Some(call::Call::DrainHost(_)), _) => {
                self.request_tracker.request_drain();
                reply::Reply::Done(Default::default())
            }
            (Some(call::Call::SlotReport(report)), _) => match self.exchange.get() {
                Some(exchange) => reply::Reply::SlotGrant(exchange.handle_report(&report)),
                None => unsupported(),
            },
            (Some(call), Some(control)) => control.handle(call).await,
            _ => unsupported(),
        };
        Reply { reply: Some(reply) }
    }

    fn handle_message(&self, _from_host_id: &str, body: Body) {
        match (body, &self.control) {
            (Body::Gossip(gossip), _) => self.membership.receive(gossip),
            (Body::Raft(message), Some(control)) => control.receive(message),
            (Body::SlotNotice(_), _) => {
                if let Some(exchange) = self.exchange.get() {
                    exchange.report_soon();
                }
            }
            _ => {}
        }
    }
}

impl HostPeerHandler {
    fn status(&self) -> HostStatus {
        let mut status = HostStatus {
            host_id: self.host_id.clone(),
            open_requests: self.request_tracker.open_count(),
            draining: self.request_tracker.is_draining(),
            counters: self.counters.snapshot(),
            ..HostStatus::default()
        };
        self.traffic.for_each(|zone, kind, direction, bytes| {
            let name = format!("peer_bytes.{direction}.{}.{zone}", kind.name());
            status.counters.insert(name, bytes);
        });
        self.traffic.calls().for_each(|class, name, value| {
            status.counters.insert(format!("peer_calls_{name}.{}", class.name()), value);
        });
        if let Some(control) = &self.control {
            status.groups = control.status().groups;
        }
        if let Some(entry) = self.entry.get() {
            status.configuration_version = entry.configuration.load().version();
            status.configuration_age_ms = entry.configuration.confirmed_age_ms();
            status.slots = entry.slot_uses();
        }
        status
    }
}

/// Reply to calls that this host has no handler for.
pub(super) fn unsupported() -> reply::Reply {
    reply::Reply::Failure(CallFailure {
        kind: FailureKind::Unsupported.into(),
        message: "this host does not answer such calls".to_owned(),
        leader_address: String::new(),
        leader_term: 0,
    })
}
