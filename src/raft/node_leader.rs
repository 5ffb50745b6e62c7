use crate::raft::leader::{Leader, PendingRead, Transfer};
use crate::raft::node::Role;
use crate::raft::progress::{Mode, Progress};
use crate::raft::{
    Action, Body, Entry, FollowerStatus, LeadershipEnd, Payload, RaftNode, ReplicaChange,
    ReplicaSet,
};

/// Maximum number of entries that a learner may lag behind [`RaftNode::catch_up_index`] when it is promoted to voter.
const PROMOTE_LAG_ENTRIES: u64 = 1024;

/// Most rounds for reads in a heartbeat interval. Each costs a message to each follower and back, and reads that come
/// meanwhile share the next one.
const READ_ROUNDS_PER_HEARTBEAT: u64 = 15;

/// Time, in election timeouts, for which a leader waits for a successor that it has asked to take over and that
/// answers nothing: it writes its vote before it asks for those of others.
const MAX_TRANSFER_WRITE_TIMEOUTS: u64 = 2;

/// Leader: proposals, reads, replica changes, leadership transfer and commits. Replication of the
/// log is in `node_replication`.
impl RaftNode {
    /// Becomes leader and appends an empty entry, whose commit also commits the entries of earlier
    /// terms.
    pub(super) fn become_leader(&mut self, now_ms: u64) {
        let leader = Leader {
            term_start_index: self.log.last_index() + 1,
            confirmed_ms: now_ms,
            ..Leader::default()
        };
        self.role = Role::Leader(leader);
        self.earlier_campaign = None;
        self.leader_id = Some(self.config.id);
        self.update_followers(now_ms);
        self.append(vec![Payload::Empty]);
        self.broadcast(now_ms);
    }

    /// Appends commands and returns the index of the first one and the term, or `None` if this
    /// replica is not the leader, is transferring leadership or has failed.
    pub fn propose(&mut self, payloads: Vec<Payload>) -> Option<(u64, u64)> {
        let Role::Leader(Leader { transfer: None, .. }) = self.role else { return None };
        if self.fault {
            return None;
        }
        Some(self.append(payloads))
    }

    /// Starts a linearizable read, which ends with [`Action::ReadConfirmed`] or
    /// [`Action::SteppedDown`]. Returns false if this replica is not the leader.
    ///
    /// Reads are batched: call [`RaftNode::flush_reads`] after a batch of events.
    pub fn read(&mut self, now_ms: u64, id: u64) -> bool {
        let lease_ms = self.config.election_timeout_ms / 4 * 3;
        let is_only_voter = self.is_only_voter();
        let Role::Leader(leader) = &mut self.role else { return false };
        // Until the first entry of the term is committed, the commit index may be behind.
        let index = self.commit_index.max(leader.term_start_index);
        let holds_lease = self.config.lease_reads
            && leader.has_lease
            && !leader.lease_ended
            && now_ms < leader.confirmed_ms + lease_ms;
        if is_only_voter || holds_lease {
            let confirmed_ms = if is_only_voter { now_ms } else { leader.confirmed_ms };
            self.actions.push(Action::ReadConfirmed { id, index, confirmed_ms });
            return true;
        }
        leader.reads.push_back(PendingRead { id, index, round: leader.round + 1 });
        true
    }

    /// Starts a heartbeat round for pending reads, unless the round that confirms them is already
    /// in flight or another one was sent just now.
    pub fn flush_reads(&mut self, now_ms: u64) {
        let read_interval_ms = self.read_interval_ms();
        let Role::Leader(leader) = &self.role else { return };
        if leader.needs_round() && now_ms >= leader.round_sent_ms + read_interval_ms {
            self.broadcast(now_ms);
        }
    }

    /// Least time between two rounds for reads.
    pub(super) fn read_interval_ms(&self) -> u64 {
        self.config.heartbeat_interval_ms.div_ceil(READ_ROUNDS_PER_HEARTBEAT)
    }

    /// Starts a change of the replica set; returns the index and term of its entry, or the reason
    /// why the change is rejected.
    pub fn change_replicas(
        &mut self,
        now_ms: u64,
        change: &ReplicaChange,
    ) -> Result<(u64, u64), String> {
        let Role::Leader(leader) = &self.role else { return Err("not the leader".into()) };
        let (set, set_index) = self.log.replicas();
        if leader.transfer.is_some() {
            return Err("leadership is being transferred".into());
        }
        if set_index > self.commit_index || self.commit_index < leader.term_start_index {
            return Err("another change is not committed yet".into());
        }
        if let ReplicaChange::Promote(id) = change {
            let Some(follower) = leader.followers.get(id) else {
                return Err(format!("no replica {id}"));
            };
            let lag = self.catch_up_index(now_ms).saturating_sub(follower.match_index);
            if !follower.settled || lag > PROMOTE_LAG_ENTRIES {
                return Err(format!("replica {id} has not caught up: {lag} entries behind"));
            }
        }
        let set: ReplicaSet = set.changed(change)?;
        let index_and_term = self.append(vec![Payload::Replicas(set)]);
        self.update_followers(now_ms);
        self.replicate_all(now_ms);
        Ok(index_and_term)
    }

    /// Starts to transfer leadership to `to`, or to the most up-to-date voter if it is 0; returns
    /// the id of the next leader, or the reason why there is none.
    pub fn transfer_leadership(&mut self, now_ms: u64, to: u64) -> Result<u64, String> {
        let timeout_ms = self.config.election_timeout_ms;
        let set = self.log.replicas().0;
        let Role::Leader(leader) = &mut self.role else { return Err("not the leader".into()) };
        let candidates = leader.followers.iter().filter(|(&id, follower)| {
            set.is_voter(id)
                && (to == 0 || id == to)
                && follower.settled
                && now_ms < follower.last_reply_ms + timeout_ms
        });
        let target = candidates.max_by_key(|(_, follower)| follower.match_index);
        let Some((&to, _)) = target else { return Err("no voter is ready to lead".into()) };
        leader.transfer = Some(Transfer { to, deadline_ms: now_ms + timeout_ms, asked: None });
        self.check_transfer(now_ms);
        Ok(to)
    }

    /// Sends `TimeoutNow` to the target of the transfer once it has the whole log.
    pub(super) fn check_transfer(&mut self, now_ms: u64) {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(transfer) = leader.transfer.as_mut().filter(|transfer| transfer.asked.is_none())
        else {
            return;
        };
        let to = transfer.to;
        let Some(follower) = leader.followers.get(&to) else { return };
        if follower.match_index < last_index {
            return;
        }
        transfer.asked = Some((now_ms, leader.round));
        // The message may arrive at any later time, and the follower can then be elected despite
        // the lease. The lease is therefore invalid for the rest of the term.
        leader.lease_ended = true;
        self.send(to, Body::TimeoutNow);
    }

    /// Handles the timers of a leader: loss of quorum, end of a transfer, snapshots and heartbeats.
    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        let timeout_ms = self.config.election_timeout_ms;
        if self.is_only_voter() {
            self.confirm_rounds(now_ms);
        }
        let Role::Leader(leader) = &self.role else { return };
        let is_overdue = now_ms >= leader.confirmed_ms + timeout_ms;
        if is_overdue && !self.extend_late_leadership(now_ms) {
            // A leader without a quorum can't commit, and another one may have been elected.
            self.report_leadership_end(now_ms, LeadershipEnd::NoQuorum);
            self.become_follower(now_ms, self.hard_state.term, None);
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.is_transfer_over(now_ms, MAX_TRANSFER_WRITE_TIMEOUTS * timeout_ms) {
            leader.transfer = None;
        }
        let heartbeat_is_due = now_ms >= leader.heartbeat_due_ms;
        self.yield_if_stalled(now_ms);
        self.tick_snapshots(now_ms);
        match heartbeat_is_due {
            true => self.broadcast(now_ms),
            false => self.flush_reads(now_ms),
        }
    }

    /// Waits for the answers to one more round, for at most one election timeout, if this replica
    /// stood still since a quorum confirmed it: answers may have arrived that it has not read, and
    /// rounds were not sent in time. Returns false if the time is over.
    ///
    /// The lease is not extended, and reads without it need an answer as before.
    fn extend_late_leadership(&mut self, now_ms: u64) -> bool {
        let timeout_ms = self.config.election_timeout_ms;
        let Role::Leader(leader) = &self.role else { return false };
        if let Some(until_ms) = leader.extended_until_ms {
            return now_ms < until_ms;
        }
        if !self.stood_still_since(leader.confirmed_ms) {
            return false;
        }
        let Role::Leader(leader) = &mut self.role else { return false };
        leader.extended_until_ms = Some(now_ms + timeout_ms);
        leader.heartbeat_due_ms = now_ms;
        true
    }

    /// Starts a new heartbeat round and sends it to all followers.
    pub(super) fn broadcast(&mut self, now_ms: u64) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.round += 1;
        leader.round_sent_ms = now_ms;
        leader.open_rounds.push_back((leader.round, now_ms));
        leader.record_log_end(now_ms, self.log.last_index(), self.config.election_timeout_ms);
        leader.heartbeat_due_ms = now_ms + self.config.heartbeat_interval_ms;
        let followers: Vec<u64> = leader.followers.keys().copied().collect();
        for to in followers {
            self.send_heartbeat(now_ms, to);
        }
        self.replicate_all(now_ms);
    }

    /// Updates the latest heartbeat round that a quorum has answered, and confirms the reads that
    /// waited for it.
    pub(super) fn confirm_rounds(&mut self, now_ms: u64) {
        let own_id = self.config.id;
        let set = self.log.replicas().0;
        let Role::Leader(leader) = &mut self.role else { return };
        let followers = &leader.followers;
        let confirmed = set.quorum_value(|id| match followers.get(&id) {
            Some(follower) => follower.acked_round,
            None if id == own_id => u64::MAX,
            None => 0,
        });
        while leader.open_rounds.front().is_some_and(|open| open.0 <= confirmed) {
            let Some((_, sent_ms)) = leader.open_rounds.pop_front() else { break };
            leader.confirmed_ms = sent_ms;
            leader.extended_until_ms = None;
            leader.has_lease = true;
        }
        let confirmed_ms = leader.confirmed_ms;
        while leader.reads.front().is_some_and(|read| read.round <= confirmed) {
            let Some(PendingRead { id, index, .. }) = leader.reads.pop_front() else { break };
            self.actions.push(Action::ReadConfirmed { id, index, confirmed_ms });
        }
        self.flush_reads(now_ms);
    }

    /// Commits the entries that are durable on a quorum, if the last of them is of the current
    /// term.
    pub(super) fn advance_commit(&mut self, now_ms: u64) {
        let (own_id, durable_index) = (self.config.id, self.durable_index);
        let (set, set_index) = self.log.replicas();
        let Role::Leader(leader) = &self.role else { return };
        let index = set.quorum_value(|id| match leader.followers.get(&id) {
            Some(follower) => follower.match_index,
            None if id == own_id => durable_index,
            None => 0,
        });
        if index <= self.commit_index || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        let is_removed = set_index <= index && !set.is_voter(own_id);
        self.commit_index = index;
        if is_removed {
            self.broadcast(now_ms);
            self.report_leadership_end(now_ms, LeadershipEnd::Removed);
            self.become_follower(now_ms, self.hard_state.term, None);
        }
    }

    /// Appends entries to the log of this replica; returns the first index and the term.
    fn append(&mut self, payloads: Vec<Payload>) -> (u64, u64) {
        let (first_index, term) = (self.log.last_index() + 1, self.hard_state.term);
        let entries: Vec<Entry> = (first_index..)
            .zip(payloads)
            .map(|(index, payload)| Entry { index, term, payload })
            .collect();
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.persist(entries);
        (first_index, term)
    }

    /// Adds and removes follower state to match the replica set in force.
    fn update_followers(&mut self, now_ms: u64) {
        let set = self.log.replicas().0;
        let next_index = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.followers.retain(|&id, _| set.get(id).is_some());
        for replica in set.replicas.iter().filter(|replica| replica.id != self.config.id) {
            let new = || Progress::new(next_index, now_ms);
            leader.followers.entry(replica.id).or_insert_with(new);
        }
    }

    /// Index that a learner needs to count as caught up: where the log ended one election timeout ago. What came since may still be
    /// on its way, however fast it comes. 0 unless this replica is the leader.
    pub fn catch_up_index(&self, now_ms: u64) -> u64 {
        let Role::Leader(leader) = &self.role else { return 0 };
        let window_ms = self.config.election_timeout_ms;
        let old = leader.log_ends.iter().rev().find(|(sent_ms, _)| sent_ms + window_ms <= now_ms);
        old.map_or(self.log.last_index(), |(_, last_index)| *last_index)
    }

    /// True if this replica is the only voter.
    pub(super) fn is_only_voter(&self) -> bool {
        let set = self.log.replicas().0;
        set.quorum() == 1 && set.is_voter(self.config.id)
    }

    /// Progress of each follower; empty unless this replica is the leader.
    pub fn followers(&self, now_ms: u64) -> Vec<FollowerStatus> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let status = |(&id, peer): (&u64, &Progress)| FollowerStatus {
            id,
            match_index: peer.match_index,
            silent_ms: now_ms.saturating_sub(peer.last_reply_ms),
            missing_bytes: self.log.bytes_between(peer.match_index, self.log.last_index()),
        };
        leader.followers.iter().map(status).collect()
    }

    /// Index up to which the log can be compacted without entries that an active follower needs. A
    /// follower is active if it replied within the last `inactivity_ms`.
    pub fn compactable_index(&self, now_ms: u64, inactivity_ms: u64) -> u64 {
        let Role::Leader(leader) = &self.role else { return u64::MAX };
        let active = leader
            .followers
            .values()
            .filter(|follower| now_ms < follower.last_reply_ms + inactivity_ms);
        let indexes = active.map(|follower| match &follower.mode {
            Mode::Snapshot(transfer) if transfer.meta.last_index > 0 => transfer.meta.last_index,
            Mode::Snapshot(_) => self.snapshot.last_index,
            _ => follower.match_index,
        });
        indexes.min().unwrap_or(u64::MAX)
    }
}
