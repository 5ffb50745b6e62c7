use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};

use crate::admission::{
    slot_owner, Lapse, LeaseTimes, SlotHolder, SlotLease, SlotOwner, SlotQueue, UseReport,
};
use crate::membership::{Membership, MembershipView};
use crate::peer::{PeerCaller, TrafficClass};
use crate::routing::{Fleet, Upstream};
use crate::schema::peer as wire;
use crate::schema::peer::frame::Body;
use crate::schema::peer::{call, reply, Call};
use crate::telemetry::Counters;

/// Reports in the time to live of a lease, so that a few may be lost.
const REPORTS_PER_LEASE: u64 = 5;

/// Longest time for handing slots back at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Lends slots of upstreams to other hosts and gets the slots that this host uses.
///
/// The path of a request only spends what was lent; reports and grants go on beside it.
#[derive(Clone)]
pub struct SlotExchange {
    shared: Arc<Shared>,
    reporting: Arc<Mutex<Option<JoinHandle<()>>>>,
}

/// What an exchange needs of its host.
pub struct ExchangeParts {
    /// Name of the host.
    pub host_id: String,
    /// Grows with each start of the host.
    pub incarnation: u64,
    /// Region of the host.
    pub region: String,
    /// Time to live of leases.
    pub lease_ms: u64,
    /// Hosts and upstreams.
    pub membership: Membership,
    /// Upstreams whose limits are set.
    pub fleet: Arc<Fleet>,
    /// Requests that wait for slots.
    pub queue: Arc<SlotQueue>,
    /// Calls to other hosts.
    pub caller: Arc<dyn PeerCaller>,
    /// Counters.
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
    /// Slots that this host lends, by upstream.
    owned: BTreeMap<String, Owned>,
    /// Slots that this host was lent, by upstream.
    held: HashMap<String, Held>,
}

struct Owned {
    incarnation: u64,
    owner: SlotOwner,
}

struct Held {
    incarnation: u64,
    /// Id and peer address of the owner.
    owner: (String, String),
    /// The owner has answered a report.
    is_known: bool,
    holder: SlotHolder,
}

impl SlotExchange {
    /// Starts to report and to lend.
    pub fn spawn(parts: ExchangeParts) -> Self {
        let shared = Arc::new(Shared {
            times: LeaseTimes::new(parts.lease_ms),
            parts,
            started: Instant::now(),
            state: Mutex::default(),
        });
        let reporting = task::spawn(report_regularly(shared.clone()));
        Self { shared, reporting: Arc::new(Mutex::new(Some(reporting))) }
    }

    /// Answers a report of another host.
    pub fn receive(&self, report: &wire::SlotReport) -> wire::SlotGrant {
        self.shared.lend(report)
    }

    /// Reports soon, as an owner asked for it.
    pub fn wake(&self) {
        self.shared.parts.queue.ask_for_slots();
    }

    /// Hands all slots back that are not in use, and stops to report.
    pub async fn close(self) {
        let reporting = self.reporting.lock().expect("lock is not poisoned").take();
        if let Some(reporting) = reporting {
            reporting.cancel().await;
        }
        let fleet = self.shared.parts.fleet.load_full();
        fleet.upstreams().for_each(|upstream| {
            upstream.set_limits(0, 0);
        });
        let calls = self.shared.report_all().into_iter();
        let asking =
            calls.map(|(address, report)| ask(self.shared.clone(), address, report, CLOSE_TIMEOUT));
        futures::future::join_all(asking).await;
        fleet.upstreams().for_each(|upstream| {
            upstream.set_limits(0, 0);
        });
    }
}

async fn report_regularly(shared: Arc<Shared>) {
    let interval = Duration::from_millis((shared.parts.lease_ms / REPORTS_PER_LEASE).max(10));
    let demands = shared.parts.queue.slot_demands();
    loop {
        let calls = shared.report_all();
        for (address, report) in calls {
            task::spawn(ask(shared.clone(), address, report, interval));
        }
        let _ = async_std::future::timeout(interval, demands.recv()).await;
    }
}

async fn ask(shared: Arc<Shared>, address: String, report: wire::SlotReport, interval: Duration) {
    let call = call::Call::SlotReport(report);
    let call = Call { traceparent: String::new(), call: Some(call) };
    let caller = &shared.parts.caller;
    let answer = caller.call(&address, TrafficClass::Online, call, interval * 2).await;
    match answer.ok().and_then(|reply| reply.reply) {
        Some(reply::Reply::SlotGrant(grant)) => shared.apply(&grant),
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

    /// Reports to all owners; gives the reports for other hosts with their addresses.
    fn report_all(&self) -> Vec<(String, wire::SlotReport)> {
        let (own, others) = self.make_reports();
        if let Some(report) = own {
            self.apply(&self.lend(&report));
        }
        others
    }

    fn make_reports(&self) -> (Option<wire::SlotReport>, Vec<(String, wire::SlotReport)>) {
        let fleet = self.parts.fleet.load_full();
        let now_ms = self.now_ms();
        let mut state = self.lock();
        self.refresh(&mut state, now_ms);
        state.sequence += 1;
        let sequence = state.sequence;
        let upstreams: Vec<&Arc<Upstream>> = fleet.upstreams().collect();
        let waiting = self.parts.queue.spread_waiting(&upstreams, &self.parts.region, sequence);
        let mut reports: BTreeMap<(String, String), wire::SlotReport> = BTreeMap::new();
        for (upstream, waiting) in upstreams.into_iter().zip(waiting) {
            let Some(held) = state.held.get_mut(&upstream.record.upstream_id) else { continue };
            if held.incarnation != upstream.incarnation {
                continue;
            }
            self.enforce(upstream, held.holder.lapse(now_ms));
            let counts = upstream.slots();
            let is_near = upstream.record.region == self.parts.region;
            let is_idle = counts.slots == 0 && counts.in_use() == 0 && waiting == 0;
            // Another region's slots are not asked for in advance.
            if is_idle && !is_near && held.is_known {
                continue;
            }
            // A new report would void the answer to the one under way.
            if held.holder.is_asking(now_ms, self.times) {
                continue;
            }
            let name = (self.parts.host_id.as_str(), self.parts.incarnation);
            let report = held.holder.report(now_ms, sequence, name, counts, waiting);
            let message = reports.entry(held.owner.clone()).or_insert_with(|| wire::SlotReport {
                holder: self.parts.host_id.clone(),
                holder_incarnation: self.parts.incarnation,
                uses: Vec::new(),
                sequence,
            });
            message.uses.push(slot_use(upstream, &report));
        }
        drop(state);
        let mut own = None;
        let mut others = Vec::new();
        for ((host_id, address), report) in reports {
            match host_id == self.parts.host_id {
                true => own = Some(report),
                false => others.push((address, report)),
            }
        }
        (own, others)
    }

    /// Stops the use of a lease that was not renewed.
    fn enforce(&self, upstream: &Arc<Upstream>, lapse: Lapse) {
        if lapse == Lapse::None {
            return;
        }
        if upstream.slots().slots > 0 {
            self.parts.counters.count("slots.lease_lapsed");
            upstream.set_limits(0, 0);
        }
        while lapse == Lapse::Hold && upstream.cuttable().cut_newest() {}
    }

    /// Puts granted leases in force.
    fn apply(&self, grant: &wire::SlotGrant) {
        let fleet = self.parts.fleet.load_full();
        let now_ms = self.now_ms();
        let mut state = self.lock();
        for lease in &grant.leases {
            let upstream = fleet.upstream(&lease.upstream_id);
            let upstream = upstream.filter(|known| known.incarnation == lease.upstream_incarnation);
            let (Some(upstream), Some(held)) = (upstream, state.held.get_mut(&lease.upstream_id))
            else {
                continue;
            };
            if lease.not_owner || !held.holder.grant(now_ms, self.times, grant.sequence) {
                continue;
            }
            held.is_known = true;
            let counts = upstream.set_limits(lease.online_slots, lease.batch_slots);
            if !lease.cut_batch {
                continue;
            }
            for _ in counts.slots..counts.in_use() {
                if upstream.cuttable().cut_newest() {
                    self.parts.counters.count("batch.cut_for_other_host");
                }
            }
        }
    }

    /// Lends slots to the holder of a report, and asks others to report when that helps.
    fn lend(&self, report: &wire::SlotReport) -> wire::SlotGrant {
        let now_ms = self.now_ms();
        let share = self.parts.queue.share();
        let lease_ms = self.times.use_ms as u32;
        let mut state = self.lock();
        self.refresh(&mut state, now_ms);
        let mut leases = Vec::new();
        let mut notified = BTreeSet::new();
        for slot_use in &report.uses {
            let owned = state.owned.get_mut(&slot_use.upstream_id);
            let owned = owned.filter(|owned| owned.incarnation == slot_use.upstream_incarnation);
            let Some(owned) = owned else {
                leases.push(wire_lease(slot_use, None, lease_ms));
                continue;
            };
            owned.owner.set_share(share);
            let report = use_report(report, slot_use);
            let Some(lease) = owned.owner.report(now_ms, &report) else { continue };
            leases.push(wire_lease(slot_use, Some(lease), lease_ms));
            notified.extend(owned.owner.take_notices());
        }
        let view = state.view.clone();
        drop(state);
        self.notify(&view, &notified);
        wire::SlotGrant { leases, sequence: report.sequence }
    }

    fn notify(&self, view: &MembershipView, host_ids: &BTreeSet<String>) {
        for host in view.hosts.iter().filter(|host| host_ids.contains(&host.record.host_id)) {
            if host.record.host_id == self.parts.host_id {
                self.parts.queue.ask_for_slots();
                continue;
            }
            let notice = Body::SlotNotice(wire::SlotNotice {});
            self.parts.caller.send(&host.record.peer_address, TrafficClass::Online, notice);
        }
    }

    /// Follows the members: finds the owner of each upstream, and starts or ends to lend.
    fn refresh(&self, state: &mut State, now_ms: u64) {
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
                let known = owned.remove(id).filter(|owned| owned.incarnation == incarnation);
                let mut owned = known.unwrap_or_else(|| {
                    let hosts = earlier_holders(&view);
                    let owner = SlotOwner::new(now_ms, self.times, entry.record.slots, hosts);
                    Owned { incarnation, owner }
                });
                owned.owner.set_slots(entry.record.slots);
                state.owned.insert(id.clone(), owned);
            }
            let known = held.remove(id).filter(|held| held.incarnation == incarnation);
            let holder = known.as_ref().map(|held| held.holder.clone()).unwrap_or_default();
            let is_known = known.is_some_and(|held| held.is_known && held.owner == owner);
            state.held.insert(id.clone(), Held { incarnation, owner, is_known, holder });
        }
        state.view = view;
    }
}

/// Hosts that may hold slots that another owner lent them.
fn earlier_holders(view: &MembershipView) -> BTreeSet<String> {
    let hosts = view.hosts.iter().filter(|host| host.record.entry && !host.status.is_removed());
    hosts.map(|host| host.record.host_id.clone()).collect()
}

fn slot_use(upstream: &Upstream, report: &UseReport<'_>) -> wire::SlotUse {
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

/// A lease as a message; without one, this host does not own the slots.
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
