use crate::raft::node::{IncomingSnapshot, Role};
use crate::raft::{
    Action, AppendRequest, Body, Log, RaftNode, SnapshotChunk, SnapshotMeta, Standing,
};

/// Handling of append requests and snapshots by a follower.
impl RaftNode {
    /// Records a message from the leader of the current term, and follows it. A message of a
    /// heartbeat round that is not new may have been on its way for long, so it does not show that
    /// the leader still leads.
    pub(super) fn record_leader_contact(&mut self, now_ms: u64, from: u64, round: Option<u64>) {
        if let Some(round) = round {
            let newest = (self.hard_state.term, round);
            if newest <= self.leader_round && !matches!(self.role, Role::Candidate(_)) {
                return;
            }
            self.leader_round = newest;
        }
        self.last_leader_contact_ms = now_ms;
        self.is_election_extended = false;
        if self.leader_id == Some(from) && matches!(self.role, Role::Follower) {
            self.reset_election(now_ms);
            return;
        }
        self.become_follower(now_ms, self.hard_state.term, Some(from));
    }

    pub(super) fn step_append(&mut self, from: u64, request: AppendRequest) {
        let AppendRequest { previous_index, previous_term, entries, commit_index, round } = request;
        let last_sent = previous_index + entries.len() as u64;
        if previous_index >= self.log.first_index() - 1
            && self.log.term(previous_index) != Some(previous_term)
        {
            let hint = match self.log.term(previous_index) {
                None => self.log.last_index(),
                Some(_) => self.log.index_before_term_of(previous_index).max(self.commit_index),
            };
            self.reply_append(from, false, hint.min(previous_index - 1), round);
            return;
        }
        // Entries up to the base of the log are committed, so they match those of the leader.
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
        self.matched_index = self.matched_index.max(last_sent);
        self.commit_index = self.commit_index.max(commit_index.min(last_sent));
        self.try_become_member();
        self.reply_append(from, true, last_sent.min(self.durable_index), round);
    }

    /// Requests membership for a joining or repairing replica that has caught up.
    ///
    /// It may vote once all entries that the leader of the current term had committed when this replica
    /// first heard of such a commit are durable here. These include every entry committed in earlier
    /// terms, whichever replicas acknowledged it. Later commits don't count: a slow disk under load would
    /// stay behind them for good.
    pub(super) fn try_become_member(&mut self) {
        let through = match self.standing {
            Standing::Member | Standing::Forming => return,
            Standing::Joining => 0,
            Standing::Repairing { through } => through,
        };
        let (term, commit_index) = (self.hard_state.term, self.commit_index);
        let is_new_term = self.catch_up_goal.is_none_or(|goal| goal.0 != term);
        if is_new_term && self.log.term(commit_index) == Some(term) {
            self.catch_up_goal = Some((term, commit_index));
        }
        let goal = self.catch_up_goal.filter(|goal| goal.0 == term);
        if goal.is_none_or(|(_, index)| self.durable_index < index.max(through)) {
            return;
        }
        let own_replica = self.replicas().get(self.config.id);
        if self.standing == Standing::Joining && own_replica.is_none_or(|replica| replica.voter) {
            // A voter with an empty disk may have voted or acknowledged entries before it lost
            // them.
            return;
        }
        if !std::mem::replace(&mut self.membership_pending, true) {
            self.actions.push(Action::RecordMembership);
        }
    }

    /// Handles the stored standing [`Standing::Member`]: the replica may vote from now on.
    pub fn become_member(&mut self, now_ms: u64) {
        self.standing = Standing::Member;
        self.membership_pending = false;
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
            .filter(|s| (s.last_index, s.last_term, s.from) == (last_index, last_term, from));
        let mut incoming = incoming.unwrap_or(IncomingSnapshot {
            last_index,
            last_term,
            received_bytes: 0,
            storing: false,
            from,
        });
        let received_bytes = incoming.received_bytes;
        if incoming.storing {
            self.incoming = Some(incoming);
            return;
        }
        if chunk.offset_bytes == received_bytes {
            incoming.received_bytes += chunk.data.len() as u64;
            incoming.storing = true;
            self.incoming = Some(incoming);
            self.actions.push(Action::StoreChunk(chunk));
            return;
        }
        self.incoming = Some(incoming);
        self.reply_snapshot(from, last_index, received_bytes, false);
    }

    /// Handles the completion of [`Action::StoreChunk`].
    pub fn chunk_stored(&mut self) {
        let Some(incoming) = &mut self.incoming else { return };
        incoming.storing = false;
        let IncomingSnapshot { from, last_index, received_bytes, .. } = *incoming;
        self.reply_snapshot(from, last_index, received_bytes, false);
    }

    /// Discards the incoming snapshot, for example because it is damaged. The leader sends it again
    /// from the start.
    pub fn snapshot_failed(&mut self) {
        let Some(IncomingSnapshot { from, last_index, .. }) = self.incoming.take() else { return };
        self.reply_snapshot(from, last_index, 0, false);
    }

    /// Handles an installed snapshot: it is durable and restored into the state machine, and the
    /// log on the disk is cleared unless [`RaftNode::log_matches`] is true for it.
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
        self.try_become_member();
        if let Some(from) = from {
            self.reply_snapshot(from, last_index, 0, true);
        }
    }

    /// True if the log contains the last entry of a snapshot, so that the entries after it are
    /// kept.
    pub fn log_matches(&self, meta: &SnapshotMeta) -> bool {
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
