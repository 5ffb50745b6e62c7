use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordinator::online_load::OnlineLoad;
use crate::coordinator::running_items::{Progress, Running, RunningItems};
use crate::coordinator::{ItemEnd, OthersUse, SchedulerInput, UpstreamShare};
use crate::directory::{Phase, UpstreamRecord};
use crate::ledger::Job;
use crate::schema::peer::{
    EntryHost, EntrySync, ItemAssignment, ItemReturn, ItemStop, ReturnItem, RunningItem,
    SlotPressure, StopReason, UpstreamUse,
};

/// Silence after which the items of an entry host are given to others. The host itself stops them
/// somewhat earlier.
const ENTRY_SILENCE: Duration = Duration::from_millis(2_500);
/// Most batch items on one entry host, which bounds its processor time and memory.
const ITEMS_PER_ENTRY: usize = 24;
/// Time after the start of a term in which entry hosts report what they run, so that nothing is
/// started twice.
const WARM_UP: Duration = Duration::from_millis(700);
/// Pause of an upstream that did not run an item or broke its stream, doubled with each time in a
/// row.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(300);
/// Longest such pause; an upstream that crashed is back after some seconds.
const UPSTREAM_PAUSE_LIMIT: Duration = Duration::from_millis(4_000);
/// Ended assignments that are remembered; hosts report an ended one for a round trip or two.
const ENDED_LIMIT: usize = 10_000;
/// Pause of an item after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Requests by which the load of an upstream in another region must have changed before hosts are told
/// again: they choose it only when their own region is full.
const FAR_CHANGE: u32 = 2;

type ItemKey = (Arc<str>, u32);

/// Assigns batch items to entry hosts and upstreams; only the leader's decides.
///
/// It keeps nothing durable: a new leader learns from the entry hosts what runs, and from the ledger
/// what is left to do.
#[derive(Debug, Default)]
pub struct Scheduler {
    led_since: Option<Instant>,
    next_id: u64,
    /// Open items by the time of their job.
    pending: BTreeMap<(u64, Arc<str>, u32), Waiting>,
    known: HashMap<ItemKey, u64>,
    running: RunningItems,
    load: OnlineLoad,
    /// Upstreams where batch items may have to give way.
    pressed: HashSet<String>,
    pauses: HashMap<String, UpstreamPause>,
    /// Assignments that ended; their hosts may report them until they know.
    ended: HashSet<u64>,
}

#[derive(Debug)]
struct Waiting {
    job: Arc<Job>,
    progress: Progress,
    not_before: Instant,
}

#[derive(Debug)]
struct UpstreamPause {
    failures: u32,
    until: Instant,
}

impl Scheduler {
    /// Starts or ends a term; `first_id` must be above all assignments of earlier terms. True if a term
    /// starts, which needs a [`Scheduler::refresh`] before the first report.
    pub fn set_leading(&mut self, leads: bool, first_id: u64, now: Instant) -> bool {
        if leads == self.led_since.is_some() {
            return false;
        }
        *self = Self { led_since: leads.then_some(now), next_id: first_id, ..Self::default() };
        leads
    }

    /// Compares with the ledger: new items wait, finished and cancelled ones are stopped.
    pub fn refresh(&mut self, open_jobs: &[Arc<Job>], now: Instant) {
        let open: HashSet<&str> = open_jobs.iter().map(|job| job.job_id.as_str()).collect();
        self.pending.retain(|(_, job_id, _), _| open.contains(&**job_id));
        for running in self.running.values_mut() {
            if !open.contains(running.job.job_id.as_str()) {
                running.stop = Some(StopReason::Cancelled);
            }
        }
        self.known.retain(|(job_id, _), _| open.contains(&**job_id));
        for job in open_jobs {
            let job_id: Arc<str> = job.job_id.as_str().into();
            for item in job.unfinished() {
                if self.known.contains_key(&(job_id.clone(), item)) {
                    continue;
                }
                let waiting =
                    Waiting { job: job.clone(), progress: Progress::default(), not_before: now };
                self.known.insert((job_id.clone(), item), 0);
                self.pending.insert((job.submitted_at_unix_ms, job_id.clone(), item), waiting);
            }
        }
    }

    /// The ledger has a result of the item.
    pub fn finished(&mut self, job_id: &str, item: u32) {
        let ids = self.running.iter().filter(|(_, it)| it.job.job_id == job_id && it.item == item);
        let ids: Vec<u64> = ids.map(|(id, _)| id).collect();
        for id in ids {
            if let Some(running) = self.running.remove(id) {
                self.pauses.remove(&running.upstream_id);
            }
        }
        self.pending.retain(|(_, job, index), _| !(&**job == job_id && *index == item));
    }

    /// Takes a report of an entry host.
    pub fn report(&mut self, host: &EntryHost, sync: &EntrySync, now: Instant) {
        self.load.hear(host, now);
        self.pressed.extend(self.load.replace(&host.host_id, &sync.uses));
        let reported: HashSet<u64> = sync.running.iter().map(|it| it.assignment_id).collect();
        // The host asks one question at a time, so an answer that carried an item and did not arrive
        // before this question never will.
        let lost = self.running.of_host(&host.host_id).filter(|id| !reported.contains(id));
        let lost: Vec<u64> = lost.collect();
        for id in lost {
            self.give_back(id, now);
        }
    }

    /// Takes what an entry host tells between two reports: its requests at each upstream, and the
    /// items that already give their slots back.
    pub fn press(&mut self, pressure: &SlotPressure, now: Instant) {
        let SlotPressure { host_id, uses, yielded } = pressure;
        self.pressed.extend(self.load.replace(host_id, uses));
        for id in yielded {
            let running = self.running.get_mut(*id).filter(|it| it.host_id == *host_id);
            let Some(running) = running.filter(|it| it.stop.is_none()) else { continue };
            running.stop = Some(StopReason::Yield);
            running.told = Some(now);
        }
    }

    /// True if the host runs items that this leader has neither assigned nor seen end.
    pub fn has_unknown(&self, items: &[RunningItem]) -> bool {
        items.iter().any(|it| !self.knows(it.assignment_id))
    }

    fn knows(&self, assignment_id: u64) -> bool {
        self.running.get(assignment_id).is_some() || self.ended.contains(&assignment_id)
    }

    /// Takes over items that an entry host runs for an earlier leader.
    pub fn adopt(&mut self, host_id: &str, items: &[RunningItem], jobs: &[Arc<Job>], now: Instant) {
        for item in items {
            let id = item.assignment_id;
            if self.knows(id) {
                continue;
            }
            let Some(job) = jobs.iter().find(|job| job.job_id == item.job_id) else { continue };
            let key = (Arc::<str>::from(item.job_id.as_str()), item.item);
            let place = (job.submitted_at_unix_ms, key.0.clone(), key.1);
            if job.is_finished(item.item) {
                continue;
            }
            let Some(waiting) = self.pending.remove(&place) else { continue };
            self.known.insert(key, item.assignment_id);
            self.pressed.insert(item.upstream_id.clone());
            let running = Running {
                job: job.clone(),
                item: item.item,
                host_id: host_id.to_owned(),
                upstream_id: item.upstream_id.clone(),
                progress: waiting.progress,
                started: now,
                stop: None,
                told: None,
            };
            self.running.insert(item.assignment_id, running);
        }
    }

    /// Drops entry hosts that fell silent and gives their items to others.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let silent = self.load.values().filter(|it| now - it.heard > ENTRY_SILENCE);
        let silent: Vec<String> = silent.map(|it| it.host.host_id.clone()).collect();
        for host_id in &silent {
            self.load.remove(host_id);
            let ids: Vec<u64> = self.running.of_host(host_id).collect();
            for id in ids {
                self.give_back(id, now);
            }
        }
        silent
    }

    /// An entry host gives an item back.
    pub fn returned(
        &mut self,
        item: &ReturnItem,
        max_attempts: &dyn Fn(&Job) -> u32,
        now: Instant,
    ) -> ItemEnd {
        let Some(running) = self.running.get_mut(item.assignment_id) else {
            self.keep_progress(item);
            return ItemEnd::Unknown;
        };
        let upstream_id = running.upstream_id.clone();
        let yielded = running.stop.is_some();
        if !item.text.is_empty() || item.last_event_id > 0 {
            running.progress.text = item.text.clone();
            running.progress.last_event_id = item.last_event_id;
        }
        match item.reason() {
            ItemReturn::FailedAttempt => {
                running.progress.failures += 1;
                if running.progress.failures >= max_attempts(&running.job) {
                    self.running.remove(item.assignment_id);
                    return ItemEnd::GivenUp;
                }
            }
            ItemReturn::Yielded => {}
            _ if !yielded => self.pause(&upstream_id, now),
            _ => {}
        }
        self.give_back(item.assignment_id, now);
        ItemEnd::Waits
    }

    /// Keeps the events of a run that an earlier leader had assigned.
    fn keep_progress(&mut self, item: &ReturnItem) {
        let waiting = self
            .pending
            .iter_mut()
            .find(|((_, job_id, index), _)| **job_id == *item.job_id && *index == item.item);
        let Some((_, waiting)) = waiting else { return };
        if item.last_event_id > waiting.progress.last_event_id {
            waiting.progress.text = item.text.clone();
            waiting.progress.last_event_id = item.last_event_id;
        }
    }

    fn pause(&mut self, upstream_id: &str, now: Instant) {
        let pause = self.pauses.entry(upstream_id.to_owned());
        let pause = pause.or_insert(UpstreamPause { failures: 0, until: now });
        let length = UPSTREAM_PAUSE * 2_u32.saturating_pow(pause.failures.min(8));
        pause.failures += 1;
        pause.until = now + length.min(UPSTREAM_PAUSE_LIMIT);
    }

    fn note_end(&mut self, id: u64) {
        if self.ended.len() >= ENDED_LIMIT {
            self.ended.clear();
        }
        self.ended.insert(id);
    }

    fn give_back(&mut self, id: u64, now: Instant) {
        let Some(running) = self.running.remove(id) else { return };
        self.note_end(id);
        let Running { job, item, progress, stop, .. } = running;
        let job_id: Arc<str> = job.job_id.as_str().into();
        if stop == Some(StopReason::Cancelled) || job.is_finished(item) {
            return;
        }
        let not_before = if progress.failures > 0 { now + RETRY_PAUSE } else { now };
        self.known.insert((job_id.clone(), item), 0);
        let place = (job.submitted_at_unix_ms, job_id, item);
        self.pending.insert(place, Waiting { job, progress, not_before });
    }

    /// Slots of an upstream, and who uses them.
    fn share(&self, upstream: &UpstreamRecord) -> UpstreamShare {
        let id = &upstream.upstream_id;
        let batch = self.running.on_upstream(id).count() as u32;
        UpstreamShare { slots: upstream.slots, online: self.load.total(id), batch }
    }

    /// Marks batch items that must give their slot back on upstreams that got more online requests;
    /// gives the entry hosts that must be told.
    pub fn yield_slots(&mut self, input: &SchedulerInput<'_>) -> HashSet<String> {
        let mut hosts = HashSet::new();
        for upstream_id in std::mem::take(&mut self.pressed) {
            let Some(upstream) = input.upstream(&upstream_id) else { continue };
            let mut share = self.share(upstream);
            let on_it = self.running.on_upstream(&upstream_id);
            let of_id = |id| self.running.get(id).map(|it| (id, it));
            let mut on_it: Vec<(u64, &Running)> = on_it.filter_map(of_id).collect();
            let stopping = on_it.iter().filter(|(_, it)| it.stop.is_some()).count() as u32;
            share.batch -= stopping.min(share.batch);
            // One that is late earns little; the newest has the least in the KV cache that has to be
            // read again elsewhere.
            on_it.sort_by_key(|(_, it)| (input.is_in_time(&it.job), Reverse(it.started)));
            let running = on_it.into_iter().filter(|(_, it)| it.stop.is_none());
            let excess = running.take(share.batch_excess() as usize).map(|(id, _)| id);
            for id in excess.collect::<Vec<_>>() {
                let Some(item) = self.running.get_mut(id) else { continue };
                item.stop = Some(StopReason::Yield);
                hosts.insert(item.host_id.clone());
            }
        }
        hosts
    }

    /// True if there is something to tell the entry host.
    pub fn has_stops(&self, host_id: &str, now: Instant) -> bool {
        let mut own = self.running.of_host(host_id).filter_map(|id| self.running.get(id));
        own.any(|it| it.must_tell(now))
    }

    /// Assignments that the entry host must stop.
    pub fn stops(&mut self, host_id: &str, now: Instant) -> Vec<ItemStop> {
        let own: Vec<u64> = self.running.of_host(host_id).collect();
        let mut stops = Vec::new();
        for id in own {
            let Some(running) = self.running.get_mut(id).filter(|it| it.must_tell(now)) else {
                continue;
            };
            let Some(reason) = running.stop else { continue };
            running.told = Some(now);
            stops.push(ItemStop { assignment_id: id, reason: reason.into() });
        }
        stops
    }

    /// Assignments that an entry host reports and that are not its own any more.
    pub fn strays(&self, host_id: &str, items: &[RunningItem]) -> Vec<ItemStop> {
        if self.led_since.is_none() {
            return Vec::new();
        }
        let is_own = |id| self.running.get(id).is_some_and(|it: &Running| it.host_id == host_id);
        let strays = items.iter().filter(|item| !is_own(item.assignment_id));
        strays
            .map(|item| ItemStop {
                assignment_id: item.assignment_id,
                reason: StopReason::Cancelled.into(),
            })
            .collect()
    }

    /// What changed of the requests of all other entry hosts at each upstream since the host was told
    /// under `known_revision`; all of them if another revision was the last.
    pub fn uses_of_others(
        &mut self,
        host_id: &str,
        known_revision: u64,
        input: &SchedulerInput<'_>,
    ) -> OthersUse {
        let own_online = self.load.of_host(host_id);
        let current = input.upstreams.iter().map(|upstream| {
            let id = upstream.upstream_id.as_str();
            let own = own_online.get(id).copied().unwrap_or(0);
            let online = self.load.total(id).saturating_sub(own);
            let running = self.running.on_upstream(id).filter_map(|id| self.running.get(id));
            let batch = running.filter(|it| it.host_id != host_id).count() as u32;
            (upstream, (online, batch))
        });
        let current: Vec<(&UpstreamRecord, (u32, u32))> = current.collect();
        self.next_id += 1;
        let revision = self.next_id;
        let Some(entry) = self.load.get_mut(host_id) else { return OthersUse::default() };
        let complete = entry.told_revision != known_revision || known_revision == 0;
        if complete {
            entry.told.clear();
        }
        entry.told_revision = revision;
        let mut uses = Vec::new();
        for (upstream, (online, batch)) in current {
            let told = entry.told.get(&upstream.upstream_id).copied().unwrap_or((0, 0));
            let change = told.0.abs_diff(online) + told.1.abs_diff(batch);
            let is_near = upstream.region == entry.host.region;
            if change < if is_near { 1 } else { FAR_CHANGE } && !complete || change == 0 {
                continue;
            }
            entry.told.insert(upstream.upstream_id.clone(), (online, batch));
            uses.push(UpstreamUse { upstream_id: upstream.upstream_id.clone(), online, batch });
        }
        OthersUse { uses, complete, revision }
    }

    /// True if items wait for a slot.
    pub fn has_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Items for an entry host to start now, on upstreams with room near it: the oldest first that
    /// can still be in time, then the late ones. Under overload, oldest first would make all late.
    pub fn assign(&mut self, host_id: &str, input: &SchedulerInput<'_>) -> Vec<ItemAssignment> {
        let is_warm = self.led_since.is_some_and(|since| input.now - since >= WARM_UP);
        let Some(entry) = self.load.get(host_id).filter(|entry| is_warm && entry.host.ready) else {
            return Vec::new();
        };
        let held = self.running.of_host(host_id).count();
        let mut room = ITEMS_PER_ENTRY.saturating_sub(held);
        let mut near = self.near_upstreams(&entry.host, input);
        let mut assigned = Vec::new();
        let waiting = || self.pending.iter().filter(|(_, it)| it.not_before <= input.now);
        let in_time = waiting().filter(|(_, it)| input.is_in_time(&it.job));
        let late = waiting().filter(|(_, it)| !input.is_in_time(&it.job));
        let ordered = in_time.chain(late).map(|(place, _)| place.clone());
        let places: Vec<_> = ordered.take(room).collect();
        for place in places {
            if room == 0 || near.iter().all(|(_, share)| share.batch_room() == 0) {
                break;
            }
            let services = (input.services)(&self.pending[&place].job);
            let with_room = near.iter_mut().filter(|(record, share)| {
                share.batch_room() > 0 && services.contains(&record.service)
            });
            let Some((record, share)) = with_room.max_by_key(|(_, share)| share.batch_room())
            else {
                continue;
            };
            share.batch += 1;
            room -= 1;
            let upstream_id = record.upstream_id.clone();
            assigned.push(self.start(place, host_id, upstream_id, input.now));
        }
        assigned
    }

    /// Upstreams that the entry host is one of the nearest to, with their shares.
    fn near_upstreams<'a>(
        &self,
        host: &EntryHost,
        input: &SchedulerInput<'a>,
    ) -> Vec<(&'a UpstreamRecord, UpstreamShare)> {
        let ready = self.load.values().filter(|entry| entry.host.ready);
        let zones: HashSet<&str> = ready.map(|entry| entry.host.zone.as_str()).collect();
        let ready = self.load.values().filter(|entry| entry.host.ready);
        let regions: HashSet<&str> = ready.map(|entry| entry.host.region.as_str()).collect();
        let is_near = |record: &UpstreamRecord| {
            if record.zone == host.zone {
                return true;
            }
            let has_zone = zones.contains(record.zone.as_str());
            let has_region = regions.contains(record.region.as_str());
            !has_zone && (record.region == host.region || !has_region)
        };
        let is_paused = |id: &str| self.pauses.get(id).is_some_and(|it| it.until > input.now);
        let usable = input.upstreams.iter().filter(|record| {
            record.phase == Phase::Ready && is_near(record) && !is_paused(&record.upstream_id)
        });
        usable.map(|record| (record, self.share(record))).collect()
    }

    fn start(
        &mut self,
        place: (u64, Arc<str>, u32),
        host_id: &str,
        upstream_id: String,
        now: Instant,
    ) -> ItemAssignment {
        let Waiting { job, progress, .. } = self.pending.remove(&place).expect("it is pending");
        let (_, job_id, item) = place;
        self.next_id += 1;
        let assignment_id = self.next_id;
        self.known.insert((job_id.clone(), item), assignment_id);
        let assignment = ItemAssignment {
            assignment_id,
            job_id: job_id.to_string(),
            item,
            upstream_id: upstream_id.clone(),
            host: job.host.clone(),
            content: job.items.get(item as usize).cloned(),
            text: progress.text.clone(),
            last_event_id: progress.last_event_id,
        };
        let running = Running {
            job,
            item,
            host_id: host_id.to_owned(),
            upstream_id,
            progress,
            started: now,
            stop: None,
            told: None,
        };
        self.running.insert(assignment_id, running);
        assignment
    }

    /// Items that wait and that run.
    pub fn counts(&self) -> (usize, usize) {
        (self.pending.len(), self.running.len())
    }
}
