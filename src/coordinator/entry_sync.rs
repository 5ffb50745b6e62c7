use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use async_std::task;
use futures::future::select;

use crate::boot_instant::BootInstant;
use crate::control::unix_ms;
use crate::coordinator::control_role::lock;
use crate::coordinator::fleet_relay::set_entries;
use crate::coordinator::report_log::AppliedReport;
use crate::coordinator::{Coordinator, JobPlan, Scheduler, SchedulerInput};
use crate::ledger::{find_route, JobHead};
use crate::schema::peer::{ControlSync, EntryHost, EntrySync, ItemAssignment, SlotPressure};
use crate::schema::routes::Route;
use crate::signal::Signal;

/// Time for which the leader keeps a sync call of an entry host waiting for changes, in a fleet
/// with few entry hosts. Bounds the age of the load that entry hosts see.
const LEADER_BASE_WAIT: Duration = Duration::from_millis(60);
/// Waiting time per entry host in a larger fleet. Bounds the sync calls that the leader answers to a thousand
/// a second.
const LEADER_WAIT_PER_ENTRY_HOST: Duration = Duration::from_millis(1);
/// Waiting time in multiples of the time that tasks of the leader wait for its executor. A leader that is short of
/// processor time would otherwise spend all of it on sync calls with little news, and none on reads and commits.
const LEADER_WAIT_PER_LAG: u32 = 4;
/// Maximum time for which a sync call waits for changes.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Sync calls of other hosts, served by long polling: a call waits until there are changes to
/// return.
impl Coordinator {
    /// Answers a sync call once there are changes or its waiting time is over.
    pub(super) async fn handle_sync(self: &Arc<Self>, sync: EntrySync) -> ControlSync {
        let (arrived, leads) = (BootInstant::now(), self.leads());
        let report = sync.entry.as_ref().and_then(|entry| self.apply_report(entry, &sync));
        self.record_leaving(&sync);
        if sync.entry.is_none() {
            self.routes_holders.record(&sync.sender_address, sync.routes_version);
        }
        let leader = self.named_leader();
        self.crashes.merge(&sync.crashes);
        let until = Instant::now() + self.wait_limit(&sync, leads);
        let signal = self.entry_host_signal(sync.entry.as_ref());
        loop {
            let changed = select(self.changed.listen(), self.crashes.changed().listen());
            let own = signal.listen();
            let left = until.saturating_duration_since(Instant::now());
            let has_new_leader = !self.named_leader().is_same(&leader);
            if left.is_zero() || has_new_leader || self.has_changes(&sync, leads) {
                break;
            }
            Signal::wait(select(changed, own), left).await;
        }
        // A leader that does not know yet that it was replaced must neither assign items nor cancel those
        // that its successor has assigned.
        let needs_quorum = report.is_some() && self.needs_quorum(&sync);
        let confirmed = needs_quorum && self.is_confirmed_leader().await;
        let mut answer = self.build_answer(&sync, report, confirmed);
        answer.routes_confirmation = self.routes_confirmation(arrived);
        answer
    }

    /// True if the answer may contain assignments or cancellations.
    fn needs_quorum(&self, sync: &EntrySync) -> bool {
        let Some(entry) = &sync.entry else { return false };
        let scheduler = lock(&self.scheduler);
        scheduler.has_pending_items()
            || !scheduler.stops_for_stale_assignments(&entry.host_id, &sync.running).is_empty()
    }

    /// Time for which a sync call may wait for changes.
    fn wait_limit(&self, sync: &EntrySync, leads: bool) -> Duration {
        let requested = Duration::from_millis(sync.wait_ms.into()).min(MAX_WAIT);
        if !leads || sync.entry.is_none() {
            return requested;
        }
        requested.min(leader_wait(lock(&self.entries).list().len(), self.executor_lag.get()))
    }

    /// Records the entry host and, on the leader, applies its report to the scheduler. Returns the report if
    /// it was applied.
    fn apply_report(
        self: &Arc<Self>,
        entry: &EntryHost,
        sync: &EntrySync,
    ) -> Option<AppliedReport> {
        let now = Instant::now();
        let mut entries = lock(&self.entries);
        entries.record_routes_version(&entry.host_id, sync.routes_version);
        let is_changed = entries.upsert(entry, now);
        drop(entries);
        if is_changed {
            log::info!(event = "entry_host_changed", host = entry.host_id.as_str(),
                ready = entry.ready; "entry host reported a change");
            self.entries_changed.notify();
        }
        if !sync.has_report {
            return None;
        }
        let mut scheduler = self.current_scheduler();
        let report = lock(&self.reports).record(&entry.host_id)?;
        scheduler.apply_report(entry, sync, now);
        if scheduler.has_unknown_assignments(&sync.running) {
            scheduler.adopt(&entry.host_id, &sync.running, &self.ledger().open_jobs(), now);
        }
        let routes = self.ledger().routes();
        let mut team_paces = lock(&self.team_paces);
        team_paces.set_routes(&routes, now);
        team_paces.apply_report(entry, sync.team_epoch, &sync.team_uses, now);
        drop(team_paces);
        let max_attempts = |job: &JobHead| max_attempts(job, &routes.routes);
        let given_up = scheduler.apply_failures(entry, &sync.failed_items, &max_attempts, now);
        self.yield_slots(scheduler, now);
        if !given_up.is_empty() {
            self.give_up_pending(given_up);
        }
        Some(report)
    }

    /// Ends pending items that have used up their attempts under earlier leaders.
    fn give_up_pending(self: &Arc<Self>, items: Vec<(String, u32)>) {
        log::info!(event = "items_given_up", items = items.len();
            "items have used up their attempts under earlier leaders");
        let coordinator = self.clone();
        // If it fails, the next report of the entry host has it tried again.
        task::spawn(async move { coordinator.give_up(items).await });
    }

    /// Makes batch items yield their slots and wakes the pending sync calls of their entry hosts.
    fn yield_slots(&self, mut scheduler: MutexGuard<'_, Scheduler>, now: Instant) {
        let hosts = self.with_scheduler_input(now, |input| scheduler.yield_slots(input));
        drop(scheduler);
        if hosts.is_empty() {
            return;
        }
        let signals = lock(&self.entry_host_signals);
        for signal in hosts.iter().filter_map(|host_id| signals.get(host_id)) {
            signal.notify();
        }
    }

    /// Signal that wakes the pending sync call of one entry host.
    fn entry_host_signal(&self, entry: Option<&EntryHost>) -> Arc<Signal> {
        let Some(entry) = entry else { return Arc::default() };
        lock(&self.entry_host_signals).entry(entry.host_id.clone()).or_default().clone()
    }

    /// Makes batch items yield their slots to the online requests of an entry host. Ignored unless
    /// this host is the leader.
    pub fn handle_slot_pressure(&self, pressure: &SlotPressure) {
        if !self.leads() {
            return;
        }
        let now = Instant::now();
        let mut scheduler = self.current_scheduler();
        scheduler.apply_pressure(pressure, now);
        self.yield_slots(scheduler, now);
    }

    /// Calls `decide` with the current inputs of the scheduler.
    pub(super) fn with_scheduler_input<T>(
        &self,
        now: Instant,
        decide: impl FnOnce(&SchedulerInput<'_>) -> T,
    ) -> T {
        let routes = self.ledger().routes();
        let upstreams = self.upstreams();
        let plan = |job: &JobHead| job_plan(job, &routes.routes);
        decide(&SchedulerInput {
            upstreams: &upstreams,
            routes_version: routes.version,
            plan: &plan,
            now_unix_ms: unix_ms(),
            now,
        })
    }

    fn has_changes(&self, sync: &EntrySync, leads: bool) -> bool {
        let is_directory_new = match sync.entry.is_some() {
            true => self.relay.has_changes(sync),
            false => {
                let known = (sync.directory_epoch, sync.directory_revision);
                lock(&self.directory).version() != known
                    || lock(&self.entries).list().revision() != sync.entries_revision
            }
        };
        if is_directory_new || self.relay.control_hosts().hash != sync.control_hosts_hash {
            return true;
        }
        if self.crashes.has_changes_since(sync.crashes_epoch, sync.crashes_revision) {
            return true;
        }
        let known_version = match sync.omits_routes {
            true => sync.routes_version.max(sync.heard_routes_version),
            false => sync.routes_version,
        };
        let has_new_routes = self.routes().version > known_version;
        let host = sync.entry.as_ref().filter(|_| leads);
        let has_due_stops = host.is_some_and(|entry| {
            lock(&self.scheduler).has_due_stops(&entry.host_id, Instant::now())
        });
        has_new_routes || has_due_stops
    }

    /// Answers a sync call; with decisions of the scheduler only if `report` is the newest one that the
    /// current term has applied from its host.
    fn build_answer(
        &self,
        sync: &EntrySync,
        report: Option<AppliedReport>,
        is_confirmed: bool,
    ) -> ControlSync {
        let leader = self.named_leader();
        let leads = self.leads() && leader.address == self.settings.peer_address.to_string();
        let routes = self.routes();
        let sends_routes = routes.version > sync.routes_version && !sync.omits_routes;
        let control_hosts = self.relay.control_hosts();
        let is_list_known = control_hosts.hash == sync.control_hosts_hash;
        // Read before the records: a record that changes in between is then sent once more.
        let crashes_version = self.crashes.version();
        let mut answer = ControlSync {
            leads,
            routes: sends_routes.then(|| (*routes).clone()),
            routes_version: routes.version,
            control_hosts_hash: control_hosts.hash,
            control_hosts: if is_list_known { Vec::new() } else { control_hosts.hosts.clone() },
            leader_address: leader.address,
            leader_term: leader.term,
            crashes: self.crashes.changes_since(sync.crashes_epoch, sync.crashes_revision),
            uptime_ms: self.started.elapsed().as_millis() as u64,
            ..ControlSync::default()
        };
        (answer.crashes_epoch, answer.crashes_revision) = crashes_version;
        match sync.entry.is_some() {
            true => self.relay.fill_answer(sync, &mut answer),
            false => self.fill_own_directory(sync, &mut answer),
        }
        let (Some(entry), Some(report)) = (&sync.entry, report.filter(|_| leads)) else {
            return answer;
        };
        let now = Instant::now();
        let mut scheduler = self.current_scheduler();
        if !lock(&self.reports).may_decide(&entry.host_id, report) {
            return answer;
        }
        answer.stops = scheduler.take_due_stops(&entry.host_id, now);
        if is_confirmed {
            // The ledger is current now; when the report came, it may have lacked the jobs of the items.
            if scheduler.has_unknown_assignments(&sync.running) {
                let open_jobs = self.ledger().open_jobs();
                scheduler.reconcile(&open_jobs, now);
                scheduler.adopt(&entry.host_id, &sync.running, &open_jobs, now);
            }
            let stale = scheduler.stops_for_stale_assignments(&entry.host_id, &sync.running);
            answer.stops.extend(stale);
            answer.assignments = self.assign(&mut scheduler, &entry.host_id, now);
        }
        let update = self.with_scheduler_input(now, |input| {
            scheduler.uses_of_other_hosts(&entry.host_id, sync.uses_revision, input)
        });
        answer.uses = update.uses;
        answer.uses_complete = update.complete;
        answer.uses_revision = update.revision;
        (answer.speeds, answer.speeds_revision) = scheduler.speeds_since(sync.speeds_revision);
        answer.team_paces = Some(lock(&self.team_paces).paces(now));
        (answer.rates, answer.rates_epoch) = scheduler.rates_of_others(&entry.host_id, now);
        answer
    }

    /// Fills in what this host learned itself, for another control host.
    fn fill_own_directory(&self, sync: &EntrySync, answer: &mut ControlSync) {
        let directory = lock(&self.directory);
        (answer.directory_epoch, answer.directory_revision) = directory.version();
        answer.upstreams = directory.changes_since(sync.directory_epoch, sync.directory_revision);
        drop(directory);
        let is_known = answer.directory_epoch == sync.directory_epoch;
        let known_revision = if is_known { sync.entries_revision } else { 0 };
        set_entries(answer, lock(&self.entries).list(), known_revision);
    }

    fn assign(
        &self,
        scheduler: &mut Scheduler,
        host_id: &str,
        now: Instant,
    ) -> Vec<ItemAssignment> {
        let assignments = self.with_scheduler_input(now, |input| scheduler.assign(host_id, input));
        for assignment in &assignments {
            log::info!(event = "item_assigned", job = assignment.job_id.as_str(),
                item = assignment.item, assignment = assignment.assignment_id, host = host_id,
                upstream = assignment.upstream_id.as_str(), after_event = assignment.last_event_id;
                "item assigned to an upstream");
        }
        assignments
    }
}

/// Time for which the leader keeps the sync call of one of `entry_hosts` waiting, if its tasks run late by
/// `executor_lag`.
pub fn leader_wait(entry_hosts: usize, executor_lag: Duration) -> Duration {
    let fleet_wait = LEADER_WAIT_PER_ENTRY_HOST * entry_hosts as u32;
    LEADER_BASE_WAIT.max(fleet_wait).max(LEADER_WAIT_PER_LAG * executor_lag)
}

/// Most failed attempts of an item of a job.
pub(super) fn max_attempts(job: &JobHead, routes: &[Route]) -> u32 {
    let route = find_route(routes, &job.host, &job.path);
    route.map_or(1, |route| route.max_attempts.max(1))
}

/// What the routes say of a job.
fn job_plan(job: &JobHead, routes: &[Route]) -> JobPlan {
    let Some(route) = find_route(routes, &job.host, &job.path) else {
        return JobPlan { services: Vec::new(), due_unix_ms: job.submitted_at_unix_ms };
    };
    let shares = route.shares.iter().filter(|share| share.weight > 0);
    JobPlan {
        services: shares.map(|share| share.service.clone()).collect(),
        due_unix_ms: job.submitted_at_unix_ms + u64::from(route.completion_target_ms),
    }
}
