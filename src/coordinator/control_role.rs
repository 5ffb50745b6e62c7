use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use futures::future::select;
use miette::Result;
use prost::Message;

use crate::admission::CrashTable;
use crate::control::unix_ms;
use crate::coordinator::entry_sync::max_attempts;
use crate::coordinator::executor_lag::ExecutorLag;
use crate::coordinator::fleet_relay::FleetRelay;
use crate::coordinator::named_leader::NamedLeader;
use crate::coordinator::not_spread::NotSpread;
use crate::coordinator::operator::call_failure;
use crate::coordinator::report_log::ReportLog;
use crate::coordinator::routes_confirmation::confirm_routes;
use crate::coordinator::routes_holders::RoutesHolders;
use crate::coordinator::shared_quorum_read::SharedQuorumRead;
use crate::coordinator::shared_read_index::SharedReadIndex;
use crate::coordinator::spread_goal::SpreadGoal;
use crate::coordinator::stored_state::{store_routes, store_upstreams, StoredState};
use crate::coordinator::{ItemEnd, ItemPlace, LeaderClient, LeaderHint, OverdueItem, Scheduler};
use crate::directory::{
    CrashExchange, Directory, EntryTable, FleetWatch, FleetWatchOptions, HeartbeatOutcome,
    LeavingTable, OriginTable, Phase, SyncHandler, UpstreamRecord,
};
use crate::ledger::{command, JobHead, Ledger};
use crate::peer::PeerCaller;
use crate::raft::{GroupStatus, LeaderBelief, Priority, ProposeError};
use crate::replication::{KnownControlHost, ReplicaManager, ReplicaManagerOptions};
use crate::schema::ledger::{
    command::Command as Kind, Command, Expire, FinishItems, FinishedItem, Outcome,
};
use crate::schema::peer::{
    call, reply, ControlHostEntry, ControlSync, EntrySync, FailureKind, ReturnItem,
};
use crate::schema::routes::RouteTable;
use crate::settings::FleetHostSettings;
use crate::signal::Signal;
use crate::teams::TeamPaces;
use crate::telemetry::Counters;

/// Interval of the expiry of upstreams and entry hosts.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two passes over the open jobs. Each pass compares all of them, and a new
/// item waits for the next sync call of an entry host anyway.
const LEDGER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the commands that expire old jobs.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest interval at which what is passed on to entry hosts is brought up to date.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval of the same, so that a wave of changes is passed on together.
const MIN_RELAY_INTERVAL: Duration = Duration::from_millis(5);

/// Time for telling other control hosts that an upstream leaves; upstreams wait for a second for the acknowledgement. One
/// host that took note suffices once it is over.
const SPREAD_LIMIT: Duration = Duration::from_millis(600);

/// Options of a [`Coordinator`].
pub struct CoordinatorOptions {
    /// Settings of the host.
    pub settings: FleetHostSettings,
    /// Options of the replica.
    pub replica: ReplicaManagerOptions,
}

/// The control role of one host.
pub struct Coordinator {
    pub(super) settings: FleetHostSettings,
    pub(super) replica: Arc<ReplicaManager<Ledger>>,
    /// Read while this host has no replica.
    empty_ledger: Arc<Ledger>,
    /// Notified after each command that the replica of this host applies.
    pub(super) ledger_changed: Arc<Signal>,
    pub(super) directory: Mutex<Directory>,
    pub(super) entries: Mutex<EntryTable>,
    pub(super) scheduler: Mutex<Scheduler>,
    /// Reports that the scheduler has applied. Locked while the scheduler is locked, never the other way
    /// round.
    pub(super) reports: Mutex<ReportLog>,
    /// Requests of teams with a quota in the current term. Locked while the scheduler is locked, never the other way round.
    pub(super) team_paces: Mutex<TeamPaces>,
    /// Crash records, which entry hosts send to every control host and receive from any.
    pub(super) crashes: Arc<CrashTable>,
    /// Upstreams that said that they leave, as entry hosts and other control hosts report.
    pub(super) leaving: Arc<LeavingTable>,
    /// Where streams began, as entry hosts report.
    pub(super) origins: Mutex<OriginTable>,
    pub(super) relay: FleetRelay,
    pub(super) routes_holders: RoutesHolders,
    watch: Arc<OnceLock<Arc<FleetWatch>>>,
    pub(super) stored: StoredState,
    /// Notified when upstreams that send heartbeats to this host are new, have changed or are silent.
    pub(super) upstreams_changed: Signal,
    leader_client: Arc<LeaderClient>,
    pub(super) read_index: SharedReadIndex,
    pub(super) quorum_read: SharedQuorumRead,
    /// Wakes all pending sync calls, which then check for changes.
    pub(super) changed: Signal,
    /// Notified when an entry host that polls this host is new, has changed or is silent.
    pub(super) entries_changed: Signal,
    /// Wakes the pending sync call of one entry host, by host id.
    pub(super) entry_host_signals: Mutex<HashMap<String, Arc<Signal>>>,
    pub(super) started: Instant,
    pub(super) executor_lag: ExecutorLag,
    /// Longest time without an event of the items that the last audit compared.
    longest_idle_ms: AtomicU64,
    /// Items that audits found in no table of the scheduler.
    missing_items: AtomicU64,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

/// Locates the leader through the replica of this host or, without one, through the other control hosts.
struct ControlLeaderHint {
    replica: Arc<ReplicaManager<Ledger>>,
    watch: Arc<OnceLock<Arc<FleetWatch>>>,
    own_address: String,
}

impl LeaderHint for ControlLeaderHint {
    fn leader(&self) -> Option<Arc<LeaderBelief>> {
        let own = self.replica.status().and_then(|status| {
            let address = status.leader_address.clone()?;
            let (term, source) = (status.term, self.own_address.clone());
            Some(Arc::new(LeaderBelief { address, term, source, heard_at: Instant::now() }))
        });
        let heard = self.watch.get().and_then(|watch| watch.leader());
        LeaderBelief::preferred(own, heard)
    }

    fn replica_addresses(&self) -> Vec<String> {
        let hosts = self.replica.control_hosts().into_iter();
        hosts.filter(|host| host.has_replica).map(|host| host.peer_address).collect()
    }

    fn control_addresses(&self) -> Vec<String> {
        self.replica.control_hosts().into_iter().map(|host| host.peer_address).collect()
    }
}

/// Sync handler of a control host, which exchanges only crash records with the other control hosts.
struct Observer {
    crash_exchange: CrashExchange,
    replica: Arc<ReplicaManager<Ledger>>,
}

impl SyncHandler for Observer {
    fn fill_request(&self, to_address: &str, sync: &mut EntrySync) {
        self.crash_exchange.fill_request(to_address, sync);
    }

    fn handle_reply(&self, from_address: &str, answer: &ControlSync) {
        self.crash_exchange.handle_reply(from_address, answer);
    }

    fn handle_superseded_reply(&self, _from_address: &str, answer: &ControlSync) {
        self.crash_exchange.handle_superseded_reply(answer);
    }

    fn applies_routes(&self) -> bool {
        self.replica.group().is_some()
    }
}

impl Coordinator {
    /// Opens the replica and starts the background tasks of the control role.
    ///
    /// # Errors
    /// Fails if the data folder can't be read.
    pub fn spawn(options: CoordinatorOptions, caller: Arc<dyn PeerCaller>) -> Result<Arc<Self>> {
        let CoordinatorOptions { settings, replica } = options;
        let ledger_changed = Arc::<Signal>::default();
        let changed = ledger_changed.clone();
        let new_ledger = Box::new(move || Arc::new(Ledger::open(changed.clone())));
        let replica = ReplicaManager::open(replica, new_ledger, caller.clone())?;
        let watch = Arc::new(OnceLock::new());
        let hint = Arc::new(ControlLeaderHint {
            replica: replica.clone(),
            watch: watch.clone(),
            own_address: settings.peer_address.to_string(),
        });
        let leader_client = Arc::new(LeaderClient::open_for_operators(caller.clone(), hint));
        let leaving = Arc::new(LeavingTable::default());
        let interval = Duration::from_millis(settings.upstream_heartbeat_ms);
        let directory = Directory::new(rand::random_range(1..u64::MAX), interval);
        let watch_options = FleetWatchOptions {
            host_id: settings.host_id.clone(),
            zone: settings.zone.clone(),
            zone_regions: settings.zone_regions.clone(),
            polls_all: true,
            leaving: leaving.clone(),
            seed_addresses: settings.seed_addresses.iter().map(ToString::to_string).collect(),
            own_address: settings.peer_address.to_string(),
            directory_timeout: directory.heartbeat_timeout(),
        };
        let crashes = Arc::new(CrashTable::open());
        let team_paces = TeamPaces::open(settings.quota_tolerance_requests);
        let stored = StoredState::open(&settings.data_folder);
        let coordinator = Arc::new(Self {
            settings,
            quorum_read: SharedQuorumRead::open(replica.clone(), caller.clone()),
            replica,
            empty_ledger: Arc::default(),
            ledger_changed,
            directory: Mutex::new(directory),
            entries: Mutex::default(),
            scheduler: Mutex::default(),
            reports: Mutex::default(),
            team_paces: Mutex::new(team_paces),
            crashes: crashes.clone(),
            leaving,
            origins: Mutex::default(),
            relay: FleetRelay::new(),
            routes_holders: RoutesHolders::default(),
            watch,
            stored,
            upstreams_changed: Signal::default(),
            read_index: SharedReadIndex::open(leader_client.clone()),
            leader_client,
            changed: Signal::default(),
            entries_changed: Signal::default(),
            entry_host_signals: Mutex::default(),
            started: Instant::now(),
            executor_lag: ExecutorLag::default(),
            longest_idle_ms: AtomicU64::new(0),
            missing_items: AtomicU64::new(0),
            tasks: Mutex::default(),
        });
        let observer = Observer {
            crash_exchange: CrashExchange::open(crashes),
            replica: coordinator.replica.clone(),
        };
        let watch = FleetWatch::spawn(watch_options, caller, Arc::new(observer));
        let _ = coordinator.watch.set(watch);
        coordinator.restore_upstreams();
        let tasks = vec![
            task::spawn(tick(coordinator.clone())),
            task::spawn(expire_jobs(coordinator.clone())),
            task::spawn(watch_ledger(coordinator.clone())),
            task::spawn(relay_changes(coordinator.clone())),
            task::spawn(confirm_routes(coordinator.clone())),
            task::spawn(store_routes(coordinator.clone())),
            task::spawn(store_upstreams(coordinator.clone())),
        ];
        *lock(&coordinator.tasks) = tasks;
        Ok(coordinator)
    }

    /// The replica of this host.
    pub fn replica(&self) -> &Arc<ReplicaManager<Ledger>> {
        &self.replica
    }

    /// The ledger of this host's replica; an empty one while the host has none.
    pub fn ledger(&self) -> Arc<Ledger> {
        let running = self.replica.running();
        running.map_or_else(|| self.empty_ledger.clone(), |running| running.machine.clone())
    }

    /// Target number of voters in the group.
    pub(super) fn target_voters(&self) -> usize {
        self.settings.target_voters()
    }

    pub(super) fn leader_client(&self) -> &LeaderClient {
        &self.leader_client
    }

    /// Peer address of this host.
    pub(super) fn peer_address(&self) -> String {
        self.settings.peer_address.to_string()
    }

    /// Region of an availability zone; empty for an unknown zone.
    pub fn region_of(&self, zone: &str) -> &str {
        self.settings.region_of(zone)
    }

    /// Records a heartbeat of an upstream and publishes the directory if the upstream has changed. One that drains is
    /// told to other control hosts as well.
    ///
    /// # Errors
    /// Fails with [`NotSpread`] if none of them took note of the drain in time.
    pub async fn record_upstream_heartbeat(
        &self,
        record: UpstreamRecord,
    ) -> Result<HeartbeatOutcome, NotSpread> {
        let (id, phase, sequence) = (record.upstream_id.clone(), record.phase, record.sequence);
        let started_at_unix_ms = record.started_at_unix_ms;
        let change = lock(&self.directory).record_heartbeat(record, Instant::now());
        if change == HeartbeatOutcome::Changed {
            log::info!(event = "upstream_announced", upstream = id.as_str(), sequence = sequence;
                "{phase:?}");
            self.publish_directory();
        }
        if phase == Phase::Draining {
            self.spread_leaving(&id, started_at_unix_ms).await?;
        }
        Ok(change)
    }

    /// Deregisters an upstream that has announced that it leaves, and tells other control hosts. `started_at_unix_ms`
    /// is 0 if its start is unknown.
    ///
    /// # Errors
    /// Fails with [`NotSpread`] if none of them took note in time.
    pub async fn deregister_upstream(
        &self,
        upstream_id: &str,
        started_at_unix_ms: u64,
    ) -> Result<(), NotSpread> {
        // Its heartbeats may have gone to other control hosts.
        let elsewhere = || self.watch.get()?.view().started_at_unix_ms(upstream_id);
        let here = || lock(&self.directory).get(upstream_id).map(|it| it.started_at_unix_ms);
        let started_at_unix_ms = match started_at_unix_ms {
            0 => elsewhere().max(here()).unwrap_or(0),
            reported => reported,
        };
        lock(&self.directory).deregister(
            upstream_id,
            started_at_unix_ms,
            unix_ms(),
            Instant::now(),
        );
        log::info!(event = "upstream_left", upstream = upstream_id; "deregistered by the upstream");
        self.publish_directory();
        match started_at_unix_ms {
            // No host knows the upstream, so none sends requests to it.
            0 => Ok(()),
            started => self.spread_leaving(upstream_id, started).await,
        }
    }

    /// Publishes the state of the replica and of the scheduler as gauges.
    pub fn publish_gauges(&self, counters: &Counters) {
        let (waiting, running) = lock(&self.scheduler).item_counts();
        counters.gauge("items_waiting", waiting as u64);
        counters.gauge("items_running", running as u64);
        counters.gauge("items_longest_idle_ms", self.longest_idle_ms.load(Ordering::Relaxed));
        counters.gauge("items_missing", self.missing_items.load(Ordering::Relaxed));
        counters.gauge("executor_lag_ms", self.executor_lag.get().as_millis() as u64);
        counters.gauge("routes_version", self.routes().version);
        let oldest = lock(&self.entries).oldest_routes_version();
        counters.gauge("entry_routes_version_min", oldest.unwrap_or(self.routes().version));
        counters.gauge("entry_hosts", self.relay.entry_host_count() as u64);
        counters.gauge("upstreams", self.upstreams().len() as u64);
        let status = self.replica.status();
        let votes = |it: &GroupStatus| it.may_vote && it.replicas.is_voter(it.replica_id);
        counters.gauge("raft_may_vote", status.as_deref().is_some_and(votes).into());
        counters.gauge("raft_target_voters", self.replica.target_voters() as u64);
        let Some(status) = status else { return };
        let voters = status.replicas.voters().count();
        counters.gauge("raft_voters", voters as u64);
        counters.gauge("raft_learners", (status.replicas.replicas.len() - voters) as u64);
        counters.gauge("raft_is_leader", status.is_leader.into());
        counters.gauge("raft_term", status.term);
        counters.gauge("raft_commit_index", status.commit_index);
        counters.gauge("raft_applied_index", status.applied_index);
        counters.gauge("raft_data_bytes", status.data_bytes);
        counters.gauge("raft_log_bytes", status.log_bytes);
        counters.gauge("raft_snapshot_bytes", status.snapshot_bytes);
        counters.gauge("raft_state_bytes", status.state_bytes);
        counters.gauge("raft_sent_entry_bytes", status.sent_entry_bytes);
        counters.gauge("raft_sent_snapshot_bytes", status.sent_snapshot_bytes);
        let missing_bytes = status.followers.iter().map(|follower| follower.missing_bytes);
        counters.gauge("raft_missing_bytes_max", missing_bytes.max().unwrap_or(0));
        counters.gauge("raft_is_suspended", status.is_stopped.into());
        counters.gauge("raft_storage_failures", status.storage_failures);
        counters.gauge("raft_oldest_write_ms", status.oldest_write_ms);
        counters.gauge("raft_oldest_unapplied_ms", status.oldest_unapplied_ms);
        counters.gauge("raft_confirmed_age_ms", status.confirmed_age_ms.unwrap_or(0));
        counters.gauge("raft_driver_late_ms", status.driver_late_ms);
        counters.gauge("raft_driver_pass_ms", status.driver_pass_ms);
    }

    /// Handles a call of another host. Returns `None` if the control role does not serve the call.
    pub async fn handle(self: &Arc<Self>, call: call::Call) -> Option<reply::Reply> {
        Some(match call {
            call::Call::EntrySync(sync) => reply::Reply::ControlSync(self.handle_sync(sync).await),
            call::Call::LedgerCommand(command) => self.propose(command).await,
            call::Call::LedgerQuery(query) => self.query(query).await,
            call::Call::ReadIndex(_) => self.read_index().await,
            call::Call::LogPosition(_) => self.log_position().await,
            call::Call::FindStreamOrigin(find) => {
                reply::Reply::FoundStreamOrigin(self.find_stream_origin(&find))
            }
            call::Call::ReturnItem(item) => self.return_item(item).await,
            call::Call::RetireHost(retire) => match self.leads() {
                true => self.retire_as_leader(&retire.host_id).await,
                false => self.not_leader_failure(),
            },
            _ => return None,
        })
    }

    /// Stops the background tasks and the replica, which first transfers its leadership.
    pub async fn close(&self) {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        for task in tasks {
            task.cancel().await;
        }
        self.replica.close().await;
    }

    /// True while the replica of this host is the leader.
    pub fn leads(&self) -> bool {
        self.replica.status().is_some_and(|status| status.is_leader)
    }

    pub(super) fn not_leader_failure(&self) -> reply::Reply {
        let message = match self.replica.running() {
            Some(_) => "this replica does not lead",
            None => "this host runs no replica",
        };
        self.call_failure(FailureKind::NotLeader, message)
    }

    /// Reply for a call that could not be served. Names the leader, so that the caller can turn to it.
    pub(super) fn call_failure(&self, kind: FailureKind, message: &str) -> reply::Reply {
        call_failure(kind, message, self.named_leader())
    }

    /// The leader as far as this host knows.
    pub(super) fn named_leader(&self) -> NamedLeader {
        let status = self.replica.status().unwrap_or_default();
        let heard = self.watch.get().and_then(|watch| watch.leader());
        // What others say of the leader is not passed on: hosts that repeat each other would keep a lost leader alive.
        let heard = heard.filter(|leader| leader.is_direct());
        let heard = heard.filter(|leader| leader.term == 0 || leader.term >= status.term);
        if let Some(leader) = heard.as_ref().filter(|leader| leader.term > status.term) {
            return NamedLeader { address: leader.address.clone(), term: leader.term };
        }
        let own = match status.is_leader {
            true => Some(self.settings.peer_address.to_string()),
            false => status.leader_address.clone(),
        };
        if let Some(address) = own {
            return NamedLeader { address, term: status.term };
        }
        match heard {
            Some(leader) => NamedLeader { address: leader.address.clone(), term: leader.term },
            None => NamedLeader { address: String::new(), term: status.term },
        }
    }

    /// The view of the other control hosts; `None` only while this one is being created.
    pub(super) fn watch(&self) -> Option<&Arc<FleetWatch>> {
        self.watch.get()
    }

    /// The newest routes in force that this host knows: from its ledger, from another control host or from
    /// before its restart.
    pub(super) fn routes(&self) -> Arc<RouteTable> {
        let own = self.ledger().routes();
        let heard = self.watch.get().map(|watch| watch.view().routes.clone());
        let others = heard.into_iter().chain([self.stored.routes.clone()]);
        others
            .fold(own, |newest, other| if other.version > newest.version { other } else { newest })
    }

    /// Brings what is passed on to entry hosts up to date, and wakes pending sync calls if it changed.
    fn update_relay(&self, known_entries_revision: &mut u64, known_leader: &mut NamedLeader) {
        let Some(watch) = self.watch.get() else { return };
        let entries = {
            let entries = lock(&self.entries);
            let revision = entries.list().revision();
            let is_new = std::mem::replace(known_entries_revision, revision) != revision;
            is_new.then(|| entries.list().hosts().cloned().collect())
        };
        let mut changed = entries.is_some();
        if let Some(entries) = entries {
            watch.update_local_entries(entries);
        }
        let own_address = self.settings.peer_address.to_string();
        let control_hosts = self.replica.control_hosts().into_iter().map(|host| {
            let KnownControlHost { peer_address, zone, has_replica } = host;
            let is_reached = peer_address == own_address || watch.reaches(&peer_address);
            ControlHostEntry { peer_address, zone, is_reached, has_replica }
        });
        changed |= self.relay.update(&watch.view(), control_hosts.collect(), Instant::now());
        let leader = self.named_leader();
        changed |= !known_leader.is_same(&leader);
        *known_leader = leader;
        if changed {
            self.changed.notify();
        }
    }

    /// Proposes a command to the group and waits for its outcome. Only the leader can do so.
    ///
    /// A command that repeats an applied one is answered at once: while disks are slow, a commit outlasts the time of a
    /// call, and each repeat would start over.
    pub(super) async fn propose(&self, mut command: Command) -> reply::Reply {
        let Some(replica) = self.replica.running() else { return self.not_leader_failure() };
        let group = replica.group.clone();
        // Callers take a host that gives an outcome for the leader.
        if group.status().is_leader {
            if let Some(outcome) = replica.machine.outcome_of_repeat(&command) {
                return reply::Reply::LedgerOutcome(outcome);
            }
        }
        command.proposed_at_unix_ms = unix_ms();
        let finished = match &command.command {
            Some(Kind::FinishItems(finish)) => {
                finish.items.iter().map(|item| (item.job_id.clone(), item.item)).collect()
            }
            _ => Vec::new(),
        };
        let priority = priority(&command);
        let proposed = group.propose(command.encode_to_vec().into(), priority).await;
        let outcome = match proposed.map(Outcome::decode) {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                return self.call_failure(FailureKind::CommitUnknown, &error.to_string())
            }
            Err(ProposeError::NotLeader { .. }) => return self.not_leader_failure(),
            Err(error @ ProposeError::Unknown) => {
                return self.call_failure(FailureKind::CommitUnknown, &error.to_string());
            }
            Err(error @ ProposeError::Overloaded) => {
                return self.call_failure(FailureKind::Overloaded, &error.to_string());
            }
            Err(error @ ProposeError::Storage(_)) => {
                return self.call_failure(FailureKind::Storage, &error.to_string());
            }
        };
        let mut scheduler = lock(&self.scheduler);
        for (job_id, item) in finished {
            scheduler.mark_finished(&job_id, item);
        }
        reply::Reply::LedgerOutcome(outcome)
    }

    async fn return_item(&self, item: ReturnItem) -> reply::Reply {
        let Some(group) = self.replica.group() else { return self.not_leader_failure() };
        // The entry host forgets the item once it is acknowledged, so a leader that was replaced must not
        // do so.
        if let Err(refusal) = self.confirm_leadership(&group).await {
            return refusal;
        }
        let routes = self.ledger().routes();
        let end = {
            let mut scheduler = self.current_scheduler();
            if !lock(&self.reports).has_term() {
                return self.not_leader_failure();
            }
            let max_attempts = |job: &JobHead| max_attempts(job, &routes.routes);
            scheduler.handle_return(&item, &max_attempts, Instant::now())
        };
        log::info!(event = "item_returned", job = item.job_id.as_str(), item = item.item,
            assignment = item.assignment_id, last_event = item.last_event_id; "{:?}, {end:?}",
            item.reason());
        if end != ItemEnd::GivenUp {
            return reply::Reply::Done(Default::default());
        }
        self.give_up(vec![(item.job_id, item.item)]).await
    }

    /// Ends items that have used up their attempts, given by job id and item.
    pub(super) async fn give_up(&self, items: Vec<(String, u32)>) -> reply::Reply {
        let failed =
            |(job_id, item)| FinishedItem { job_id, item, failed: true, text: Default::default() };
        let items = items.into_iter().map(failed).collect();
        self.propose(command(Kind::FinishItems(FinishItems { items }))).await
    }

    pub(super) fn upstreams(&self) -> Arc<Vec<UpstreamRecord>> {
        self.watch.get().map(|watch| watch.view().upstreams.clone()).unwrap_or_default()
    }

    pub(super) fn publish_directory(&self) {
        self.merge_own_directory();
        self.changed.notify();
        self.upstreams_changed.notify();
    }

    /// Tells the other control hosts of upstreams that an entry host saw leave.
    pub(super) fn record_leaving(&self, sync: &EntrySync) {
        let (now, mut is_new) = (Instant::now(), false);
        for upstream in &sync.leaving {
            let (id, started) = (upstream.upstream_id.as_str(), upstream.started_at_unix_ms);
            if self.leaving.insert(id, started, now) {
                log::info!(event = "upstream_leaves", upstream = id;
                    "another host reports that the upstream leaves");
                is_new = true;
            }
        }
        // Every control host is told by the one that heard of it from an entry host.
        if let Some(watch) = self.watch.get().filter(|_| is_new && sync.entry.is_some()) {
            watch.sync_now();
        }
    }

    /// Tells the other control hosts that an upstream leaves, and waits until some of them have taken note: the
    /// upstream must get no requests even if this host is lost right after the acknowledgement.
    async fn spread_leaving(
        &self,
        upstream_id: &str,
        started_at_unix_ms: u64,
    ) -> Result<(), NotSpread> {
        let Some(watch) = self.watch.get() else { return Err(NotSpread) };
        let goal = self.spread_goal();
        let told = || self.leaving.told(upstream_id, started_at_unix_ms);
        if !goal.is_empty() && goal.is_met(&told()) {
            return Ok(());
        }
        self.leaving.repeat(upstream_id, started_at_unix_ms, Instant::now());
        watch.sync_now();
        if goal.is_empty() && self.is_whole_group() {
            return Ok(());
        }
        let until = Instant::now() + SPREAD_LIMIT;
        loop {
            let changed = self.leaving.told_signal().listen();
            let left = until.saturating_duration_since(Instant::now());
            let told = told();
            let is_enough = !told.is_empty() && (goal.is_met(&told) || left.is_zero());
            if is_enough {
                return Ok(());
            }
            if left.is_zero() {
                break;
            }
            Signal::wait(changed, left).await;
        }
        log::warn!(event = "leaving_not_spread", upstream = upstream_id;
            "no other control host took note that the upstream leaves");
        Err(NotSpread)
    }

    /// Which others must know what this host acknowledges, of those that it reaches.
    pub(super) fn spread_goal(&self) -> SpreadGoal {
        let own_address = self.peer_address();
        let reaches = |address: &str| self.watch.get().is_some_and(|watch| watch.reaches(address));
        let mut reached = self.replica.control_hosts();
        reached.retain(|KnownControlHost { peer_address, .. }| {
            *peer_address != own_address && reaches(peer_address)
        });
        SpreadGoal::new(&reached, &self.settings.zone)
    }

    /// True if the replica of this host is the only one of its group.
    pub(super) fn is_whole_group(&self) -> bool {
        self.replica.status().is_some_and(|status| status.replicas.replicas.len() == 1)
    }

    /// Passes the directory of this host to the fleet watch, which merges it with those of the
    /// other control hosts.
    fn merge_own_directory(&self) {
        let Some(watch) = self.watch.get() else { return };
        let (known, changes) = {
            let directory = lock(&self.directory);
            (directory.version(), directory.changes_since(0, 0))
        };
        watch.update_local_directory(known, changes, self.started.elapsed());
    }

    /// Locks the scheduler, after it has started or ended its term if the leadership has changed.
    pub(super) fn current_scheduler(&self) -> MutexGuard<'_, Scheduler> {
        let mut scheduler = lock(&self.scheduler);
        // Read under the lock: an older status would take the scheduler back to a term that has ended.
        let status = self.replica.status().filter(|status| status.is_leader);
        let term = status.map(|status| status.term);
        if !lock(&self.reports).begin(term) {
            return scheduler;
        }
        *lock(&self.team_paces) = TeamPaces::open(self.settings.quota_tolerance_requests);
        let (base_id, now) = (unix_ms() << 12, Instant::now());
        // A replica that lost and won the leadership between two calls starts anew: another leader may
        // have assigned and finished items meanwhile.
        scheduler.set_leading(false, base_id, now);
        if scheduler.set_leading(term.is_some(), base_id, now) {
            scheduler.reconcile(&self.ledger().open_jobs(), now);
            log::info!(event = "term_started", waiting = scheduler.item_counts().0;
                "this host is now the leader");
        }
        scheduler
    }

    fn tick_once(&self) {
        let now = Instant::now();
        let leads = self.leads();
        drop(self.current_scheduler());
        let expired = lock(&self.directory).expire(now);
        for upstream in &expired {
            log::warn!(event = "upstream_silent", upstream = upstream.as_str();
                "heartbeats stopped");
        }
        if lock(&self.entries).expire(now) {
            self.entries_changed.notify();
        }
        if leads {
            let view = self.watch.get().map(|watch| watch.view());
            let entry_hosts =
                view.map_or(0, |view| view.entries.iter().filter(|entry| entry.ready).count());
            lock(&self.team_paces).record_silence(entry_hosts, now);
            for host in lock(&self.scheduler).expire_entry_hosts(now) {
                log::warn!(event = "entry_host_silent", host = host.as_str();
                    "reports stopped; its items are requeued");
            }
        }
        if !expired.is_empty() {
            self.publish_directory();
        }
    }

    fn reconcile_scheduler(&self) {
        if !self.leads() {
            return;
        }
        let mut scheduler = self.current_scheduler();
        // Read under the lock: an older list that is applied after a newer one would drop new jobs.
        let open = self.ledger().open_jobs();
        scheduler.reconcile(&open, Instant::now());
    }

    /// Wakes pending sync calls if the ledger has other routes than those of the `known` version.
    fn announce_applied_routes(&self, known: &mut u64) {
        let routes = self.ledger().routes();
        let version = routes.version;
        if version == *known {
            return;
        }
        log::info!(event = "routes_applied", version = version, before = *known;
            "route table applied");
        *known = version;
        if let Some(watch) = self.watch.get() {
            watch.update_local_routes(routes);
            // Tells the control host that waits to acknowledge the change that this one has it.
            watch.sync_now();
        }
        self.changed.notify();
    }

    /// Compares the scheduler with the ledger, and logs items that it did not hold and those that make no
    /// progress.
    fn audit_scheduler(&self) {
        let mut scheduler = self.current_scheduler();
        if !scheduler.is_leading() {
            self.longest_idle_ms.store(0, Ordering::Relaxed);
            return;
        }
        let open = self.ledger().open_jobs();
        let audit = self.with_scheduler_input(Instant::now(), |input| {
            scheduler.retain_speeds(input);
            scheduler.audit(&open, input)
        });
        drop(scheduler);
        self.longest_idle_ms.store(audit.longest_idle_time.as_millis() as u64, Ordering::Relaxed);
        self.missing_items.fetch_add(audit.missing.len() as u64, Ordering::Relaxed);
        for (job_id, item) in &audit.missing {
            log::error!(event = "item_missing", job = &**job_id, item = *item;
                "the scheduler did not hold the item; queued again");
        }
        for OverdueItem { job_id, item, idle_time, place } in &audit.overdue {
            let (job, idle_ms) = (&**job_id, idle_time.as_millis() as u64);
            match place {
                ItemPlace::Waits(reason) => {
                    log::warn!(event = "item_overdue", job = job, item = *item, idle_ms = idle_ms;
                        "waits: {reason}");
                }
                ItemPlace::Runs { assignment_id, host_id, upstream_id, run_time } => {
                    log::warn!(event = "item_overdue", job = job, item = *item, idle_ms = idle_ms,
                        assignment = *assignment_id, host = host_id.as_str(),
                        upstream = upstream_id.as_str(), run_ms = run_time.as_millis() as u64;
                        "assigned without an end");
                }
            }
        }
    }
}

async fn tick(coordinator: Arc<Coordinator>) {
    let mut ticks: u32 = 0;
    loop {
        coordinator.tick_once();
        // The fleet watch treats a directory as lost unless it is passed on again from time to
        // time.
        ticks = ticks.wrapping_add(1);
        if ticks % 20 == 1 {
            coordinator.merge_own_directory();
            coordinator.reconcile_scheduler();
            coordinator.audit_scheduler();
        }
        let due = Instant::now() + TICK_INTERVAL;
        task::sleep(TICK_INTERVAL).await;
        coordinator.executor_lag.record(due.elapsed());
    }
}

/// Reconciles the scheduler with each change of the ledger, and wakes pending sync calls when the
/// routes have changed.
async fn watch_ledger(coordinator: Arc<Coordinator>) {
    let mut version = 0;
    loop {
        let changed = coordinator.ledger_changed.listen();
        coordinator.reconcile_scheduler();
        coordinator.announce_applied_routes(&mut version);
        changed.await;
        // The acknowledgement of the routes waits until other hosts have them.
        coordinator.announce_applied_routes(&mut version);
        // Commands arrive in batches; one pass after each batch is enough.
        task::sleep(LEDGER_CHECK_INTERVAL).await;
    }
}

/// Passes changes of the fleet on to the entry hosts whose sync calls are pending.
async fn relay_changes(coordinator: Arc<Coordinator>) {
    let (mut entries_revision, mut leader) = (0, NamedLeader::default());
    while let Some(watch) = coordinator.watch.get() {
        let changed = select(watch.changed().listen(), coordinator.entries_changed.listen());
        coordinator.update_relay(&mut entries_revision, &mut leader);
        Signal::wait(changed, RELAY_INTERVAL).await;
        task::sleep(MIN_RELAY_INTERVAL).await;
    }
}

async fn expire_jobs(coordinator: Arc<Coordinator>) {
    loop {
        task::sleep(EXPIRE_INTERVAL).await;
        if !coordinator.leads() || !coordinator.ledger().has_jobs() {
            continue;
        }
        let keep_ms = coordinator.settings.job_retention_ms;
        let reply = coordinator.propose(command(Kind::Expire(Expire { keep_ms }))).await;
        if let reply::Reply::Failure(failure) = reply {
            log::warn!(event = "expire_failed"; "{}", failure.message);
        }
    }
}

fn priority(command: &Command) -> Priority {
    match &command.command {
        Some(Kind::SubmitJob(_)) => Priority::Bulk,
        Some(Kind::FinishItems(_) | Kind::Expire(_)) => Priority::Completion,
        _ => Priority::Online,
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
