use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::batch::{BatchOptions, BatchRunner};
use crate::configuration::ConfigurationWatch;
use crate::control::{unix_ms, Control, RemoteState};
use crate::entry::{Activity, Entry, EntryShared};
use crate::membership::{Membership, MembershipOptions};
use crate::peer::{PeerCaller, PeerHandler, PeerListener, PeerPool};
use crate::routing::{Fleet, WeightedScore};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{reply, Call, CallFailure, FailureKind, Reply};
use crate::serving::{AnswerLedger, Dispatcher, OnlineService};
use crate::settings::HostSettings;
use crate::state::StateClient;
use crate::telemetry::{Counters, Tracer};
use crate::upstream::HttpConnector;

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
}

/// Hands what peers send to the part that it is for.
struct Handler {
    membership: Membership,
    control: Option<Control>,
}

#[async_trait]
impl PeerHandler for Handler {
    async fn handle_call(&self, _from_host_id: &str, call: Call) -> Reply {
        let reply = match (&self.control, call.call) {
            (Some(control), Some(call)) => control.handle(call).await,
            _ => reply::Reply::Failure(CallFailure {
                kind: FailureKind::Unsupported.into(),
                message: "this host does not answer such calls".to_owned(),
                leader_address: String::new(),
            }),
        };
        Reply { reply: Some(reply) }
    }

    fn handle_message(&self, _from_host_id: &str, body: Body) {
        match (body, &self.control) {
            (Body::Gossip(gossip), _) => self.membership.receive(gossip),
            (Body::Raft(message), Some(control)) => control.receive(message),
            _ => {}
        }
    }
}

impl Host {
    /// Starts the parts that the settings name.
    pub async fn open(settings: HostSettings) -> Result<Self> {
        let incarnation = unix_ms();
        let telemetry = &settings.telemetry;
        let counters = Counters::open(&settings.host_id, telemetry.statsd_address);
        let span_file = telemetry.span_file.as_deref();
        let tracer = Tracer::open(&settings.host_id, span_file, telemetry.span_sample_ratio)
            .into_diagnostic()
            .wrap_err("opening the span file")?;
        let pool = PeerPool::open(&settings.host_id, incarnation, &settings.peer_key);
        let caller: Arc<dyn PeerCaller> = Arc::new(pool.clone());
        let options = MembershipOptions::new(&settings, incarnation);
        let membership = Membership::spawn(options, caller.clone());
        let control = match settings.control_role {
            true => Some(Control::open(&settings, caller.clone())?),
            false => None,
        };
        let handler = Arc::new(Handler { membership: membership.clone(), control });
        let address = settings.peer_address.to_string();
        let listener = PeerListener::bind(&address, &settings.peer_key, handler.clone())
            .await
            .into_diagnostic()
            .wrap_err_with(|| format!("listening for peers on {address}"))?;
        let peer_address = listener.address();
        let mut host =
            Self { peer_address, listener, pool, handler, membership, entry: None, tracer };
        if settings.entry_role {
            host.entry = Some(host.open_entry(settings, incarnation, caller, counters).await?);
        }
        Ok(host)
    }

    async fn open_entry(
        &self,
        settings: HostSettings,
        incarnation: u64,
        caller: Arc<dyn PeerCaller>,
        counters: Counters,
    ) -> Result<EntryParts> {
        let remote =
            RemoteState::open(caller.clone(), &settings.control_addresses, &settings.host_id);
        let state: Arc<dyn StateClient> = Arc::new(remote);
        let members = self.membership.clone();
        let configuration = ConfigurationWatch::spawn(
            state.clone(),
            settings.entry.configuration_lease_ms,
            counters.clone(),
            move |view| members.set_configuration_version(view.version()),
        );
        let fleet = Arc::new(Fleet::default());
        follow_members(&self.membership, fleet.clone());
        let balancer = Box::new(WeightedScore::new(&settings.zone, &settings.region));
        let connector = Box::new(HttpConnector::open());
        let dispatcher = Dispatcher::open(fleet, balancer, connector, counters.clone());
        let ledger =
            AnswerLedger::open(state.clone(), counters.clone(), &settings.host_id, incarnation);
        let options = BatchOptions {
            host_id: settings.host_id.clone(),
            incarnation,
            in_flight_limit: settings.entry.batch_in_flight_limit,
        };
        let batch = BatchRunner::spawn(
            options,
            dispatcher.clone(),
            state.clone(),
            configuration.clone(),
            counters.clone(),
            self.tracer.clone(),
        );
        let address = settings.caller_address;
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
            activity: Activity::default(),
        };
        let entry = Entry::bind(Arc::new(shared))
            .await
            .into_diagnostic()
            .wrap_err_with(|| format!("listening for callers on {address}"))?;
        Ok(EntryParts { entry, batch, configuration })
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

    /// Stops after every request has ended.
    pub async fn drain(mut self) {
        if let Some(parts) = self.entry.take() {
            let (entry, batch) = (parts.entry, parts.batch);
            futures::join!(entry.drain(), batch.close());
            parts.configuration.close().await;
        }
        self.close().await;
    }

    /// Stops at once.
    pub async fn close(mut self) {
        if let Some(parts) = self.entry.take() {
            parts.entry.close().await;
            parts.batch.close().await;
            parts.configuration.close().await;
        }
        if let Some(control) = &self.handler.control {
            control.close().await;
        }
        self.membership.close().await;
        self.listener.close().await;
        self.pool.close();
        self.tracer.close();
    }
}

/// Publishes a new fleet after each change of the members.
fn follow_members(membership: &Membership, fleet: Arc<Fleet>) {
    let changes = membership.subscribe();
    async_std::task::spawn(async move {
        while let Ok(view) = changes.recv().await {
            let serving = view.upstreams.iter().filter(|upstream| upstream.is_serving());
            fleet.replace(serving.map(|upstream| (&upstream.record, upstream.incarnation)));
        }
    });
}
