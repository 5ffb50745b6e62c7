use crate::raft::node::Role;
use crate::raft::progress::{Mode, SentEntries, SLOWEST_LINK_BYTES_PER_MS};
use crate::raft::{
    Action, AppendRequest, Body, CatchUpSizes, Entry, Message, RaftNode, SnapshotChunk,
    SnapshotMeta,
};

/// Leader: replication of the log and of snapshots to the followers.
impl RaftNode {
    /// Sends new entries to all followers that are ready for them.
    pub fn replicate_all(&mut self, now_ms: u64) {
        let Role::Leader(leader) = &self.role else { return };
        let followers: Vec<u64> = leader.followers.keys().copied().collect();
        for to in followers {
            self.replicate(now_ms, to);
        }
    }

    fn replicate(&mut self, now_ms: u64, to: u64) {
        loop {
            let last_index = self.log.last_index();
            let needs_snapshot = self.needs_snapshot(to);
            let Role::Leader(leader) = &mut self.role else { return };
            let Some(follower) = leader.followers.get_mut(&to) else { return };
            let first_index = follower.next_index;
            if needs_snapshot {
                follower.start_snapshot(SnapshotMeta::default(), now_ms);
                self.tick_snapshots(now_ms);
                return;
            }
            if !follower.may_send(self.config.append_bytes) || first_index > last_index {
                return;
            }
            let Some(entries) = self.log.slice(first_index, self.config.append_bytes) else {
                let is_pipelined = matches!(follower.mode, Mode::Replicate);
                follower.mode = Mode::Fetch { first_index, is_pipelined };
                self.actions.push(Action::Fetch { to, first_index });
                return;
            };
            self.send_entries(now_ms, to, entries);
        }
    }

    /// True if a follower gets a snapshot next: the entries that it needs were compacted, or are larger than a snapshot.
    ///
    /// The size counts only until the follower's log is known to match. Afterwards a replica that is merely slow would
    /// acknowledge nothing while it gets a snapshot, and commits may depend on it.
    fn needs_snapshot(&self, to: u64) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(follower) = leader.followers.get(&to) else { return false };
        // Checked even if the window is full: the requests in flight can't be sent again, since their entries were
        // compacted.
        let is_compacted = self.log.term(follower.next_index - 1).is_none();
        match follower.mode {
            Mode::Probe if follower.in_flight.is_empty() => {
                is_compacted || self.catch_up_sizes(follower.next_index).prefers_snapshot()
            }
            Mode::Probe | Mode::Replicate => is_compacted,
            Mode::Fetch { .. } | Mode::Snapshot(_) => false,
        }
    }

    /// Sizes of what a follower can get that lacks the entries from `first_index` on.
    pub fn catch_up_sizes(&self, first_index: u64) -> CatchUpSizes {
        let applied_index = self.applied_index;
        CatchUpSizes {
            missing_bytes: self.log.bytes_between(first_index - 1, applied_index),
            snapshot: self.snapshot_size,
            tail_bytes: self.log.bytes_between(self.snapshot.last_index, applied_index),
            min_bytes: self.config.min_snapshot_bytes,
        }
    }

    fn send_entries(&mut self, now_ms: u64, to: u64, entries: Vec<Entry>) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(follower) = leader.followers.get_mut(&to) else { return };
        let previous_index = follower.next_index - 1;
        let Some(previous_term) = self.log.term(previous_index) else { return };
        follower.sent(SentEntries {
            first_index: previous_index + 1,
            last_index: previous_index + entries.len() as u64,
            bytes: entries.iter().map(Entry::size_bytes).sum(),
            round: leader.round,
            sent_ms: now_ms,
        });
        let body = AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit_index: self.commit_index,
            round: leader.round,
        };
        let body = Body::AppendRequest(body);
        let message = Message { from: self.config.id, to, term: self.hard_state.term, body };
        self.actions.push(Action::Send(message));
    }

    pub(super) fn send_heartbeat(&mut self, now_ms: u64, to: u64) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(follower) = leader.followers.get(&to) else { return };
        let previous_index = follower.heartbeat_index(now_ms, self.probe_timeout_ms());
        // A follower that needs a snapshot gets previous index 0, which always matches, so that the
        // heartbeat only shows that the leader is alive.
        let known = self.log.term(previous_index).map(|term| (previous_index, term));
        let (previous_index, previous_term) = known.unwrap_or((0, 0));
        let body = AppendRequest {
            previous_index,
            previous_term,
            entries: Vec::new(),
            commit_index: self.commit_index,
            round: leader.round,
        };
        let body = Body::AppendRequest(body);
        let message = Message { from: self.config.id, to, term: self.hard_state.term, body };
        self.actions.push(Action::Send(message));
    }

    /// Time after which the request of a probe may be lost.
    fn probe_timeout_ms(&self) -> u64 {
        self.config.election_timeout_ms / 2
    }

    /// Handles the entries read for a follower; empty if they are no longer on the disk.
    pub fn fetched(&mut self, now_ms: u64, to: u64, mut entries: Vec<Entry>) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(follower) = leader.followers.get_mut(&to) else { return };
        let Mode::Fetch { first_index, is_pipelined } = follower.mode else { return };
        if entries.first().is_some_and(|entry| entry.index != first_index) {
            // Read for an earlier request; the entries that are needed now are still being read.
            return;
        }
        follower.mode = if is_pipelined { Mode::Replicate } else { Mode::Probe };
        if follower.next_index != first_index {
            self.replicate(now_ms, to);
            return;
        }
        entries.retain(|entry| self.log.term(entry.index) == Some(entry.term));
        if !entries.is_empty() {
            self.send_entries(now_ms, to, entries);
            // The next ones are read while these are on their way.
            self.replicate(now_ms, to);
            return;
        }
        follower.start_snapshot(SnapshotMeta::default(), now_ms);
        self.tick_snapshots(now_ms);
    }

    pub(super) fn step_append_reply(
        &mut self,
        now_ms: u64,
        from: u64,
        accepted: bool,
        index: u64,
        round: u64,
        settled: bool,
    ) {
        let probe_timeout_ms = self.probe_timeout_ms();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(follower) = leader.followers.get_mut(&from) else { return };
        follower.last_reply_ms = now_ms;
        follower.settled = settled;
        follower.acked_round = follower.acked_round.max(round);
        if accepted {
            follower.accepted(index);
        } else {
            follower.rejected(index, round, now_ms, probe_timeout_ms);
        }
        self.confirm_rounds(now_ms);
        self.advance_commit(now_ms);
        self.check_transfer(now_ms);
        self.replicate(now_ms, from);
    }

    pub(super) fn step_snapshot_reply(
        &mut self,
        now_ms: u64,
        from: u64,
        last_index: u64,
        received_bytes: u64,
        done: bool,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(follower) = leader.followers.get_mut(&from) else { return };
        follower.last_reply_ms = now_ms;
        let Mode::Snapshot(transfer) = &mut follower.mode else { return };
        if done {
            follower.mode = Mode::Replicate;
            follower.next_index = last_index + 1;
            follower.accepted(last_index);
            self.advance_commit(now_ms);
            self.replicate(now_ms, from);
            return;
        }
        // A follower that has restarted replies 0 received bytes. Other replies without progress
        // are late or duplicates; sending a chunk for each of them would multiply the traffic.
        let is_progress = received_bytes > transfer.offset_bytes
            || (received_bytes == 0 && transfer.offset_bytes > 0);
        if last_index == transfer.meta.last_index && is_progress {
            transfer.offset_bytes = received_bytes;
            transfer.due_ms = transfer.earliest_send_ms.max(now_ms);
            self.tick_snapshots(now_ms);
        }
    }

    /// Requests the snapshot chunks that are due to be sent.
    pub(super) fn tick_snapshots(&mut self, now_ms: u64) {
        // A chunk that is not acknowledged within this time is sent again.
        let retry_ms = 2 * self.config.election_timeout_ms;
        let Role::Leader(leader) = &mut self.role else { return };
        for (&to, follower) in &mut leader.followers {
            let Mode::Snapshot(transfer) = &mut follower.mode else { continue };
            if now_ms < transfer.due_ms {
                continue;
            }
            transfer.due_ms = now_ms + retry_ms;
            if now_ms > follower.last_reply_ms + retry_ms {
                // Reads and sends nothing while the follower does not reply.
                continue;
            }
            let (last_index, offset_bytes) = (transfer.meta.last_index, transfer.offset_bytes);
            self.actions.push(Action::ReadChunk { to, last_index, offset_bytes });
        }
    }

    /// Handles a snapshot chunk read for a follower, and sends it.
    pub fn chunk_read(&mut self, now_ms: u64, to: u64, chunk: SnapshotChunk) {
        let transfer_ms = chunk.data.len() as u64 / SLOWEST_LINK_BYTES_PER_MS;
        // The first chunk is small and may be lost like a probe; a larger one is sent again only if it surely is.
        let answer_ms = match chunk.offset_bytes {
            0 => self.probe_timeout_ms(),
            _ => 2 * self.config.election_timeout_ms,
        };
        let retry_ms = answer_ms + transfer_ms;
        let rate = self.config.transfer_bytes_per_s.max(1);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(follower) = leader.followers.get_mut(&to) else { return };
        let Mode::Snapshot(transfer) = &mut follower.mode else { return };
        if transfer.meta.last_index != chunk.meta.last_index {
            transfer.offset_bytes = 0;
        }
        if transfer.offset_bytes != chunk.offset_bytes {
            return;
        }
        transfer.meta = chunk.meta.clone();
        let pause_ms = chunk.data.len() as u64 * 1000 / rate;
        transfer.earliest_send_ms = now_ms + pause_ms;
        transfer.due_ms = now_ms + pause_ms + retry_ms;
        self.send(to, Body::SnapshotChunk(chunk));
    }
}
