use std::sync::Arc;
use std::time::Duration;

use crate::coordinator::pending_items::PendingItem;
use crate::coordinator::running_items::Progress;
use crate::coordinator::scheduler::{takes_items, MAX_ITEMS_PER_ENTRY_HOST, TERM_START_DELAY};
use crate::coordinator::{ItemPlace, JobPlan, OverdueItem, Scheduler, SchedulerInput, WaitReason};
use crate::directory::{Phase, UpstreamRecord};
use crate::ledger::Job;

/// Maximum number of items that one audit compares, so that it takes some milliseconds whatever the number
/// of open items. The next audit goes on behind them.
const MAX_AUDITED_ITEMS: usize = 20_000;
/// Time without an event after which an item is overdue unless the fleet is busy: longer than the pauses
/// that upstreams, entry hosts and a change of leader cause.
const OVERDUE_TIME: Duration = Duration::from_secs(5);
/// Run time from which an assigned item is overdue; on a busy upstream a long item runs for some ten seconds.
const LONG_RUN_TIME: Duration = Duration::from_secs(20);
/// Maximum number of overdue items that one audit names.
const MAX_NAMED_ITEMS: usize = 4;

/// Result of an audit.
#[derive(Debug, Default)]
pub struct SchedulerAudit {
    /// Unfinished items that were neither waiting nor assigned and are queued again: job and index.
    pub missing: Vec<(Arc<str>, u32)>,
    /// Overdue items, the longest idle first; only a few are named.
    pub overdue: Vec<OverdueItem>,
    /// Longest time for which one of the compared items has received no event.
    pub longest_idle_time: Duration,
}

impl Scheduler {
    /// Compares the waiting and the assigned items with the ledger, whose open jobs are given oldest first.
    /// An unfinished item that is in neither table is queued again, since no later event would.
    pub fn audit(&mut self, open_jobs: &[Arc<Job>], input: &SchedulerInput<'_>) -> SchedulerAudit {
        let mut audit = SchedulerAudit::default();
        let mut compared = 0;
        let start = self.audit_start(open_jobs);
        let (before, after) = open_jobs.split_at(start);
        self.audited_job = None;
        for job in after.iter().chain(before) {
            if compared >= MAX_AUDITED_ITEMS {
                self.audited_job = Some(job.head.job_id.clone());
                break;
            }
            if !self.queued_jobs.contains(&job.head.job_id) {
                continue;
            }
            for item in job.unfinished() {
                compared += 1;
                self.audit_item(job, item, input, &mut audit);
            }
        }
        audit
    }

    /// Position of the job at which the last audit ended.
    fn audit_start(&self, open_jobs: &[Arc<Job>]) -> usize {
        let Some(job_id) = &self.audited_job else { return 0 };
        open_jobs.iter().position(|job| job.head.job_id == *job_id).unwrap_or(0)
    }

    fn audit_item(
        &mut self,
        job: &Job,
        item: u32,
        input: &SchedulerInput<'_>,
        audit: &mut SchedulerAudit,
    ) {
        let job_id = &job.head.job_id;
        let waiting = self.pending.get(job_id, item).map(|pending| pending.idle_since);
        let running = self.running.of_item(job_id, item).first().copied();
        let assigned = running.and_then(|id| self.running.get(id));
        let Some(idle_since) = waiting.or(assigned.map(|assigned| assigned.idle_since)) else {
            let content = job.items[item as usize].clone();
            let progress = Progress::default();
            let (not_before, idle_since) = (input.now, input.now);
            let pending = PendingItem { content, progress, not_before, idle_since };
            self.pending.insert(&job.head, item, pending);
            audit.missing.push((job_id.clone(), item));
            return;
        };
        let idle_time = input.now.saturating_duration_since(idle_since);
        audit.longest_idle_time = audit.longest_idle_time.max(idle_time);
        let shortest = audit.overdue.last().filter(|_| audit.overdue.len() >= MAX_NAMED_ITEMS);
        if idle_time < OVERDUE_TIME || shortest.is_some_and(|it| it.idle_time >= idle_time) {
            return;
        }
        let Some(place) = self.place_of(job_id, item, input) else { return };
        let is_expected = match &place {
            ItemPlace::Waits(reason) => reason.is_expected(),
            ItemPlace::Runs { run_time, .. } => *run_time < LONG_RUN_TIME,
        };
        if is_expected {
            return;
        }
        let overdue = OverdueItem { job_id: job_id.clone(), item, idle_time, place };
        let position = audit.overdue.partition_point(|it| it.idle_time >= idle_time);
        audit.overdue.insert(position, overdue);
        audit.overdue.truncate(MAX_NAMED_ITEMS);
    }

    /// Where an item is; `None` if it neither waits nor is assigned.
    pub fn place_of(
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
        match candidates.iter().any(|record| self.has_entry_host(record)) {
            true => WaitReason::NextSync,
            false => WaitReason::NoEntryHost,
        }
    }

    /// True if an entry host that is near the upstream takes another item.
    fn has_entry_host(&self, record: &UpstreamRecord) -> bool {
        let hosts = self.load.values().map(|entry| &entry.host);
        hosts
            .filter(|host| takes_items(host) && self.is_near(host, record))
            .any(|host| self.running.on_host(&host.host_id).count() < MAX_ITEMS_PER_ENTRY_HOST)
    }
}
