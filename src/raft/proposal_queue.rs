use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

use crate::raft::callers::CommandReply;
use crate::raft::Priority;

/// Bytes of waiting commands above which bulk commands are refused, and all commands.
const BULK_LIMIT_BYTES: usize = 8 << 20;
const LIMIT_BYTES: usize = 16 << 20;
/// Bytes that a command takes while it waits, beside its own.
const OVERHEAD_BYTES: usize = 128;
/// Largest batch that is written at once.
const BATCH_BYTES: usize = 1 << 20;
/// Share of bulk commands in a batch that online commands wait for.
const BULK_SHARE_BYTES: usize = 128 << 10;

/// A command that waits for its outcome.
pub struct Proposal {
    /// The command.
    pub command: Bytes,
    /// How urgent it is.
    pub priority: Priority,
    /// Takes the outcome.
    pub reply: CommandReply,
    /// Returns its bytes to the limit when dropped.
    pub permit: QueuePermit,
}

/// Bytes of the commands that wait for the driver.
#[derive(Clone, Debug, Default)]
pub struct QueueLimit {
    bytes: Arc<AtomicUsize>,
}

/// A command's share of the queue, given back when dropped.
#[derive(Debug)]
pub struct QueuePermit {
    bytes: Arc<AtomicUsize>,
    size: usize,
}

impl QueueLimit {
    /// Takes room for a command, if there is some.
    pub fn acquire(&self, command: &Bytes, priority: Priority) -> Option<QueuePermit> {
        let size = command.len() + OVERHEAD_BYTES;
        let limit = match priority {
            Priority::Bulk => BULK_LIMIT_BYTES,
            Priority::Online | Priority::Completion => LIMIT_BYTES,
        };
        let before = self.bytes.fetch_add(size, Ordering::Relaxed);
        let permit = QueuePermit { bytes: self.bytes.clone(), size };
        (before + size <= limit || before == 0).then_some(permit)
    }
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        self.bytes.fetch_sub(self.size, Ordering::Relaxed);
    }
}

/// Commands that wait to be written.
#[derive(Default)]
pub struct ProposalQueue {
    online: VecDeque<Proposal>,
    bulk: VecDeque<Proposal>,
}

impl ProposalQueue {
    /// Adds a command.
    pub fn push(&mut self, proposal: Proposal) {
        match proposal.priority {
            Priority::Online => self.online.push_back(proposal),
            Priority::Bulk | Priority::Completion => self.bulk.push_back(proposal),
        }
    }

    /// Takes the next batch: online commands first, then some bulk ones.
    pub fn take_batch(&mut self) -> Vec<Proposal> {
        let mut batch = Vec::new();
        take(&mut self.online, &mut batch, BATCH_BYTES);
        let bulk_bytes = if batch.is_empty() { BATCH_BYTES } else { BULK_SHARE_BYTES };
        take(&mut self.bulk, &mut batch, bulk_bytes);
        batch
    }

    /// Takes everything.
    pub fn take_all(&mut self) -> Vec<Proposal> {
        self.online.drain(..).chain(self.bulk.drain(..)).collect()
    }
}

/// Moves commands into the batch, at least one and at most `limit_bytes`.
fn take(queue: &mut VecDeque<Proposal>, batch: &mut Vec<Proposal>, limit_bytes: usize) {
    let mut bytes = 0;
    while bytes < limit_bytes {
        let Some(proposal) = queue.pop_front() else { return };
        bytes += proposal.command.len() + OVERHEAD_BYTES;
        batch.push(proposal);
    }
}
