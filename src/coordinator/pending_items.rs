use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordinator::free_places::FreePlaces;
use crate::coordinator::running_items::Progress;
use crate::coordinator::{JobPlan, SchedulerInput};
use crate::directory::{Phase, UpstreamRecord};
use crate::ledger::JobHead;
use crate::schema::ledger::NewItem;

/// Longest time for which an item waits for the version that began it. The time until a late return arrives
/// counts as run time, since the leader does not see when a run ends.
const MAX_VERSION_WAIT: Duration = Duration::from_secs(10);

/// A batch item that waits for a slot.
#[derive(Debug)]
pub(super) struct PendingItem {
    pub(super) content: Arc<NewItem>,
    pub(super) progress: Progress,
    pub(super) not_before: Instant,
    /// Time of the last event, or of queueing while there is none; carried over its runs and waits.
    pub(super) idle_since: Instant,
}

impl PendingItem {
    /// True if the item may be sent to an upstream: to continue there, or to start anew if the upstreams that
    /// may continue it are gone, or have had no slot for as long as the item has run, since it then loses
    /// less by starting anew than by waiting.
    pub(super) fn may_run_at(&self, upstream: &UpstreamRecord, input: &SchedulerInput<'_>) -> bool {
        if self.progress.may_continue_at(upstream) {
            return true;
        }
        let mut ready = input.upstreams.iter().filter(|record| record.phase == Phase::Ready);
        // Counted from the last event, so that refusals of its version do not begin the wait anew.
        let wait = self.progress.run_time.min(MAX_VERSION_WAIT);
        input.now.saturating_duration_since(self.idle_since) > wait
            || !ready.any(|record| self.progress.may_continue_at(record))
    }
}

/// The waiting items of one job.
#[derive(Debug)]
struct PendingJob {
    head: Arc<JobHead>,
    /// The plan of the job, and the version of the routes that it was derived from.
    plan: Option<(u64, Arc<JobPlan>)>,
    items: BTreeMap<u32, PendingItem>,
}

/// A waiting item, and the upstream that has a place for it.
#[derive(Clone, Debug)]
pub(super) struct StartableItem<'a> {
    pub(super) job_id: Arc<str>,
    pub(super) item: u32,
    pub(super) upstream: &'a UpstreamRecord,
}

/// Items that wait for a slot, by job. A choice among them costs one step for each job, and for jobs whose
/// services have a free slot one for each item up to the last that is chosen.
#[derive(Debug, Default)]
pub(super) struct PendingItems {
    /// Jobs with waiting items, in the order of their submission.
    jobs: BTreeMap<(u64, Arc<str>), PendingJob>,
    /// Submission time of each of these jobs.
    submitted: HashMap<Arc<str>, u64>,
    len: usize,
}

impl PendingItems {
    pub(super) fn insert(&mut self, head: &Arc<JobHead>, item: u32, pending: PendingItem) {
        let position = (head.submitted_at_unix_ms, head.job_id.clone());
        self.submitted.insert(head.job_id.clone(), head.submitted_at_unix_ms);
        let job = self.jobs.entry(position).or_insert_with(|| PendingJob {
            head: head.clone(),
            plan: None,
            items: BTreeMap::new(),
        });
        self.len += usize::from(job.items.insert(item, pending).is_none());
    }

    pub(super) fn remove(
        &mut self,
        job_id: &str,
        item: u32,
    ) -> Option<(Arc<JobHead>, PendingItem)> {
        let (job_id, submitted) = self.submitted.get_key_value(job_id)?;
        let position = (*submitted, job_id.clone());
        let job = self.jobs.get_mut(&position)?;
        let pending = job.items.remove(&item)?;
        let head = job.head.clone();
        self.len -= 1;
        if job.items.is_empty() {
            self.jobs.remove(&position);
            self.submitted.remove(&position.1);
        }
        Some((head, pending))
    }

    pub(super) fn get(&self, job_id: &str, item: u32) -> Option<&PendingItem> {
        let (job_id, submitted) = self.submitted.get_key_value(job_id)?;
        self.jobs.get(&(*submitted, job_id.clone()))?.items.get(&item)
    }

    pub(super) fn get_mut(
        &mut self,
        job_id: &str,
        item: u32,
    ) -> Option<(&JobHead, &mut PendingItem)> {
        let (job_id, submitted) = self.submitted.get_key_value(job_id)?;
        let job = self.jobs.get_mut(&(*submitted, job_id.clone()))?;
        Some((&*job.head, job.items.get_mut(&item)?))
    }

    /// Drops the items of jobs that are not in `open`.
    pub(super) fn retain_jobs(&mut self, open: &HashSet<&str>) {
        self.jobs.retain(|(_, job_id), _| open.contains(&**job_id));
        self.submitted.retain(|job_id, _| open.contains(&**job_id));
        self.len = self.jobs.values().map(|job| job.items.len()).sum();
    }

    /// The plan of a job with waiting items, by the current routes.
    pub(super) fn plan(
        &mut self,
        job_id: &str,
        input: &SchedulerInput<'_>,
    ) -> Option<Arc<JobPlan>> {
        let (job_id, submitted) = self.submitted.get_key_value(job_id)?;
        Some(self.jobs.get_mut(&(*submitted, job_id.clone()))?.plan(input))
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Up to `limit` items that may be started now, each with one of `places`, which is taken: those that can
    /// still meet their completion target, then the late ones, each group by age.
    pub(super) fn startable<'a>(
        &mut self,
        input: &SchedulerInput<'a>,
        limit: usize,
        places: &mut FreePlaces<'a, '_>,
    ) -> Vec<StartableItem<'a>> {
        let mut late = Vec::new();
        let mut chosen = Vec::new();
        for job in self.jobs.values_mut() {
            let plan = job.plan(input);
            if !places.has_service(&plan) {
                continue;
            }
            if !input.can_meet_target(&plan) {
                late.push((&*job, plan));
                continue;
            }
            job.add_startable(&plan, input.now, limit, places, &mut chosen);
        }
        for (job, plan) in late {
            job.add_startable(&plan, input.now, limit, places, &mut chosen);
        }
        chosen
    }
}

impl PendingJob {
    /// The plan of the job by the current routes.
    fn plan(&mut self, input: &SchedulerInput<'_>) -> Arc<JobPlan> {
        if let Some((_, plan)) =
            self.plan.as_ref().filter(|(version, _)| *version == input.routes_version)
        {
            return plan.clone();
        }
        let plan = Arc::new((input.plan)(&self.head));
        self.plan = Some((input.routes_version, plan.clone()));
        plan
    }

    fn add_startable<'a>(
        &self,
        plan: &JobPlan,
        now: Instant,
        limit: usize,
        places: &mut FreePlaces<'a, '_>,
        chosen: &mut Vec<StartableItem<'a>>,
    ) {
        let mut items: Vec<(&u32, &PendingItem)> = self.items.iter().collect();
        if !self.head.team.is_empty() {
            // The longest first, where teams compete for slots: all items of a job are due at the same time.
            items.sort_by_key(|(_, pending)| std::cmp::Reverse(pending.content.tokens));
        }
        for (item, pending) in items {
            if chosen.len() >= limit || !places.has_service(plan) {
                return;
            }
            if pending.not_before > now {
                continue;
            }
            let Some(upstream) = places.take(plan, pending) else { continue };
            chosen.push(StartableItem { job_id: self.head.job_id.clone(), item: *item, upstream });
        }
    }
}
