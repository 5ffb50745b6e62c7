use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::admission::{rate_holders, HolderCandidate};
use crate::directory::{LeavingTable, UpstreamRecord};
use crate::gateway::upstream::monotonic_ms;
use crate::gateway::{Upstream, UpstreamNotice};
use crate::schema::peer::{EntryHost, UpstreamRate, UpstreamSpeed, UpstreamUse};
use crate::signal::Signal;

/// Time without word of the leader after which a host keeps to its own share of each named limit:
/// above the interval of the leader's answers in the largest fleet.
const LEADER_SILENCE_MS: u64 = 600;
/// Time without word of the leader after which its last word of the requests of others no longer holds.
/// Requests last about a second, and the leader answers each host several times a second.
const STALE_USE_MS: u64 = 1_000;

/// The known upstreams, replaced as a whole with each change.
#[derive(Debug, Default)]
pub struct GatewayFleet {
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    /// An online request was sent to a full upstream that runs batch items.
    contended: AtomicBool,
    contention_signal: Signal,
    /// When the leader last told the requests of the others; 0 if it never did.
    leader_heard_ms: AtomicU64,
    speeds_revision: AtomicU64,
    is_adaptive: AtomicBool,
    entry_hosts: ArcSwap<EntryHosts>,
    leaving: Arc<LeavingTable>,
}

/// Known entry hosts, among which named limits are shared.
#[derive(Debug, Default)]
struct EntryHosts {
    own_host_id: String,
    hosts: Arc<Vec<Arc<EntryHost>>>,
    /// Number of hosts that take callers.
    ready: u32,
}

impl GatewayFleet {
    /// All upstreams, in the order of their ids.
    pub fn load(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// The upstream with this id.
    pub fn get(&self, upstream_id: &str) -> Option<Arc<Upstream>> {
        let upstreams = self.upstreams.load();
        upstreams.iter().find(|upstream| upstream.upstream_id == upstream_id).cloned()
    }

    /// Upstreams that said that they leave.
    pub fn leaving(&self) -> &Arc<LeavingTable> {
        &self.leaving
    }

    /// Applies what an upstream says of itself in the head of an answer.
    pub fn record_answer_notice(&self, upstream: &Upstream, notice: &UpstreamNotice) {
        upstream.record_rate_limit(notice.rate_limit);
        if upstream.needs_rate_holders() {
            self.update_rate_holders();
        }
        self.record_refusal_notice(upstream, notice);
    }

    /// Applies what an upstream says of itself in a refusal, which may leave out its limit.
    pub fn record_refusal_notice(&self, upstream: &Upstream, notice: &UpstreamNotice) {
        if notice.is_leaving {
            let id = upstream.upstream_id.as_str();
            if self.leaving.insert(id, upstream.started_at_unix_ms, Instant::now()) {
                log::info!(event = "upstream_leaves", upstream = id;
                    "the upstream says in an answer that it leaves");
            }
        }
        if let Some(percent) = notice.slowdown_percent {
            upstream.record_slowdown(percent);
        }
        if let Some(requests) = notice.requests.filter(|_| self.needs_told_load()) {
            upstream.set_total_requests(requests);
        }
    }

    /// Time since the leader last told the requests of other hosts; `None` if it never did.
    pub fn leader_silence(&self) -> Option<Duration> {
        let heard_ms = self.leader_heard_ms.load(Ordering::Relaxed);
        (heard_ms > 0).then(|| Duration::from_millis(monotonic_ms().saturating_sub(heard_ms)))
    }

    /// Number of entry hosts that take callers, as far as this one knows; at least 1.
    pub fn ready_entry_hosts(&self) -> u32 {
        self.entry_hosts.load().ready.max(1)
    }

    /// True if the load that upstreams tell must stand in for that of the other hosts. Where requests are placed by the load
    /// of the zones, also before the first word of a leader, as after a restart of all hosts.
    fn needs_told_load(&self) -> bool {
        self.is_leader_silent() || self.is_adaptive() && !self.hears_of_others()
    }

    /// True if the leader has told of the requests of other hosts before and now no longer does.
    pub fn is_leader_silent(&self) -> bool {
        let heard_ms = self.leader_heard_ms.load(Ordering::Relaxed);
        heard_ms > 0 && monotonic_ms().saturating_sub(heard_ms) >= STALE_USE_MS
    }

    /// Halves the number of requests that other hosts are believed to have at each upstream. Called at
    /// intervals while the leader is silent: without it, an upstream that was full at the last word of
    /// the leader would seem full for good.
    pub fn decay_remote_use(&self) {
        for upstream in self.upstreams.load().iter() {
            upstream.decay_remote_use();
        }
    }

    /// Ends the pauses of all upstreams: what they were paused for was not their fault.
    pub fn clear_pauses(&self) {
        for upstream in self.upstreams.load().iter() {
            upstream.record_success();
        }
    }

    /// Notes that an online request was sent to a full upstream that runs batch items, and wakes the
    /// task in [`GatewayFleet::wait_for_contention`], which makes batch items release their slots.
    pub fn note_contention(&self) {
        if !self.contended.swap(true, Ordering::AcqRel) {
            self.contention_signal.notify();
        }
    }

    /// Waits until batch items must release slots to online requests.
    pub async fn wait_for_contention(&self) {
        loop {
            let contention = self.contention_signal.listen();
            if self.contended.swap(false, Ordering::AcqRel) {
                return;
            }
            contention.await;
        }
    }

    /// Sets the requests and batch items of the other hosts at each upstream. If `complete`, those of
    /// upstreams that `uses` leaves out are set to zero; otherwise they stay as they are.
    pub fn set_remote_use(&self, uses: &[UpstreamUse], complete: bool) {
        let upstreams = self.upstreams.load();
        if complete {
            for upstream in upstreams.iter() {
                upstream.set_remote_use(0, 0);
            }
        }
        for remote in uses {
            let id = remote.upstream_id.as_str();
            let index =
                upstreams.binary_search_by(|upstream| upstream.upstream_id.as_str().cmp(id));
            let Some(upstream) = index.ok().and_then(|index| upstreams.get(index)) else {
                continue;
            };
            upstream.set_remote_use(remote.online, remote.batch);
        }
    }

    /// Replaces the known entry hosts, among which named limits are shared.
    pub fn set_entry_hosts(&self, own_host_id: &str, hosts: &Arc<Vec<Arc<EntryHost>>>) {
        if Arc::ptr_eq(&self.entry_hosts.load().hosts, hosts) {
            return;
        }
        let (own_host_id, hosts) = (own_host_id.to_owned(), hosts.clone());
        let ready = hosts.iter().filter(|host| host.ready).count() as u32;
        self.entry_hosts.store(Arc::new(EntryHosts { own_host_id, hosts, ready }));
        self.update_rate_holders();
    }

    /// Determines for each upstream that names a limit whether this host is one of those that share it.
    fn update_rate_holders(&self) {
        let upstreams = self.upstreams.load();
        for upstream in upstreams.iter().filter(|upstream| !upstream.has_rate_limit()) {
            upstream.clear_rate_holders();
        }
        if !upstreams.iter().any(|upstream| upstream.has_rate_limit()) {
            return;
        }
        let EntryHosts { own_host_id, hosts, .. } = &**self.entry_hosts.load();
        let usable = || upstreams.iter().filter(|upstream| upstream.accepts_work);
        let mut of_service: HashMap<&str, usize> = HashMap::new();
        let mut regions: HashSet<(&str, &str)> = HashSet::new();
        for upstream in usable() {
            *of_service.entry(upstream.service.as_str()).or_default() += 1;
            regions.insert((&upstream.service, &upstream.region));
        }
        for upstream in usable().filter(|upstream| upstream.has_rate_limit()) {
            let service = upstream.service.as_str();
            let candidates = hosts.iter().filter(|host| host.ready).map(|host| HolderCandidate {
                host_id: &host.host_id,
                // A host whose region has no upstream of the service depends on the others.
                is_near: host.region == upstream.region
                    || !regions.contains(&(service, host.region.as_str())),
            });
            let candidates: Vec<HolderCandidate<'_>> = candidates.collect();
            let id = upstream.upstream_id.as_str();
            upstream.set_rate_holders(match candidates.is_empty() {
                true => Some(1),
                false => rate_holders(&candidates, own_host_id, id, of_service[service]),
            });
        }
    }

    /// True while the leader tells this host of the requests of the others, so that it may use what is
    /// left of a named limit.
    pub fn hears_of_others(&self) -> bool {
        let heard_ms = self.leader_heard_ms.load(Ordering::Relaxed);
        heard_ms > 0 && monotonic_ms().saturating_sub(heard_ms) < LEADER_SILENCE_MS
    }

    /// Takes what upstreams told of their speed since the last report.
    pub fn take_speed_reports(&self) -> Vec<UpstreamSpeed> {
        self.upstreams.load().iter().filter_map(|upstream| upstream.take_speed_report()).collect()
    }

    /// Applies lasting speeds that the leader tells.
    pub fn apply_speeds(&self, speeds: &[UpstreamSpeed], revision: u64) {
        for speed in speeds {
            if let Some(upstream) = self.get(&speed.upstream_id) {
                upstream.set_slowdown(speed.slowdown_percent);
            }
        }
        if !speeds.is_empty() {
            self.set_adaptive();
        }
        self.speeds_revision.store(revision, Ordering::Relaxed);
    }

    /// Revision of the lasting speeds that this host knows; 0 before the first.
    pub fn speeds_revision(&self) -> u64 {
        self.speeds_revision.load(Ordering::Relaxed)
    }

    /// Has requests placed by the load of the zones: teams compete for the upstreams, or these differ in speed.
    pub fn set_adaptive(&self) {
        self.is_adaptive.store(true, Ordering::Relaxed);
    }

    /// True if requests are placed by the load of the zones.
    pub fn is_adaptive(&self) -> bool {
        self.is_adaptive.load(Ordering::Relaxed)
    }

    /// Limits and requests of this host at the upstreams that named a limit lately.
    pub fn rate_reports(&self) -> Vec<UpstreamRate> {
        self.upstreams.load().iter().filter_map(|upstream| upstream.rate_report()).collect()
    }

    /// Applies what the leader tells of named limits and of the requests of all others.
    pub fn apply_rates(&self, rates: &[UpstreamRate], epoch: u64) {
        for rate in rates {
            if let Some(upstream) = self.get(&rate.upstream_id) {
                upstream.apply_rate(rate, epoch);
            }
        }
        if self.upstreams.load().iter().any(|upstream| upstream.needs_rate_holders()) {
            self.update_rate_holders();
        }
        self.leader_heard_ms.store(monotonic_ms().max(1), Ordering::Relaxed);
    }

    /// Replaces the upstreams; those that stay in the same incarnation keep their request counts.
    pub fn replace(&self, records: &[UpstreamRecord]) {
        let before = self.upstreams.load();
        let known = |id: &str| {
            before.iter().find(|upstream| upstream.upstream_id == id).map(|upstream| &**upstream)
        };
        let next =
            records.iter().filter_map(|record| Upstream::new(record, known(&record.upstream_id)));
        let next: Vec<Arc<Upstream>> = next.map(Arc::new).collect();
        drop(before);
        self.upstreams.store(Arc::new(next));
        self.update_rate_holders();
    }
}
