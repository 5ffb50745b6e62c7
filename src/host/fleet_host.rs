use std::sync::{Arc, OnceLock};

use async_std::task;
use async_trait::async_trait;
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::control::unix_ms;
use crate::coordinator::{Coordinator, CoordinatorOptions};
use crate::gateway::{Gateway, GatewayOptions, StreamConnector};
use crate::host::handler::unsupported;
use crate::peer::{PeerCaller, PeerHandler, PeerListener, PeerPool, PeerTraffic};
use crate::raft::GroupOptions;
use crate::replication::ReplicaManagerOptions;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{call, Call, Reply};
use crate::settings::FleetHostSettings;
use crate::sockets::listen;
use crate::telemetry::Counters;

/// Id of the Raft group that replicates the ledger.
const LEDGER_GROUP: u32 = 1;
/// Time between two heartbeats of the leader. The election timeout is six intervals, which
/// tolerates two round trips between regions and a lost packet.
const HEARTBEAT_INTERVAL_MS: u64 = 75;
/// Time without a heartbeat from the leader after which followers start an election.
const ELECTION_TIMEOUT_MS: u64 = 450;
/// Size of a segment file of the Raft log. It is small because control hosts may have small disks.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Log entries between two snapshots. Each snapshot contains the whole state.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 20_000;
/// Rate limit for sending a snapshot to a new replica. A few seconds' worth of state transfers in
/// well under a second.
const TRANSFER_BYTES_PER_S: u64 = 20 << 20;

/// A running host of a routed fleet: the peer connections and the roles enabled in its settings.
pub struct FleetHost {
    listener: PeerListener,
    pool: PeerPool,
    coordinator: Option<Arc<Coordinator>>,
    gateway: Option<Arc<Gateway>>,
    counters: Counters,
    traffic: Arc<PeerTraffic>,
}

/// Dispatches the calls and one-way messages of peers to the roles.
struct FleetPeerHandler {
    coordinator: OnceLock<Arc<Coordinator>>,
    gateway: OnceLock<Arc<Gateway>>,
}

#[async_trait]
impl PeerHandler for FleetPeerHandler {
    async fn handle_call(&self, _from_host_id: &str, call: Call) -> Reply {
        let Some(call) = call.call else { return Reply { reply: Some(unsupported()) } };
        let is_for_entry = matches!(
            call,
            call::Call::CheckUpstreams(_)
                | call::Call::RelayedRequest(_)
                | call::Call::ReadRelayed(_)
        );
        let reply = match (is_for_entry, self.gateway.get(), self.coordinator.get()) {
            (true, Some(gateway), _) => gateway.handle(call).await,
            (false, _, Some(coordinator)) => coordinator.handle(call).await,
            _ => None,
        };
        Reply { reply: Some(reply.unwrap_or_else(unsupported)) }
    }

    fn handle_message(&self, _from_host_id: &str, body: Body) {
        if let (Body::CloseRelayed(close), Some(gateway)) = (&body, self.gateway.get()) {
            gateway.close_relayed(close);
            return;
        }
        let Some(coordinator) = self.coordinator.get().cloned() else { return };
        match body {
            Body::Raft(message) => coordinator.replica().receive(message),
            Body::ControlNotice(notice) => coordinator.replica().record_notice(notice),
            Body::StreamOrigins(origins) => coordinator.record_stream_origins(origins),
            Body::SlotPressure(pressure) => coordinator.handle_slot_pressure(&pressure),
            Body::Admission(admission) => {
                task::spawn(async move { coordinator.replica().handle_admission(admission).await });
            }
            _ => {}
        }
    }
}

impl FleetHost {
    /// Starts the roles that the settings enable.
    ///
    /// # Errors
    /// If the peer address can't be bound or the data folder can't be read.
    pub async fn open(
        settings: FleetHostSettings,
        connector: Arc<dyn StreamConnector>,
    ) -> Result<Self> {
        let counters = Counters::open(&settings.host_id, None);
        let pool = PeerPool::open(&settings.host_id, &settings.zone, unix_ms(), "");
        let caller: Arc<dyn PeerCaller> = Arc::new(pool.clone());
        let address = settings.peer_listen_address;
        let listener = listen(address)
            .into_diagnostic()
            .wrap_err_with(|| format!("listening on {address}"))?;
        let handler =
            Arc::new(FleetPeerHandler { coordinator: OnceLock::new(), gateway: OnceLock::new() });
        let coordinator = match settings.roles.control {
            true => Some(Coordinator::spawn(coordinator_options(&settings), caller.clone())?),
            false => None,
        };
        if let Some(coordinator) = &coordinator {
            let _ = handler.coordinator.set(coordinator.clone());
        }
        let traffic = Arc::<PeerTraffic>::default();
        let listener = PeerListener::spawn(listener, "", handler.clone(), traffic.clone())
            .into_diagnostic()?;
        let gateway = settings.roles.entry.then(|| {
            let counters = counters.clone();
            Gateway::spawn(GatewayOptions { settings, connector, counters }, caller)
        });
        if let Some(gateway) = &gateway {
            let _ = handler.gateway.set(gateway.clone());
        }
        Ok(Self { listener, pool, coordinator, gateway, counters, traffic })
    }

    /// The control role, or `None` if this host does not have it.
    pub fn coordinator(&self) -> Option<&Arc<Coordinator>> {
        self.coordinator.as_ref()
    }

    /// The entry role, or `None` if this host does not have it.
    pub fn gateway(&self) -> Option<&Arc<Gateway>> {
        self.gateway.as_ref()
    }

    /// Counters of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Bytes of the connections that other hosts opened to this one.
    pub fn peer_traffic(&self) -> &Arc<PeerTraffic> {
        &self.traffic
    }

    /// Hands leadership on and stops.
    pub async fn close(self) {
        if let Some(coordinator) = &self.coordinator {
            coordinator.close().await;
        }
        self.listener.close().await;
        self.pool.close();
    }
}

fn coordinator_options(settings: &FleetHostSettings) -> CoordinatorOptions {
    let folder = settings.data_folder.join(format!("group-{LEDGER_GROUP}"));
    let disk_bytes = settings.disk_mb << 20;
    let group = GroupOptions {
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        segment_bytes: SEGMENT_BYTES,
        snapshot_interval_entries: SNAPSHOT_INTERVAL_ENTRIES,
        data_limit_bytes: disk_bytes / 10 * 9,
        reserved_bytes: disk_bytes / 16,
        transfer_bytes_per_s: TRANSFER_BYTES_PER_S,
        ..GroupOptions::new(LEDGER_GROUP, 0, folder, Vec::new())
    };
    let replica = ReplicaManagerOptions {
        host_id: settings.host_id.clone(),
        peer_address: settings.peer_address.to_string(),
        zone: settings.zone.clone(),
        seed_addresses: settings.seed_addresses.iter().map(ToString::to_string).collect(),
        is_founder: settings.is_founder(),
        target_voters: settings.target_voters(),
        group,
    };
    CoordinatorOptions { settings: settings.clone(), replica }
}
