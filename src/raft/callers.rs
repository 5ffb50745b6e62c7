use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use futures::channel::oneshot;

use crate::raft::proposal_queue::QueuePermit;
use crate::raft::{ChangeError, ProposeError, ReadError, ReadPoint};

/// Takes the outcome of a command.
pub type CommandReply = oneshot::Sender<Result<Bytes, ProposeError>>;
/// Takes the result of a change of replicas.
pub type ChangeReply = oneshot::Sender<Result<(), ChangeError>>;
/// Takes a read point.
pub type ReadReply = oneshot::Sender<Result<ReadPoint, ReadError>>;

/// Callers that wait for entries to be applied or reads to be confirmed.
#[derive(Default)]
pub struct Callers {
    proposed: BTreeMap<u64, Proposed>,
    reads: HashMap<u64, ReadReply>,
    /// Confirmed reads by the index that must be applied: id and time of the confirmation.
    confirmed_reads: BTreeMap<u64, Vec<(u64, u64)>>,
    last_read_id: u64,
}

/// An entry of this replica that is not applied yet.
enum Proposed {
    Command { term: u64, reply: CommandReply, _permit: QueuePermit },
    Change { term: u64, reply: ChangeReply },
}

impl Callers {
    /// Adds the caller of a command that is in the log.
    pub fn add_command(&mut self, index: u64, term: u64, reply: CommandReply, permit: QueuePermit) {
        self.proposed.insert(index, Proposed::Command { term, reply, _permit: permit });
    }

    /// Adds the caller of a change that is in the log.
    pub fn add_change(&mut self, index: u64, term: u64, reply: ChangeReply) {
        self.proposed.insert(index, Proposed::Change { term, reply });
    }

    /// Id for the next read.
    pub fn next_read_id(&mut self) -> u64 {
        self.last_read_id += 1;
        self.last_read_id
    }

    /// Adds the caller of a read.
    pub fn add_read(&mut self, id: u64, reply: ReadReply) {
        self.reads.insert(id, reply);
    }

    /// A read may be answered once `index` is applied.
    pub fn confirm_read(&mut self, id: u64, index: u64, confirmed_ms: u64) {
        self.confirmed_reads.entry(index).or_default().push((id, confirmed_ms));
    }

    /// Gives the outcome of an applied entry to the caller that proposed it.
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

    /// Answers the reads that may see the state as of `applied_index`.
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

    /// Tells all callers that the fate of their command is not known.
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
