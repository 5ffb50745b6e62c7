use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::state::bodies::Bodies;
use crate::state::command::{Holder, ItemFinish, NewJob};
use crate::state::configuration_table::ConfigurationTable;
use crate::state::files::Files;
use crate::state::item_attempt::ItemAttempt;
use crate::state::job::{Job, JobState};
use crate::state::outcome::{FinishVerdict, Outcome};
use crate::state::ready_jobs::ReadyJobs;
use crate::state::refusal::Refusal;

/// Bounds the memory of one job and the time that it takes to copy it for a snapshot.
const MAX_ITEMS_PER_JOB: u32 = 1_000_000;
const MAX_ATTEMPTS: u32 = 100;
/// Upper bound on the items that one lease command leases.
const MAX_ITEMS_PER_LEASE: u32 = 1_000;

/// Batch jobs and the order in which their items are leased.
///
/// Jobs are copy-on-write: they are shared with the copies made for snapshots, and copied on the
/// first change after one.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    by_id: BTreeMap<Arc<str>, Arc<Job>>,
    by_customer: BTreeSet<(Arc<str>, Arc<str>)>,
    by_key: BTreeMap<(Arc<str>, Arc<str>), Arc<str>>,
    ready: ReadyJobs,
    /// Leases of items by expiration time: (time, job id, item).
    lease_expirations: BTreeSet<(u64, Arc<str>, u32)>,
    /// Jobs that are no longer in progress, by the time at which their results expire.
    result_expirations: BTreeSet<(u64, Arc<str>)>,
}

impl Jobs {
    pub(crate) fn restored(turn: u64) -> Self {
        Self { ready: ReadyJobs::restored(turn), ..Self::default() }
    }

    /// Outcome for a job that already exists under the same idempotency key or job id. A refusal if
    /// that job was created by a different request.
    pub(crate) fn find_existing(&self, new: &NewJob) -> Result<Option<Outcome>, Refusal> {
        if !new.idempotency_key.is_empty() {
            let scoped_key = (new.customer.as_str().into(), new.idempotency_key.as_str().into());
            if let Some(job) = self.by_key.get(&scoped_key).and_then(|id| self.by_id.get(id)) {
                return existing_job_outcome(job, new, || {
                    format!(
                        "idempotency key {:?} belongs to job {}, which was made by another request",
                        new.idempotency_key, job.job_id
                    )
                });
            }
        }
        match self.by_id.get(new.job_id.as_str()) {
            Some(job) if *job.customer == *new.customer => existing_job_outcome(job, new, || {
                format!("job {} was made by another request", job.job_id)
            }),
            Some(_) => {
                Err(Refusal::key_conflict(format!("job id {} is already in use", new.job_id)))
            }
            None => Ok(None),
        }
    }

    pub(crate) fn create(
        &mut self,
        new: NewJob,
        now: u64,
        files: &mut Files,
        configuration: &ConfigurationTable,
    ) -> Result<Outcome, Refusal> {
        let max_attempts = match new.max_attempts {
            0 => configuration.max_attempts(&new.service),
            requested => requested,
        };
        if max_attempts > MAX_ATTEMPTS {
            return Err(Refusal::invalid(format!(
                "max_attempts is {max_attempts}, at most {MAX_ATTEMPTS}"
            )));
        }
        let lines = files.visible(&new.customer, &new.file_id)?.lines;
        if lines == 0 || lines > MAX_ITEMS_PER_JOB {
            return Err(Refusal::invalid(format!(
                "file {} has {lines} lines, must be 1 to {MAX_ITEMS_PER_JOB}",
                new.file_id
            )));
        }
        files.acquire(&new.customer, &new.file_id)?;
        let job = Job::new(new, max_attempts as u8, lines, now);
        let outcome =
            Outcome::JobCreated { job_id: job.job_id.clone(), items: lines, existed: false };
        self.insert(job);
        Ok(outcome)
    }

    pub(crate) fn cancel(
        &mut self,
        customer: &str,
        job_id: &str,
        now: u64,
        retention_ms: u64,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let job = self.visible(customer, job_id)?;
        match job.state {
            JobState::Cancelled => return Ok(Outcome::JobCancelled),
            JobState::Completed => {
                return Err(Refusal::already_finished(format!("job {job_id} has completed")));
            }
            JobState::InProgress => {}
        }
        let id = job.job_id.clone();
        let job = self.by_id.get_mut(&id).map(Arc::make_mut).expect("the job was just found");
        self.ready.remove(job);
        for (item, lease) in &job.leases {
            self.lease_expirations.remove(&(lease.expires_unix_ms, id.clone(), *item));
        }
        job.cancel_items(bodies);
        job.end(JobState::Cancelled, now, now + retention_ms);
        self.result_expirations.insert((job.expires_unix_ms, id));
        Ok(Outcome::JobCancelled)
    }

    /// Hides a job that has ended and releases its results.
    pub(crate) fn delete(
        &mut self,
        customer: &str,
        job_id: &str,
        now: u64,
        retention_ms: u64,
        files: &mut Files,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let job = self.visible(customer, job_id)?;
        if job.state == JobState::InProgress {
            return Err(Refusal::invalid(format!("job {job_id} is in progress; cancel it first")));
        }
        let id = job.job_id.clone();
        self.by_customer.remove(&(job.customer.clone(), id.clone()));
        let job = self.by_id.get_mut(&id).map(Arc::make_mut).expect("the job was just found");
        job.deleted = true;
        job.release_bodies(bodies);
        files.release(&job.file_id, now + retention_ms, bodies);
        Ok(Outcome::Done)
    }

    /// Leases items in the order of the customers' fair shares, then by deadline, then by job id.
    pub(crate) fn lease_items(
        &mut self,
        holder: &Holder,
        max_items: u32,
        expires_unix_ms: u64,
        requested: &[String],
        configuration: &ConfigurationTable,
    ) -> Outcome {
        let mut services = self.ready.services_with_pending_items(requested);
        let mut leased = Vec::new();
        for _ in 0..max_items.min(MAX_ITEMS_PER_LEASE) {
            let Some(next) = self.ready.select_next(&mut services) else {
                break;
            };
            let job = self.by_id.get_mut(&next.job_id).map(Arc::make_mut);
            let job = job.expect("a ready job exists");
            let (item, attempt) =
                job.lease_next(holder, expires_unix_ms).expect("a ready job has a pending item");
            if !job.has_pending() {
                self.ready.remove(job);
            }
            self.ready.charge(&next, configuration.weight(&next.customer));
            self.lease_expirations.insert((expires_unix_ms, next.job_id.clone(), item));
            leased.push(ItemAttempt { job_id: next.job_id, item, attempt });
        }
        Outcome::ItemsLeased(leased)
    }

    /// Extends leases. The outcome lists the attempts that no longer hold their item.
    pub(crate) fn renew_items(
        &mut self,
        holder: &Holder,
        expires_unix_ms: u64,
        items: Vec<ItemAttempt>,
    ) -> Outcome {
        let mut lost = Vec::new();
        for attempt in items {
            if !self.renew(holder, expires_unix_ms, &attempt) {
                lost.push(attempt);
            }
        }
        Outcome::ItemsRenewed { lost }
    }

    fn renew(&mut self, holder: &Holder, expires_unix_ms: u64, attempt: &ItemAttempt) -> bool {
        let Some(job) = self.by_id.get_mut(&attempt.job_id) else {
            return false;
        };
        let lease = job.current_lease(attempt.item, attempt.attempt, &holder.host_id);
        let Some(old) = lease.filter(|lease| lease.holder == *holder) else {
            return false;
        };
        let old_unix_ms = old.expires_unix_ms;
        if old_unix_ms >= expires_unix_ms {
            return true;
        }
        let job = Arc::make_mut(job);
        if let Some(lease) = job.leases.get_mut(&attempt.item) {
            lease.expires_unix_ms = expires_unix_ms;
        }
        self.lease_expirations.remove(&(old_unix_ms, job.job_id.clone(), attempt.item));
        self.lease_expirations.insert((expires_unix_ms, job.job_id.clone(), attempt.item));
        true
    }

    pub(crate) fn finish_items(
        &mut self,
        host_id: &str,
        items: &[ItemFinish],
        now: u64,
        retention_ms: u64,
        bodies: &Bodies,
    ) -> Outcome {
        let verdicts = items
            .iter()
            .map(|finish| self.finish_item(host_id, finish, now, retention_ms, bodies))
            .collect();
        Outcome::ItemsFinished(verdicts)
    }

    fn finish_item(
        &mut self,
        host_id: &str,
        finish: &ItemFinish,
        now: u64,
        retention_ms: u64,
        bodies: &Bodies,
    ) -> FinishVerdict {
        let Some(job) = self.by_id.get_mut(&finish.attempt.job_id).filter(|job| !job.deleted)
        else {
            return FinishVerdict::UnknownItem;
        };
        let verdict = job.finish_verdict(host_id, &finish.attempt);
        if verdict != FinishVerdict::Accepted {
            return verdict;
        }
        let item = finish.attempt.item;
        if let Some(lease) = job.leases.get(&item) {
            self.lease_expirations.remove(&(lease.expires_unix_ms, job.job_id.clone(), item));
        }
        Arc::make_mut(job).finish_attempt(finish, bodies);
        self.requeue_or_complete(&finish.attempt.job_id, now, retention_ms);
        verdict
    }

    /// Ends the leases that have expired.
    pub(crate) fn expire_leases(&mut self, now: u64, retention_ms: u64, bodies: &Bodies) {
        while self.lease_expirations.first().is_some_and(|(expires, _, _)| *expires <= now) {
            let Some((_, job_id, item)) = self.lease_expirations.pop_first() else {
                return;
            };
            if let Some(job) = self.by_id.get_mut(&job_id).map(Arc::make_mut) {
                job.expire_lease(item, bodies);
            }
            self.requeue_or_complete(&job_id, now, retention_ms);
        }
    }

    /// Queues the job again if it has pending items, and completes it if all its items have ended.
    fn requeue_or_complete(&mut self, job_id: &str, now: u64, retention_ms: u64) {
        let Some(job) = self.by_id.get_mut(job_id) else {
            return;
        };
        if job.has_pending() {
            self.ready.insert(job);
        }
        if job.all_items_ended() && job.state == JobState::InProgress {
            let job = Arc::make_mut(job);
            job.end(JobState::Completed, now, now + retention_ms);
            self.result_expirations.insert((job.expires_unix_ms, job.job_id.clone()));
        }
    }

    /// Removes jobs whose results have expired, until at least `limit` items are removed.
    pub(crate) fn expire(&mut self, now: u64, limit: usize, files: &mut Files, bodies: &Bodies) {
        let mut removed_items = 0;
        while removed_items < limit {
            match self.result_expirations.first() {
                Some((expires, _)) if *expires <= now => {}
                _ => break,
            }
            let Some(job) =
                self.result_expirations.pop_first().and_then(|(_, id)| self.by_id.remove(&id))
            else {
                continue;
            };
            removed_items += job.items.len().max(1);
            self.remove(job, now, files, bodies);
        }
        self.ready.drop_idle_shares();
    }

    fn remove(&mut self, job: Arc<Job>, now: u64, files: &mut Files, bodies: &Bodies) {
        self.by_customer.remove(&(job.customer.clone(), job.job_id.clone()));
        self.by_key.remove(&(job.customer.clone(), job.idempotency_key.as_str().into()));
        if !job.deleted {
            files.release(&job.file_id, now, bodies);
        }
        for item in job.items.iter() {
            bodies.release(item.body);
        }
    }

    /// A job that is visible to the customer. An operator passes an empty customer and sees the
    /// jobs of all.
    pub(crate) fn visible(&self, customer: &str, job_id: &str) -> Result<&Job, Refusal> {
        match self.by_id.get(job_id) {
            Some(job) if !job.deleted && (customer.is_empty() || *job.customer == *customer) => {
                Ok(job)
            }
            _ => Err(Refusal::not_found(format!("job {job_id} does not exist"))),
        }
    }

    /// Jobs of a customer in the order of their ids, starting after the id `after`. An empty
    /// customer lists the jobs of all, for an operator.
    pub(crate) fn list<'a>(
        &'a self,
        customer: &'a str,
        after: &'a str,
    ) -> Box<dyn Iterator<Item = &'a Job> + 'a> {
        use std::ops::Bound::{Excluded, Unbounded};
        if customer.is_empty() {
            let range = self.by_id.range::<str, _>((Excluded(after), Unbounded));
            return Box::new(range.map(|(_, job)| &**job).filter(|job| !job.deleted));
        }
        let start: (Arc<str>, Arc<str>) = (customer.into(), after.into());
        Box::new(
            self.by_customer
                .range((Excluded(start), Unbounded))
                .take_while(move |(owner, _)| **owner == *customer)
                .filter_map(|(_, id)| self.by_id.get(id).map(|job| &**job)),
        )
    }

    /// Adds a job to the table and to all indexes.
    pub(crate) fn insert(&mut self, job: Job) {
        let id = job.job_id.clone();
        if !job.deleted {
            self.by_customer.insert((job.customer.clone(), id.clone()));
        }
        if !job.idempotency_key.is_empty() {
            let scoped_key = (job.customer.clone(), job.idempotency_key.as_str().into());
            self.by_key.insert(scoped_key, id.clone());
        }
        if job.has_pending() {
            self.ready.insert(&job);
        }
        for (item, lease) in &job.leases {
            self.lease_expirations.insert((lease.expires_unix_ms, id.clone(), *item));
        }
        if job.state != JobState::InProgress {
            self.result_expirations.insert((job.expires_unix_ms, id.clone()));
        }
        self.by_id.insert(id, Arc::new(job));
    }

    pub(crate) fn ready(&self) -> &ReadyJobs {
        &self.ready
    }

    pub(crate) fn ready_mut(&mut self) -> &mut ReadyJobs {
        &mut self.ready
    }

    pub(crate) fn get(&self, job_id: &str) -> Option<&Arc<Job>> {
        self.by_id.get(job_id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Job>> {
        self.by_id.values()
    }
}

fn existing_job_outcome(
    job: &Job,
    new: &NewJob,
    conflict: impl FnOnce() -> String,
) -> Result<Option<Outcome>, Refusal> {
    if job.fingerprint != new.fingerprint {
        return Err(Refusal::key_conflict(conflict()));
    }
    let (job_id, items) = (job.job_id.clone(), job.counts.total);
    Ok(Some(Outcome::JobCreated { job_id, items, existed: true }))
}
