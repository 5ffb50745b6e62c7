use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

use crate::raft::pending_replies::CommandReply;
use crate::raft::Priority;

/// Total size of pending commands above which bulk commands, or all commands, are rejected.
const BULK_LIMIT_BYTES: usize = 8 << 20;
const LIMIT_BYTES: usize = 16 << 20;
/// Memory that a queued command uses in addition to its own bytes.
const OVERHEAD_BYTES: usize = 128;
/// Maximum size of a batch that is proposed at once.
const BATCH_BYTES: usize = 1 << 20;
/// Maximum size of the bulk commands in a batch that also contains online commands.
const BULK_SHARE_BYTES: usize = 128 << 10;

/// A command to replicate, with the channel for its outcome.
pub struct Proposal {
    /// The command.
    pub command: Bytes,
    /// Priority of the command.
    pub priority: Priority,
    /// Receives the outcome.
    pub reply: CommandReply,
    /// The command's share of the queue limit.
    pub permit: QueuePermit,
}

/// Limit on the total size of the commands that wait for an outcome.
#[derive(Clone, Debug, Default)]
pub struct QueueLimit {
    bytes: Arc<AtomicUsize>,
}

/// A command's share of the queue limit, released when dropped.
#[derive(Debug)]
pub struct QueuePermit {
    bytes: Arc<AtomicUsize>,
    size: usize,
}

impl QueueLimit {
    /// Reserves space for a command; `None` if the limit for its priority is exceeded. A command of
    /// any size is accepted while the queue is empty.
    pub fn acquire(&self, command: &Bytes, priority: Priority) -> Option<QueuePermit> {
        let size = command.len() + OVERHEAD_BYTES;
        let limit = match priority {
            Priority::Bulk => BULK_LIMIT_BYTES,
            Priority::Online | Priority::Completion => LIMIT_BYTES,
        };
        let used_bytes = self.bytes.fetch_add(size, Ordering::Relaxed);
        let permit = QueuePermit { bytes: self.bytes.clone(), size };
        (used_bytes + size <= limit || used_bytes == 0).then_some(permit)
    }
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        self.bytes.fetch_sub(self.size, Ordering::Relaxed);
    }
}

/// Commands that wait to be proposed.
#[derive(Default)]
pub struct ProposalQueue {
    online: VecDeque<Proposal>,
    bulk: VecDeque<Proposal>,
}

impl ProposalQueue {
    /// Adds a command to the queue of its priority.
    pub fn push(&mut self, proposal: Proposal) {
        match proposal.priority {
            Priority::Online => self.online.push_back(proposal),
            Priority::Bulk | Priority::Completion => self.bulk.push_back(proposal),
        }
    }

    /// Removes the next batch: online commands first, then a limited share of bulk commands.
    pub fn next_batch(&mut self) -> Vec<Proposal> {
        let mut batch = Vec::new();
        move_to_batch(&mut self.online, &mut batch, BATCH_BYTES);
        let bulk_bytes = if batch.is_empty() { BATCH_BYTES } else { BULK_SHARE_BYTES };
        move_to_batch(&mut self.bulk, &mut batch, bulk_bytes);
        batch
    }

    /// Removes all commands.
    pub fn drain(&mut self) -> Vec<Proposal> {
        self.online.drain(..).chain(self.bulk.drain(..)).collect()
    }
}

/// Moves commands into the batch until their size reaches `limit_bytes`.
fn move_to_batch(queue: &mut VecDeque<Proposal>, batch: &mut Vec<Proposal>, limit_bytes: usize) {
    let mut bytes = 0;
    while bytes < limit_bytes {
        let Some(proposal) = queue.pop_front() else { return };
        bytes += proposal.command.len() + OVERHEAD_BYTES;
        batch.push(proposal);
    }
}
