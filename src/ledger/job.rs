use bytes::Bytes;

use crate::schema::ledger::{FinishedItem, JobRecord, NewItem};

/// An accepted batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identity, chosen by the customer.
    pub job_id: String,
    /// Name of the route that accepted it.
    pub route: String,
    /// Host that the job was submitted to, as named in the request.
    pub host: String,
    /// Path that the job was submitted to.
    pub path: String,
    /// Time at which the job was accepted.
    pub submitted_at_unix_ms: u64,
    /// True once the job is cancelled; none of its items is started after that.
    pub cancelled: bool,
    /// Items in the order of the submission.
    pub items: Vec<NewItem>,
    /// Results in the order in which the items finished.
    pub results: Vec<FinishedItem>,
    /// Whether each item has a result, by item index.
    finished: Vec<bool>,
}

impl Job {
    /// Creates a job without results.
    pub fn new(
        job_id: String,
        route: String,
        host: String,
        path: String,
        items: Vec<NewItem>,
        now_unix_ms: u64,
    ) -> Self {
        let finished = vec![false; items.len()];
        Self {
            job_id,
            route,
            host,
            path,
            submitted_at_unix_ms: now_unix_ms,
            cancelled: false,
            items,
            results: Vec::new(),
            finished,
        }
    }

    /// True if the item has a result or does not exist.
    pub fn is_finished(&self, item: u32) -> bool {
        self.finished.get(item as usize).copied().unwrap_or(true)
    }

    /// True if no item is left to run, because all have results or the job is cancelled.
    pub fn has_ended(&self) -> bool {
        self.cancelled || self.results.len() == self.items.len()
    }

    /// Indexes of the items without a result.
    pub fn unfinished(&self) -> impl Iterator<Item = u32> + '_ {
        let open = self.finished.iter().enumerate().filter(|(_, finished)| !**finished);
        open.map(|(index, _)| index as u32)
    }

    /// Tokens of the unfinished items, running ones included, which count against the route's limit;
    /// 0 for a cancelled job.
    pub fn waiting_tokens(&self) -> u64 {
        if self.cancelled {
            return 0;
        }
        self.unfinished().map(|index| self.items[index as usize].tokens).sum()
    }

    /// Appends a result unless the item already has one; true if it was appended.
    pub fn finish(&mut self, result: FinishedItem) -> bool {
        let Some(finished) = self.finished.get_mut(result.item as usize) else { return false };
        if *finished {
            return false;
        }
        *finished = true;
        // The body of an item is not read once its result is listed.
        self.items[result.item as usize].body = Bytes::new();
        self.results.push(result);
        true
    }

    /// Request body of an unfinished item; `None` for finished items, whose bodies are dropped.
    pub fn unfinished_item_body(&self, item_id: &str) -> Option<Bytes> {
        let index = self.items.iter().position(|item| item.item_id == item_id)?;
        (!self.finished[index]).then(|| self.items[index].body.clone())
    }
}

impl From<&Job> for JobRecord {
    fn from(job: &Job) -> Self {
        Self {
            job_id: job.job_id.clone(),
            route: job.route.clone(),
            host: job.host.clone(),
            path: job.path.clone(),
            submitted_at_unix_ms: job.submitted_at_unix_ms,
            cancelled: job.cancelled,
            items: job.items.clone(),
            results: job.results.clone(),
        }
    }
}

impl From<JobRecord> for Job {
    fn from(record: JobRecord) -> Self {
        let JobRecord { job_id, route, host, path, submitted_at_unix_ms, items, .. } = record;
        let mut job = Self::new(job_id, route, host, path, items, submitted_at_unix_ms);
        job.cancelled = record.cancelled;
        for result in record.results {
            job.finish(result);
        }
        job
    }
}
