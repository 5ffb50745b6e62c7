use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use async_std::task;
use futures::future::{select, Either};
use futures::stream::{FuturesUnordered, StreamExt};

use crate::admission::rendezvous_rank;
use crate::boot_instant::BootInstant;
use crate::configuration::{Confirmation, LastConfirmation};
use crate::directory::control_host::ControlHost;
use crate::directory::sync_calls::{ReplyOrder, SyncCall, SyncCalls};
use crate::directory::{
    add_others, choose_polled, list_live, newest_records, Distance, FleetView, LeavingTable,
    OriginKeeper, PollCandidate, RoutesFetch, SyncHandler, UpstreamRecord,
};
use crate::peer::{PeerCaller, TrafficClass};
use crate::raft::{LeaderBelief, LeaderTracker};
use crate::schema::peer::{
    call, reply, Call, ControlHostEntry, ControlSync, EntryHost, EntrySync, Reply,
    RoutesConfirmation, UpstreamEntry,
};
use crate::schema::routes::RouteTable;
use crate::signal::Signal;

/// Longest time that a control host may delay its reply until something changes (long polling).
const POLL_WAIT_MS: u32 = 1_000;
/// The same for the leader. It is short so that the leader replies several times a second and its
/// failure is detected early.
const LEADER_POLL_WAIT_MS: u32 = 300;
/// Time allowed for a reply in addition to the long-poll wait. It covers two round trips between
/// regions and a busy host.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// Delay before a failed sync request is repeated; short, so that a restarted control host is
/// detected at once.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a failing control host is no longer polled, if it is not a seed and no
/// answering control host lists it.
const FORGET_TIMEOUT: Duration = Duration::from_secs(20);
/// Age of the last confirmation of the routes at the polled control hosts from which on others are polled as well, and
/// time for which these may confirm nothing until they are replaced.
/// It leaves time for their replies within the 2.5 s that a platform may allow until routes are in force.
const ASK_OTHERS_AGE: Duration = Duration::from_millis(1_500);
/// Longest interval at which the watch chooses the control hosts to poll and drops expired
/// upstreams. Each new view also has it choose again.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval of the same, so that a wave of new views costs little.
const MIN_SUPERVISION_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a [`FleetWatch`].
pub struct FleetWatchOptions {
    /// Name of this host.
    pub host_id: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of each availability zone.
    pub zone_regions: HashMap<String, String>,
    /// Peer addresses of the control hosts that are polled first.
    pub seed_addresses: Vec<String>,
    /// Peer address of this host, which is not polled.
    pub own_address: String,
    /// Time without a reply after which the directory of a control host counts as stale; equal to
    /// the time without a heartbeat after which a control host marks an upstream as silent.
    pub directory_timeout: Duration,
    /// Poll every control host, as a control host does, which passes on what it hears.
    pub polls_all: bool,
    /// Upstreams that said that they leave.
    pub leaving: Arc<LeavingTable>,
}

/// Polls control hosts for changes of their directories and publishes the merged view.
pub struct FleetWatch {
    options: FleetWatchOptions,
    caller: Arc<dyn PeerCaller>,
    sync_handler: Arc<dyn SyncHandler>,
    view: ArcSwap<FleetView>,
    /// How current the routes of the view are.
    routes_confirmation: LastConfirmation,
    /// The leader, with the time of the last reply that said so.
    leader: ArcSwapOption<LeaderBelief>,
    inner: Mutex<Inner>,
    /// Notified after each new view.
    changed: Signal,
    /// Notified when this host has to report a change without waiting for the pending replies.
    sync_requested: Signal,
}

struct Inner {
    /// Control hosts by their peer addresses.
    control_hosts: BTreeMap<String, ControlHost>,
    /// Number of the task that polls an address. A task whose number is not listed any more ends.
    polling_tasks: HashMap<String, u64>,
    last_task: u64,
    leaders: LeaderTracker,
    routes_fetch: RoutesFetch,
}

/// Parts of the view that a change may affect.
#[derive(Clone, Copy, Debug, Default)]
struct Affected {
    upstreams: bool,
    entries: bool,
    other: bool,
}

impl Affected {
    fn any(self) -> bool {
        self.upstreams || self.entries || self.other
    }
}

impl FleetWatch {
    /// Starts to poll the seeds and the control hosts that they list.
    pub fn spawn(
        options: FleetWatchOptions,
        caller: Arc<dyn PeerCaller>,
        sync_handler: Arc<dyn SyncHandler>,
    ) -> Arc<Self> {
        let routes_fetch = match options.polls_all {
            true => RoutesFetch::of_control_host(),
            false => RoutesFetch::of_entry_host(),
        };
        let inner = Inner {
            control_hosts: BTreeMap::new(),
            polling_tasks: HashMap::new(),
            last_task: 0,
            leaders: LeaderTracker::default(),
            routes_fetch,
        };
        let watch = Arc::new(Self {
            options,
            caller,
            sync_handler,
            view: ArcSwap::from_pointee(FleetView::default()),
            routes_confirmation: LastConfirmation::default(),
            leader: ArcSwapOption::empty(),
            inner: Mutex::new(inner),
            changed: Signal::default(),
            sync_requested: Signal::default(),
        });
        task::spawn(supervise(watch.clone()));
        task::spawn(spread_leaving(watch.clone()));
        watch
    }

    /// The current view.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// The last confirmation of the newest routes, by this host or another one.
    pub fn routes_confirmation(&self) -> &LastConfirmation {
        &self.routes_confirmation
    }

    /// The leader, if one is known; of the same age or newer than that of the view.
    pub fn leader(&self) -> Option<Arc<LeaderBelief>> {
        self.leader.load_full()
    }

    /// Notified after each new view.
    pub fn changed(&self) -> &Signal {
        &self.changed
    }

    /// Sends a sync request to every polled control host without waiting for the pending long polls, because
    /// the report of this host has changed.
    pub fn sync_now(&self) {
        self.sync_requested.notify();
    }

    /// Applies changes of the directory that this control host itself keeps.
    pub fn update_local_directory(
        &self,
        version: (u64, u64),
        changes: Vec<UpstreamEntry>,
        uptime: Duration,
    ) {
        let mut inner = self.lock();
        let control_host = inner.control_hosts.entry(self.options.own_address.clone()).or_default();
        if control_host.source.update(version, changes, uptime, Instant::now()) {
            self.publish(&inner, Affected { upstreams: true, ..Affected::default() }, None);
        }
    }

    /// Replaces the entry hosts that poll this control host itself.
    pub fn update_local_entries(&self, hosts: Vec<Arc<EntryHost>>) {
        let mut inner = self.lock();
        let control_host = inner.control_hosts.entry(self.options.own_address.clone()).or_default();
        control_host.replace_entries(hosts);
        self.publish(&inner, Affected { entries: true, ..Affected::default() }, None);
    }

    /// Applies routes that the replica of this host has applied.
    pub fn update_local_routes(&self, routes: Arc<RouteTable>) {
        let mut inner = self.lock();
        let version = routes.version;
        let source = self.options.own_address.as_str();
        let affected = Affected { other: true, ..Affected::default() };
        self.publish(&inner, affected, Some((source, routes)));
        inner.routes_fetch.record(0, version, Instant::now());
    }

    /// Peer addresses of all known control hosts except this one.
    pub fn control_addresses(&self) -> Vec<String> {
        self.view.load().control_addresses.to_vec()
    }

    /// True if the control host at this address answers this host's sync calls.
    pub fn reaches(&self, address: &str) -> bool {
        let inner = self.lock();
        inner.control_hosts.get(address).is_some_and(ControlHost::is_reached)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sync_request(&self, address: &str) -> EntrySync {
        let view = self.view.load();
        let inner = self.lock();
        let mut sync = EntrySync {
            routes_version: view.routes.version,
            wait_ms: POLL_WAIT_MS,
            has_report: self
                .leader()
                .is_none_or(|leader| leader.address == address || !leader.is_direct()),
            leaving: self.options.leaving.recent(Instant::now()),
            ..EntrySync::default()
        };
        if self.options.polls_all {
            sync.sender_address = self.options.own_address.clone();
        }
        if let Some(control_host) = inner.control_hosts.get(address) {
            control_host.fill_request(&mut sync);
            sync.has_report |= control_host.is_leader;
            sync.wait_ms = if control_host.is_leader { LEADER_POLL_WAIT_MS } else { POLL_WAIT_MS };
        }
        sync.omits_routes = self.omits_routes(&inner, address, Instant::now());
        sync.heard_routes_version = inner.routes_fetch.heard_version();
        drop(inner);
        self.sync_handler.fill_request(address, &mut sync);
        sync
    }

    /// True if the control host at `address` must not send the routes: they come from near hosts, or from the replica
    /// of this host, unless these are late.
    fn omits_routes(&self, inner: &Inner, address: &str, now: Instant) -> bool {
        let applies_routes = self.sync_handler.applies_routes();
        let is_far = |address: &str| self.distance(zone_of(inner, address)) == Distance::Remote;
        if !is_far(address) {
            return applies_routes && !inner.routes_fetch.is_overdue(now);
        }
        let reached = inner.control_hosts.iter().filter(|(known, control_host)| {
            **known != self.options.own_address && control_host.is_reached()
        });
        let (mut far, near): (Vec<&str>, Vec<&str>) =
            reached.map(|(known, _)| known.as_str()).partition(|known| is_far(known));
        let host_id = self.options.host_id.as_bytes();
        far.sort_by_cached_key(|known| rendezvous_rank(host_id, known));
        let has_near_source = applies_routes || !near.is_empty();
        has_near_source && inner.routes_fetch.far_source(&far, now) != Some(address)
    }

    /// Sends sync calls at once if control hosts must be asked for routes that are overdue: the pending ones leave the
    /// routes out.
    fn request_overdue_routes(&self) {
        let mut inner = self.lock();
        if !inner.routes_fetch.begin_request(Instant::now()) {
            return;
        }
        let heard_version = inner.routes_fetch.heard_version();
        drop(inner);
        log::info!(event = "routes_overdue", version = heard_version,
            in_force = self.view.load().routes.version;
            "asks a control host of another region for routes");
        self.sync_now();
    }

    async fn poll(&self, address: &str, waits: bool) -> Option<ControlSync> {
        let sent_at = BootInstant::now();
        let mut sync = self.sync_request(address);
        let timeout = Duration::from_millis(sync.wait_ms.into()) + REPLY_MARGIN;
        let told = sync.leaving.clone();
        if !waits {
            sync.wait_ms = 0;
        }
        let call = Call { call: Some(call::Call::EntrySync(sync)), ..Call::default() };
        match self.caller.call(address, TrafficClass::Online, call, timeout).await {
            Ok(Reply { reply: Some(reply::Reply::ControlSync(reply)) }) => {
                self.record_confirmation(address, sent_at, &reply);
                if !told.is_empty() {
                    self.options.leaving.record_told(address, &told);
                }
                Some(reply)
            }
            Ok(_) => None,
            Err(error) => {
                self.record_failure(address, &error.to_string());
                None
            }
        }
    }

    /// Records the confirmation of the routes in a reply to a call that was sent at `sent_at`.
    fn record_confirmation(&self, address: &str, sent_at: BootInstant, reply: &ControlSync) {
        let Some(confirmation) = &reply.routes_confirmation else { return };
        let RoutesConfirmation { version, age_ms, held_ms } = *confirmation;
        // The call arrived after it was sent, so this is no later than the confirmation.
        let answered_at = (sent_at + Duration::from_millis(held_ms)).min(BootInstant::now());
        let confirmed_at = answered_at.checked_sub(Duration::from_millis(age_ms));
        let Some(confirmed_at) = confirmed_at else { return };
        let mut inner = self.lock();
        let control_host = inner.control_hosts.entry(address.to_owned()).or_default();
        control_host.routes_confirmed_at = control_host.routes_confirmed_at.max(Some(confirmed_at));
        drop(inner);
        let source = address.to_owned();
        self.routes_confirmation.record(Confirmation { version, confirmed_at, source });
    }

    fn record_failure(&self, address: &str, reason: &str) {
        let mut inner = self.lock();
        let control_host = inner.control_hosts.entry(address.to_owned()).or_default();
        control_host.is_leader = false;
        if control_host.failing_since.is_none() {
            control_host.failing_since = Some(Instant::now());
            let leader = control_host.leader.as_ref();
            log::warn!(event = "control_host_lost", address = address,
                leader = leader.map_or("", |leader| &leader.address),
                leader_term = leader.map_or(0, |leader| leader.term),
                reply_age_ms = leader.map_or(0, LeaderBelief::age_ms); "{reason}");
            self.choose_leader(&mut inner, Instant::now());
            self.publish(&inner, Affected { other: true, ..Affected::default() }, None);
        }
    }

    fn apply_reply(&self, address: &str, task: u64, order: ReplyOrder, mut reply: ControlSync) {
        if self.lock().polling_tasks.get(address) != Some(&task) {
            return;
        }
        let now = Instant::now();
        // A control host that stood still may not know yet that another one leads.
        reply.leads &= !self.lock().leaders.is_outdated(reply.leader_term, now);
        match order {
            ReplyOrder::Newest => self.sync_handler.handle_reply(address, &reply),
            _ => self.sync_handler.handle_superseded_reply(address, &reply),
        }
        let mut inner = self.lock();
        let control_host = inner.control_hosts.entry(address.to_owned()).or_default();
        control_host.first_replied_at.get_or_insert_with(BootInstant::now);
        let mut affected = Affected::default();
        if control_host.failing_since.take().is_some() {
            log::info!(event = "control_host_regained", address = address;
                "control host replies again");
            affected.other = true;
        }
        // A late reply would take the copy of the directory back to an earlier revision.
        if order != ReplyOrder::Late {
            let version = (reply.directory_epoch, reply.directory_revision);
            let uptime = Duration::from_millis(reply.uptime_ms);
            affected.entries = control_host.apply_entries(&mut reply);
            let changes = std::mem::take(&mut reply.upstreams);
            affected.upstreams = control_host.source.update(version, changes, uptime, now);
            affected.other |= control_host.apply_leader(address, &mut reply, now);
            affected.other |= control_host.apply_control_hosts(&mut reply);
        }
        affected.other |= reply.routes.is_some();
        affected.other |= self.choose_leader(&mut inner, now);
        let confirmed_version = reply.routes_confirmation.as_ref().map_or(0, |it| it.version);
        let told_version = reply.routes_version.max(confirmed_version);
        if affected.any() {
            let routes = reply.routes.map(|routes| (address, Arc::new(routes)));
            self.publish(&inner, affected, routes);
        }
        inner.routes_fetch.record(told_version, self.view.load().routes.version, now);
    }

    /// Chooses the leader from what the control hosts said last; true if it changed.
    fn choose_leader(&self, inner: &mut Inner, now: Instant) -> bool {
        let answering = inner.control_hosts.values().filter(|host| host.failing_since.is_none());
        let named = answering.filter_map(|host| host.leader.as_ref());
        let named: Vec<LeaderBelief> =
            named.filter(|belief| !is_refuted(inner, belief)).cloned().collect();
        inner.leaders.choose(&named, now);
        let leader = inner.leaders.leader().cloned().map(Arc::new);
        let name = |leader: &LeaderBelief| (leader.address.clone(), leader.term);
        let before = self.leader.swap(leader.clone());
        before.as_deref().map(name) != leader.as_deref().map(name)
    }

    /// Publishes a new view. `routes` are those that a reply brought, with the address of its control host.
    fn publish(&self, inner: &Inner, affected: Affected, routes: Option<(&str, Arc<RouteTable>)>) {
        let now = Instant::now();
        let current = self.view.load();
        let mut next = FleetView::clone(&current);
        let new_routes = routes.filter(|(_, table)| table.version > next.routes.version);
        let has_new_routes = new_routes.is_some();
        if let Some((source, routes)) = new_routes {
            let age = self.routes_confirmation.age(routes.version, BootInstant::now());
            log::info!(event = "routes_in_force", version = routes.version,
                before = next.routes.version, source = source,
                routes_age_ms = age.map_or(-1, |age| age.as_millis() as i64); "new routes applied");
            next.routes = routes;
        }
        if affected.upstreams || has_new_routes {
            self.merge_upstreams(inner, &mut next, now);
        }
        if affected.entries {
            let sources: Vec<&ControlHost> = inner.control_hosts.values().collect();
            next.entries = Arc::new(ControlHost::merge_entries(&sources, now));
        }
        let leader = inner.leaders.leader();
        let leader_address = leader.map(|leader| leader.address.clone());
        if leader_address != next.leader_address {
            log::info!(event = "leader_known", address = leader_address.as_deref().unwrap_or(""),
                term = leader.map_or(0, |leader| leader.term),
                source = leader.map_or("", |leader| &leader.source),
                before = next.leader_address.as_deref().unwrap_or(""); "leader changed");
            next.leader_address = leader_address;
        }
        next.control_addresses = Arc::new(self.addresses(inner));
        next.replica_addresses = Arc::new(Self::replica_addresses(inner));
        next.near_replicas = Arc::new(self.near_replicas(inner));
        next.origin_keepers = Arc::new(self.origin_keepers(inner, &next.control_addresses));
        drop(current);
        self.view.store(Arc::new(next));
        self.changed.notify();
    }

    /// Merges the directories of the control hosts into the view.
    fn merge_upstreams(&self, inner: &Inner, next: &mut FleetView, now: Instant) {
        let sources = inner.control_hosts.values().map(|control_host| &control_host.source);
        let mut known = newest_records(sources, self.options.directory_timeout, now);
        let leaving = &self.options.leaving;
        for record in &mut known {
            if leaving.contains(&record.upstream_id, record.started_at_unix_ms) {
                record.phase = record.phase.while_leaving();
            }
        }
        if let Some(versions) = next.service_versions.updated(&known, now) {
            log::info!(event = "service_versions"; "{versions:?}");
            next.service_versions = Arc::new(versions);
        }
        let upstreams = list_live(&known, &next.routes);
        if *next.upstreams != upstreams {
            log_changes(&next.upstreams, &upstreams);
            next.upstreams = Arc::new(upstreams);
        }
        if self.options.polls_all {
            next.known_upstreams = Arc::new(known);
        }
    }

    /// Peer addresses of the seeds, of the control hosts that reply, and of those that they list. While none replies,
    /// what they listed before holds: the others may still run.
    fn addresses(&self, inner: &Inner) -> Vec<String> {
        let others = || {
            let all = inner.control_hosts.iter();
            all.filter(|(address, _)| **address != self.options.own_address)
        };
        let none_answers = others().all(|(_, control_host)| control_host.failing_since.is_some());
        let answering = others()
            .filter(|(_, control_host)| none_answers || control_host.failing_since.is_none());
        let listed = answering.flat_map(|(address, control_host)| {
            let listed = control_host.listed.iter().map(|entry| &entry.peer_address);
            listed.chain([address])
        });
        let mut addresses: Vec<String> = listed.cloned().collect();
        addresses.extend(self.options.seed_addresses.iter().cloned());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.options.own_address);
        addresses
    }

    /// The control hosts that run a replica, as those that answer list them.
    fn replicas(inner: &Inner) -> impl Iterator<Item = &ControlHostEntry> {
        let answering = inner.control_hosts.values().filter(|host| host.failing_since.is_none());
        answering.flat_map(|host| &host.listed).filter(|entry| entry.has_replica)
    }

    /// Peer addresses of the control hosts that run a replica.
    fn replica_addresses(inner: &Inner) -> Vec<String> {
        let mut addresses: Vec<String> =
            Self::replicas(inner).map(|entry| entry.peer_address.clone()).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Peer addresses of the control hosts of this region that run a replica, nearest first.
    fn near_replicas(&self, inner: &Inner) -> Vec<String> {
        let near =
            Self::replicas(inner).filter(|entry| self.distance(&entry.zone) < Distance::Remote);
        let host_id = self.options.host_id.as_bytes();
        let mut near: Vec<(Distance, u64, &String)> = near
            .map(|entry| {
                let address = &entry.peer_address;
                (self.distance(&entry.zone), rendezvous_rank(host_id, address), address)
            })
            .collect();
        near.sort();
        near.dedup();
        near.into_iter().map(|(_, _, address)| address.clone()).collect()
    }

    /// Control hosts that may keep origins of streams: all that are known.
    fn origin_keepers(&self, inner: &Inner, addresses: &[String]) -> Vec<OriginKeeper> {
        let answering = || inner.control_hosts.values().filter(|host| host.is_reached());
        let keeper = |address: &String| {
            let mut listed = answering().flat_map(|host| &host.listed);
            let zone = listed.find(|entry| entry.peer_address == *address).map(|entry| &entry.zone);
            let region = zone.and_then(|zone| self.options.zone_regions.get(zone));
            let is_reached = match inner.control_hosts.get(address) {
                Some(polled) => polled.is_reached(),
                None => answering().any(|host| host.reached.contains(address)),
            };
            let region = region.cloned().unwrap_or_default();
            OriginKeeper { address: address.clone(), region, is_reached }
        };
        addresses.iter().map(keeper).collect()
    }

    /// Addresses of the control hosts that have to be polled now.
    fn polled_addresses(&self, inner: &Inner) -> Vec<String> {
        let mut addresses = self.addresses(inner);
        if self.options.polls_all {
            let failing = inner.control_hosts.iter().filter(|(_, control_host)| {
                let since = control_host.failing_since;
                since.is_some_and(|since| since.elapsed() < FORGET_TIMEOUT)
            });
            addresses.extend(failing.map(|(address, _)| address.clone()));
            addresses.sort();
            addresses.dedup();
            return addresses;
        }
        let mut zones: HashMap<&str, &str> = HashMap::new();
        for entry in inner.control_hosts.values().flat_map(|control_host| &control_host.listed) {
            zones.insert(&entry.peer_address, &entry.zone);
        }
        let candidates = addresses.iter().map(|address| {
            let polled = inner.control_hosts.get(address);
            let zone = zones.get(address.as_str()).copied().unwrap_or_default();
            PollCandidate {
                address,
                zone,
                distance: self.distance(zone),
                is_failing: polled.is_some_and(|polled| polled.failing_since.is_some()),
                is_current: polled
                    .and_then(|polled| polled.routes_confirmed_at)
                    .is_some_and(|at| at.elapsed() < ASK_OTHERS_AGE),
                reached: polled.filter(|polled| polled.has_replied()).map(|polled| &polled.reached),
            }
        });
        let candidates: Vec<PollCandidate<'_>> = candidates.collect();
        let leader = inner.leaders.leader().or_else(|| named_leader(inner));
        let leader = leader.map(|leader| leader.address.as_str());
        let host_id = &self.options.host_id;
        let mut chosen = choose_polled(&candidates, leader, host_id);
        let polled = || chosen.iter().filter_map(|address| inner.control_hosts.get(*address));
        let confirmed_at = polled().filter_map(|it| it.routes_confirmed_at).max();
        // A host that starts has no confirmation yet, and builds that confirm no routes never send one.
        let known_at = confirmed_at.or(polled().filter_map(|it| it.first_replied_at).min());
        let age = known_at.map_or(Duration::ZERO, |at| at.elapsed());
        let rounds = (age.as_millis() / ASK_OTHERS_AGE.as_millis()) as usize;
        if let Some(round) = rounds.checked_sub(1) {
            add_others(&candidates, host_id, round, &mut chosen);
        }
        chosen.into_iter().map(str::to_owned).collect()
    }

    fn distance(&self, zone: &str) -> Distance {
        let region = |zone: &str| self.options.zone_regions.get(zone);
        if zone == self.options.zone {
            return Distance::Zone;
        }
        match region(zone).is_some() && region(zone) == region(&self.options.zone) {
            true => Distance::Region,
            false => Distance::Remote,
        }
    }

    /// Chooses the control hosts to poll. Returns the addresses and numbers of new tasks.
    fn update_polling_tasks(&self) -> Vec<(String, u64)> {
        let mut inner = self.lock();
        let polled = self.polled_addresses(&inner);
        let is_polled: HashSet<&str> = polled.iter().map(String::as_str).collect();
        let Inner { control_hosts, polling_tasks, last_task, .. } = &mut *inner;
        // A control host is dropped only once those that replace it have replied, so that the view never
        // lacks what it knows.
        let is_waiting = polled.iter().any(|address| {
            let chosen = control_hosts.get(address);
            chosen.is_none_or(|it| !it.has_replied() && it.failing_since.is_none())
        });
        let before = polling_tasks.len();
        polling_tasks.retain(|address, _| is_waiting || is_polled.contains(address.as_str()));
        let has_dropped = polling_tasks.len() != before;
        let own_address = &self.options.own_address;
        control_hosts
            .retain(|address, _| polling_tasks.contains_key(address) || address == own_address);
        let mut new_tasks = Vec::new();
        for address in polled {
            if polling_tasks.contains_key(&address) {
                continue;
            }
            *last_task += 1;
            polling_tasks.insert(address.clone(), *last_task);
            new_tasks.push((address, *last_task));
        }
        if has_dropped {
            self.choose_leader(&mut inner, Instant::now());
            let affected = Affected { upstreams: true, entries: true, other: true };
            self.publish(&inner, affected, None);
        }
        new_tasks
    }

    /// Publishes a new view if time alone has changed the upstreams in use or the entry hosts: control
    /// hosts that fail no longer count after a while.
    fn publish_if_expired(&self) {
        let inner = self.lock();
        let failing =
            inner.control_hosts.values().any(|control_host| control_host.failing_since.is_some());
        if !failing {
            return;
        }
        let mut next = FleetView::clone(&self.view.load());
        let before = next.upstreams.clone();
        self.merge_upstreams(&inner, &mut next, Instant::now());
        let sources: Vec<&ControlHost> = inner.control_hosts.values().collect();
        let entries = ControlHost::merge_entries(&sources, Instant::now());
        let affected = Affected {
            upstreams: *before != *next.upstreams,
            entries: *next.entries != entries,
            other: false,
        };
        if affected.any() {
            self.publish(&inner, affected, None);
        }
    }
}

/// True if the named host fails, or says itself that it does not lead in this term.
fn is_refuted(inner: &Inner, belief: &LeaderBelief) -> bool {
    let named = inner.control_hosts.get(&belief.address);
    named.is_some_and(|named| {
        named.failing_since.is_some()
            || named.has_replied()
                && !named.is_leader
                && (belief.term == 0 || belief.term <= named.leader_term)
    })
}

/// Availability zone of a control host, as the others list it; empty if it is unknown.
fn zone_of<'a>(inner: &'a Inner, address: &str) -> &'a str {
    let mut listed = inner.control_hosts.values().flat_map(|control_host| &control_host.listed);
    listed.find(|entry| entry.peer_address == address).map_or("", |entry| &entry.zone)
}

/// Leader that a control host names, which may not be polled yet.
fn named_leader(inner: &Inner) -> Option<&LeaderBelief> {
    let answering =
        inner.control_hosts.values().filter(|control_host| control_host.failing_since.is_none());
    let mut named = answering.filter_map(|control_host| control_host.leader.as_ref());
    named.next()
}

/// Starts and ends polling tasks, and publishes changes of the view that are due to timeouts instead of
/// replies.
async fn supervise(watch: Arc<FleetWatch>) {
    loop {
        let changed = watch.changed.listen();
        for (address, task) in watch.update_polling_tasks() {
            task::spawn(poll_control_host(watch.clone(), address, task));
        }
        watch.publish_if_expired();
        watch.request_overdue_routes();
        Signal::wait(changed, SUPERVISION_INTERVAL).await;
        task::sleep(MIN_SUPERVISION_INTERVAL).await;
    }
}

/// Takes upstreams that say that they leave out of the view. An entry host, which saw the answer, tells
/// the control hosts at once.
async fn spread_leaving(watch: Arc<FleetWatch>) {
    let leaving = watch.options.leaving.clone();
    let mut applied = 0;
    loop {
        let changed = leaving.changed().listen();
        let revision = leaving.revision();
        if revision == applied {
            changed.await;
            continue;
        }
        applied = revision;
        let inner = watch.lock();
        watch.publish(&inner, Affected { upstreams: true, ..Affected::default() }, None);
        drop(inner);
        if !watch.options.polls_all {
            watch.sync_now();
        }
    }
}

/// Polls one control host for as long as its task is listed.
async fn poll_control_host(watch: Arc<FleetWatch>, address: String, task: u64) {
    let mut sync_requested = watch.sync_requested.listen();
    let (mut calls, mut replies) = (SyncCalls::default(), FuturesUnordered::new());
    while watch.lock().polling_tasks.get(&address) == Some(&task) {
        if let Some(call) = calls.begin() {
            replies.push(poll_once(&watch, &address, call));
        }
        match select(sync_requested, replies.next()).await {
            Either::Left(_) => {
                sync_requested = watch.sync_requested.listen();
                calls.request_report();
            }
            Either::Right((reply, listener)) => {
                sync_requested = listener;
                match reply {
                    Some((number, Some(reply))) => {
                        let order = calls.end_with_reply(number);
                        watch.apply_reply(&address, task, order, reply);
                    }
                    Some((number, None)) => calls.end(number),
                    None => {}
                }
            }
        }
    }
}

/// Sends a sync call. Returns its number and the reply, or, a while after a failure, none.
async fn poll_once(
    watch: &FleetWatch,
    address: &str,
    call: SyncCall,
) -> (u64, Option<ControlSync>) {
    let reply = watch.poll(address, call.waits).await;
    if reply.is_none() {
        task::sleep(RETRY_DELAY).await;
    }
    (call.number, reply)
}

fn log_changes(before: &[UpstreamRecord], after: &[UpstreamRecord]) {
    let previous: HashMap<&str, _> =
        before.iter().map(|record| (record.upstream_id.as_str(), record)).collect();
    for record in after {
        let old = previous.get(record.upstream_id.as_str());
        if old.is_some_and(|old| old.phase == record.phase && old.address == record.address) {
            continue;
        }
        log::info!(event = "upstream_known", upstream = record.upstream_id.as_str(),
            address = record.address.as_str(), sequence = record.sequence; "{:?}", record.phase);
    }
    let listed: HashSet<&str> = after.iter().map(|record| record.upstream_id.as_str()).collect();
    for record in before.iter().filter(|record| !listed.contains(record.upstream_id.as_str())) {
        log::info!(event = "upstream_gone", upstream = record.upstream_id.as_str(),
            address = record.address.as_str(), sequence = record.sequence; "no longer listed");
    }
}
