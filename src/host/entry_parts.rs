use std::sync::Arc;

use async_std::channel::{bounded, Receiver};
use async_std::net::TcpListener;
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::admission::{ExchangeParts, SlotExchange, SlotQueue};
use crate::batch::{BatchOptions, BatchRunner};
use crate::configuration::ConfigurationWatch;
use crate::control::RemoteState;
use crate::entry::{EntryServer, EntryShared};
use crate::host::handler::HostPeerHandler;
use crate::host::SharingOptions;
use crate::membership::{Membership, Status};
use crate::orders::{OrderController, OrderParts};
use crate::peer::PeerCaller;
use crate::routing::{Fleet, HolderIndex, WeightedScore};
use crate::serving::{AnswerLedger, BlockHasher, Dispatcher, OnlineService, SharedCrashRecords};
use crate::settings::HostSettings;
use crate::state::StateClient;
use crate::telemetry::{Counters, Tracer};
use crate::upstream::HttpConnector;

/// Settings and shared components from which the entry role of a host is built.
pub(super) struct EntryDependencies {
    pub(super) settings: HostSettings,
    pub(super) sharing: SharingOptions,
    pub(super) incarnation: u64,
    pub(super) caller: Arc<dyn PeerCaller>,
    pub(super) counters: Counters,
    pub(super) tracer: Tracer,
    pub(super) handler: Arc<HostPeerHandler>,
}

/// The known upstreams and the components that decide which of their slots this host may use.
struct UpstreamSlots {
    fleet: Arc<Fleet>,
    queue: Arc<SlotQueue>,
    exchange: Option<SlotExchange>,
}

impl EntryDependencies {
    /// Creates the fleet and its slot queue, and starts the slot exchange if leases are enabled.
    fn open_slots(&self, configuration: &ConfigurationWatch) -> UpstreamSlots {
        let membership = &self.handler.membership;
        let queue = SlotQueue::open(Box::new(configuration.clone()), self.sharing.preempts_batch);
        let fleet = Arc::new(Fleet::open(queue.clone()));
        spawn_fleet_updates(membership, fleet.clone(), self.sharing.leases);
        let parts = ExchangeParts {
            host_id: self.settings.host_id.clone(),
            incarnation: self.incarnation,
            region: self.settings.region.clone(),
            lease_ms: self.settings.entry.slot_lease_ms,
            membership: membership.clone(),
            fleet: fleet.clone(),
            queue: queue.clone(),
            caller: self.caller.clone(),
            counters: self.counters.clone(),
        };
        let exchange = self.sharing.leases.then(|| SlotExchange::spawn(parts));
        if let Some(exchange) = &exchange {
            let _ = self.handler.exchange.set(exchange.clone());
        }
        UpstreamSlots { fleet, queue, exchange }
    }

    /// Creates the dispatcher and starts to poll the cache events of the upstreams.
    fn open_dispatcher(
        &mut self,
        slots: UpstreamSlots,
        state: &Arc<dyn StateClient>,
    ) -> Dispatcher {
        let HostSettings { host_id, zone, region, .. } = &self.settings;
        let holders = Arc::new(HolderIndex::default());
        let balancer = self
            .sharing
            .balancer
            .take()
            .unwrap_or_else(|| Box::new(WeightedScore::new(zone, region, holders.clone())));
        let members = self.handler.membership.clone();
        let crashes = SharedCrashRecords::open(members, state.clone(), host_id, self.incarnation);
        let dispatcher = Dispatcher::open(
            slots.fleet,
            balancer,
            Box::new(BlockHasher),
            Box::new(HttpConnector::open()),
            slots.queue,
            Arc::new(crashes),
            self.counters.clone(),
        );
        dispatcher.follow_cache_events(region, holders);
        dispatcher
    }
}

/// The running components of the entry role.
pub(super) struct EntryParts {
    pub(super) entry: EntryServer,
    batch: BatchRunner,
    configuration: ConfigurationWatch,
    exchange: Option<SlotExchange>,
    orders: OrderController,
}

impl EntryParts {
    /// Starts the entry role, which serves the connections accepted on `caller_listener`.
    ///
    /// # Errors
    /// If the entry server can't be started.
    pub(super) fn open(
        caller_listener: TcpListener,
        mut dependencies: EntryDependencies,
    ) -> Result<Self> {
        let settings = &dependencies.settings;
        let membership = &dependencies.handler.membership;
        let host_id = settings.host_id.clone();
        let remote_state =
            RemoteState::open(dependencies.caller.clone(), &settings.control_addresses, &host_id);
        let state: Arc<dyn StateClient> = Arc::new(remote_state);
        let members = membership.clone();
        let (change_sender, change_receiver) = bounded(1);
        let configuration = ConfigurationWatch::spawn(
            state.clone(),
            settings.entry.configuration_lease_ms,
            dependencies.counters.clone(),
            move |view| {
                members.set_configuration_version(view.version());
                let _ = change_sender.try_send(());
            },
        );
        let slots = dependencies.open_slots(&configuration);
        let exchange = slots.exchange.clone();
        let dispatcher = dependencies.open_dispatcher(slots, &state);
        spawn_policy_updates(change_receiver, configuration.clone(), dispatcher.clone());
        let EntryDependencies { settings, incarnation, caller, counters, tracer, handler, .. } =
            dependencies;
        let membership = &handler.membership;
        let ledger = AnswerLedger::open(state.clone(), counters.clone(), &host_id, incarnation);
        let orders = OrderController::spawn(OrderParts {
            host_id: host_id.clone(),
            incarnation,
            membership: membership.clone(),
            configuration: configuration.clone(),
            state: state.clone(),
            dispatcher: dispatcher.clone(),
            counters: counters.clone(),
        });
        let options = BatchOptions {
            host_id,
            incarnation,
            in_flight_limit: settings.entry.batch_in_flight_limit as u32,
        };
        let batch = BatchRunner::spawn(
            options,
            dispatcher.clone(),
            state.clone(),
            configuration.clone(),
            counters.clone(),
            tracer.clone(),
        );
        let shared = EntryShared {
            settings,
            counters,
            tracer: tracer.clone(),
            membership: membership.clone(),
            configuration: configuration.clone(),
            state,
            caller,
            online: OnlineService::open(dispatcher.clone(), ledger),
            dispatcher,
            request_tracker: handler.request_tracker.clone(),
        };
        let shared = Arc::new(shared);
        let _ = handler.entry.set(shared.clone());
        let entry = EntryServer::spawn(caller_listener, shared)
            .into_diagnostic()
            .wrap_err("serving callers")?;
        Ok(EntryParts { entry, batch, configuration, exchange, orders })
    }

    /// Stops gracefully: keeps serving until callers no longer use an entry list that contains this
    /// host and all requests have finished, for at most `drain_bound_ms` of the entry settings.
    pub(super) async fn drain(self) {
        futures::join!(self.entry.drain(), self.batch.close());
        self.orders.close().await;
        if let Some(exchange) = self.exchange {
            exchange.close().await;
        }
        self.configuration.close().await;
    }

    /// Stops without waiting for open requests.
    pub(super) async fn close(self) {
        self.entry.close().await;
        self.batch.close().await;
        self.orders.close().await;
        if let Some(exchange) = self.exchange {
            exchange.close().await;
        }
        self.configuration.close().await;
    }
}

/// Spawns a task that replaces the upstreams of `fleet` after each membership change. Without
/// leases, it also gives this host all slots of every upstream.
fn spawn_fleet_updates(membership: &Membership, fleet: Arc<Fleet>, leases: bool) {
    let changes = membership.subscribe();
    async_std::task::spawn(async move {
        while let Ok(view) = changes.recv().await {
            let serving = view.upstreams.iter().filter(|entry| entry.status == Status::Alive);
            fleet.replace(serving.map(|entry| (&entry.record, entry.incarnation)));
            if !leases {
                for upstream in fleet.load().upstreams() {
                    upstream.set_limits(upstream.record.slots, upstream.record.slots);
                }
            }
        }
    });
}

/// Spawns a task that applies the configured policy to `dispatcher` after each change of the
/// configuration.
fn spawn_policy_updates(
    change_receiver: Receiver<()>,
    configuration: ConfigurationWatch,
    dispatcher: Dispatcher,
) {
    async_std::task::spawn(async move {
        while change_receiver.recv().await.is_ok() {
            let policy = configuration.load().configuration().policy.unwrap_or_default();
            dispatcher.apply_policy(&policy);
        }
    });
}
