use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::task;

use crate::admission::PlannedStop;
use crate::boot_instant::BootInstant;
use crate::control::unix_ms;
use crate::coordinator::{LeaderClient, LeaderError, LeaderHint};
use crate::directory::{
    choose_entries, heartbeat_timeout, CrashExchange, FleetView, FleetWatch, FleetWatchOptions,
    SyncHandler,
};
use crate::gateway::batch_worker::BatchWorker;
use crate::gateway::connector_probe::ConnectorProbe;
use crate::gateway::job_reader::JobReader;
use crate::gateway::link_setup::LinkSetup;
use crate::gateway::placement_report::PlacementView;
use crate::gateway::team_gate::TeamGate;
use crate::gateway::upstream::monotonic_ms;
use crate::gateway::{
    AnswerSink, CrashGuard, FleetOrigins, ForwardOutcome, Forwarder, GatewayFleet,
    PlacementQuestion, Refusal, RefusalKind, RouteIndex, RoutesState, StreamConnector,
    StreamRequest,
};
use crate::http::HttpError;
use crate::ledger::command;
use crate::links::answer_link_check;
use crate::peer::{PeerCaller, TrafficClass};
use crate::raft::LeaderBelief;
use crate::relay::RelayServer;
use crate::schema::explain::PlacementReport;
use crate::schema::ledger::{
    answer, command::Command as Kind, outcome, query, Answer, CancelJob, Outcome, Query,
    ReadItemBody, ReadResults, ResultPage, SubmitJob,
};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{
    call, reply, CloseRelayed, ControlSync, EntryHost, EntrySync, SlotPressure, UpstreamUse,
};
use crate::schema::routes::Route;
use crate::settings::FleetHostSettings;
use crate::teams::{identify, Caller, CallerKey, KeyUse, QuotaRegistry, RequestQuota, TableAge};
use crate::telemetry::Counters;

/// Shortest interval between two notices that batch items must release slots: a burst of requests costs
/// one message, and the delay is small compared to the time to a first event.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(15);

/// Interval at which the requests of other hosts are forgotten by half while the leader is silent; about
/// the time that a short request takes.
const STALE_USE_INTERVAL: Duration = Duration::from_millis(250);

/// Part of the time to withdraw a key, in percent, for which a host serves keys after a confirmation. The rest is a margin
/// for clocks that run at different speeds.
const KEY_LEASE_PERCENT: u64 = 90;

/// Settings and dependencies of a [`Gateway`].
pub struct GatewayOptions {
    /// Settings of this host.
    pub settings: FleetHostSettings,
    /// Sends requests to upstreams.
    pub connector: Arc<dyn StreamConnector>,
    /// Counters of the process.
    pub counters: Counters,
}

/// The entry role of a host.
pub struct Gateway {
    settings: FleetHostSettings,
    counters: Counters,
    routes: ArcSwap<RouteIndex>,
    forwarder: Forwarder,
    watch: Arc<FleetWatch>,
    leader: Arc<LeaderClient>,
    job_reader: JobReader,
    relay_server: Arc<RelayServer>,
    probe: ConnectorProbe,
    sync_state: Arc<EntrySyncState>,
    started: BootInstant,
}

/// State of this host that is reported to the control hosts and updated from their answers.
struct EntrySyncState {
    settings: FleetHostSettings,
    started_at_unix_ms: u64,
    fleet: Arc<GatewayFleet>,
    crashes: Arc<CrashGuard>,
    crash_exchange: CrashExchange,
    worker: OnceLock<Arc<BatchWorker>>,
    origins: OnceLock<Arc<FleetOrigins>>,
    /// The first table of routes was received.
    has_routes: AtomicBool,
    stop: Arc<PlannedStop>,
    /// This host can't reach upstreams that other hosts reach.
    links_lost: AtomicBool,
    /// Quotas of the teams of the routes.
    quotas: QuotaRegistry,
    /// Number of changes of `links_lost`.
    link_changes: AtomicU64,
    /// Revision of the other hosts' request counts that this host last received, as numbered by the leader.
    uses_revision: AtomicU64,
}

impl EntrySyncState {
    /// Requests and batch items of this host at each upstream where it has any.
    fn local_uses(&self) -> Vec<UpstreamUse> {
        let mut uses = Vec::new();
        for upstream in self.fleet.load().iter() {
            let (online, batch) = upstream.local_use();
            if online + batch > 0 {
                let upstream_id = upstream.upstream_id.clone();
                uses.push(UpstreamUse { upstream_id, online, batch });
            }
        }
        uses
    }

    /// Items are not run while the links are lost, as other hosts run them without a detour.
    fn takes_items(&self) -> bool {
        !self.stop.has_begun() && !self.links_lost.load(Ordering::Acquire)
    }

    /// Applies a change of this host's links.
    fn set_links_lost(&self, is_lost: bool) {
        self.links_lost.store(is_lost, Ordering::Release);
        self.link_changes.fetch_add(1, Ordering::AcqRel);
        self.fleet.clear_pauses();
        if let Some(worker) = self.worker.get().filter(|_| is_lost) {
            worker.stop_all();
        }
    }

    fn is_ready(&self) -> bool {
        self.has_routes.load(Ordering::Acquire) && !self.stop.has_begun()
    }

    /// This host as it announces itself. The sequence grows with each change.
    fn entry_host(&self) -> EntryHost {
        let caller_address = self.settings.caller_address.map(|address| address.to_string());
        let has_routes = u64::from(self.has_routes.load(Ordering::Acquire));
        let draining = u64::from(self.stop.has_begun());
        EntryHost {
            host_id: self.settings.host_id.clone(),
            caller_address: caller_address.unwrap_or_default(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            ready: has_routes == 1 && draining == 0,
            started_at_unix_ms: self.started_at_unix_ms,
            sequence: has_routes + draining + self.link_changes.load(Ordering::Acquire),
            links_lost: self.links_lost.load(Ordering::Acquire),
            peer_address: self.settings.peer_address.to_string(),
        }
    }
}

impl SyncHandler for EntrySyncState {
    fn fill_request(&self, to_address: &str, sync: &mut EntrySync) {
        self.crash_exchange.fill_request(to_address, sync);
        sync.entry = Some(self.entry_host());
        if !sync.has_report {
            return;
        }
        sync.uses = self.local_uses();
        sync.rates = self.fleet.rate_reports();
        sync.speeds = self.fleet.take_speed_reports();
        sync.speeds_revision = self.fleet.speeds_revision();
        (sync.team_uses, sync.team_epoch) = self.quotas.report(monotonic_ms());
        sync.uses_revision = self.uses_revision.load(Ordering::Acquire);
        if let Some(worker) = self.worker.get() {
            sync.running = worker.running();
            sync.failed_items = worker.failed();
        }
    }

    fn handle_reply(&self, from_address: &str, answer: &ControlSync) {
        if let Some(origins) = self.origins.get() {
            origins.record_epoch(from_address, answer.directory_epoch);
        }
        self.crashes.handle_changes(&self.crash_exchange.handle_reply(from_address, answer));
        let Some(worker) = self.worker.get().filter(|_| answer.leads) else { return };
        worker.record_leader_contact();
        self.fleet.set_remote_use(&answer.uses, answer.uses_complete);
        self.uses_revision.store(answer.uses_revision, Ordering::Release);
        self.fleet.apply_rates(&answer.rates, answer.rates_epoch);
        self.fleet.apply_speeds(&answer.speeds, answer.speeds_revision);
        if let Some(paces) = &answer.team_paces {
            self.quotas.apply(paces, monotonic_ms());
        }
        worker.stop(&answer.stops);
        if self.takes_items() {
            worker.start(&answer.assignments);
        }
    }

    fn handle_superseded_reply(&self, _from_address: &str, answer: &ControlSync) {
        self.crashes.handle_changes(&self.crash_exchange.handle_superseded_reply(answer));
    }
}

/// Looks up the leader in the answers of the control hosts.
struct WatchHint {
    watch: Arc<FleetWatch>,
}

impl LeaderHint for WatchHint {
    fn leader(&self) -> Option<Arc<LeaderBelief>> {
        self.watch.leader()
    }

    fn replica_addresses(&self) -> Vec<String> {
        self.watch.view().replica_addresses.to_vec()
    }

    fn control_addresses(&self) -> Vec<String> {
        self.watch.control_addresses()
    }
}

impl Gateway {
    /// Creates the entry role and starts its tasks, which poll the control hosts through `caller`.
    pub fn spawn(options: GatewayOptions, caller: Arc<dyn PeerCaller>) -> Arc<Self> {
        let GatewayOptions { settings, connector, counters } = options;
        let fleet = Arc::new(GatewayFleet::default());
        let started_at_unix_ms = unix_ms();
        let crashes = Arc::new(CrashGuard::open(&settings.host_id));
        let stop = Arc::<PlannedStop>::default();
        let sync_state = Arc::new(EntrySyncState {
            settings: settings.clone(),
            started_at_unix_ms,
            fleet: fleet.clone(),
            crashes: crashes.clone(),
            crash_exchange: CrashExchange::open(crashes.table().clone()),
            worker: OnceLock::new(),
            origins: OnceLock::new(),
            has_routes: AtomicBool::new(false),
            stop: stop.clone(),
            links_lost: AtomicBool::new(false),
            quotas: QuotaRegistry::new(&settings.host_id, settings.quota_tolerance_requests),
            link_changes: AtomicU64::new(0),
            uses_revision: AtomicU64::new(0),
        });
        let watch_options = FleetWatchOptions {
            host_id: settings.host_id.clone(),
            zone: settings.zone.clone(),
            zone_regions: settings.zone_regions.clone(),
            polls_all: false,
            leaving: fleet.leaving().clone(),
            seed_addresses: settings.seed_addresses.iter().map(ToString::to_string).collect(),
            own_address: settings.peer_address.to_string(),
            directory_timeout: heartbeat_timeout(Duration::from_millis(
                settings.upstream_heartbeat_ms,
            )),
        };
        let watch = FleetWatch::spawn(watch_options, caller.clone(), sync_state.clone());
        let hint = Arc::new(WatchHint { watch: watch.clone() });
        let leader = Arc::new(LeaderClient::open(caller.clone(), hint));
        let (state, changed, direct) = (sync_state.clone(), watch.clone(), connector.clone());
        let links = LinkSetup {
            settings: &settings,
            caller: &caller,
            direct: &connector,
            fleet: &fleet,
            watch: &watch,
        };
        let linked = links.spawn(Box::new(move |is_lost| {
            state.set_links_lost(is_lost);
            // Connections from before may deliver nothing.
            direct.retain_upstreams(&|_| !is_lost);
            changed.sync_now();
        }));
        let relay_server =
            RelayServer::spawn(fleet.clone(), connector.clone(), counters.clone(), stop.clone());
        let worker =
            BatchWorker::spawn(fleet.clone(), connector.clone(), leader.clone(), counters.clone());
        let _ = sync_state.worker.set(worker);
        let origins =
            FleetOrigins::spawn(&settings.region, caller.clone(), watch.clone(), counters.clone());
        let _ = sync_state.origins.set(origins.clone());
        let forwarder = Forwarder::open(
            &settings.zone,
            &settings.region,
            fleet.clone(),
            linked,
            crashes,
            origins,
            counters.clone(),
        );
        let routes = ArcSwap::from_pointee(RouteIndex::default());
        let job_reader =
            JobReader::open(caller.clone(), leader.clone(), watch.clone(), counters.clone());
        let gateway = Arc::new(Self {
            settings,
            counters,
            routes,
            forwarder,
            watch,
            leader,
            job_reader,
            relay_server,
            probe: ConnectorProbe { connector: connector.clone() },
            sync_state,
            started: BootInstant::now(),
        });
        task::spawn(yield_batch_slots(gateway.clone(), fleet.clone(), caller));
        task::spawn(send_crash_records(gateway.clone()));
        task::spawn(forget_stale_use(gateway.clone(), fleet.clone()));
        task::spawn(apply_views(gateway.clone(), fleet, connector));
        gateway
    }

    /// The current routes.
    pub fn routes(&self) -> Arc<RouteIndex> {
        self.routes.load_full()
    }

    /// How current these routes are.
    pub fn routes_state(&self, routes: &RouteIndex) -> RoutesState {
        let confirmation = self.watch.routes_confirmation();
        RoutesState {
            version: routes.version(),
            age: confirmation.age(routes.version(), BootInstant::now()),
            source: confirmation.load().map_or_else(String::new, |last| last.source.clone()),
        }
    }

    /// How current the keys of these routes are.
    fn table_age(&self, routes: &RouteIndex) -> TableAge {
        let (confirmation, now) = (self.watch.routes_confirmation(), BootInstant::now());
        let version = routes.version();
        let revocation_ms = self.settings.key_revocation_ms;
        TableAge {
            is_current: RoutesState::is_current_at(version, confirmation.age(version, now)),
            confirmed_age: confirmation.age_in_force(version, now),
            key_lease: (revocation_ms > 0).then(|| key_lease(revocation_ms)),
        }
    }

    /// Decides who sent a request of this route.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub fn identify<'a>(
        &self,
        routes: &'a RouteIndex,
        route: &Route,
        key: CallerKey<'_>,
    ) -> Result<Caller<'a>, Refusal> {
        let key_use = if route.anonymous { KeyUse::Ignored } else { KeyUse::Required };
        self.identify_with(routes, key_use, key)
    }

    /// Decides who sent a call about a batch job to this host name.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub fn identify_for_jobs<'a>(
        &self,
        routes: &'a RouteIndex,
        host: &str,
        key: CallerKey<'_>,
    ) -> Result<Caller<'a>, Refusal> {
        if routes.version() == 0 {
            // The job may belong to a team, so its callers must not be told that there is none.
            return Err(self.routes_state(routes).missing_route());
        }
        self.identify_with(routes, routes.job_key_use(host), key)
    }

    fn identify_with<'a>(
        &self,
        routes: &'a RouteIndex,
        key_use: KeyUse,
        key: CallerKey<'_>,
    ) -> Result<Caller<'a>, Refusal> {
        if routes.teams().is_empty() {
            return Ok(Caller::Unidentified);
        }
        let caller = identify(routes.teams(), key_use, key, self.table_age(routes));
        if let Err(refusal) = &caller {
            self.counters.count(match refusal.kind {
                RefusalKind::UnknownKey => "key_unknown",
                _ => "key_unconfirmed",
            });
        }
        caller
    }

    /// Says what would become of a request, without sending it.
    pub fn explain_placement(&self, question: &PlacementQuestion<'_>) -> PlacementReport {
        let routes = self.routes();
        let view = PlacementView {
            host_id: &self.settings.host_id,
            zone: &self.settings.zone,
            region: &self.settings.region,
            routes: &routes,
            routes_state: &self.routes_state(&routes),
            fleet: &self.sync_state.fleet,
            quotas: &self.sync_state.quotas,
            connector: &*self.probe.connector,
        };
        view.answer(question)
    }

    /// Publishes the version of the routes and the time since the control hosts last confirmed the newest
    /// version, or since the start if they have not yet.
    pub fn publish_gauges(&self, counters: &Counters) {
        let confirmation = self.watch.routes_confirmation().load();
        let known_at = confirmation.as_ref().map_or(self.started, |last| last.confirmed_at);
        let confirmed_version = confirmation.map_or(0, |last| last.version);
        counters.gauge("entry_routes_version", self.routes.load().version());
        counters.gauge("entry_routes_confirmed_version", confirmed_version);
        counters.gauge("entry_routes_age_ms", known_at.elapsed().as_millis() as u64);
        counters.gauge("teams_paced", self.sync_state.quotas.paced_teams() as u64);
    }

    /// The current view of the fleet.
    pub fn view(&self) -> Arc<FleetView> {
        self.watch.view()
    }

    /// True while the host accepts callers: it has routes and does not drain.
    pub fn is_ready(&self) -> bool {
        self.sync_state.is_ready()
    }

    /// Time for which callers may cache the addresses of a lookup.
    pub fn lookup_ttl(&self) -> Duration {
        Duration::from_millis(self.settings.lookup_ttl_ms)
    }

    /// Caller addresses of entry hosts for a caller, as [`choose_entries`] says.
    pub fn entry_addresses(
        &self,
        zone: &str,
        region: &str,
        caller: &str,
        limit: usize,
    ) -> Vec<String> {
        let view = self.watch.view();
        let chosen = choose_entries(&view.entries, zone, region, caller, limit);
        chosen.into_iter().map(|entry| entry.caller_address.clone()).collect()
    }

    /// Starts to drain: batch items are returned to the leader, and the host is no longer reported as
    /// ready, so lookups stop returning it. Requests whose time limit ends by `requests_end_by` are
    /// still served.
    pub fn start_drain(&self, requests_end_by: Instant) {
        self.sync_state.stop.begin(requests_end_by);
        if let Some(worker) = self.sync_state.worker.get() {
            worker.stop_all();
        }
        self.watch.sync_now();
    }

    /// Takes no more requests, before the host looks for open ones for the last time.
    pub fn close_intake(&self) {
        self.sync_state.stop.close_intake();
    }

    /// Number of requests of other hosts that this host relays.
    pub fn relayed_requests(&self) -> usize {
        self.relay_server.open_requests()
    }

    /// Forwards an online request of a caller. `routes` must be the routes by which the request was classified as
    /// online and its caller identified, since newer ones may classify it as a batch job.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub async fn forward(
        &self,
        routes: &RouteIndex,
        caller: &Caller<'_>,
        request: &StreamRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<ForwardOutcome, HttpError> {
        let Some(route) = routes.find(&request.host, request.path()) else {
            let state = self.routes_state(routes);
            return self.forwarder.refuse_unmatched(request, &state, sink).await;
        };
        if !self.sync_state.stop.leaves_time_until(request.deadline(route)) {
            // Another host can take the request at once.
            let reason = "the host stops before the time limit of the request";
            let refusal = Refusal::not_run(reason, Duration::ZERO);
            return self.forwarder.refuse(request, routes.version(), refusal, sink).await;
        }
        let gate = TeamGate::of(caller, &self.sync_state.quotas, &self.sync_state.fleet);
        let quota = gate.as_ref().map(|gate| gate as &dyn RequestQuota);
        self.forwarder.forward(route, routes.version(), quota, request, sink).await
    }

    /// Refuses a request whose caller is not identified.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub async fn refuse(
        &self,
        routes: &RouteIndex,
        request: &StreamRequest,
        refusal: Refusal,
        sink: &mut dyn AnswerSink,
    ) -> Result<ForwardOutcome, HttpError> {
        self.forwarder.refuse(request, routes.version(), refusal, sink).await
    }

    /// Handles a call of another entry host. Returns `None` if the entry role does not serve the call.
    pub async fn handle(&self, call: call::Call) -> Option<reply::Reply> {
        Some(match call {
            call::Call::CheckUpstreams(check) => {
                // Checks come before relayed requests, so the relay knows the clock by then.
                if let Some(sent_at) = &check.sent_at {
                    self.relay_server.record_delay(sent_at);
                }
                let upstreams = self.sync_state.fleet.load();
                let is_known = |address: &str| {
                    upstreams.iter().any(|upstream| upstream.address.to_string() == address)
                };
                let reached = answer_link_check(&self.probe, &check, &is_known).await;
                reply::Reply::ReachedUpstreams(reached)
            }
            call::Call::RelayedRequest(request) => self.relay_server.open_request(request).await,
            call::Call::ReadRelayed(read) => self.relay_server.read(read.relay_id).await,
            _ => return None,
        })
    }

    /// Ends a request that this host relays for another one.
    pub fn close_relayed(&self, close: &CloseRelayed) {
        self.relay_server.close_request(close.relay_id);
    }

    /// Fails if the host stops before a call with this budget ends.
    fn check_time(&self, budget: Duration) -> Result<(), LeaderError> {
        match self.sync_state.stop.leaves_time_until(Instant::now() + budget) {
            true => Ok(()),
            false => Err(LeaderError::not_tried("this host is about to stop")),
        }
    }

    /// Submits a batch job to the leader, within `budget`.
    ///
    /// # Errors
    /// A [`LeaderError`], which says whether the job may have been submitted.
    pub async fn submit_job(
        &self,
        job: SubmitJob,
        budget: Duration,
    ) -> Result<Option<outcome::Outcome>, LeaderError> {
        self.check_time(budget)?;
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

    /// Reads a page of the results of a batch job, from position `after` on; `None` if there is no such
    /// job for the team. The leader waits up to `wait` for a result at that position.
    ///
    /// # Errors
    /// If no leader answered within `budget`.
    pub async fn read_results(
        &self,
        job_id: &str,
        team: &str,
        after: u32,
        wait: Duration,
        budget: Duration,
    ) -> Result<Option<ResultPage>, LeaderError> {
        self.check_time(budget)?;
        let wait_ms = wait.as_millis() as u32;
        let (job_id, team) = (job_id.to_owned(), team.to_owned());
        let read = ReadResults { job_id, after, wait_ms, team };
        let query = Query { query: Some(query::Query::ReadResults(read)) };
        let Answer { answer } = self.job_reader.query(query, wait, budget).await?;
        Ok(match answer {
            Some(answer::Answer::Results(page)) => Some(page),
            _ => None,
        })
    }

    /// Reads the body of a batch item; `None` if there is no such item for the team.
    ///
    /// # Errors
    /// If no leader answered within `budget`.
    pub async fn read_item_body(
        &self,
        job_id: &str,
        team: &str,
        item_id: &str,
        budget: Duration,
    ) -> Result<Option<bytes::Bytes>, LeaderError> {
        self.check_time(budget)?;
        let (job_id, team) = (job_id.to_owned(), team.to_owned());
        let read = ReadItemBody { job_id, item_id: item_id.to_owned(), team };
        let query = Query { query: Some(query::Query::ReadItemBody(read)) };
        let Answer { answer } = self.job_reader.query(query, Duration::ZERO, budget).await?;
        Ok(match answer {
            Some(answer::Answer::ItemBody(body)) => Some(body),
            _ => None,
        })
    }

    /// Cancels a batch job; false if there is no such job for the team.
    ///
    /// # Errors
    /// A [`LeaderError`], which says whether the job may have been cancelled.
    pub async fn cancel_job(
        &self,
        job_id: &str,
        team: &str,
        budget: Duration,
    ) -> Result<bool, LeaderError> {
        self.check_time(budget)?;
        let cancel = CancelJob { job_id: job_id.to_owned(), team: team.to_owned() };
        let outcome = self.leader.submit(command(Kind::CancelJob(cancel)), budget).await?;
        log::info!(event = "job_cancelled", job = job_id; "{:?}", outcome.outcome);
        Ok(!matches!(outcome.outcome, Some(outcome::Outcome::NotFound(_))))
    }
}

/// Time after a confirmation for which a host serves keys, if none may be served this long after it was withdrawn.
fn key_lease(revocation_ms: u64) -> Duration {
    Duration::from_millis(revocation_ms * KEY_LEASE_PERCENT / 100)
}

/// Makes batch items release their slots as soon as online requests need them: stops those of this host
/// at once, and notifies the leader, which stops those of other hosts.
async fn yield_batch_slots(
    gateway: Arc<Gateway>,
    fleet: Arc<GatewayFleet>,
    caller: Arc<dyn PeerCaller>,
) {
    loop {
        fleet.wait_for_contention().await;
        let Some(worker) = gateway.sync_state.worker.get() else { continue };
        let yielded = worker.yield_slots();
        let leader = gateway.watch.view().leader_address.clone();
        if let Some(leader) = leader {
            let host_id = gateway.settings.host_id.clone();
            let pressure = SlotPressure { host_id, uses: gateway.sync_state.local_uses(), yielded };
            caller.send(&leader, TrafficClass::Online, Body::SlotPressure(pressure));
        }
        task::sleep(PRESSURE_INTERVAL).await;
    }
}

/// Forgets the requests of other hosts while the leader no longer tells them.
async fn forget_stale_use(gateway: Arc<Gateway>, fleet: Arc<GatewayFleet>) {
    loop {
        task::sleep(STALE_USE_INTERVAL).await;
        if fleet.is_leader_silent() {
            fleet.decay_remote_use();
            // The next leader, or the same one, then sends all numbers again.
            gateway.sync_state.uses_revision.store(0, Ordering::Release);
        }
    }
}

/// Sends each crash record that this host publishes to the control hosts at once.
async fn send_crash_records(gateway: Arc<Gateway>) {
    let table = gateway.sync_state.crashes.table().clone();
    let mut published = table.published().listen();
    loop {
        published.await;
        // Created before the report is sent, so that no record is missed meanwhile.
        published = table.published().listen();
        gateway.watch.sync_now();
    }
}

/// Applies each new view of the fleet: first its routes, then its upstreams.
async fn apply_views(
    gateway: Arc<Gateway>,
    fleet: Arc<GatewayFleet>,
    connector: Arc<dyn StreamConnector>,
) {
    let mut upstreams = Arc::new(Vec::new());
    loop {
        let changed = gateway.watch.changed().listen();
        let view = gateway.watch.view();
        if view.routes.version > gateway.routes.load().version() {
            if !view.routes.teams.is_empty() {
                fleet.set_adaptive();
            }
            gateway
                .routes
                .store(Arc::new(RouteIndex::new(view.routes.clone(), &gateway.sync_state.quotas)));
            let is_first = !gateway.sync_state.has_routes.swap(true, Ordering::AcqRel);
            if is_first {
                gateway.watch.sync_now();
            }
        }
        let ready = view.entries.iter().filter(|entry| entry.ready);
        let ready: Vec<String> = ready.map(|entry| entry.host_id.clone()).collect();
        fleet.set_entry_hosts(&gateway.settings.host_id, &view.entries);
        gateway.sync_state.crashes.set_entry_hosts(ready);
        if !Arc::ptr_eq(&upstreams, &view.upstreams) {
            upstreams = view.upstreams.clone();
            fleet.replace(&upstreams);
            let current = fleet.load();
            // Connections to an upstream that gets no more requests are of no use.
            connector.retain_upstreams(&|id| {
                let mut upstreams = current.iter();
                upstreams.any(|upstream| upstream.upstream_id == id && upstream.accepts_work)
            });
        }
        changed.await;
    }
}
