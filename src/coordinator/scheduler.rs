use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordinator::failed_attempts::FailedAttempts;
use crate::coordinator::free_places::FreePlaces;
use crate::coordinator::online_load::OnlineLoad;
use crate::coordinator::pending_items::{PendingItem, PendingItems, StartableItem};
use crate::coordinator::running_items::{AssignedItem, Progress, RunningItems};
use crate::coordinator::upstream_speeds::UpstreamSpeeds;
use crate::coordinator::{ItemEnd, RateShares, SchedulerInput, UpstreamShare, UpstreamUseUpdate};
use crate::directory::{Phase, UpstreamRecord};
use crate::ledger::{Job, JobHead};
use crate::schema::ledger::NewItem;
use crate::schema::peer::{
    EntryHost, EntrySync, FailedItem, ItemAssignment, ItemReturn, ItemStop, ReturnItem,
    RunningItem, SlotPressure, StopReason, UpstreamRate, UpstreamSpeed, UpstreamUse,
};

/// Time without a report after which an entry host expires and its items are requeued. The host
/// itself stops them somewhat earlier.
const ENTRY_HOST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of batch items on one entry host; bounds the host's CPU time and memory.
pub(super) const MAX_ITEMS_PER_ENTRY_HOST: usize = 24;
/// Time after the start of a term during which no item is assigned. Entry hosts report the items
/// that they already run in this time, so that no item is started twice.
pub(super) const TERM_START_DELAY: Duration = Duration::from_millis(700);
/// Initial backoff of an upstream that did not run an item or broke its stream; doubles with each
/// consecutive failure.
const UPSTREAM_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum backoff of an upstream; a crashed upstream is back after some seconds.
const MAX_UPSTREAM_BACKOFF: Duration = Duration::from_millis(4_000);
/// Maximum number of ended assignments to keep; entry hosts report an ended assignment for another
/// round trip or two.
const MAX_ENDED_ASSIGNMENTS: usize = 10_000;
/// Delay before an item is assigned again after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time for which an item that has used up its attempts is not assigned while it is given up; longer than a commit.
const GIVE_UP_TIME: Duration = Duration::from_secs(1);

/// Smallest change of an upstream's load, in requests, that is sent to entry hosts in other
/// regions. They choose the upstream only when their own region is full.
const MIN_REMOTE_REGION_CHANGE: u32 = 2;

/// Assigns batch items to entry hosts and upstreams. Only the leader's scheduler is active.
///
/// The scheduler has no durable state. A new leader rebuilds it from the reports of the entry
/// hosts, which list the running items, and from the ledger, which lists the unfinished ones.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Start of the current term; `None` on a follower.
    pub(super) leader_since: Option<Instant>,
    /// Last assignment id or revision that was issued.
    last_issued_id: u64,
    /// Items that wait for a slot.
    pub(super) pending: PendingItems,
    /// Open jobs whose items were queued.
    pub(super) queued_jobs: HashSet<Arc<str>>,
    pub(super) running: RunningItems,
    failed_attempts: FailedAttempts,
    pub(super) load: OnlineLoad,
    /// Limits that upstreams name; `None` on a follower.
    rates: Option<RateShares>,
    speeds: UpstreamSpeeds,
    /// Upstreams whose online load has grown, or where adopted items run, since the last
    /// [`Scheduler::yield_slots`].
    contended_upstreams: HashSet<String>,
    upstream_backoffs: HashMap<String, UpstreamBackoff>,
    /// Ended assignments; entry hosts may still report them for a short time.
    ended_assignments: HashSet<u64>,
    /// Job at which the next audit goes on; `None` for the oldest one.
    pub(super) audited_job: Option<Arc<str>>,
}

#[derive(Debug)]
struct UpstreamBackoff {
    failures: u32,
    until: Instant,
}

impl Scheduler {
    /// Starts or ends a term and resets the state. Returns true if a term starts; the caller must
    /// then call [`Scheduler::reconcile`] before the first report. `base_id` must be above all
    /// assignment ids of earlier terms.
    pub fn set_leading(&mut self, leads: bool, base_id: u64, now: Instant) -> bool {
        if leads == self.leader_since.is_some() {
            return false;
        }
        *self = Self {
            leader_since: leads.then_some(now),
            last_issued_id: base_id,
            rates: leads.then(|| RateShares::open(now)),
            speeds: UpstreamSpeeds::open(base_id),
            ..Self::default()
        };
        leads
    }

    /// True during a term.
    pub fn is_leading(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Reconciles the scheduler with the open jobs of the ledger: queues the items of new jobs, drops
    /// pending items of jobs that are no longer open and marks their running items to be stopped. Items of new
    /// jobs that run already stay where they are.
    pub fn reconcile(&mut self, open_jobs: &[Arc<Job>], now: Instant) {
        let open: HashSet<&str> = open_jobs.iter().map(|job| &*job.head.job_id).collect();
        self.pending.retain_jobs(&open);
        self.failed_attempts.retain_jobs(&open);
        for id in self.running.of_closed_jobs(&open) {
            if let Some(running) = self.running.get_mut(id) {
                running.stop = Some(StopReason::Cancelled);
            }
        }
        self.queued_jobs.retain(|job_id| open.contains(&**job_id));
        for job in open_jobs {
            if !self.queued_jobs.insert(job.head.job_id.clone()) {
                continue;
            }
            for item in job.unfinished() {
                if self.running.resume(&job.head.job_id, item) {
                    continue;
                }
                let content = job.items[item as usize].clone();
                let waiting = PendingItem {
                    content,
                    progress: Progress::default(),
                    not_before: now,
                    idle_since: now,
                };
                self.pending.insert(&job.head, item, waiting);
            }
        }
    }

    /// Removes an item that has a result in the ledger.
    pub fn mark_finished(&mut self, job_id: &str, item: u32) {
        for id in self.running.of_item(job_id, item) {
            if let Some(running) = self.running.remove(id) {
                self.upstream_backoffs.remove(&running.upstream_id);
            }
        }
        self.pending.remove(job_id, item);
        self.failed_attempts.remove(job_id, item);
    }

    /// Applies the report of an entry host: updates its load and requeues assigned items that it
    /// does not run.
    pub fn apply_report(&mut self, host: &EntryHost, sync: &EntrySync, now: Instant) {
        self.load.record_report(host, now);
        self.contended_upstreams.extend(self.load.replace_uses(&host.host_id, &sync.uses));
        if let Some(rates) = &mut self.rates {
            rates.apply_report(&host.host_id, &sync.rates, now);
        }
        self.speeds.record(&sync.speeds);
        let reported: HashSet<u64> = sync.running.iter().map(|item| item.assignment_id).collect();
        // An entry host gives up its earlier sync calls when it sends a report, so an answer whose
        // assignment is missing from this report will never be read.
        let lost = self.running.on_host(&host.host_id).filter(|id| !reported.contains(id));
        let lost: Vec<u64> = lost.collect();
        for id in lost {
            self.requeue(id, now);
        }
    }

    /// Applies the failed attempts that an entry host reports, those under earlier leaders included. Returns the pending
    /// items that have used up their attempts and must be given up, by job id and item.
    pub fn apply_failures(
        &mut self,
        host: &EntryHost,
        failed: &[FailedItem],
        max_attempts: &dyn Fn(&JobHead) -> u32,
        now: Instant,
    ) -> Vec<(String, u32)> {
        let mut given_up = Vec::new();
        for FailedItem { job_id, item, attempts } in failed {
            let is_running = !self.running.of_item(job_id, *item).is_empty();
            let pending = self.pending.get_mut(job_id, *item);
            if !is_running && pending.is_none() {
                continue;
            }
            self.failed_attempts.record(host, job_id, *item, *attempts);
            let Some((head, pending)) = pending.filter(|(_, pending)| pending.not_before <= now)
            else {
                continue;
            };
            if self.failed_attempts.total(job_id, *item) >= max_attempts(head) {
                pending.not_before = now + GIVE_UP_TIME;
                given_up.push((job_id.clone(), *item));
            }
        }
        given_up
    }

    /// Applies a notice that an entry host sends between two reports: its requests at each
    /// upstream, and the items that it already stops to release their slots.
    pub fn apply_pressure(&mut self, pressure: &SlotPressure, now: Instant) {
        let SlotPressure { host_id, uses, yielded } = pressure;
        self.contended_upstreams.extend(self.load.replace_uses(host_id, uses));
        for id in yielded {
            let running = self.running.get_mut(*id).filter(|assigned| assigned.host_id == *host_id);
            let Some(running) = running.filter(|assigned| assigned.stop.is_none()) else {
                continue;
            };
            running.stop = Some(StopReason::Yield);
            running.stop_sent_at = Some(now);
        }
    }

    /// True if one of the reported items has an assignment that is neither running nor ended in
    /// this scheduler.
    pub fn has_unknown_assignments(&self, items: &[RunningItem]) -> bool {
        items.iter().any(|item| !self.is_known_assignment(item.assignment_id))
    }

    fn is_known_assignment(&self, assignment_id: u64) -> bool {
        self.running.get(assignment_id).is_some() || self.ended_assignments.contains(&assignment_id)
    }

    /// Adopts pending items that the entry host already runs because an earlier leader assigned
    /// them.
    pub fn adopt(&mut self, host_id: &str, items: &[RunningItem], jobs: &[Arc<Job>], now: Instant) {
        for item in items {
            let id = item.assignment_id;
            if self.is_known_assignment(id) {
                continue;
            }
            // Clocks of control hosts differ, so ids of earlier terms may be above those of this one.
            self.last_issued_id = self.last_issued_id.max(id);
            let job = jobs.iter().find(|job| *job.head.job_id == *item.job_id);
            if job.is_none_or(|job| job.is_finished(item.item)) {
                continue;
            }
            let Some((head, waiting)) = self.pending.remove(&item.job_id, item.item) else {
                continue;
            };
            self.contended_upstreams.insert(item.upstream_id.clone());
            let running = AssignedItem {
                job: head,
                item: item.item,
                content: waiting.content,
                host_id: host_id.to_owned(),
                upstream_id: item.upstream_id.clone(),
                progress: waiting.progress,
                idle_since: waiting.idle_since,
                started: now,
                stop: None,
                stop_sent_at: None,
            };
            self.running.insert(item.assignment_id, running);
        }
    }

    /// Removes entry hosts whose reports have stopped, requeues their items and returns their ids.
    pub fn expire_entry_hosts(&mut self, now: Instant) -> Vec<String> {
        let expired =
            self.load.values().filter(|entry| now - entry.last_report_at > ENTRY_HOST_TIMEOUT);
        let expired: Vec<String> = expired.map(|entry| entry.host.host_id.clone()).collect();
        for host_id in &expired {
            self.load.remove(host_id);
            let ids: Vec<u64> = self.running.on_host(host_id).collect();
            for id in ids {
                self.requeue(id, now);
            }
        }
        expired
    }

    /// Handles an item that an entry host returns unfinished: requeues it, or gives it up after
    /// `max_attempts` failed attempts.
    pub fn handle_return(
        &mut self,
        item: &ReturnItem,
        max_attempts: &dyn Fn(&JobHead) -> u32,
        now: Instant,
    ) -> ItemEnd {
        let Some(running) = self.running.get_mut(item.assignment_id) else {
            self.record_progress(item);
            return ItemEnd::Unknown;
        };
        let upstream_id = running.upstream_id.clone();
        let yielded = running.stop.is_some();
        if !item.text.is_empty() || item.last_event_id > 0 {
            if item.last_event_id > running.progress.last_event_id {
                running.idle_since = now;
            }
            running.progress.replace_events(item, now - running.started);
        }
        match item.reason() {
            ItemReturn::FailedAttempt => {
                let max_attempts = max_attempts(&running.job);
                if self.record_failure(item) >= max_attempts {
                    // It stays assigned until the ledger has its result: the command may fail, and the
                    // entry host then returns the item again.
                    return ItemEnd::GivenUp;
                }
            }
            ItemReturn::Yielded => {}
            _ if !yielded => self.back_off(&upstream_id, now),
            _ => {}
        }
        self.requeue(item.assignment_id, now);
        ItemEnd::Waits
    }

    /// Records a failed attempt of an assigned item; returns the number of those of the item.
    fn record_failure(&mut self, item: &ReturnItem) -> u32 {
        let assigned = self.running.get(item.assignment_id);
        let entry = assigned.and_then(|assigned| self.load.get(&assigned.host_id));
        if let Some(host) = entry.map(|entry| &entry.host) {
            match item.failed_attempts {
                0 => self.failed_attempts.record_uncounted(host, &item.job_id, item.item),
                attempts => {
                    self.failed_attempts.record(host, &item.job_id, item.item, attempts);
                }
            }
        }
        self.failed_attempts.total(&item.job_id, item.item)
    }

    /// Stores the progress of an item that an earlier leader assigned, if it is pending and the
    /// progress is newer.
    fn record_progress(&mut self, item: &ReturnItem) {
        let Some((_, waiting)) = self.pending.get_mut(&item.job_id, item.item) else { return };
        if item.last_event_id > waiting.progress.last_event_id {
            // When the earlier leader assigned the item is not known.
            waiting.progress.replace_events(item, Duration::ZERO);
        }
    }

    /// Starts or extends the backoff of an upstream.
    fn back_off(&mut self, upstream_id: &str, now: Instant) {
        let backoff = self.upstream_backoffs.entry(upstream_id.to_owned());
        let backoff = backoff.or_insert(UpstreamBackoff { failures: 0, until: now });
        let length = UPSTREAM_BACKOFF * 2_u32.saturating_pow(backoff.failures.min(8));
        backoff.failures += 1;
        backoff.until = now + length.min(MAX_UPSTREAM_BACKOFF);
    }

    /// Remembers an ended assignment; forgets all earlier ones when the limit is reached.
    fn record_ended(&mut self, id: u64) {
        if self.ended_assignments.len() >= MAX_ENDED_ASSIGNMENTS {
            self.ended_assignments.clear();
        }
        self.ended_assignments.insert(id);
    }

    /// Ends an assignment and queues its item again, unless it was cancelled or is finished.
    fn requeue(&mut self, id: u64, now: Instant) {
        let Some(running) = self.running.remove(id) else { return };
        self.record_ended(id);
        let AssignedItem { job, item, content, progress, idle_since, stop, .. } = running;
        if stop == Some(StopReason::Cancelled) {
            return;
        }
        let has_failed = self.failed_attempts.total(&job.job_id, item) > 0;
        let not_before = if has_failed { now + RETRY_DELAY } else { now };
        let waiting = PendingItem { content, progress, not_before, idle_since };
        self.pending.insert(&job, item, waiting);
    }

    /// Slots of an upstream, and how many of them online requests and batch items use.
    pub(super) fn share(&self, upstream: &UpstreamRecord) -> UpstreamShare {
        let id = &upstream.upstream_id;
        let batch = self.running.on_upstream(id).count() as u32;
        UpstreamShare { slots: upstream.slots, online: self.load.total(id), batch }
    }

    /// Marks batch items that must yield their slots on upstreams whose online load has grown.
    /// Returns the entry hosts that have to be notified.
    pub fn yield_slots(&mut self, input: &SchedulerInput<'_>) -> HashSet<String> {
        let mut hosts = HashSet::new();
        for upstream_id in std::mem::take(&mut self.contended_upstreams) {
            let Some(upstream) = input.upstream(&upstream_id) else { continue };
            let mut share = self.share(upstream);
            let assigned_items = self.running.on_upstream(&upstream_id);
            let with_id = |id| self.running.get(id).map(|assigned| (id, assigned));
            let mut assigned_items: Vec<(u64, &AssignedItem)> =
                assigned_items.filter_map(with_id).collect();
            let stopping =
                assigned_items.iter().filter(|(_, assigned)| assigned.stop.is_some()).count()
                    as u32;
            share.batch -= stopping.min(share.batch);
            // Late items yield first, since finishing them is worth little. Within each group the
            // newest yields first: it has the least KV cache content that another upstream must
            // compute again.
            assigned_items.sort_by_key(|(_, assigned)| {
                (input.can_meet_target(&(input.plan)(&assigned.job)), Reverse(assigned.started))
            });
            let running =
                assigned_items.into_iter().filter(|(_, assigned)| assigned.stop.is_none());
            let excess = running.take(share.excess_batch_items() as usize).map(|(id, _)| id);
            for id in excess.collect::<Vec<_>>() {
                let Some(item) = self.running.get_mut(id) else { continue };
                item.stop = Some(StopReason::Yield);
                hosts.insert(item.host_id.clone());
            }
        }
        hosts
    }

    /// True if a stop has to be sent, or sent again, to the entry host.
    pub fn has_due_stops(&self, host_id: &str, now: Instant) -> bool {
        let mut own = self.running.on_host(host_id).filter_map(|id| self.running.get(id));
        own.any(|assigned| assigned.is_stop_due(now))
    }

    /// Stops that have to be sent to the entry host now; marks them as sent.
    pub fn take_due_stops(&mut self, host_id: &str, now: Instant) -> Vec<ItemStop> {
        let own: Vec<u64> = self.running.on_host(host_id).collect();
        let mut stops = Vec::new();
        for id in own {
            let Some(running) =
                self.running.get_mut(id).filter(|assigned| assigned.is_stop_due(now))
            else {
                continue;
            };
            let Some(reason) = running.stop else { continue };
            running.stop_sent_at = Some(now);
            stops.push(ItemStop { assignment_id: id, reason: reason.into() });
        }
        stops
    }

    /// Stops for reported assignments that no longer belong to the entry host.
    pub fn stops_for_stale_assignments(
        &self,
        host_id: &str,
        items: &[RunningItem],
    ) -> Vec<ItemStop> {
        if self.leader_since.is_none() {
            return Vec::new();
        }
        let is_own = |id| {
            self.running.get(id).is_some_and(|assigned: &AssignedItem| assigned.host_id == host_id)
        };
        let stale = items.iter().filter(|item| !is_own(item.assignment_id));
        stale
            .map(|item| ItemStop {
                assignment_id: item.assignment_id,
                reason: StopReason::Cancelled.into(),
            })
            .collect()
    }

    /// Requests of all other entry hosts at each upstream, as an update on `known_revision`. The
    /// update is complete if `known_revision` is 0 or not the last revision that was sent to the
    /// host.
    pub fn uses_of_other_hosts(
        &mut self,
        host_id: &str,
        known_revision: u64,
        input: &SchedulerInput<'_>,
    ) -> UpstreamUseUpdate {
        let own_online = self.load.uses_of_host(host_id);
        let current = input.upstreams.iter().map(|upstream| {
            let id = upstream.upstream_id.as_str();
            let own = own_online.get(id).copied().unwrap_or(0);
            let online = self.load.total(id).saturating_sub(own);
            let running = self.running.on_upstream(id).filter_map(|id| self.running.get(id));
            let batch = running.filter(|assigned| assigned.host_id != host_id).count() as u32;
            (upstream, (online, batch))
        });
        let current: Vec<(&UpstreamRecord, (u32, u32))> = current.collect();
        self.last_issued_id += 1;
        let revision = self.last_issued_id;
        let Some(entry) = self.load.get_mut(host_id) else { return UpstreamUseUpdate::default() };
        let complete = entry.sent_revision != known_revision || known_revision == 0;
        if complete {
            entry.sent_uses.clear();
        }
        entry.sent_revision = revision;
        let mut uses = Vec::new();
        for (upstream, (online, batch)) in current {
            let sent = entry.sent_uses.get(&upstream.upstream_id).copied().unwrap_or((0, 0));
            let change = sent.0.abs_diff(online) + sent.1.abs_diff(batch);
            let is_same_region = upstream.region == entry.host.region;
            if change < if is_same_region { 1 } else { MIN_REMOTE_REGION_CHANGE } && !complete
                || change == 0
            {
                continue;
            }
            entry.sent_uses.insert(upstream.upstream_id.clone(), (online, batch));
            uses.push(UpstreamUse { upstream_id: upstream.upstream_id.clone(), online, batch });
        }
        UpstreamUseUpdate { uses, complete, revision }
    }

    /// Lasting speeds of upstreams that changed after a revision, and the revision of the last change.
    pub fn speeds_since(&self, revision: u64) -> (Vec<UpstreamSpeed>, u64) {
        self.speeds.changes_since(revision)
    }

    /// Forgets the speeds of upstreams that are gone.
    pub fn retain_speeds(&mut self, input: &SchedulerInput<'_>) {
        self.speeds.retain(|id| input.upstream(id).is_some());
    }

    /// Limits that upstreams name and the requests of all others there, as told to an entry host, and
    /// the epoch of the counts.
    pub fn rates_of_others(&mut self, host_id: &str, now: Instant) -> (Vec<UpstreamRate>, u64) {
        let Some(rates) = &mut self.rates else { return Default::default() };
        (rates.for_host(host_id, now), rates.epoch())
    }

    /// True if the limit that an upstream names leaves room for a batch item.
    pub(super) fn has_rate_room(&self, upstream_id: &str, now: Instant) -> bool {
        self.rates.as_ref().is_some_and(|rates| rates.has_batch_room(upstream_id, now))
    }

    /// True if there are pending items.
    pub fn has_pending_items(&self) -> bool {
        self.pending.len() > 0
    }

    /// Assigns pending items to an entry host, on upstreams near it that have free slots. Items
    /// that can still meet their completion target come first, then the late ones; each group is
    /// ordered by age. Ordering by age alone would make all items late under overload.
    pub fn assign(&mut self, host_id: &str, input: &SchedulerInput<'_>) -> Vec<ItemAssignment> {
        let is_past_delay =
            self.leader_since.is_some_and(|since| input.now - since >= TERM_START_DELAY);
        let Some(entry) =
            self.load.get(host_id).filter(|entry| is_past_delay && takes_items(&entry.host))
        else {
            return Vec::new();
        };
        let held = self.running.on_host(host_id).count();
        let capacity = MAX_ITEMS_PER_ENTRY_HOST.saturating_sub(held);
        let mut upstreams = self.near_upstreams(&entry.host, input);
        upstreams.retain(|(record, _)| self.has_rate_room(&record.upstream_id, input.now));
        let has_limit = |id: &str| self.rates.as_ref().is_some_and(|rates| rates.has_limit(id));
        let slowdown = |id: &str| self.speeds.slowdown(id);
        let mut places = FreePlaces::new(input, upstreams, &has_limit, &slowdown);
        if places.is_empty() {
            return Vec::new();
        }
        let startable = self.pending.startable(input, capacity, &mut places);
        startable.iter().map(|item| self.start(item, host_id, input.now)).collect()
    }

    /// Ready upstreams that no other ready entry host is nearer to, with their slots: those in the
    /// host's zone, those in its region whose zone has no ready entry host, and those whose region
    /// has none. Upstreams in backoff are left out.
    fn near_upstreams<'a>(
        &self,
        host: &EntryHost,
        input: &SchedulerInput<'a>,
    ) -> Vec<(&'a UpstreamRecord, UpstreamShare)> {
        let (zones, regions) = self.served_places();
        let usable = input.upstreams.iter().filter(|record| {
            record.phase == Phase::Ready
                && is_near(host, record, &zones, &regions)
                && !self.is_backing_off(&record.upstream_id, input.now)
        });
        usable.map(|record| (record, self.share(record))).collect()
    }

    /// Availability zones and regions with an entry host that takes items.
    pub(super) fn served_places(&self) -> (HashSet<&str>, HashSet<&str>) {
        let hosts = self.load.values().map(|entry| &entry.host).filter(|host| takes_items(host));
        hosts.map(|host| (host.zone.as_str(), host.region.as_str())).unzip()
    }

    pub(super) fn is_backing_off(&self, upstream_id: &str, now: Instant) -> bool {
        self.upstream_backoffs.get(upstream_id).is_some_and(|backoff| backoff.until > now)
    }

    /// Moves a pending item to the running items and builds its assignment.
    fn start(
        &mut self,
        startable: &StartableItem<'_>,
        host_id: &str,
        now: Instant,
    ) -> ItemAssignment {
        let StartableItem { job_id, item, upstream } = startable;
        let (job, pending) =
            self.pending.remove(job_id, *item).expect("only pending items are started");
        let PendingItem { content, mut progress, idle_since, .. } = pending;
        if !progress.may_continue_at(upstream) {
            log::info!(event = "item_starts_anew", job = &*job.job_id, item = *item,
                upstream = upstream.upstream_id.as_str(), last_event = progress.last_event_id;
                "no upstream of the version that began the item has a slot");
            progress.clear_events();
        }
        let upstream_id = upstream.upstream_id.clone();
        if let Some(rates) = &mut self.rates {
            rates.record_batch_item(&upstream_id, now);
        }
        let entry = self.load.get(host_id);
        let failed_attempts =
            entry.map_or(0, |entry| self.failed_attempts.at_host(&entry.host, job_id, *item));
        self.last_issued_id += 1;
        let assignment_id = self.last_issued_id;
        let assignment = ItemAssignment {
            assignment_id,
            job_id: job_id.to_string(),
            item: *item,
            upstream_id: upstream_id.clone(),
            host: job.host.clone(),
            content: Some(NewItem::clone(&content)),
            text: progress.text.clone(),
            last_event_id: progress.last_event_id,
            origin: progress.origin.as_ref().map(Into::into),
            failed_attempts,
        };
        let running = AssignedItem {
            job,
            item: *item,
            content,
            host_id: host_id.to_owned(),
            upstream_id,
            progress,
            idle_since,
            started: now,
            stop: None,
            stop_sent_at: None,
        };
        self.running.insert(assignment_id, running);
        assignment
    }

    /// Where an item is: whether it is pending, and the assignments under which it runs. An item that has no
    /// result is in exactly one of these places.
    pub fn find_item(&self, job_id: &str, item: u32) -> (bool, Vec<u64>) {
        (self.pending.get(job_id, item).is_some(), self.running.of_item(job_id, item))
    }

    /// Numbers of pending and running items.
    pub fn item_counts(&self) -> (usize, usize) {
        (self.pending.len(), self.running.len())
    }
}

/// True if batch items are assigned to an entry host. One that has lost its links reaches no upstream.
pub(super) fn takes_items(host: &EntryHost) -> bool {
    host.ready && !host.links_lost
}

/// True if no host in `zones` or `regions`, where hosts take items, is nearer to the upstream.
pub(super) fn is_near(
    host: &EntryHost,
    record: &UpstreamRecord,
    zones: &HashSet<&str>,
    regions: &HashSet<&str>,
) -> bool {
    if record.zone == host.zone {
        return true;
    }
    let has_zone = zones.contains(record.zone.as_str());
    let has_region = regions.contains(record.region.as_str());
    !has_zone && (record.region == host.region || !has_region)
}
