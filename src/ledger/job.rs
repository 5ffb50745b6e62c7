use std::sync::Arc;

use bytes::Bytes;

use crate::ledger::JobHead;
use crate::schema::ledger::{FinishedItem, JobRecord, NewItem};

/// An accepted batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identity of the job.
    pub head: Arc<JobHead>,
    /// True once the job is cancelled; none of its items is started after that.
    pub cancelled: bool,
    /// Items in the order of the submission. They are shared with those that run them.
    pub items: Vec<Arc<NewItem>>,
    /// Results in the order in which the items finished.
    pub results: Vec<FinishedItem>,
    /// Whether each item has a result, by item index.
    finished: Vec<bool>,
    /// Tokens of the items without a result.
    unfinished_tokens: u64,
}

impl Job {
    /// Creates a job without results.
    pub fn new(head: JobHead, items: Vec<NewItem>) -> Self {
        Self {
            head: Arc::new(head),
            cancelled: false,
            finished: vec![false; items.len()],
            unfinished_tokens: items.iter().map(|item| item.tokens).sum(),
            items: items.into_iter().map(Arc::new).collect(),
            results: Vec::new(),
        }
    }

    /// True if the item has a result or does not exist.
    pub fn is_finished(&self, item: u32) -> bool {
        self.finished.get(item as usize).copied().unwrap_or(true)
    }

    /// True if callers of this team may read and cancel the job. A job without a team belongs to everybody.
    pub fn is_visible_to(&self, team: &str) -> bool {
        self.head.team.is_empty() || self.head.team == team
    }

    /// True if no item is left to run, because all have results or the job is cancelled.
    pub fn has_ended(&self) -> bool {
        self.cancelled || self.has_all_results()
    }

    /// True if each item has a result, after which none is added or changed.
    pub fn has_all_results(&self) -> bool {
        self.results.len() == self.items.len()
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
        self.unfinished_tokens
    }

    /// Appends a result unless the item already has one; true if it was appended.
    pub fn finish(&mut self, result: FinishedItem) -> bool {
        let Some(finished) = self.finished.get_mut(result.item as usize) else { return false };
        if *finished {
            return false;
        }
        *finished = true;
        let item = &mut self.items[result.item as usize];
        self.unfinished_tokens -= item.tokens;
        // The body of an item is not read once its result is listed.
        Arc::make_mut(item).body = Bytes::new();
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
        let JobHead { job_id, team, route, host, path, submitted_at_unix_ms } = &*job.head;
        Self {
            job_id: job_id.to_string(),
            route: route.clone(),
            host: host.clone(),
            path: path.clone(),
            submitted_at_unix_ms: *submitted_at_unix_ms,
            cancelled: job.cancelled,
            items: job.items.iter().map(|item| NewItem::clone(item)).collect(),
            results: job.results.clone(),
            team: team.clone(),
        }
    }
}

impl From<JobRecord> for Job {
    fn from(record: JobRecord) -> Self {
        let JobRecord { job_id, team, route, host, path, submitted_at_unix_ms, .. } = record;
        let job_id = job_id.into();
        let head = JobHead { job_id, team, route, host, path, submitted_at_unix_ms };
        let mut job = Self::new(head, record.items);
        job.cancelled = record.cancelled;
        for result in record.results {
            job.finish(result);
        }
        job
    }
}
