use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::task;
use futures::future::{select, Either};

use crate::directory::{merge_directories, DirectorySource, FleetView, SyncHandler};
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::{call, reply, Call, ControlSync, EntrySync, Reply, UpstreamEntry};
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
/// Interval at which the watch starts to poll newly listed control hosts and drops expired
/// upstreams.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(250);

/// Options of a [`FleetWatch`].
pub struct FleetWatchOptions {
    /// Peer addresses of the control hosts that are polled first.
    pub seed_addresses: Vec<String>,
    /// Peer address of this host, which is not polled.
    pub own_address: String,
    /// Time without a reply after which the directory of a control host counts as stale; equal to
    /// the time without a heartbeat after which a control host marks an upstream as silent.
    pub directory_timeout: Duration,
}

/// Polls every control host for changes of its directory and publishes the merged view.
pub struct FleetWatch {
    options: FleetWatchOptions,
    caller: Arc<dyn PeerCaller>,
    sync_handler: Arc<dyn SyncHandler>,
    view: ArcSwap<FleetView>,
    inner: Mutex<Inner>,
    /// Notified after each new view.
    changed: Signal,
    /// Notified when this host has to report a change without waiting for the pending replies.
    sync_requested: Signal,
}

#[derive(Default)]
struct Inner {
    /// Control hosts by their peer addresses.
    control_hosts: BTreeMap<String, ControlHost>,
    /// Addresses for which a polling task runs.
    polled: HashSet<String>,
}

#[derive(Default)]
struct ControlHost {
    source: DirectorySource,
    is_leader: bool,
    /// Peer addresses of the control hosts that it listed in its last reply.
    listed_addresses: Vec<String>,
    entries_revision: u64,
    failing_since: Option<Instant>,
}

impl FleetWatch {
    /// Starts to poll the seeds and the control hosts that they list.
    pub fn spawn(
        options: FleetWatchOptions,
        caller: Arc<dyn PeerCaller>,
        sync_handler: Arc<dyn SyncHandler>,
    ) -> Arc<Self> {
        let watch = Arc::new(Self {
            options,
            caller,
            sync_handler,
            view: ArcSwap::from_pointee(FleetView::default()),
            inner: Mutex::default(),
            changed: Signal::default(),
            sync_requested: Signal::default(),
        });
        task::spawn(supervise(watch.clone()));
        watch
    }

    /// The current view.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Notified after each new view.
    pub fn changed(&self) -> &Signal {
        &self.changed
    }

    /// Sends a new sync request to every control host at once, because the report of this host has
    /// changed.
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
            self.publish(&inner, None);
        }
    }

    /// Peer addresses of all known control hosts except this one.
    pub fn control_addresses(&self) -> Vec<String> {
        self.view.load().control_addresses.to_vec()
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
            ..EntrySync::default()
        };
        if let Some(control_host) = inner.control_hosts.get(address) {
            (sync.directory_epoch, sync.directory_revision) = control_host.source.version;
            sync.entries_revision = control_host.entries_revision;
            sync.wait_ms = if control_host.is_leader { LEADER_POLL_WAIT_MS } else { POLL_WAIT_MS };
        }
        drop(inner);
        self.sync_handler.fill_request(address, &mut sync);
        sync
    }

    async fn poll(&self, address: &str) -> Option<ControlSync> {
        let sync = self.sync_request(address);
        let timeout = Duration::from_millis(sync.wait_ms.into()) + REPLY_MARGIN;
        let call = Call { traceparent: String::new(), call: Some(call::Call::EntrySync(sync)) };
        match self.caller.call(address, TrafficClass::Online, call, timeout).await {
            Ok(Reply { reply: Some(reply::Reply::ControlSync(reply)) }) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                self.record_failure(address, &error.to_string());
                None
            }
        }
    }

    fn record_failure(&self, address: &str, reason: &str) {
        let mut inner = self.lock();
        let control_host = inner.control_hosts.entry(address.to_owned()).or_default();
        control_host.is_leader = false;
        if control_host.failing_since.is_none() {
            control_host.failing_since = Some(Instant::now());
            log::warn!(event = "control_host_lost", address = address; "{reason}");
        }
    }

    fn apply_reply(&self, address: &str, mut reply: ControlSync) {
        self.sync_handler.handle_reply(address, &reply);
        let now = Instant::now();
        let mut inner = self.lock();
        let control_host = inner.control_hosts.entry(address.to_owned()).or_default();
        if control_host.failing_since.take().is_some() {
            log::info!(event = "control_host_regained", address = address;
                "control host replies again");
        }
        control_host.entries_revision = reply.entries_revision;
        let version = (reply.directory_epoch, reply.directory_revision);
        let uptime = Duration::from_millis(reply.uptime_ms);
        let changes = std::mem::take(&mut reply.upstreams);
        let mut changed = control_host.source.update(version, changes, uptime, now);
        changed |= control_host.is_leader != reply.leads;
        control_host.is_leader = reply.leads;
        changed |= control_host.listed_addresses != reply.control_addresses;
        control_host.listed_addresses = std::mem::take(&mut reply.control_addresses);
        changed |= reply.routes.is_some() || !reply.entries.is_empty();
        if changed {
            self.publish(&inner, Some((address, reply)));
        }
    }

    fn publish(&self, inner: &Inner, reply: Option<(&str, ControlSync)>) {
        let now = Instant::now();
        let current = self.view.load();
        let mut next = FleetView::clone(&current);
        let sources = inner.control_hosts.values().map(|control_host| &control_host.source);
        let upstreams = merge_directories(sources, self.options.directory_timeout, now);
        if *next.upstreams != upstreams {
            log_changes(&next.upstreams, &upstreams);
            next.upstreams = Arc::new(upstreams);
        }
        let leader = inner.control_hosts.iter().find(|(_, control_host)| control_host.is_leader);
        let leader_address = leader.map(|(address, _)| address.clone());
        if leader_address != next.leader_address {
            log::info!(event = "leader_known", address = leader_address.as_deref().unwrap_or(""),
                before = next.leader_address.as_deref().unwrap_or(""); "leader changed");
            next.leader_address = leader_address;
        }
        next.control_addresses = Arc::new(self.addresses(inner));
        if let Some((_, reply)) = reply {
            if let Some(routes) = reply.routes.filter(|table| table.version > next.routes.version) {
                log::info!(event = "routes_in_force", version = routes.version,
                    before = next.routes.version; "new routes applied");
                next.routes = Arc::new(routes);
            }
            if !reply.entries.is_empty() {
                next.entries = Arc::new(reply.entries);
            }
        }
        drop(current);
        self.view.store(Arc::new(next));
        self.changed.notify();
    }

    /// Peer addresses of the seeds, of the control hosts that reply, and of those that they list.
    fn addresses(&self, inner: &Inner) -> Vec<String> {
        let answering = inner
            .control_hosts
            .iter()
            .filter(|(_, control_host)| control_host.failing_since.is_none());
        let listed = answering.flat_map(|(address, control_host)| {
            control_host.listed_addresses.iter().chain([address])
        });
        let mut addresses: Vec<String> = listed.cloned().collect();
        addresses.extend(self.options.seed_addresses.iter().cloned());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.options.own_address);
        addresses
    }

    /// True if polling a control host should end: it is neither a seed nor listed, and has failed
    /// for [`FORGET_TIMEOUT`].
    fn should_forget(&self, address: &str) -> bool {
        let inner = self.lock();
        if self.addresses(&inner).iter().any(|known| known == address) {
            return false;
        }
        let failing =
            inner.control_hosts.get(address).and_then(|control_host| control_host.failing_since);
        failing.is_some_and(|since| since.elapsed() > FORGET_TIMEOUT)
    }
}

/// Starts a polling task for each control host, and publishes changes of the view that are due to
/// timeouts instead of replies.
async fn supervise(watch: Arc<FleetWatch>) {
    loop {
        let new_addresses: Vec<String> = {
            let mut inner = watch.lock();
            let addresses = watch.addresses(&inner);
            addresses.into_iter().filter(|address| inner.polled.insert(address.clone())).collect()
        };
        for address in new_addresses {
            task::spawn(poll_control_host(watch.clone(), address));
        }
        task::sleep(SUPERVISION_INTERVAL).await;
        let inner = watch.lock();
        watch.publish_if_expired(&inner);
    }
}

impl FleetWatch {
    /// Publishes a new view if a failing control host changes the upstreams in use or the leader.
    fn publish_if_expired(&self, inner: &Inner) {
        let failing =
            inner.control_hosts.values().any(|control_host| control_host.failing_since.is_some());
        if !failing {
            return;
        }
        let sources = inner.control_hosts.values().map(|control_host| &control_host.source);
        let upstreams = merge_directories(sources, self.options.directory_timeout, Instant::now());
        let leader = inner.control_hosts.iter().find(|(_, control_host)| control_host.is_leader);
        let view = self.view.load();
        let same_leader = leader.map(|(address, _)| address) == view.leader_address.as_ref();
        if upstreams != *view.upstreams || !same_leader {
            self.publish(inner, None);
        }
    }
}

/// Polls one control host, with one pending request at a time, until it should be forgotten.
async fn poll_control_host(watch: Arc<FleetWatch>, address: String) {
    loop {
        let sync_requested = watch.sync_requested.listen();
        let reply = {
            let reply = Box::pin(watch.poll(&address));
            match select(reply, sync_requested).await {
                Either::Left((reply, _)) => reply,
                // The next request replaces the pending one.
                Either::Right(_) => continue,
            }
        };
        match reply {
            Some(reply) => watch.apply_reply(&address, reply),
            None if watch.should_forget(&address) => break,
            None => task::sleep(RETRY_DELAY).await,
        }
    }
    let mut inner = watch.lock();
    inner.polled.remove(&address);
    inner.control_hosts.remove(&address);
}

fn log_changes(
    before: &[crate::directory::UpstreamRecord],
    after: &[crate::directory::UpstreamRecord],
) {
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
