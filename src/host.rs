use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use async_std::channel::{bounded, Receiver};
use async_std::net::TcpListener;
use async_trait::async_trait;
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::admission::{ExchangeParts, SlotExchange, SlotQueue};
use crate::batch::{BatchOptions, BatchRunner};
use crate::configuration::ConfigurationWatch;
use crate::control::{unix_ms, Control, RemoteState};
use crate::entry::{Activity, Entry, EntryShared};
use crate::membership::{HostRecord, Membership, MembershipOptions, Status};
use crate::orders::{OrderController, OrderParts};
use crate::peer::{PeerCaller, PeerHandler, PeerListener, PeerPool};
use crate::routing::{Balancer, Fleet, HolderIndex, WeightedScore};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{call, reply, Call, CallFailure, FailureKind, HostStatus, Reply};
use crate::serving::{AnswerLedger, BlockHasher, Dispatcher, OnlineService, SharedCrashRecords};
use crate::settings::{HostSettings, ReplicaSettings};
use crate::state::StateClient;
use crate::telemetry::{Counters, Tracer};
use crate::upstream::HttpConnector;

/// How a host shares upstreams. Measurements compare other ways with the default one.
pub struct SharingOptions {
    /// Picks upstreams; `None` for the default one.
    pub balancer: Option<Box<dyn Balancer>>,
    /// Batch streams are cut for online requests that wait.
    pub gives_way: bool,
    /// Slots are lent by their owner; otherwise each host counts only its own requests.
    pub leases: bool,
}

impl Default for SharingOptions {
    fn default() -> Self {
        Self { balancer: None, gives_way: true, leases: true }
    }
}

/// A host that has its addresses and does not serve yet.
pub struct BoundHost {
    /// Settings with the addresses that the host got.
    pub settings: HostSettings,
    /// How it shares upstreams.
    pub sharing: SharingOptions,
    callers: TcpListener,
    peers: TcpListener,
}

/// All parts of the system that one process runs.
pub struct Host {
    peer_address: SocketAddr,
    listener: PeerListener,
    pool: PeerPool,
    handler: Arc<Handler>,
    membership: Membership,
    entry: Option<EntryParts>,
    tracer: Tracer,
}

struct EntryParts {
    entry: Entry,
    batch: BatchRunner,
    configuration: ConfigurationWatch,
    exchange: Option<SlotExchange>,
    orders: OrderController,
}

/// Hands what peers send to the part that it is for.
struct Handler {
    host_id: String,
    membership: Membership,
    control: Option<Control>,
    activity: Activity,
    counters: Counters,
    /// Set once the entry role serves.
    entry: OnceLock<Arc<EntryShared>>,
    /// Set with the entry role.
    exchange: OnceLock<SlotExchange>,
}

#[async_trait]
impl PeerHandler for Handler {
    async fn handle_call(&self, _from_host_id: &str, call: Call) -> Reply {
        let reply = match (call.call, &self.control) {
            (Some(call::Call::HostStatus(_)), _) => reply::Reply::HostStatus(self.status()),
            (Some(call::Call::DrainHost(_)), _) => {
                self.activity.request_drain();
                reply::Reply::Done(Default::default())
            }
            (Some(call::Call::SlotReport(report)), _) => match self.exchange.get() {
                Some(exchange) => reply::Reply::SlotGrant(exchange.receive(&report)),
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
                    exchange.wake();
                }
            }
            _ => {}
        }
    }
}

impl Handler {
    fn status(&self) -> HostStatus {
        let mut status = HostStatus {
            host_id: self.host_id.clone(),
            open_requests: self.activity.open(),
            draining: self.activity.is_draining(),
            counters: self.counters.snapshot(),
            ..HostStatus::default()
        };
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

impl BoundHost {
    /// Takes the addresses of the settings; port 0 takes any free port.
    ///
    /// A control host whose settings name no replicas forms a group of its own.
    pub async fn bind(mut settings: HostSettings) -> Result<Self> {
        let callers = listen(settings.caller_address).await?;
        let peers = listen(settings.peer_address).await?;
        settings.caller_address = callers.local_addr().into_diagnostic()?;
        settings.peer_address = peers.local_addr().into_diagnostic()?;
        if settings.roles.control && settings.control.replicas.is_empty() {
            settings.control.replica_id = settings.control.replica_id.max(1);
            settings.control.replicas.push(ReplicaSettings {
                replica_id: settings.control.replica_id,
                peer_address: settings.peer_address.to_string(),
                zone: settings.zone.clone(),
            });
        }
        if settings.control_addresses.is_empty() {
            let replicas = settings.control.replicas.iter();
            settings.control_addresses =
                replicas.map(|replica| replica.peer_address.clone()).collect();
        }
        Ok(Self { settings, sharing: SharingOptions::default(), callers, peers })
    }

    /// Starts the parts that the settings name.
    pub async fn open(self) -> Result<Host> {
        let Self { settings, sharing, callers, peers } = self;
        let incarnation = unix_ms();
        let telemetry = &settings.telemetry;
        let counters = Counters::open(&settings.host_id, telemetry.statsd_address);
        let span_file = telemetry.span_file.as_deref();
        let tracer = Tracer::open(&settings.host_id, span_file, telemetry.span_sample_ratio)
            .into_diagnostic()
            .wrap_err("opening the span file")?;
        let pool = PeerPool::open(&settings.host_id, incarnation, &settings.peer_key);
        let caller: Arc<dyn PeerCaller> = Arc::new(pool.clone());
        let options = membership_options(&settings, incarnation);
        let membership = Membership::spawn(options, caller.clone());
        let control = match settings.roles.control {
            true => Some(Control::open(&settings, caller.clone())?),
            false => None,
        };
        let handler = Arc::new(Handler {
            host_id: settings.host_id.clone(),
            membership: membership.clone(),
            control,
            activity: Activity::default(),
            counters: counters.clone(),
            entry: OnceLock::new(),
            exchange: OnceLock::new(),
        });
        let listener = PeerListener::spawn(peers, &settings.peer_key, handler.clone())
            .into_diagnostic()
            .wrap_err("serving peers")?;
        let peer_address = listener.address();
        let mut host =
            Host { peer_address, listener, pool, handler, membership, entry: None, tracer };
        if settings.roles.entry {
            host.entry =
                Some(host.open_entry(callers, settings, sharing, incarnation, caller, counters)?);
        }
        Ok(host)
    }
}

impl Host {
    /// Starts the parts that the settings name.
    pub async fn open(settings: HostSettings) -> Result<Self> {
        BoundHost::bind(settings).await?.open().await
    }

    fn open_entry(
        &self,
        callers: TcpListener,
        settings: HostSettings,
        sharing: SharingOptions,
        incarnation: u64,
        caller: Arc<dyn PeerCaller>,
        counters: Counters,
    ) -> Result<EntryParts> {
        let host_id = settings.host_id.clone();
        let remote = RemoteState::open(caller.clone(), &settings.control_addresses, &host_id);
        let state: Arc<dyn StateClient> = Arc::new(remote);
        let members = self.membership.clone();
        let (changes, changed) = bounded(1);
        let configuration = ConfigurationWatch::spawn(
            state.clone(),
            settings.entry.configuration_lease_ms,
            counters.clone(),
            move |view| {
                members.set_configuration_version(view.version());
                let _ = changes.try_send(());
            },
        );
        let queue = SlotQueue::open(Box::new(configuration.clone()), sharing.gives_way);
        let fleet = Arc::new(Fleet::open(queue.clone()));
        follow_members(&self.membership, fleet.clone(), sharing.leases);
        let parts = ExchangeParts {
            host_id: host_id.clone(),
            incarnation,
            region: settings.region.clone(),
            lease_ms: settings.entry.slot_lease_ms,
            membership: self.membership.clone(),
            fleet: fleet.clone(),
            queue: queue.clone(),
            caller: caller.clone(),
            counters: counters.clone(),
        };
        let exchange = sharing.leases.then(|| SlotExchange::spawn(parts));
        if let Some(exchange) = &exchange {
            let _ = self.handler.exchange.set(exchange.clone());
        }
        let holders = Arc::new(HolderIndex::default());
        let balancer = sharing.balancer.unwrap_or_else(|| {
            Box::new(WeightedScore::new(&settings.zone, &settings.region, holders.clone()))
        });
        let connector = Box::new(HttpConnector::open());
        let members = self.membership.clone();
        let crashes = SharedCrashRecords::open(members, state.clone(), &host_id, incarnation);
        let dispatcher = Dispatcher::open(
            fleet,
            balancer,
            Box::new(BlockHasher),
            connector,
            queue,
            Arc::new(crashes),
            counters.clone(),
        );
        dispatcher.follow_cache_events(&settings.region, holders);
        follow_policy(changed, configuration.clone(), dispatcher.clone());
        let ledger = AnswerLedger::open(state.clone(), counters.clone(), &host_id, incarnation);
        let orders = OrderController::spawn(OrderParts {
            host_id: host_id.clone(),
            incarnation,
            membership: self.membership.clone(),
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
            self.tracer.clone(),
        );
        let shared = EntryShared {
            settings,
            counters,
            tracer: self.tracer.clone(),
            membership: self.membership.clone(),
            configuration: configuration.clone(),
            state,
            caller,
            online: OnlineService::open(dispatcher.clone(), ledger),
            dispatcher,
            activity: self.handler.activity.clone(),
        };
        let shared = Arc::new(shared);
        let _ = self.handler.entry.set(shared.clone());
        let entry = Entry::spawn(callers, shared).into_diagnostic().wrap_err("serving callers")?;
        Ok(EntryParts { entry, batch, configuration, exchange, orders })
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
    pub fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref().map(|parts| &parts.entry)
    }

    /// Waits until an operator asks this host to drain.
    pub async fn drain_requested(&self) {
        self.handler.activity.drain_requested().await;
    }

    /// Stops after every request has ended.
    pub async fn drain(mut self) {
        if let Some(control) = &self.handler.control {
            control.hand_over().await;
        }
        if let Some(parts) = self.entry.take() {
            let (entry, batch) = (parts.entry, parts.batch);
            futures::join!(entry.drain(), batch.close());
            parts.orders.close().await;
            if let Some(exchange) = parts.exchange {
                exchange.close().await;
            }
            parts.configuration.close().await;
        }
        self.close().await;
    }

    /// Stops at once.
    pub async fn close(mut self) {
        if let Some(parts) = self.entry.take() {
            parts.entry.close().await;
            parts.batch.close().await;
            parts.orders.close().await;
            if let Some(exchange) = parts.exchange {
                exchange.close().await;
            }
            parts.configuration.close().await;
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

fn unsupported() -> reply::Reply {
    reply::Reply::Failure(CallFailure {
        kind: FailureKind::Unsupported.into(),
        message: "this host does not answer such calls".to_owned(),
        leader_address: String::new(),
    })
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.into_diagnostic().wrap_err_with(|| format!("listening on {address}"))
}

fn membership_options(settings: &HostSettings, incarnation: u64) -> MembershipOptions {
    let host = HostRecord {
        host_id: settings.host_id.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        caller_address: settings.caller_address.to_string(),
        peer_address: settings.peer_address.to_string(),
        entry: settings.roles.entry,
        control: settings.roles.control,
        configuration_version: 0,
    };
    let mut options = MembershipOptions::new(host, incarnation);
    options.seed_addresses.clone_from(&settings.seed_addresses);
    options.gossip_interval_ms = settings.entry.gossip_interval_ms;
    options
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
