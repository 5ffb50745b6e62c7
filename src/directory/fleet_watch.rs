use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::task;
use futures::future::{select, Either};

use crate::directory::{merge, FleetView, Source, SyncPartner};
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::{call, reply, Call, ControlSync, EntrySync, Reply, UpstreamEntry};
use crate::signal::Signal;

/// Longest time that a control host holds a question.
const HOLD_MS: u32 = 1_000;
/// The same for the leader, which answers entry hosts several times a second: its loss is noticed
/// early.
const LEADER_HOLD_MS: u32 = 300;
/// Time for the answer beyond the time that the question may be held: two round trips between
/// regions and a busy host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a question without an answer, so that a control host that restarts is found at once.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a control host that nobody names and that does not answer is given up.
const FORGET_AGE: Duration = Duration::from_secs(20);
/// Time between two looks at the list of control hosts and at what has run out.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(250);

/// What a [`FleetWatch`] is made from.
pub struct FleetWatchOptions {
    /// Peer addresses to ask first.
    pub seed_addresses: Vec<String>,
    /// Address of this host, which is not asked.
    pub own_address: String,
    /// Silence after which an upstream counts as gone.
    pub silence: Duration,
}

/// Asks every control host for what is new and publishes the merged view.
pub struct FleetWatch {
    options: FleetWatchOptions,
    caller: Arc<dyn PeerCaller>,
    partner: Arc<dyn SyncPartner>,
    view: ArcSwap<FleetView>,
    inner: Mutex<Inner>,
    /// Notified after each new view.
    changed: Signal,
    /// Notified when the own report has changed and must not wait.
    urgent: Signal,
}

#[derive(Default)]
struct Inner {
    sources: BTreeMap<String, Control>,
    asked: HashSet<String>,
}

#[derive(Default)]
struct Control {
    source: Source,
    leads: bool,
    /// Control hosts that it names.
    names: Vec<String>,
    entries_revision: u64,
    failing_since: Option<Instant>,
}

impl FleetWatch {
    /// Starts to ask the seeds and the control hosts that they name.
    pub fn spawn(
        options: FleetWatchOptions,
        caller: Arc<dyn PeerCaller>,
        partner: Arc<dyn SyncPartner>,
    ) -> Arc<Self> {
        let watch = Arc::new(Self {
            options,
            caller,
            partner,
            view: ArcSwap::from_pointee(FleetView::default()),
            inner: Mutex::default(),
            changed: Signal::default(),
            urgent: Signal::default(),
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

    /// Asks all control hosts again at once, because the own report has changed.
    pub fn report_now(&self) {
        self.urgent.notify();
    }

    /// Takes the directory of this host itself.
    pub fn hear_local(&self, known: (u64, u64), changes: Vec<UpstreamEntry>, uptime: Duration) {
        let mut inner = self.inner();
        let control = inner.sources.entry(self.options.own_address.clone()).or_default();
        if control.source.update(known, changes, uptime, Instant::now()) {
            self.publish(&inner, None);
        }
    }

    /// Peer addresses of all control hosts but this one.
    pub fn control_addresses(&self) -> Vec<String> {
        self.view.load().control_addresses.to_vec()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn question(&self, address: &str) -> EntrySync {
        let view = self.view.load();
        let inner = self.inner();
        let mut sync = EntrySync {
            routes_version: view.routes.version,
            wait_ms: HOLD_MS,
            ..EntrySync::default()
        };
        if let Some(control) = inner.sources.get(address) {
            (sync.directory_epoch, sync.directory_revision) = control.source.known;
            sync.entries_revision = control.entries_revision;
            sync.wait_ms = if control.leads { LEADER_HOLD_MS } else { HOLD_MS };
        }
        drop(inner);
        self.partner.report(&mut sync);
        sync
    }

    async fn ask(&self, address: &str) -> Option<ControlSync> {
        let sync = self.question(address);
        let timeout = Duration::from_millis(sync.wait_ms.into()) + ANSWER_TIMEOUT;
        let call = Call { traceparent: String::new(), call: Some(call::Call::EntrySync(sync)) };
        match self.caller.call(address, TrafficClass::Online, call, timeout).await {
            Ok(Reply { reply: Some(reply::Reply::ControlSync(answer)) }) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                self.note_failure(address, &error.to_string());
                None
            }
        }
    }

    fn note_failure(&self, address: &str, reason: &str) {
        let mut inner = self.inner();
        let control = inner.sources.entry(address.to_owned()).or_default();
        control.leads = false;
        if control.failing_since.is_none() {
            control.failing_since = Some(Instant::now());
            log::warn!(event = "control_host_lost", address = address; "{reason}");
        }
    }

    fn take(&self, address: &str, mut answer: ControlSync) {
        self.partner.receive(address, &answer);
        let now = Instant::now();
        let mut inner = self.inner();
        let control = inner.sources.entry(address.to_owned()).or_default();
        if control.failing_since.take().is_some() {
            log::info!(event = "control_host_regained", address = address; "it answers again");
        }
        control.entries_revision = answer.entries_revision;
        let known = (answer.directory_epoch, answer.directory_revision);
        let uptime = Duration::from_millis(answer.uptime_ms);
        let changes = std::mem::take(&mut answer.upstreams);
        let mut changed = control.source.update(known, changes, uptime, now);
        changed |= control.leads != answer.leads;
        control.leads = answer.leads;
        changed |= control.names != answer.control_addresses;
        control.names = std::mem::take(&mut answer.control_addresses);
        changed |= answer.routes.is_some() || !answer.entries.is_empty();
        if changed {
            self.publish(&inner, Some((address, answer)));
        }
    }

    fn publish(&self, inner: &Inner, news: Option<(&str, ControlSync)>) {
        let now = Instant::now();
        let current = self.view.load();
        let mut next = FleetView::clone(&current);
        let sources = inner.sources.values().map(|control| &control.source);
        let upstreams = merge(sources, self.options.silence, now);
        if *next.upstreams != upstreams {
            log_changes(&next.upstreams, &upstreams);
            next.upstreams = Arc::new(upstreams);
        }
        let leader = inner.sources.iter().find(|(_, control)| control.leads);
        let leader_address = leader.map(|(address, _)| address.clone());
        if leader_address != next.leader_address {
            log::info!(event = "leader_known", address = leader_address.as_deref().unwrap_or(""),
                before = next.leader_address.as_deref().unwrap_or(""); "leader as answers tell");
            next.leader_address = leader_address;
        }
        next.control_addresses = Arc::new(self.addresses(inner));
        if let Some((_, answer)) = news {
            if let Some(routes) = answer.routes.filter(|it| it.version > next.routes.version) {
                log::info!(event = "routes_in_force", version = routes.version,
                    before = next.routes.version; "routes replaced");
                next.routes = Arc::new(routes);
            }
            if !answer.entries.is_empty() {
                next.entries = Arc::new(answer.entries);
            }
        }
        drop(current);
        self.view.store(Arc::new(next));
        self.changed.notify();
    }

    /// Seeds, and the control hosts that those which answer name.
    fn addresses(&self, inner: &Inner) -> Vec<String> {
        let answering = inner.sources.iter().filter(|(_, it)| it.failing_since.is_none());
        let named = answering.flat_map(|(address, it)| it.names.iter().chain([address]));
        let mut addresses: Vec<String> = named.cloned().collect();
        addresses.extend(self.options.seed_addresses.iter().cloned());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.options.own_address);
        addresses
    }

    /// True if the control host is not worth asking any more.
    fn is_forgotten(&self, address: &str) -> bool {
        let inner = self.inner();
        if self.addresses(&inner).iter().any(|known| known == address) {
            return false;
        }
        let failing = inner.sources.get(address).and_then(|control| control.failing_since);
        failing.is_some_and(|since| since.elapsed() > FORGET_AGE)
    }
}

/// Starts a task for each control host, and publishes what runs out without an answer.
async fn supervise(watch: Arc<FleetWatch>) {
    loop {
        let new: Vec<String> = {
            let mut inner = watch.inner();
            let addresses = watch.addresses(&inner);
            addresses.into_iter().filter(|address| inner.asked.insert(address.clone())).collect()
        };
        for address in new {
            task::spawn(follow(watch.clone(), address));
        }
        task::sleep(SUPERVISE_INTERVAL).await;
        let inner = watch.inner();
        watch.publish_if_run_out(&inner);
    }
}

impl FleetWatch {
    /// Publishes again if a control host fell silent, because its upstreams may no longer count.
    fn publish_if_run_out(&self, inner: &Inner) {
        let failing = inner.sources.values().any(|control| control.failing_since.is_some());
        if !failing {
            return;
        }
        let sources = inner.sources.values().map(|control| &control.source);
        let upstreams = merge(sources, self.options.silence, Instant::now());
        let leads = inner.sources.iter().find(|(_, control)| control.leads);
        let view = self.view.load();
        let same_leader = leads.map(|(address, _)| address) == view.leader_address.as_ref();
        if upstreams != *view.upstreams || !same_leader {
            self.publish(inner, None);
        }
    }
}

/// Asks one control host, one question at a time.
async fn follow(watch: Arc<FleetWatch>, address: String) {
    loop {
        let urgent = watch.urgent.listen();
        let answer = {
            let ask = Box::pin(watch.ask(&address));
            match select(ask, urgent).await {
                Either::Left((answer, _)) => answer,
                // The new question replaces the one that is held.
                Either::Right(_) => continue,
            }
        };
        match answer {
            Some(answer) => watch.take(&address, answer),
            None if watch.is_forgotten(&address) => break,
            None => task::sleep(RETRY_PAUSE).await,
        }
    }
    let mut inner = watch.inner();
    inner.asked.remove(&address);
    inner.sources.remove(&address);
}

fn log_changes(
    before: &[crate::directory::UpstreamRecord],
    after: &[crate::directory::UpstreamRecord],
) {
    let known: HashMap<&str, _> = before.iter().map(|it| (it.upstream_id.as_str(), it)).collect();
    for record in after {
        let old = known.get(record.upstream_id.as_str());
        if old.is_some_and(|old| old.phase == record.phase && old.address == record.address) {
            continue;
        }
        log::info!(event = "upstream_known", upstream = record.upstream_id.as_str(),
            address = record.address.as_str(), sequence = record.sequence; "{:?}", record.phase);
    }
    let now: HashSet<&str> = after.iter().map(|it| it.upstream_id.as_str()).collect();
    for record in before.iter().filter(|it| !now.contains(it.upstream_id.as_str())) {
        log::info!(event = "upstream_gone", upstream = record.upstream_id.as_str(),
            address = record.address.as_str(), sequence = record.sequence; "no longer listed");
    }
}
