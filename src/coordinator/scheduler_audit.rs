use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordinator::pending_items::PendingItem;
use crate::coordinator::running_items::Progress;
use crate::coordinator::scheduler::{
    is_near, takes_items, MAX_ITEMS_PER_ENTRY_HOST, TERM_START_DELAY,
};
use crate::coordinator::{ItemPlace, JobPlan, OverdueItem, Scheduler, SchedulerInput, WaitReason};
use crate::directory::{Phase, UpstreamRecord};
use crate::ledger::Job;

/// Number of items after which an audit ends with the job that it compares; the next one goes on behind it. It
/// holds the scheduler's lock.
const MAX_AUDITED_ITEMS: usize = 10_000;
/// Time without an event after which an item is overdue unless the fleet is busy: longer than the pauses
/// that upstreams, entry hosts and a change of leader cause.
const OVERDUE_TIME: Duration = Duration::from_secs(5);
/// Run time from which an assigned item is overdue; on a busy upstream a long item runs for some ten seconds.
const LONG_RUN_TIME: Duration = Duration::from_secs(20);
/// Number of the longest idle items whose reason an audit looks up; each costs a step for each upstream.
const MAX_EXAMINED_ITEMS: usize = 8;

/// Result of an audit.
#[derive(Debug, Default)]
pub struct SchedulerAudit {
    /// Unfinished items that were neither waiting nor assigned and are queued again: job and index.
    pub missing: Vec<(Arc<str>, u32)>,
    /// Overdue items among the longest idle ones, the longest idle first.
    pub overdue: Vec<OverdueItem>,
    /// Longest time for which one of the compared items has received no event.
    pub longest_idle_time: Duration,
}

impl Scheduler {
    /// Compares the waiting and the assigned items with the ledger, whose open jobs are given oldest first.
    /// An unfinished item that is in neither table is queued again, since no later event would.
    pub fn audit(&mut self, open_jobs: &[Arc<Job>], input: &SchedulerInput<'_>) -> SchedulerAudit {
        let mut audit = SchedulerAudit::default();
        let mut idle: Vec<IdleItem> = Vec::new();
        let mut compared = 0;
        let start = self.audit_start(open_jobs);
        let (before, after) = open_jobs.split_at(start);
        self.audited_job = None;
        for job in after.iter().chain(before) {
            let job_id = &job.head.job_id;
            if compared >= MAX_AUDITED_ITEMS {
                self.audited_job = Some(job_id.clone());
                break;
            }
            if !self.queued_jobs.contains(job_id) {
                continue;
            }
            let assigned = self.running.of_job(job_id);
            for item in job.unfinished() {
                compared += 1;
                let Some(idle_since) = self.idle_since(job_id, item, assigned.get(&item)) else {
                    self.queue_missing(job, item, input.now);
                    audit.missing.push((job_id.clone(), item));
                    continue;
                };
                let idle_time = input.now.saturating_duration_since(idle_since);
                idle.push(IdleItem { job_id: job_id.clone(), item, idle_time });
            }
        }
        idle.sort_by_key(|item| Reverse(item.idle_time));
        audit.longest_idle_time = idle.first().map_or(Duration::ZERO, |item| item.idle_time);
        let overdue = idle.into_iter().take_while(|item| item.idle_time >= OVERDUE_TIME);
        for IdleItem { job_id, item, idle_time } in overdue.take(MAX_EXAMINED_ITEMS) {
            let Some(place) = self.place_of(&job_id, item, input) else { continue };
            let is_expected = match &place {
                ItemPlace::Waits(reason) => reason.is_expected(),
                ItemPlace::Runs { run_time, .. } => *run_time < LONG_RUN_TIME,
            };
            if !is_expected {
                audit.overdue.push(OverdueItem { job_id, item, idle_time, place });
            }
        }
        audit
    }

    /// Position of the job at which the last audit ended.
    fn audit_start(&self, open_jobs: &[Arc<Job>]) -> usize {
        let Some(job_id) = &self.audited_job else { return 0 };
        open_jobs.iter().position(|job| job.head.job_id == *job_id).unwrap_or(0)
    }

    /// Time of the last event of an item; `None` if it neither waits nor is assigned.
    fn idle_since(&self, job_id: &str, item: u32, assignment_id: Option<&u64>) -> Option<Instant> {
        let waiting = self.pending.get(job_id, item).map(|pending| pending.idle_since);
        waiting.or_else(|| Some(self.running.get(*assignment_id?)?.idle_since))
    }

    fn queue_missing(&mut self, job: &Job, item: u32, now: Instant) {
        let content = job.items[item as usize].clone();
        let progress = Progress::default();
        let pending = PendingItem { content, progress, not_before: now, idle_since: now };
        self.pending.insert(&job.head, item, pending);
    }

    /// Where an item is; `None` if it neither waits nor is assigned.
    fn place_of(
        &mut self,
        job_id: &str,
        item: u32,
        input: &SchedulerInput<'_>,
    ) -> Option<ItemPlace> {
        if let Some(id) = self.running.of_item(job_id, item).first() {
            let assigned = self.running.get(*id)?;
            return Some(ItemPlace::Runs {
                assignment_id: *id,
                host_id: assigned.host_id.clone(),
                upstream_id: assigned.upstream_id.clone(),
                run_time: input.now.saturating_duration_since(assigned.started),
            });
        }
        let plan = self.pending.plan(job_id, input)?;
        let pending = self.pending.get(job_id, item)?;
        Some(ItemPlace::Waits(self.wait_reason(pending, &plan, input)))
    }

    /// Why a waiting item is not assigned.
    fn wait_reason(
        &self,
        pending: &PendingItem,
        plan: &JobPlan,
        input: &SchedulerInput<'_>,
    ) -> WaitReason {
        if self.leader_since.is_none_or(|since| input.now - since < TERM_START_DELAY) {
            return WaitReason::TermStart;
        }
        if pending.not_before > input.now {
            return WaitReason::RetryDelay;
        }
        if plan.services.is_empty() {
            return WaitReason::NoService;
        }
        let mut candidates: Vec<&UpstreamRecord> = input.upstreams.iter().collect();
        candidates.retain(|record| {
            record.phase == Phase::Ready && plan.services.contains(&record.service)
        });
        if candidates.is_empty() {
            return WaitReason::NoUpstream;
        }
        candidates.retain(|record| !self.is_backing_off(&record.upstream_id, input.now));
        if candidates.is_empty() {
            return WaitReason::UpstreamBackoff;
        }
        candidates.retain(|record| self.share(record).free_batch_slots() > 0);
        if candidates.is_empty() {
            return WaitReason::NoFreeSlot;
        }
        candidates.retain(|record| pending.may_run_at(record, input));
        if candidates.is_empty() {
            return WaitReason::OtherVersion;
        }
        candidates.retain(|record| self.has_rate_room(&record.upstream_id, input.now));
        if candidates.is_empty() {
            return WaitReason::RateLimit;
        }
        match self.has_entry_host(&candidates) {
            true => WaitReason::NextSync,
            false => WaitReason::NoEntryHost,
        }
    }

    /// True if an entry host that is near one of the upstreams takes another item.
    fn has_entry_host(&self, records: &[&UpstreamRecord]) -> bool {
        let (zones, regions) = self.served_places();
        let hosts = self.load.values().map(|entry| &entry.host).filter(|host| takes_items(host));
        let mut free = hosts
            .filter(|host| self.running.on_host(&host.host_id).count() < MAX_ITEMS_PER_ENTRY_HOST);
        free.any(|host| records.iter().any(|record| is_near(host, record, &zones, &regions)))
    }
}

/// An unfinished item and the time since its last event.
struct IdleItem {
    job_id: Arc<str>,
    item: u32,
    idle_time: Duration,
}
