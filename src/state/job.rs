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

/// Reason of an item whose last attempt was lost with its holder.
const LEASE_RAN_OUT: &[u8] = b"the lease of the last attempt ran out";

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
    /// End of the results; 0 while the job is in progress.
    pub(crate) expires_unix_ms: u64,
    pub(crate) max_attempts: u8,
    pub(crate) state: JobState,
    /// Hidden, without items; kept so that a resend does not create the job anew.
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

/// Items of a job by their state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ItemCounts {
    pub(crate) total: u32,
    pub(crate) succeeded: u32,
    pub(crate) failed: u32,
    pub(crate) cancelled: u32,
}

/// Pending items in the order in which they are leased: yielded ones, which have progress, then
/// those never tried, then those to try again, so that items that always fail go last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingItems {
    pub(crate) yielded: VecDeque<u32>,
    /// First item that was never leased.
    pub(crate) next: u32,
    pub(crate) retries: VecDeque<u32>,
}

impl Job {
    /// An accepted job with all items pending.
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

    /// Leases the next pending item and gives its index and attempt.
    pub(crate) fn lease_next(&mut self, holder: &Holder, expires: u64) -> Option<(u32, u32)> {
        let index = self.take_pending()?;
        let item = self.items.item_mut(index);
        item.state = ItemState::Leased;
        item.attempt += 1;
        item.tries += 1;
        let attempt = item.attempt;
        self.leases.insert(index, Lease { holder: holder.clone(), expires_unix_ms: expires });
        Some((index, attempt))
    }

    fn take_pending(&mut self) -> Option<u32> {
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

    /// The lease of an attempt, when this attempt holds the item.
    pub(crate) fn lease_of(&self, item: u32, attempt: u32, host_id: &str) -> Option<&Lease> {
        let current = self.items.get(item)?.attempt;
        let lease = self.leases.get(&item)?;
        (current == attempt && *lease.holder.host_id == *host_id).then_some(lease)
    }

    /// Whether an attempt may end its item.
    pub(crate) fn verdict(&self, host_id: &str, attempt: &ItemAttempt) -> FinishVerdict {
        match self.items.get(attempt.item) {
            None => FinishVerdict::UnknownItem,
            Some(item) if item.has_ended() => FinishVerdict::Duplicate,
            Some(_) if self.state == JobState::Cancelled => FinishVerdict::JobCancelled,
            Some(_) if self.lease_of(attempt.item, attempt.attempt, host_id).is_none() => {
                FinishVerdict::StaleAttempt
            }
            Some(_) => FinishVerdict::Accepted,
        }
    }

    /// Ends an attempt whose verdict is accepted.
    pub(crate) fn finish(&mut self, finish: &ItemFinish, bodies: &Bodies) {
        let index = finish.attempt.item;
        let item = *self.items.item(index);
        self.leases.remove(&index);
        match finish.end {
            AttemptEnd::Succeeded => {
                self.end_item(index, ItemState::Succeeded, finish.status, &finish.body, bodies);
            }
            AttemptEnd::AttemptFailed if item.tries < self.max_attempts => {
                self.set_body(index, BodyRef::EMPTY, bodies);
                self.items.item_mut(index).state = ItemState::Pending;
                self.pending.retries.push_back(index);
            }
            AttemptEnd::Failed | AttemptEnd::AttemptFailed => {
                self.end_item(index, ItemState::Failed, finish.status, &finish.body, bodies);
            }
            AttemptEnd::Yielded => {
                // A yield without a partial answer keeps the progress of earlier attempts.
                if !finish.body.is_empty() {
                    self.set_body(index, bodies.append(&finish.body), bodies);
                }
                let item = self.items.item_mut(index);
                item.state = ItemState::Pending;
                item.tries -= 1;
                self.pending.yielded.push_back(index);
            }
        }
    }

    /// Frees an item whose lease ran out; its progress stays.
    pub(crate) fn lease_ran_out(&mut self, index: u32, bodies: &Bodies) {
        if self.leases.remove(&index).is_none() {
            return;
        }
        let tries = self.items.item(index).tries;
        if tries >= self.max_attempts {
            self.end_item(index, ItemState::Failed, 0, LEASE_RAN_OUT, bodies);
            return;
        }
        self.items.item_mut(index).state = ItemState::Pending;
        self.pending.retries.push_back(index);
    }

    /// The deadline as the schema has it: 0 for none.
    pub(crate) fn deadline_or_zero(&self) -> u64 {
        match self.deadline_unix_ms {
            u64::MAX => 0,
            deadline => deadline,
        }
    }

    /// Whether all items have ended.
    pub(crate) fn is_done(&self) -> bool {
        self.counts.succeeded + self.counts.failed == self.counts.total
    }

    /// Ends the job; the results stay until `expires_unix_ms`.
    pub(crate) fn end(&mut self, state: JobState, now: u64, expires_unix_ms: u64) {
        self.state = state;
        self.finished_at_unix_ms = now;
        self.expires_unix_ms = expires_unix_ms;
    }

    /// Gives up all unfinished items.
    pub(crate) fn cancel(&mut self, bodies: &Bodies) {
        self.counts.cancelled = self.counts.total - self.counts.succeeded - self.counts.failed;
        self.leases.clear();
        self.pending = PendingItems { next: self.counts.total, ..PendingItems::default() };
        for item in self.items.iter_mut().filter(|item| !item.has_ended()) {
            item.state = ItemState::Pending;
            bodies.release(std::mem::take(&mut item.body));
        }
    }

    /// Gives up all results and progress.
    pub(crate) fn release(&mut self, bodies: &Bodies) {
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
        self.set_body(index, bodies.append(body), bodies);
        let item = self.items.item_mut(index);
        item.state = state;
        item.status = status;
    }

    fn set_body(&mut self, index: u32, body: BodyRef, bodies: &Bodies) {
        let old = std::mem::replace(&mut self.items.item_mut(index).body, body);
        bodies.release(old);
    }
}
