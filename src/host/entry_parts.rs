use std::sync::Arc;

use async_std::channel::{bounded, Receiver};
use async_std::net::TcpListener;
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::admission::{ExchangeParts, SlotExchange, SlotQueue};
use crate::batch::{BatchOptions, BatchRunner};
use crate::configuration::ConfigurationWatch;
use crate::control::RemoteState;
use crate::entry::{EntryServer, EntryShared};
use crate::host::handler::Handler;
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

/// What the entry role of a host is made from.
pub(super) struct EntrySources {
    pub(super) settings: HostSettings,
    pub(super) sharing: SharingOptions,
    pub(super) incarnation: u64,
    pub(super) caller: Arc<dyn PeerCaller>,
    pub(super) counters: Counters,
    pub(super) tracer: Tracer,
    pub(super) handler: Arc<Handler>,
}

/// Upstreams with the slots that this host may use of them.
struct Slots {
    fleet: Arc<Fleet>,
    queue: Arc<SlotQueue>,
    exchange: Option<SlotExchange>,
}

impl EntrySources {
    fn open_slots(&self, configuration: &ConfigurationWatch) -> Slots {
        let membership = &self.handler.membership;
        let queue = SlotQueue::open(Box::new(configuration.clone()), self.sharing.gives_way);
        let fleet = Arc::new(Fleet::open(queue.clone()));
        follow_members(membership, fleet.clone(), self.sharing.leases);
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
        Slots { fleet, queue, exchange }
    }

    fn open_dispatcher(&mut self, slots: Slots, state: &Arc<dyn StateClient>) -> Dispatcher {
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

/// The running parts of the entry role.
pub(super) struct EntryParts {
    pub(super) entry: EntryServer,
    batch: BatchRunner,
    configuration: ConfigurationWatch,
    exchange: Option<SlotExchange>,
    orders: OrderController,
}

impl EntryParts {
    /// Starts the entry role on the connections of `callers`.
    pub(super) fn open(callers: TcpListener, mut sources: EntrySources) -> Result<Self> {
        let settings = &sources.settings;
        let membership = &sources.handler.membership;
        let host_id = settings.host_id.clone();
        let remote =
            RemoteState::open(sources.caller.clone(), &settings.control_addresses, &host_id);
        let state: Arc<dyn StateClient> = Arc::new(remote);
        let members = membership.clone();
        let (changes, changed) = bounded(1);
        let configuration = ConfigurationWatch::spawn(
            state.clone(),
            settings.entry.configuration_lease_ms,
            sources.counters.clone(),
            move |view| {
                members.set_configuration_version(view.version());
                let _ = changes.try_send(());
            },
        );
        let slots = sources.open_slots(&configuration);
        let exchange = slots.exchange.clone();
        let dispatcher = sources.open_dispatcher(slots, &state);
        follow_policy(changed, configuration.clone(), dispatcher.clone());
        let EntrySources { settings, incarnation, caller, counters, tracer, handler, .. } = sources;
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
        let entry =
            EntryServer::spawn(callers, shared).into_diagnostic().wrap_err("serving callers")?;
        Ok(EntryParts { entry, batch, configuration, exchange, orders })
    }

    /// Serves until the handed-out addresses have run out and the last request has ended.
    pub(super) async fn drain(self) {
        futures::join!(self.entry.drain(), self.batch.close());
        self.orders.close().await;
        if let Some(exchange) = self.exchange {
            exchange.close().await;
        }
        self.configuration.close().await;
    }

    /// Stops at once.
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

/// Publishes a new fleet after each change of the members.
fn follow_members(membership: &Membership, fleet: Arc<Fleet>, leases: bool) {
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

/// Applies the policy after each change of the configuration.
fn follow_policy(changed: Receiver<()>, configuration: ConfigurationWatch, dispatcher: Dispatcher) {
    async_std::task::spawn(async move {
        while changed.recv().await.is_ok() {
            let policy = configuration.load().configuration().policy.unwrap_or_default();
            dispatcher.apply_policy(&policy);
        }
    });
}
