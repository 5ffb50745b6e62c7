use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};

use crate::admission::{
    slot_owner, LeaseState, LeaseTimes, SlotHolder, SlotLease, SlotOwner, SlotQueue, UseReport,
};
use crate::membership::{Membership, MembershipView};
use crate::peer::{PeerCaller, TrafficClass};
use crate::routing::{Fleet, Upstream};
use crate::schema::peer as wire;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{call, reply, Call};
use crate::telemetry::Counters;

/// Reports sent per lease length, so that a lease survives the loss of a few.
const REPORTS_PER_LEASE: u64 = 5;

/// Longest wait for owners to receive the final reports when the exchange closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Grants leases on the slots of upstreams that this host owns, and obtains leases on the slots
/// that it uses.
///
/// Requests only acquire slots of leases that were granted before; reports and grants are exchanged
/// in the background.
#[derive(Clone)]
pub struct SlotExchange {
    shared: Arc<Shared>,
    report_task: Arc<Mutex<Option<JoinHandle<()>>>>,
}

/// Identity and components of the host that an exchange works with.
pub struct ExchangeParts {
    /// Name of the host.
    pub host_id: String,
    /// Increases with each start of the host.
    pub incarnation: u64,
    /// Region of the host.
    pub region: String,
    /// Length of leases in milliseconds.
    pub lease_ms: u64,
    /// Membership of hosts and upstreams.
    pub membership: Membership,
    /// Upstreams whose slot limits follow the leases.
    pub fleet: Arc<Fleet>,
    /// Requests that wait for slots.
    pub queue: Arc<SlotQueue>,
    /// Sends calls to other hosts.
    pub caller: Arc<dyn PeerCaller>,
    /// Counters of slot leases.
    pub counters: Counters,
}

struct Shared {
    parts: ExchangeParts,
    times: LeaseTimes,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    sequence: u64,
    view: Arc<MembershipView>,
    /// Upstreams whose slots this host owns, by id.
    owned: BTreeMap<String, OwnedUpstream>,
    /// Leases that this host holds or requests, by upstream id.
    held: HashMap<String, HeldLease>,
}

struct OwnedUpstream {
    incarnation: u64,
    owner: SlotOwner,
}

struct HeldLease {
    incarnation: u64,
    /// Id and peer address of the host that owns the slots.
    owner: (String, String),
    /// The current owner has granted a lease before.
    is_granted: bool,
    /// A report was due while the answer to the last one was awaited.
    is_report_due: bool,
    holder: SlotHolder,
}

impl SlotExchange {
    /// Starts sending reports and granting leases.
    pub fn spawn(parts: ExchangeParts) -> Self {
        let shared = Arc::new(Shared {
            times: LeaseTimes::new(parts.lease_ms),
            parts,
            started: Instant::now(),
            state: Mutex::default(),
        });
        let report_task = task::spawn(report_periodically(shared.clone()));
        Self { shared, report_task: Arc::new(Mutex::new(Some(report_task))) }
    }

    /// Handles a report of another host and returns its leases.
    pub fn handle_report(&self, report: &wire::SlotReport) -> wire::SlotGrant {
        self.shared.grant_leases(report)
    }

    /// Schedules a report at once, as an owner requested by a notice.
    pub fn report_soon(&self) {
        self.shared.parts.queue.request_report();
    }

    /// Stops the periodic reports and releases all slots that are not in use.
    pub async fn close(self) {
        let report_task = self.report_task.lock().expect("lock is not poisoned").take();
        if let Some(report_task) = report_task {
            report_task.cancel().await;
        }
        let fleet = self.shared.parts.fleet.load_full();
        fleet.upstreams().for_each(|upstream| {
            upstream.set_limits(0, 0);
        });
        let reports = self.shared.report_all().into_iter();
        let sending = reports.map(|(address, report)| {
            send_report(self.shared.clone(), address, report, CLOSE_TIMEOUT)
        });
        futures::future::join_all(sending).await;
        fleet.upstreams().for_each(|upstream| {
            upstream.set_limits(0, 0);
        });
    }
}

async fn report_periodically(shared: Arc<Shared>) {
    let interval = Duration::from_millis((shared.parts.lease_ms / REPORTS_PER_LEASE).max(10));
    let report_requests = shared.parts.queue.report_requests();
    loop {
        let reports = shared.report_all();
        for (address, report) in reports {
            task::spawn(send_report(shared.clone(), address, report, interval));
        }
        let _ = async_std::future::timeout(interval, report_requests.recv()).await;
    }
}

async fn send_report(
    shared: Arc<Shared>,
    address: String,
    report: wire::SlotReport,
    interval: Duration,
) {
    let call = call::Call::SlotReport(report);
    let call = Call { call: Some(call), ..Call::default() };
    let caller = &shared.parts.caller;
    let answer = caller.call(&address, TrafficClass::Online, call, interval * 2).await;
    match answer.ok().and_then(|reply| reply.reply) {
        Some(reply::Reply::SlotGrant(grant)) => shared.apply_grant(&grant),
        _ => shared.parts.counters.count("slots.report_failed"),
    }
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }

    /// Handles the report to this host itself, and returns the reports to other hosts with their
    /// addresses.
    fn report_all(&self) -> Vec<(String, wire::SlotReport)> {
        let (own_report, others) = self.build_reports();
        if let Some(report) = own_report {
            self.apply_grant(&self.grant_leases(&report));
        }
        others
    }

    fn build_reports(&self) -> (Option<wire::SlotReport>, Vec<(String, wire::SlotReport)>) {
        let fleet = self.parts.fleet.load_full();
        let now_ms = self.now_ms();
        let mut state = self.lock();
        self.sync_membership(&mut state, now_ms);
        state.sequence += 1;
        let sequence = state.sequence;
        let upstreams: Vec<&Arc<Upstream>> = fleet.upstreams().collect();
        let waiting =
            self.parts.queue.waiting_by_upstream(&upstreams, &self.parts.region, sequence);
        let mut reports: BTreeMap<(String, String), wire::SlotReport> = BTreeMap::new();
        for (upstream, waiting) in upstreams.into_iter().zip(waiting) {
            let Some(held) = state.held.get_mut(&upstream.record.upstream_id) else { continue };
            if held.incarnation != upstream.incarnation {
                continue;
            }
            self.apply_lease_state(upstream, held.holder.lease_state(now_ms));
            let counts = upstream.slots();
            let is_same_region = upstream.record.region == self.parts.region;
            let is_idle = counts.slots == 0 && counts.in_use() == 0 && waiting == 0;
            // Slots in other regions are requested only while requests wait for them.
            if is_idle && !is_same_region && held.is_granted {
                continue;
            }
            // A new report would invalidate the grant that answers the pending one.
            if held.holder.is_awaiting_grant(now_ms, self.times) {
                held.is_report_due = true;
                continue;
            }
            held.is_report_due = false;
            let identity = (self.parts.host_id.as_str(), self.parts.incarnation);
            let report = held.holder.build_report(now_ms, sequence, identity, counts, waiting);
            let message = reports.entry(held.owner.clone()).or_insert_with(|| wire::SlotReport {
                holder: self.parts.host_id.clone(),
                holder_incarnation: self.parts.incarnation,
                uses: Vec::new(),
                sequence,
            });
            message.uses.push(wire_use(upstream, &report));
        }
        drop(state);
        let mut own_report = None;
        let mut others = Vec::new();
        for ((host_id, address), report) in reports {
            match host_id == self.parts.host_id {
                true => own_report = Some(report),
                false => others.push((address, report)),
            }
        }
        (own_report, others)
    }

    /// Enforces the end of a lease that was not renewed: first no request may start, later none may
    /// run.
    fn apply_lease_state(&self, upstream: &Arc<Upstream>, lease_state: LeaseState) {
        if lease_state == LeaseState::Active {
            return;
        }
        if upstream.slots().slots > 0 {
            self.parts.counters.count("slots.lease_lapsed");
            upstream.set_limits(0, 0);
        }
        while lease_state == LeaseState::Expired && upstream.preemptible().preempt_newest() {}
    }

    /// Applies granted leases to the slot limits of the upstreams.
    fn apply_grant(&self, grant: &wire::SlotGrant) {
        let fleet = self.parts.fleet.load_full();
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let mut is_report_due = false;
        for lease in &grant.leases {
            let upstream = fleet.upstream(&lease.upstream_id);
            let upstream =
                upstream.filter(|upstream| upstream.incarnation == lease.upstream_incarnation);
            let (Some(upstream), Some(held)) = (upstream, state.held.get_mut(&lease.upstream_id))
            else {
                continue;
            };
            if lease.not_owner || !held.holder.accept_grant(now_ms, self.times, grant.sequence) {
                continue;
            }
            held.is_granted = true;
            is_report_due |= std::mem::take(&mut held.is_report_due);
            let counts = upstream.set_limits(lease.online_slots, lease.batch_slots);
            if !lease.cut_batch {
                continue;
            }
            for _ in counts.slots..counts.in_use() {
                if upstream.preemptible().preempt_newest() {
                    self.parts.counters.count("batch.cut_for_other_host");
                }
            }
        }
        drop(state);
        if is_report_due {
            self.parts.queue.request_report();
        }
    }

    /// Grants leases to the holder that sent a report, and notifies hosts whose report would free
    /// or use slots.
    fn grant_leases(&self, report: &wire::SlotReport) -> wire::SlotGrant {
        let now_ms = self.now_ms();
        let batch_policy = self.parts.queue.batch_policy();
        let lease_ms = self.times.use_ms as u32;
        let mut state = self.lock();
        self.sync_membership(&mut state, now_ms);
        let mut leases = Vec::new();
        let mut hosts_to_notify = BTreeSet::new();
        for slot_use in &report.uses {
            let owned = state.owned.get_mut(&slot_use.upstream_id);
            let owned = owned.filter(|owned| owned.incarnation == slot_use.upstream_incarnation);
            let Some(owned) = owned else {
                leases.push(wire_lease(slot_use, None, lease_ms));
                continue;
            };
            owned.owner.set_batch_policy(batch_policy);
            let report = use_report(report, slot_use);
            let Some(lease) = owned.owner.handle_report(now_ms, &report) else { continue };
            leases.push(wire_lease(slot_use, Some(lease), lease_ms));
            hosts_to_notify.extend(owned.owner.hosts_to_notify());
        }
        let view = state.view.clone();
        drop(state);
        self.send_notices(&view, &hosts_to_notify);
        wire::SlotGrant { leases, sequence: report.sequence }
    }

    fn send_notices(&self, view: &MembershipView, host_ids: &BTreeSet<String>) {
        for host in view.hosts.iter().filter(|host| host_ids.contains(&host.record.host_id)) {
            if host.record.host_id == self.parts.host_id {
                self.parts.queue.request_report();
                continue;
            }
            let notice = Body::SlotNotice(wire::SlotNotice {});
            self.parts.caller.send(&host.record.peer_address, TrafficClass::Online, notice);
        }
    }

    /// Follows changes of the membership: finds the owner of each upstream, and starts or stops
    /// owning its slots on this host.
    fn sync_membership(&self, state: &mut State, now_ms: u64) {
        let view = self.parts.membership.view();
        if Arc::ptr_eq(&view, &state.view) {
            return;
        }
        let mut owned = std::mem::take(&mut state.owned);
        let mut held = std::mem::take(&mut state.held);
        for entry in view.upstreams.iter().filter(|entry| !entry.status.is_removed()) {
            let (id, incarnation) = (&entry.record.upstream_id, entry.incarnation);
            let Some(host) = slot_owner(&view, &entry.record) else { continue };
            let owner = (host.record.host_id.clone(), host.record.peer_address.clone());
            if owner.0 == self.parts.host_id {
                let previous = owned.remove(id).filter(|owned| owned.incarnation == incarnation);
                let mut owned = previous.unwrap_or_else(|| {
                    let hosts = potential_holders(&view);
                    let owner = SlotOwner::new(now_ms, self.times, entry.record.slots, hosts);
                    OwnedUpstream { incarnation, owner }
                });
                owned.owner.set_slots(entry.record.slots);
                state.owned.insert(id.clone(), owned);
            }
            let previous = held.remove(id).filter(|held| held.incarnation == incarnation);
            let holder = previous.as_ref().map(|held| held.holder.clone()).unwrap_or_default();
            let is_granted =
                previous.as_ref().is_some_and(|held| held.is_granted && held.owner == owner);
            let is_report_due = previous.is_some_and(|held| held.is_report_due);
            let held = HeldLease { incarnation, owner, is_granted, is_report_due, holder };
            state.held.insert(id.clone(), held);
        }
        state.view = view;
    }
}

/// Hosts that may hold leases of an earlier owner.
fn potential_holders(view: &MembershipView) -> BTreeSet<String> {
    let hosts = view.hosts.iter().filter(|host| host.record.entry && !host.status.is_removed());
    hosts.map(|host| host.record.host_id.clone()).collect()
}

fn wire_use(upstream: &Upstream, report: &UseReport<'_>) -> wire::SlotUse {
    wire::SlotUse {
        upstream_id: upstream.record.upstream_id.clone(),
        upstream_incarnation: upstream.incarnation,
        online_in_use: report.online_in_use,
        batch_in_use: report.batch_in_use,
        online_wanted: report.online_wanted,
        batch_wanted: 0,
        held: report.held,
        online_recent: report.online_recent,
    }
}

fn use_report<'a>(report: &'a wire::SlotReport, slot_use: &wire::SlotUse) -> UseReport<'a> {
    UseReport {
        holder: &report.holder,
        incarnation: report.holder_incarnation,
        sequence: report.sequence,
        held: slot_use.held,
        online_in_use: slot_use.online_in_use,
        batch_in_use: slot_use.batch_in_use,
        online_wanted: slot_use.online_wanted,
        online_recent: slot_use.online_recent,
    }
}

/// Encodes a lease. Without one, the message says that this host does not own the slots.
fn wire_lease(
    slot_use: &wire::SlotUse,
    lease: Option<SlotLease>,
    lease_ms: u32,
) -> wire::SlotLease {
    let not_owner = lease.is_none();
    let lease = lease.unwrap_or_default();
    wire::SlotLease {
        upstream_id: slot_use.upstream_id.clone(),
        upstream_incarnation: slot_use.upstream_incarnation,
        online_slots: lease.slots,
        batch_slots: lease.batch_slots,
        lease_ms,
        not_owner,
        cut_batch: lease.cut_batch,
    }
}
