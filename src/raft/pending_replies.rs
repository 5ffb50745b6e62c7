use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use futures::channel::oneshot;

use crate::raft::proposal_queue::QueuePermit;
use crate::raft::{ChangeError, ProposeError, ReadError, ReadPoint};

/// Receives the outcome of a command.
pub type CommandReply = oneshot::Sender<Result<Bytes, ProposeError>>;
/// Receives the result of a change of the replica set.
pub type ChangeReply = oneshot::Sender<Result<(), ChangeError>>;
/// Receives the result of a read.
pub type ReadReply = oneshot::Sender<Result<ReadPoint, ReadError>>;

/// Reply channels of callers that wait for an entry to be applied or a read to be confirmed.
#[derive(Default)]
pub struct PendingReplies {
    /// By log index.
    proposed: BTreeMap<u64, Proposed>,
    /// By read id.
    reads: HashMap<u64, ReadReply>,
    /// Id and confirmation time of confirmed reads, by the index that must be applied first.
    confirmed_reads: BTreeMap<u64, Vec<(u64, u64)>>,
    last_read_id: u64,
}

/// An entry proposed by this replica that is not applied yet.
enum Proposed {
    Command { term: u64, reply: CommandReply, _permit: QueuePermit },
    Change { term: u64, reply: ChangeReply },
}

impl PendingReplies {
    /// Adds the caller of a command that was appended at `index`.
    pub fn add_command(&mut self, index: u64, term: u64, reply: CommandReply, permit: QueuePermit) {
        self.proposed.insert(index, Proposed::Command { term, reply, _permit: permit });
    }

    /// Adds the caller of a replica change that was appended at `index`.
    pub fn add_change(&mut self, index: u64, term: u64, reply: ChangeReply) {
        self.proposed.insert(index, Proposed::Change { term, reply });
    }

    /// Allocates an id for a read.
    pub fn next_read_id(&mut self) -> u64 {
        self.last_read_id += 1;
        self.last_read_id
    }

    /// Adds the caller of a read.
    pub fn add_read(&mut self, id: u64, reply: ReadReply) {
        self.reads.insert(id, reply);
    }

    /// Records that a read may be answered once `index` is applied.
    pub fn confirm_read(&mut self, id: u64, index: u64, confirmed_ms: u64) {
        self.confirmed_reads.entry(index).or_default().push((id, confirmed_ms));
    }

    /// Sends the outcome of an applied entry to the caller that proposed it. If another leader's
    /// entry was applied at that index, the outcome is unknown.
    pub fn answer(&mut self, index: u64, applied_term: u64, outcome: Bytes) {
        match self.proposed.remove(&index) {
            None => {}
            Some(Proposed::Command { term, reply, .. }) => {
                let answer =
                    if term == applied_term { Ok(outcome) } else { Err(ProposeError::Unknown) };
                let _ = reply.send(answer);
            }
            Some(Proposed::Change { term, reply }) => {
                let answer = if term == applied_term { Ok(()) } else { Err(ChangeError::Unknown) };
                let _ = reply.send(answer);
            }
        }
    }

    /// Answers the confirmed reads that need no more than `applied_index`.
    pub fn answer_reads(&mut self, applied_index: u64, now_ms: u64) {
        while let Some(entry) = self.confirmed_reads.first_entry() {
            let index = *entry.key();
            if index > applied_index {
                return;
            }
            for (id, confirmed_ms) in entry.remove() {
                let Some(reply) = self.reads.remove(&id) else { continue };
                let confirmed_age_ms = now_ms.saturating_sub(confirmed_ms);
                let _ = reply.send(Ok(ReadPoint { index, confirmed_age_ms }));
            }
        }
    }

    /// Fails all pending calls: commands and changes as unknown, reads as unconfirmed.
    pub fn fail_all(&mut self) {
        for proposed in std::mem::take(&mut self.proposed).into_values() {
            match proposed {
                Proposed::Command { reply, .. } => {
                    let _ = reply.send(Err(ProposeError::Unknown));
                }
                Proposed::Change { reply, .. } => {
                    let _ = reply.send(Err(ChangeError::Unknown));
                }
            }
        }
        self.confirmed_reads.clear();
        for reply in std::mem::take(&mut self.reads).into_values() {
            let _ = reply.send(Err(ReadError::NoQuorum));
        }
    }
}
