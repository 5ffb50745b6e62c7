use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::state::bodies::Bodies;
use crate::state::command::{AttemptEnd, Holder, ItemFinish, NewJob};
use crate::state::fingerprint::Fingerprint;
use crate::state::item::ItemState;
use crate::state::item_attempt::ItemAttempt;
use crate::state::item_table::ItemTable;
use crate::state::lease::Lease;
use crate::state::outcome::FinishVerdict;
use crate::state::BodyRef;

/// Result body of an item that failed because the lease of its last attempt expired.
const LEASE_EXPIRED_REASON: &[u8] = b"the lease of the last attempt ran out";

/// A batch job with its items.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) job_id: Arc<str>,
    pub(crate) customer: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) file_id: Arc<str>,
    pub(crate) endpoint: String,
    pub(crate) metadata_json: String,
    pub(crate) idempotency_key: String,
    pub(crate) fingerprint: Fingerprint,
    /// `u64::MAX` for none.
    pub(crate) deadline_unix_ms: u64,
    pub(crate) created_at_unix_ms: u64,
    /// 0 while the job is in progress.
    pub(crate) finished_at_unix_ms: u64,
    /// Time at which the results expire; 0 while the job is in progress.
    pub(crate) expires_unix_ms: u64,
    pub(crate) max_attempts: u8,
    pub(crate) state: JobState,
    /// Deleted jobs are hidden and have no items. They are kept until they expire, so that a retry
    /// of the creating request does not create the job again.
    pub(crate) deleted: bool,
    pub(crate) items: ItemTable,
    pub(crate) counts: ItemCounts,
    pub(crate) pending: PendingItems,
    pub(crate) leases: BTreeMap<u32, Lease>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobState {
    InProgress,
    Completed,
    Cancelled,
}

/// Number of items of a job, in total and by the state in which they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ItemCounts {
    pub(crate) total: u32,
    pub(crate) succeeded: u32,
    pub(crate) failed: u32,
    pub(crate) cancelled: u32,
}

/// Indexes of the pending items. They are leased in this order: yielded items, which have a partial
/// answer, then items that were never leased, then retries, so that items that always fail go last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingItems {
    pub(crate) yielded: VecDeque<u32>,
    /// Index of the first item that was never leased.
    pub(crate) next: u32,
    pub(crate) retries: VecDeque<u32>,
}

impl Job {
    /// Creates a job with `lines` pending items.
    pub(crate) fn new(new: NewJob, max_attempts: u8, lines: u32, now: u64) -> Job {
        Self {
            job_id: new.job_id.into(),
            customer: new.customer.into(),
            service: new.service.into(),
            file_id: new.file_id.into(),
            endpoint: new.endpoint,
            metadata_json: new.metadata_json,
            idempotency_key: new.idempotency_key,
            fingerprint: new.fingerprint,
            deadline_unix_ms: match new.deadline_unix_ms {
                0 => u64::MAX,
                deadline => deadline,
            },
            created_at_unix_ms: now,
            finished_at_unix_ms: 0,
            expires_unix_ms: 0,
            max_attempts,
            state: JobState::InProgress,
            deleted: false,
            items: ItemTable::new(lines),
            counts: ItemCounts { total: lines, ..ItemCounts::default() },
            pending: PendingItems::default(),
            leases: Default::default(),
        }
    }

    pub(crate) fn has_pending(&self) -> bool {
        self.state == JobState::InProgress
            && !(self.pending.yielded.is_empty()
                && self.pending.retries.is_empty()
                && self.pending.next >= self.counts.total)
    }

    /// Leases the next pending item and returns its index and attempt number.
    pub(crate) fn lease_next(&mut self, holder: &Holder, expires: u64) -> Option<(u32, u32)> {
        let index = self.pop_pending()?;
        let item = self.items.item_mut(index);
        item.state = ItemState::Leased;
        item.attempt += 1;
        item.counted_attempts += 1;
        let attempt = item.attempt;
        self.leases.insert(index, Lease { holder: holder.clone(), expires_unix_ms: expires });
        Some((index, attempt))
    }

    fn pop_pending(&mut self) -> Option<u32> {
        if self.state != JobState::InProgress {
            return None;
        }
        let pending = &mut self.pending;
        if let Some(index) = pending.yielded.pop_front() {
            return Some(index);
        }
        if pending.next < self.counts.total {
            pending.next += 1;
            return Some(pending.next - 1);
        }
        pending.retries.pop_front()
    }

    /// The lease of an item, if the given attempt and host hold it.
    pub(crate) fn current_lease(&self, item: u32, attempt: u32, host_id: &str) -> Option<&Lease> {
        let current = self.items.get(item)?.attempt;
        let lease = self.leases.get(&item)?;
        (current == attempt && *lease.holder.host_id == *host_id).then_some(lease)
    }

    /// Decides whether an attempt of the host may report its end.
    pub(crate) fn finish_verdict(&self, host_id: &str, attempt: &ItemAttempt) -> FinishVerdict {
        match self.items.get(attempt.item) {
            None => FinishVerdict::UnknownItem,
            Some(item) if item.has_ended() => FinishVerdict::Duplicate,
            Some(_) if self.state == JobState::Cancelled => FinishVerdict::JobCancelled,
            Some(_) if self.current_lease(attempt.item, attempt.attempt, host_id).is_none() => {
                FinishVerdict::StaleAttempt
            }
            Some(_) => FinishVerdict::Accepted,
        }
    }

    /// Ends an attempt that [`Job::finish_verdict`] accepted.
    pub(crate) fn finish_attempt(&mut self, finish: &ItemFinish, bodies: &Bodies) {
        let index = finish.attempt.item;
        let item = *self.items.item(index);
        self.leases.remove(&index);
        match finish.end {
            AttemptEnd::Succeeded => {
                self.end_item(index, ItemState::Succeeded, finish.status, &finish.body, bodies);
            }
            AttemptEnd::AttemptFailed if item.counted_attempts < self.max_attempts => {
                self.replace_body(index, BodyRef::EMPTY, bodies);
                self.items.item_mut(index).state = ItemState::Pending;
                self.pending.retries.push_back(index);
            }
            AttemptEnd::Failed | AttemptEnd::AttemptFailed => {
                self.end_item(index, ItemState::Failed, finish.status, &finish.body, bodies);
            }
            AttemptEnd::Yielded => {
                // A yielded attempt without a partial answer keeps that of earlier attempts.
                if !finish.body.is_empty() {
                    self.replace_body(index, bodies.append(&finish.body), bodies);
                }
                let item = self.items.item_mut(index);
                item.state = ItemState::Pending;
                item.counted_attempts -= 1;
                self.pending.yielded.push_back(index);
            }
        }
    }

    /// Ends the expired lease of an item. The item becomes pending again and keeps its partial
    /// answer, or fails if no attempts are left.
    pub(crate) fn expire_lease(&mut self, index: u32, bodies: &Bodies) {
        if self.leases.remove(&index).is_none() {
            return;
        }
        let counted_attempts = self.items.item(index).counted_attempts;
        if counted_attempts >= self.max_attempts {
            self.end_item(index, ItemState::Failed, 0, LEASE_EXPIRED_REASON, bodies);
            return;
        }
        self.items.item_mut(index).state = ItemState::Pending;
        self.pending.retries.push_back(index);
    }

    /// The deadline in the encoding of the schema: 0 for none.
    pub(crate) fn deadline_or_zero(&self) -> u64 {
        match self.deadline_unix_ms {
            u64::MAX => 0,
            deadline => deadline,
        }
    }

    /// Whether all items have ended.
    pub(crate) fn all_items_ended(&self) -> bool {
        self.counts.succeeded + self.counts.failed == self.counts.total
    }

    /// Ends the job in `state`. Its results are kept until `expires_unix_ms`.
    pub(crate) fn end(&mut self, state: JobState, now: u64, expires_unix_ms: u64) {
        self.state = state;
        self.finished_at_unix_ms = now;
        self.expires_unix_ms = expires_unix_ms;
    }

    /// Cancels all unfinished items and releases their partial answers.
    pub(crate) fn cancel_items(&mut self, bodies: &Bodies) {
        self.counts.cancelled = self.counts.total - self.counts.succeeded - self.counts.failed;
        self.leases.clear();
        self.pending = PendingItems { next: self.counts.total, ..PendingItems::default() };
        for item in self.items.iter_mut().filter(|item| !item.has_ended()) {
            item.state = ItemState::Pending;
            bodies.release(std::mem::take(&mut item.body));
        }
    }

    /// Removes all items and releases their results and partial answers.
    pub(crate) fn release_bodies(&mut self, bodies: &Bodies) {
        for item in std::mem::take(&mut self.items).iter() {
            bodies.release(item.body);
        }
    }

    fn end_item(
        &mut self,
        index: u32,
        state: ItemState,
        status: u16,
        body: &[u8],
        bodies: &Bodies,
    ) {
        match state {
            ItemState::Succeeded => self.counts.succeeded += 1,
            _ => self.counts.failed += 1,
        }
        self.replace_body(index, bodies.append(body), bodies);
        let item = self.items.item_mut(index);
        item.state = state;
        item.status = status;
    }

    fn replace_body(&mut self, index: u32, body: BodyRef, bodies: &Bodies) {
        let old = std::mem::replace(&mut self.items.item_mut(index).body, body);
        bodies.release(old);
    }
}
