use crate::raft::node::{Incoming, Role};
use crate::raft::{
    Action, AppendRequest, Body, Log, RaftNode, SnapshotChunk, SnapshotMeta, Standing,
};

/// What a follower does.
impl RaftNode {
    pub(super) fn hear_leader(&mut self, now_ms: u64, from: u64) {
        self.leader_heard_ms = now_ms;
        if self.leader_id == Some(from) && matches!(self.role, Role::Follower) {
            self.reset_election(now_ms);
            return;
        }
        self.follow(now_ms, self.hard_state.term, Some(from));
    }

    pub(super) fn step_append(&mut self, from: u64, request: AppendRequest) {
        let AppendRequest { previous_index, previous_term, entries, commit_index, round } = request;
        let last_sent = previous_index + entries.len() as u64;
        if previous_index >= self.log.first_index() - 1
            && self.log.term(previous_index) != Some(previous_term)
        {
            let hint = match self.log.term(previous_index) {
                None => self.log.last_index(),
                Some(_) => self.log.before_term_of(previous_index).max(self.commit_index),
            };
            self.reply_append(from, false, hint.min(previous_index - 1), round);
            return;
        }
        // Entries up to the base of the log are committed, so they are the same.
        let first_new = entries.iter().position(|entry| {
            entry.index >= self.log.first_index() && self.log.term(entry.index) != Some(entry.term)
        });
        if let Some(first_new) = first_new {
            let new = entries[first_new..].to_vec();
            let first_index = new[0].index;
            if first_index <= self.commit_index {
                self.fail(format!("the leader replaces committed entry {first_index}"));
                return;
            }
            if first_index <= self.log.last_index() {
                self.log.truncate(first_index);
                self.durable_index = self.durable_index.min(first_index - 1);
            }
            for entry in &new {
                self.log.push(entry.clone());
            }
            self.persist(new);
        }
        self.commit_index = self.commit_index.max(commit_index.min(last_sent));
        self.check_settled();
        self.reply_append(from, true, last_sent.min(self.durable_index), round);
    }

    /// A joining or repairing replica may vote once it has on its disk all that the current leader
    /// has committed, which includes all that was acknowledged by anyone in earlier terms.
    pub(super) fn check_settled(&mut self) {
        let through = match self.standing {
            Standing::Member | Standing::Forming => return,
            Standing::Joining => 0,
            Standing::Repairing { through } => through,
        };
        let reached = self.durable_index >= self.commit_index.max(through)
            && self.log.term(self.commit_index) == Some(self.hard_state.term);
        if !reached {
            return;
        }
        let own = self.replicas().get(self.config.id);
        if self.standing == Standing::Joining && own.is_none_or(|replica| replica.voter) {
            // A voter with an empty disk may have voted or acknowledged entries before.
            return;
        }
        if !std::mem::replace(&mut self.settling, true) {
            self.actions.push(Action::Settled);
        }
    }

    /// It is on the disk that the replica may vote.
    pub fn become_member(&mut self, now_ms: u64) {
        self.standing = Standing::Member;
        self.settling = false;
        self.reset_election(now_ms);
    }

    pub(super) fn step_chunk(&mut self, from: u64, chunk: SnapshotChunk) {
        let (last_index, last_term) = (chunk.meta.last_index, chunk.meta.last_term);
        if last_index <= self.commit_index {
            self.reply_snapshot(from, self.commit_index.min(self.durable_index), 0, true);
            return;
        }
        let incoming = self
            .incoming
            .take()
            .filter(|it| (it.last_index, it.last_term, it.from) == (last_index, last_term, from));
        let mut incoming = incoming.unwrap_or(Incoming {
            last_index,
            last_term,
            received_bytes: 0,
            storing: false,
            from,
        });
        let received = incoming.received_bytes;
        if incoming.storing {
            self.incoming = Some(incoming);
            return;
        }
        if chunk.offset_bytes == received {
            incoming.received_bytes += chunk.data.len() as u64;
            incoming.storing = true;
            self.incoming = Some(incoming);
            self.actions.push(Action::StoreChunk(chunk));
            return;
        }
        self.incoming = Some(incoming);
        self.reply_snapshot(from, last_index, received, false);
    }

    /// The last piece that was given out is stored.
    pub fn chunk_stored(&mut self) {
        let Some(incoming) = &mut self.incoming else { return };
        incoming.storing = false;
        let Incoming { from, last_index, received_bytes, .. } = *incoming;
        self.reply_snapshot(from, last_index, received_bytes, false);
    }

    /// The received snapshot is damaged; the leader starts again.
    pub fn snapshot_failed(&mut self) {
        let Some(Incoming { from, last_index, .. }) = self.incoming.take() else { return };
        self.reply_snapshot(from, last_index, 0, false);
    }

    /// The received snapshot is on the disk and in the state machine, and the log on the disk is
    /// empty after it unless it agrees with it.
    pub fn snapshot_installed(&mut self, meta: SnapshotMeta) {
        let from = self.incoming.take().map(|incoming| incoming.from);
        if self.log.term(meta.last_index) == Some(meta.last_term) {
            self.log.compact(meta.last_index);
        } else {
            self.log = Log::new(meta.clone(), []);
            self.durable_index = meta.last_index;
        }
        self.durable_index = self.durable_index.max(meta.last_index);
        self.commit_index = self.commit_index.max(meta.last_index);
        let last_index = meta.last_index;
        self.snapshot = meta;
        self.check_settled();
        if let Some(from) = from {
            self.reply_snapshot(from, last_index, 0, true);
        }
    }

    /// True if the log agrees with a snapshot, so that the entries after it can be kept.
    pub fn keeps_log_after(&self, meta: &SnapshotMeta) -> bool {
        self.log.term(meta.last_index) == Some(meta.last_term)
    }

    fn reply_snapshot(&mut self, to: u64, last_index: u64, received_bytes: u64, done: bool) {
        self.send(to, Body::SnapshotReply { last_index, received_bytes, done });
    }

    pub(super) fn fail(&mut self, reason: String) {
        self.fault = true;
        self.actions.push(Action::Fault(reason));
    }
}
