use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use futures::future::select;

use crate::control::unix_ms;
use crate::coordinator::control_part::lock;
use crate::coordinator::{Coordinator, Scheduler, SchedulerInput};
use crate::ledger::{route_for, Job};
use crate::schema::peer::{ControlSync, EntryHost, EntrySync, ItemAssignment, SlotPressure};
use crate::signal::Signal;

/// Time for which the leader holds a question of an entry host; the load that entry hosts see is so
/// old at most.
const LEADER_HOLD: Duration = Duration::from_millis(60);
/// Part of the hold that each entry host adds, which bounds the questions a second that the leader
/// answers.
const LEADER_HOLD_PER_ENTRY: Duration = Duration::from_millis(2);
/// Longest hold of a question.
const HOLD_LIMIT: Duration = Duration::from_millis(1_000);

/// Questions of other hosts, held until there is news.
impl Coordinator {
    /// Answers an entry host once there is something new, or its question was held long enough.
    pub(super) async fn sync(self: &Arc<Self>, sync: EntrySync) -> ControlSync {
        let leads = self.leads();
        if let Some(entry) = &sync.entry {
            self.take_report(entry, &sync, leads);
        }
        let until = Instant::now() + self.hold(&sync, leads);
        let signal = self.host_signal(sync.entry.as_ref());
        loop {
            let (changed, own) = (self.changed.listen(), signal.listen());
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.has_news(&sync, leads) {
                break;
            }
            Signal::wait(select(changed, own), left).await;
        }
        // A leader that was replaced without noticing must not hand out items.
        let may_assign = leads && sync.entry.is_some() && lock(&self.scheduler).has_waiting();
        let confirmed = may_assign && self.confirm().await.is_ok();
        self.answer(&sync, confirmed)
    }

    fn hold(&self, sync: &EntrySync, leads: bool) -> Duration {
        let asked = Duration::from_millis(sync.wait_ms.into()).min(HOLD_LIMIT);
        if !leads || sync.entry.is_none() {
            return asked;
        }
        let entries = lock(&self.entries).hosts().count() as u32;
        asked.min(LEADER_HOLD.max(LEADER_HOLD_PER_ENTRY * entries))
    }

    fn take_report(&self, entry: &EntryHost, sync: &EntrySync, leads: bool) {
        let now = Instant::now();
        if lock(&self.entries).hear(entry, now) {
            log::info!(event = "entry_host_changed", host = entry.host_id.as_str(),
                ready = entry.ready; "reported");
            self.changed.notify();
        }
        if !leads {
            return;
        }
        self.follow_term(true);
        let mut scheduler = lock(&self.scheduler);
        scheduler.report(entry, sync, now);
        if scheduler.has_unknown(&sync.running) {
            scheduler.adopt(&entry.host_id, &sync.running, &self.ledger.open_jobs(), now);
        }
        self.yield_slots(scheduler, now);
    }

    /// Makes batch items give way and answers the held questions of their entry hosts.
    fn yield_slots(&self, mut scheduler: MutexGuard<'_, Scheduler>, now: Instant) {
        let hosts = self.with_input(now, |input| scheduler.yield_slots(input));
        drop(scheduler);
        if hosts.is_empty() {
            return;
        }
        let signals = lock(&self.host_signals);
        for signal in hosts.iter().filter_map(|host_id| signals.get(host_id)) {
            signal.notify();
        }
    }

    /// Notified when there is something to tell one entry host.
    fn host_signal(&self, entry: Option<&EntryHost>) -> Arc<Signal> {
        let Some(entry) = entry else { return Arc::default() };
        lock(&self.host_signals).entry(entry.host_id.clone()).or_default().clone()
    }

    /// Makes batch items give way to the online requests of an entry host.
    pub fn take_pressure(&self, pressure: &SlotPressure) {
        if !self.leads() {
            return;
        }
        let now = Instant::now();
        let mut scheduler = lock(&self.scheduler);
        scheduler.press(pressure, now);
        self.yield_slots(scheduler, now);
    }

    /// What the scheduler decides from, besides its own state.
    fn with_input<T>(&self, now: Instant, decide: impl FnOnce(&SchedulerInput<'_>) -> T) -> T {
        let routes = self.ledger.routes();
        let upstreams = self.upstreams();
        let route = |job: &Job| route_for(&routes.routes, &job.host, &job.path);
        let services = |job: &Job| {
            let shares = route(job).into_iter().flat_map(|route| &route.shares);
            shares.filter(|it| it.weight > 0).map(|it| it.service.clone()).collect::<Vec<_>>()
        };
        let due_unix_ms = |job: &Job| {
            let target_ms = route(job).map_or(0, |route| u64::from(route.completion_target_ms));
            job.submitted_at_unix_ms + target_ms
        };
        decide(&SchedulerInput {
            upstreams: &upstreams,
            services: &services,
            due_unix_ms: &due_unix_ms,
            now_unix_ms: unix_ms(),
            now,
        })
    }

    fn has_news(&self, sync: &EntrySync, leads: bool) -> bool {
        if lock(&self.directory).revision() != (sync.directory_epoch, sync.directory_revision) {
            return true;
        }
        let routes = self.ledger.routes().version > sync.routes_version;
        let entries = lock(&self.entries).revision() != sync.entries_revision;
        let host = sync.entry.as_ref().filter(|_| leads);
        let stops = host
            .is_some_and(|entry| lock(&self.scheduler).has_stops(&entry.host_id, Instant::now()));
        routes || sync.entry.is_some() && entries || stops
    }

    fn answer(&self, sync: &EntrySync, may_assign: bool) -> ControlSync {
        let leads = self.leads();
        let routes = self.ledger.routes();
        let mut answer = ControlSync {
            leads,
            routes: (routes.version > sync.routes_version).then(|| (*routes).clone()),
            control_addresses: self.replica.control_addresses(),
            uptime_ms: self.started.elapsed().as_millis() as u64,
            ..ControlSync::default()
        };
        {
            let directory = lock(&self.directory);
            (answer.directory_epoch, answer.directory_revision) = directory.revision();
            answer.upstreams =
                directory.changes_since(sync.directory_epoch, sync.directory_revision);
        }
        {
            let entries = lock(&self.entries);
            answer.entries_revision = entries.revision();
            if answer.entries_revision != sync.entries_revision {
                answer.entries = entries.hosts().cloned().collect();
            }
        }
        let Some(entry) = sync.entry.as_ref().filter(|_| leads) else { return answer };
        let now = Instant::now();
        let mut scheduler = lock(&self.scheduler);
        answer.stops = scheduler.stops(&entry.host_id, now);
        answer.stops.extend(scheduler.strays(&entry.host_id, &sync.running));
        if may_assign {
            answer.assignments = self.assign(&mut scheduler, &entry.host_id, now);
        }
        let others = self.with_input(now, |input| {
            scheduler.uses_of_others(&entry.host_id, sync.uses_revision, input)
        });
        answer.uses = others.uses;
        answer.uses_complete = others.complete;
        answer.uses_revision = others.revision;
        answer
    }

    fn assign(
        &self,
        scheduler: &mut Scheduler,
        host_id: &str,
        now: Instant,
    ) -> Vec<ItemAssignment> {
        let assignments = self.with_input(now, |input| scheduler.assign(host_id, input));
        for it in &assignments {
            log::info!(event = "item_assigned", job = it.job_id.as_str(), item = it.item,
                assignment = it.assignment_id, host = host_id, upstream = it.upstream_id.as_str(),
                after_event = it.last_event_id; "assigned");
        }
        assignments
    }
}
