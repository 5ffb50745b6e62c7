use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_std::task;

use crate::coordinator::{LeaderClient, LeaderError, LeaderHint};
use crate::directory::{silence_after, FleetView, FleetWatch, FleetWatchOptions, SyncPartner};
use crate::gateway::batch_worker::BatchWorker;
use crate::gateway::{
    AnswerSink, ForwardEnd, Forwarder, GatewayFleet, RouteIndex, StreamConnector, StreamRequest,
};
use crate::http::HttpError;
use crate::ledger::command;
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::ledger::{
    answer, command::Command as Kind, outcome, query, Answer, CancelJob, Outcome, Query,
    ReadItemBody, ReadResults, ResultPage, SubmitJob,
};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{ControlSync, EntryHost, EntrySync, SlotPressure, UpstreamUse};
use crate::settings::FleetHostSettings;
use crate::telemetry::Counters;

/// Least time between two notices that batch items must give way: a burst of requests costs one
/// message, and the wait is small against the time to a first event.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(15);

/// What a [`Gateway`] is made from.
pub struct GatewayOptions {
    /// Settings of the host.
    pub settings: FleetHostSettings,
    /// Sends requests to upstreams.
    pub connector: Arc<dyn StreamConnector>,
    /// Counters of the process.
    pub counters: Counters,
}

/// The entry role of one host.
pub struct Gateway {
    settings: FleetHostSettings,
    routes: ArcSwap<RouteIndex>,
    forwarder: Forwarder,
    watch: Arc<FleetWatch>,
    leader: Arc<LeaderClient>,
    partner: Arc<Partner>,
}

/// What this host tells the control hosts, and takes from them.
struct Partner {
    settings: FleetHostSettings,
    fleet: Arc<GatewayFleet>,
    worker: OnceLock<Arc<BatchWorker>>,
    has_routes: AtomicBool,
    draining: AtomicBool,
    /// What this host knows of the requests of the others, as the leader numbers it.
    uses_revision: AtomicU64,
}

impl Partner {
    /// Requests of this host at each upstream.
    fn uses(&self) -> Vec<UpstreamUse> {
        let mut uses = Vec::new();
        for upstream in self.fleet.load().iter() {
            let (online, batch) = upstream.own_use();
            if online + batch > 0 {
                let upstream_id = upstream.upstream_id.clone();
                uses.push(UpstreamUse { upstream_id, online, batch });
            }
        }
        uses
    }

    fn is_ready(&self) -> bool {
        self.has_routes.load(Ordering::Acquire) && !self.draining.load(Ordering::Acquire)
    }
}

impl SyncPartner for Partner {
    fn report(&self, sync: &mut EntrySync) {
        let caller_address = self.settings.caller_address.map(|address| address.to_string());
        sync.entry = Some(EntryHost {
            host_id: self.settings.host_id.clone(),
            caller_address: caller_address.unwrap_or_default(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            ready: self.is_ready(),
        });
        sync.uses = self.uses();
        sync.uses_revision = self.uses_revision.load(Ordering::Acquire);
        if let Some(worker) = self.worker.get() {
            sync.running = worker.running();
        }
    }

    fn receive(&self, _from_address: &str, answer: &ControlSync) {
        let Some(worker) = self.worker.get().filter(|_| answer.leads) else { return };
        worker.note_leader();
        self.fleet.set_elsewhere(&answer.uses, answer.uses_complete);
        self.uses_revision.store(answer.uses_revision, Ordering::Release);
        worker.stop(&answer.stops);
        if !self.draining.load(Ordering::Acquire) {
            worker.start(&answer.assignments);
        }
    }
}

/// Finds the leader through the answers of the control hosts.
struct WatchHint {
    watch: Arc<FleetWatch>,
}

impl LeaderHint for WatchHint {
    fn leader_address(&self) -> Option<String> {
        self.watch.view().leader_address.clone()
    }

    fn control_addresses(&self) -> Vec<String> {
        self.watch.control_addresses()
    }
}

impl Gateway {
    /// Starts to follow the control hosts.
    pub fn spawn(options: GatewayOptions, caller: Arc<dyn PeerCaller>) -> Arc<Self> {
        let GatewayOptions { settings, connector, counters } = options;
        let fleet = Arc::new(GatewayFleet::default());
        let partner = Arc::new(Partner {
            settings: settings.clone(),
            fleet: fleet.clone(),
            worker: OnceLock::new(),
            has_routes: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            uses_revision: AtomicU64::new(0),
        });
        let watch_options = FleetWatchOptions {
            seed_addresses: settings.seed_addresses.iter().map(ToString::to_string).collect(),
            own_address: settings.peer_address.to_string(),
            silence: silence_after(Duration::from_millis(settings.upstream_heartbeat_ms)),
        };
        let watch = FleetWatch::spawn(watch_options, caller.clone(), partner.clone());
        let hint = Arc::new(WatchHint { watch: watch.clone() });
        let leader = Arc::new(LeaderClient::open(caller.clone(), hint));
        let worker =
            BatchWorker::spawn(fleet.clone(), connector.clone(), leader.clone(), counters.clone());
        let _ = partner.worker.set(worker);
        let forwarder = Forwarder::open(
            &settings.zone,
            &settings.region,
            fleet.clone(),
            connector.clone(),
            counters,
        );
        let routes = ArcSwap::from_pointee(RouteIndex::default());
        let gateway = Arc::new(Self { settings, routes, forwarder, watch, leader, partner });
        task::spawn(give_way(gateway.clone(), fleet.clone(), caller));
        task::spawn(follow_view(gateway.clone(), fleet, connector));
        gateway
    }

    /// The routes in force.
    pub fn routes(&self) -> Arc<RouteIndex> {
        self.routes.load_full()
    }

    /// What this host knows of the fleet.
    pub fn view(&self) -> Arc<FleetView> {
        self.watch.view()
    }

    /// True while the host takes callers.
    pub fn is_ready(&self) -> bool {
        self.partner.is_ready()
    }

    /// Time for which callers may keep the addresses of a lookup.
    pub fn lookup_ttl(&self) -> Duration {
        Duration::from_millis(self.settings.lookup_ttl_ms)
    }

    /// Addresses of entry hosts for a caller: those of its availability zone if there are two, else
    /// those of its region, else all.
    pub fn entry_addresses(&self, zone: &str, region: &str, limit: usize) -> Vec<String> {
        let view = self.watch.view();
        let ready: Vec<&EntryHost> = view.entries.iter().filter(|it| it.ready).collect();
        let in_zone: Vec<_> = ready.iter().filter(|it| it.zone == zone).collect();
        let in_region: Vec<_> = ready.iter().filter(|it| it.region == region).collect();
        let chosen = match (in_zone.len(), in_region.len()) {
            (2.., _) => in_zone,
            (_, 2..) => in_region,
            _ => ready.iter().collect(),
        };
        chosen.into_iter().take(limit).map(|it| it.caller_address.clone()).collect()
    }

    /// Leaves the lookups; requests are still served.
    pub fn start_drain(&self) {
        self.partner.draining.store(true, Ordering::Release);
        if let Some(worker) = self.partner.worker.get() {
            worker.stop_all();
        }
        self.watch.report_now();
    }

    /// Answers an online request by the routes that told its kind; newer ones may tell another.
    ///
    /// # Errors
    /// If the caller is gone.
    pub async fn forward(
        &self,
        routes: &RouteIndex,
        request: &StreamRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<ForwardEnd, HttpError> {
        let route = routes.find(&request.host, request.path());
        self.forwarder.forward(route, routes.version(), request, sink).await
    }

    /// Submits a batch job.
    ///
    /// # Errors
    /// As [`LeaderError`] says.
    pub async fn submit_job(
        &self,
        job: SubmitJob,
        budget: Duration,
    ) -> Result<Option<outcome::Outcome>, LeaderError> {
        let (job_id, items) = (job.job_id.clone(), job.items.len());
        let submitted = self.leader.submit(command(Kind::SubmitJob(job)), budget).await;
        match &submitted {
            Ok(Outcome { outcome }) => log::info!(event = "job_submitted", job = job_id.as_str(),
                items = items; "{outcome:?}"),
            Err(error) => log::warn!(event = "job_not_submitted", job = job_id.as_str(),
                items = items; "{error}"),
        }
        submitted.map(|outcome| outcome.outcome)
    }

    /// Results of a batch job; `None` if there is no such job.
    ///
    /// # Errors
    /// If no leader answered in time.
    pub async fn read_results(
        &self,
        job_id: &str,
        after: u32,
        wait: Duration,
        budget: Duration,
    ) -> Result<Option<ResultPage>, LeaderError> {
        let wait_ms = wait.as_millis() as u32;
        let read = ReadResults { job_id: job_id.to_owned(), after, wait_ms };
        let query = Query { query: Some(query::Query::ReadResults(read)) };
        let Answer { answer } = self.leader.query(query, wait, budget).await?;
        Ok(match answer {
            Some(answer::Answer::Results(page)) => Some(page),
            _ => None,
        })
    }

    /// Body of an item; `None` if there is no such item.
    ///
    /// # Errors
    /// If no leader answered in time.
    pub async fn read_item_body(
        &self,
        job_id: &str,
        item_id: &str,
        budget: Duration,
    ) -> Result<Option<bytes::Bytes>, LeaderError> {
        let read = ReadItemBody { job_id: job_id.to_owned(), item_id: item_id.to_owned() };
        let query = Query { query: Some(query::Query::ReadItemBody(read)) };
        let Answer { answer } = self.leader.query(query, Duration::ZERO, budget).await?;
        Ok(match answer {
            Some(answer::Answer::ItemBody(body)) => Some(body),
            _ => None,
        })
    }

    /// Ends a batch job; false if there is no such job.
    ///
    /// # Errors
    /// As [`LeaderError`] says.
    pub async fn cancel_job(&self, job_id: &str, budget: Duration) -> Result<bool, LeaderError> {
        let cancel = CancelJob { job_id: job_id.to_owned() };
        let outcome = self.leader.submit(command(Kind::CancelJob(cancel)), budget).await?;
        log::info!(event = "job_cancelled", job = job_id; "{:?}", outcome.outcome);
        Ok(!matches!(outcome.outcome, Some(outcome::Outcome::NotFound(_))))
    }
}

/// Makes batch items give way as soon as online requests need their slots: those of this host at
/// once, and those of other hosts through the leader.
async fn give_way(gateway: Arc<Gateway>, fleet: Arc<GatewayFleet>, caller: Arc<dyn PeerCaller>) {
    loop {
        fleet.crowded().await;
        let Some(worker) = gateway.partner.worker.get() else { continue };
        let yielded = worker.yield_slots();
        let leader = gateway.watch.view().leader_address.clone();
        if let Some(leader) = leader {
            let host_id = gateway.settings.host_id.clone();
            let pressure = SlotPressure { host_id, uses: gateway.partner.uses(), yielded };
            caller.send(&leader, TrafficClass::Online, Body::SlotPressure(pressure));
        }
        task::sleep(PRESSURE_INTERVAL).await;
    }
}

/// Applies each new view: routes, then upstreams.
async fn follow_view(
    gateway: Arc<Gateway>,
    fleet: Arc<GatewayFleet>,
    connector: Arc<dyn StreamConnector>,
) {
    let mut upstreams = Arc::new(Vec::new());
    loop {
        let changed = gateway.watch.changed().listen();
        let view = gateway.watch.view();
        if view.routes.version > gateway.routes.load().version() {
            gateway.routes.store(Arc::new(RouteIndex::new(view.routes.clone())));
            let is_first = !gateway.partner.has_routes.swap(true, Ordering::AcqRel);
            if is_first {
                gateway.watch.report_now();
            }
        }
        if !Arc::ptr_eq(&upstreams, &view.upstreams) {
            upstreams = view.upstreams.clone();
            fleet.replace(&upstreams);
            let current = fleet.load();
            connector.forget(&|id| current.iter().any(|it| it.upstream_id == id));
        }
        changed.await;
    }
}
