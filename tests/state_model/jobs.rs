use damaskhoist::schema::state::outcome::Outcome;
use damaskhoist::schema::state::*;

use super::{refuse, Model, RESULT_RETENTION_MS};

const ITEM_CHARGE: u64 = 1 << 22;

pub struct JobModel {
    pub job_id: String,
    pub customer: String,
    pub key: String,
    pub fingerprint: Vec<u8>,
    pub file_id: String,
    pub service: String,
    pub deadline: u64,
    pub max_attempts: u32,
    pub state: JobState,
    pub deleted: bool,
    pub expires: u64,
    pub total: u32,
    pub items: Vec<ItemModel>,
    /// Counts the events after which an item waits again.
    pub returns: u64,
}

#[derive(Clone, Default)]
pub struct ItemModel {
    pub state: ItemState,
    pub tries: u32,
    pub attempt: u32,
    pub status: u32,
    pub body: Vec<u8>,
    /// Class and order of waiting: yielded, never tried, to try again.
    pub rank: (u8, u64),
    pub holder: (String, u64),
    pub lease_expires: u64,
}

impl ItemModel {
    pub fn has_ended(&self) -> bool {
        matches!(self.state, ItemState::ItemSucceeded | ItemState::ItemFailed)
    }
}

impl JobModel {
    pub fn has_pending(&self) -> bool {
        self.next_item().is_some()
    }

    fn next_item(&self) -> Option<usize> {
        if self.state != JobState::InProgress {
            return None;
        }
        let pending = (0..self.items.len())
            .filter(|index| self.items[*index].state == ItemState::ItemPending);
        pending.min_by_key(|index| (self.items[*index].rank, *index))
    }

    fn wait_again(&mut self, index: usize, class: u8) {
        self.returns += 1;
        let item = &mut self.items[index];
        item.state = ItemState::ItemPending;
        item.rank = (class, self.returns);
        item.holder = Default::default();
    }

    fn complete(&mut self, now: u64) {
        if self.state == JobState::InProgress && self.items.iter().all(ItemModel::has_ended) {
            self.state = JobState::Completed;
            self.expires = now + RESULT_RETENTION_MS;
        }
    }
}

impl Model {
    pub(super) fn create_job(&mut self, create: &CreateJob) -> Outcome {
        let by_key = self.jobs.values().find(|job| {
            !create.idempotency_key.is_empty()
                && job.key == create.idempotency_key
                && job.customer == create.customer
        });
        if let Some(job) = by_key.or_else(|| self.jobs.get(&create.job_id)) {
            if job.customer != create.customer || job.fingerprint != create.fingerprint {
                return refuse(RefusalCode::KeyConflict);
            }
            let (job_id, items) = (job.job_id.clone(), job.total);
            return Outcome::JobCreated(JobCreated { job_id, items, existed: true });
        }
        let Some(file) = self.files.get(&create.file_id) else {
            return refuse(RefusalCode::NotFound);
        };
        if file.deleted || file.customer != create.customer {
            return refuse(RefusalCode::NotFound);
        }
        let total = file.lines.len() as u32;
        if !file.complete || total == 0 {
            return refuse(RefusalCode::Invalid);
        }
        let waiting =
            ItemModel { state: ItemState::ItemPending, rank: (1, 0), ..Default::default() };
        let job = JobModel {
            job_id: create.job_id.clone(),
            customer: create.customer.clone(),
            key: create.idempotency_key.clone(),
            fingerprint: create.fingerprint.to_vec(),
            file_id: create.file_id.clone(),
            service: create.service.clone(),
            deadline: if create.deadline_unix_ms == 0 { u64::MAX } else { create.deadline_unix_ms },
            max_attempts: if create.max_attempts == 0 { 3 } else { create.max_attempts },
            state: JobState::InProgress,
            deleted: false,
            expires: 0,
            total,
            items: vec![waiting; total as usize],
            returns: 0,
        };
        self.jobs.insert(create.job_id.clone(), job);
        let job_id = create.job_id.clone();
        Outcome::JobCreated(JobCreated { job_id, items: total, existed: false })
    }

    pub(super) fn cancel_job(&mut self, cancel: &CancelJob) -> Outcome {
        let now = self.now;
        match self.jobs.get_mut(&cancel.job_id) {
            Some(job) if job.deleted || job.customer != cancel.customer => {
                refuse(RefusalCode::NotFound)
            }
            Some(job) if job.state == JobState::Completed => refuse(RefusalCode::AlreadyFinished),
            Some(job) => {
                if job.state == JobState::InProgress {
                    job.expires = now + RESULT_RETENTION_MS;
                }
                job.state = JobState::JobCancelledState;
                for item in job.items.iter_mut().filter(|item| !item.has_ended()) {
                    item.state = ItemState::ItemCancelled;
                    item.holder = Default::default();
                    item.body.clear();
                }
                Outcome::JobCancelled(JobCancelled { state: job.state.into() })
            }
            None => refuse(RefusalCode::NotFound),
        }
    }

    pub(super) fn delete_job(&mut self, delete: &DeleteJob) -> Outcome {
        let expires = self.now + RESULT_RETENTION_MS;
        let Some(job) = self.jobs.get_mut(&delete.job_id) else {
            return refuse(RefusalCode::NotFound);
        };
        if job.deleted || job.customer != delete.customer {
            return refuse(RefusalCode::NotFound);
        }
        if job.state == JobState::InProgress {
            return refuse(RefusalCode::Invalid);
        }
        job.deleted = true;
        job.items.clear();
        let file_id = job.file_id.clone();
        if !self.is_file_used(&file_id) {
            if let Some(file) = self.files.get_mut(&file_id) {
                file.expires = file.expires.max(expires);
            }
        }
        self.drop_unused_files();
        Outcome::Done(Done {})
    }

    /// Customers that begin to wait at a service start at its time.
    pub(super) fn activate(&mut self) {
        let waiting: Vec<(String, String)> = self
            .jobs
            .values()
            .filter(|job| job.has_pending())
            .map(|job| (job.service.clone(), job.customer.clone()))
            .collect();
        for name in waiting.iter().filter(|name| !self.active.contains(*name)) {
            let floor = self.floors.get(&name.0).copied().unwrap_or_default();
            let share = self.shares.entry(name.clone()).or_default();
            *share = floor.max(*share);
        }
        self.active = waiting.into_iter().collect();
    }

    pub(super) fn lease_items(&mut self, lease: &LeaseItems, actual: &Outcome) -> Outcome {
        let Outcome::ItemsLeased(actual) = actual else {
            return refuse(RefusalCode::Unspecified);
        };
        let mut items = Vec::new();
        for place in 0..lease.max_items as usize {
            let asked =
                |service: &String| lease.services.is_empty() || lease.services.contains(service);
            let waits = self.jobs.values().any(|job| job.has_pending() && asked(&job.service));
            if !waits {
                break;
            }
            let service = actual.items.get(place).map(|item| item.service.clone());
            let Some(service) = service.filter(|service| asked(service)) else {
                break;
            };
            let Some(item) = self.lease_one(lease, &service) else {
                break;
            };
            items.push(item);
        }
        Outcome::ItemsLeased(ItemsLeased { items, omitted: Vec::new() })
    }

    fn lease_one(&mut self, lease: &LeaseItems, service: &str) -> Option<LeasedItem> {
        let waiting =
            || self.jobs.values().filter(|job| job.service == service && job.has_pending());
        let share = |job: &&JobModel| self.shares[&(job.service.clone(), job.customer.clone())];
        let customer =
            waiting().min_by_key(|job| (share(job), job.customer.clone()))?.customer.clone();
        let job = waiting()
            .filter(|job| job.customer == customer)
            .min_by_key(|job| (job.deadline, job.job_id.clone()))?;
        let job_id = job.job_id.clone();
        let weight = self.weights.get(&customer).copied().unwrap_or(1);
        let share = self.shares.get_mut(&(service.to_owned(), customer)).unwrap();
        let floor = self.floors.entry(service.to_owned()).or_default();
        *floor = (*floor).max(*share);
        *share += ITEM_CHARGE / u64::from(weight);

        let job = self.jobs.get_mut(&job_id).unwrap();
        let index = job.next_item().unwrap();
        let item = &mut job.items[index];
        item.state = ItemState::ItemLeased;
        item.attempt += 1;
        item.tries += 1;
        item.holder = (lease.holder.clone(), lease.holder_incarnation);
        item.lease_expires = self.now + u64::from(lease.lease_ms);
        let attempt = ItemAttempt { job_id, item: index as u32, attempt: item.attempt };
        Some(LeasedItem {
            attempt: Some(attempt),
            customer: job.customer.clone(),
            custom_id: String::new(),
            service: service.to_owned(),
            endpoint: String::new(),
            body: self.files[&job.file_id].lines[index].clone().into(),
            deadline_unix_ms: if job.deadline == u64::MAX { 0 } else { job.deadline },
            progress: item.body.clone().into(),
        })
    }

    pub(super) fn renew_items(&mut self, renew: &RenewItems) -> Outcome {
        let expires = self.now + u64::from(renew.lease_ms);
        let mut lost = Vec::new();
        for attempt in &renew.items {
            let job = self.jobs.get_mut(&attempt.job_id);
            let item = job.and_then(|job| job.items.get_mut(attempt.item as usize));
            let holder = (renew.holder.clone(), renew.holder_incarnation);
            match item {
                Some(item)
                    if item.state == ItemState::ItemLeased
                        && item.attempt == attempt.attempt
                        && item.holder == holder =>
                {
                    item.lease_expires = item.lease_expires.max(expires);
                }
                _ => lost.push(attempt.clone()),
            }
        }
        Outcome::ItemsRenewed(ItemsRenewed { lost })
    }

    pub(super) fn finish_items(&mut self, finish: &FinishItems) -> Outcome {
        let mut verdicts = Vec::new();
        for end in &finish.items {
            verdicts.push(self.finish_item(&finish.holder, end).into());
        }
        Outcome::ItemsFinished(ItemsFinished { verdicts })
    }

    fn finish_item(&mut self, holder: &str, finish: &ItemFinish) -> FinishVerdict {
        let now = self.now;
        let attempt = finish.attempt.as_ref().unwrap();
        let Some(job) = self.jobs.get_mut(&attempt.job_id) else {
            return FinishVerdict::UnknownItem;
        };
        let (index, max_attempts) = (attempt.item as usize, job.max_attempts);
        let Some(item) = job.items.get_mut(index) else {
            return FinishVerdict::UnknownItem;
        };
        match item.state {
            ItemState::ItemSucceeded | ItemState::ItemFailed => return FinishVerdict::Duplicate,
            ItemState::ItemCancelled => return FinishVerdict::JobCancelled,
            ItemState::ItemLeased if item.attempt == attempt.attempt && item.holder.0 == holder => {
            }
            _ => return FinishVerdict::StaleAttempt,
        }
        match finish.end() {
            ItemEnd::Yielded => {
                item.tries -= 1;
                if !finish.body.is_empty() {
                    item.body = finish.body.to_vec();
                }
                job.wait_again(index, 0);
            }
            ItemEnd::AttemptFailed if item.tries < max_attempts => {
                item.body.clear();
                job.wait_again(index, 2);
            }
            end => {
                item.state = match end {
                    ItemEnd::Succeeded => ItemState::ItemSucceeded,
                    _ => ItemState::ItemFailed,
                };
                item.status = finish.status;
                item.body = finish.body.to_vec();
                item.holder = Default::default();
                job.complete(now);
            }
        }
        FinishVerdict::Accepted
    }

    pub(super) fn free_items(&mut self) {
        let now = self.now;
        let leased = self.jobs.values().flat_map(|job| {
            let items = job.items.iter().enumerate();
            items.map(|(index, item)| (item.lease_expires, job.job_id.clone(), index, item.state))
        });
        let mut over: Vec<_> = leased
            .filter(|(expires, _, _, state)| *expires <= now && *state == ItemState::ItemLeased)
            .collect();
        over.sort_by(|a, b| (a.0, &a.1, a.2).cmp(&(b.0, &b.1, b.2)));
        for (_, job_id, index, _) in over {
            let job = self.jobs.get_mut(&job_id).unwrap();
            if job.items[index].tries < job.max_attempts {
                job.wait_again(index, 2);
                continue;
            }
            let item = &mut job.items[index];
            item.state = ItemState::ItemFailed;
            item.status = 0;
            item.body = b"the lease of the last attempt ran out".to_vec();
            item.holder = Default::default();
            job.complete(now);
        }
    }
}
