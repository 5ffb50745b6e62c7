use crate::raft::leader::{Leader, PendingRead, Transfer};
use crate::raft::node::Role;
use crate::raft::progress::{Mode, Progress};
use crate::raft::{Action, Body, Entry, Payload, RaftNode, ReplicaChange, ReplicaSet};

/// Entries that a learner may lack when it becomes a voter.
const PROMOTE_LAG_ENTRIES: u64 = 1024;

/// What a leader does, apart from sending the log to its followers.
impl RaftNode {
    /// Starts to lead: opens the term with an empty entry.
    pub(super) fn lead(&mut self, now_ms: u64) {
        let leader = Leader {
            term_start_index: self.log.last_index() + 1,
            confirmed_ms: now_ms,
            ..Leader::default()
        };
        self.role = Role::Leader(leader);
        self.leader_id = Some(self.config.id);
        self.match_followers(now_ms);
        self.append(vec![Payload::Empty]);
        self.broadcast(now_ms);
    }

    /// Appends commands; gives the index of the first one and the term, or `None` if this replica
    /// does not lead or is handing leadership over.
    pub fn propose(&mut self, payloads: Vec<Payload>) -> Option<(u64, u64)> {
        let Role::Leader(Leader { transfer: None, .. }) = self.role else { return None };
        if self.fault {
            return None;
        }
        Some(self.append(payloads))
    }

    /// Asks for a linearizable read; answered by [`Action::ReadConfirmed`] or
    /// [`Action::SteppedDown`]. False if this replica does not lead.
    ///
    /// Reads are batched: call [`RaftNode::flush_reads`] after a batch of events.
    pub fn read(&mut self, now_ms: u64, id: u64) -> bool {
        let lease_ms = self.config.election_timeout_ms / 4 * 3;
        let is_alone = self.is_alone();
        let Role::Leader(leader) = &mut self.role else { return false };
        // Until the first entry of the term is committed, the commit index may be behind.
        let index = self.commit_index.max(leader.term_start_index);
        let holds_lease = self.config.lease_reads
            && leader.has_lease
            && !leader.lease_ended
            && now_ms < leader.confirmed_ms + lease_ms;
        if is_alone || holds_lease {
            let confirmed_ms = if is_alone { now_ms } else { leader.confirmed_ms };
            self.actions.push(Action::ReadConfirmed { id, index, confirmed_ms });
            return true;
        }
        leader.reads.push_back(PendingRead { id, index, round: leader.round + 1 });
        true
    }

    /// Starts a round for reads that wait, unless one is on its way.
    pub fn flush_reads(&mut self, now_ms: u64) {
        let Role::Leader(leader) = &self.role else { return };
        if leader.reads.front().is_some_and(|read| read.round > leader.round) {
            self.broadcast(now_ms);
        }
    }

    /// Starts a change of replicas; gives the index and term of its entry, or why it can't be made.
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
            let lag = self.log.last_index().saturating_sub(follower.match_index);
            if !follower.settled || lag > PROMOTE_LAG_ENTRIES {
                return Err(format!("replica {id} has not caught up: {lag} entries behind"));
            }
        }
        let set: ReplicaSet = set.changed(change)?;
        let place = self.append(vec![Payload::Replicas(set)]);
        self.match_followers(now_ms);
        self.replicate_all(now_ms);
        Ok(place)
    }

    /// Starts to hand leadership to `to`, or to the best follower if it is 0.
    pub fn transfer_leadership(&mut self, now_ms: u64, to: u64) -> Result<u64, String> {
        let timeout_ms = self.config.election_timeout_ms;
        let set = self.log.replicas().0;
        let Role::Leader(leader) = &mut self.role else { return Err("not the leader".into()) };
        let candidates = leader.followers.iter().filter(|(&id, follower)| {
            set.is_voter(id)
                && (to == 0 || id == to)
                && follower.settled
                && now_ms < follower.heard_ms + timeout_ms
        });
        let best = candidates.max_by_key(|(_, follower)| follower.match_index);
        let Some((&to, _)) = best else { return Err("no voter is ready to lead".into()) };
        leader.transfer = Some(Transfer { to, until_ms: now_ms + timeout_ms, told: false });
        self.check_transfer();
        Ok(to)
    }

    /// Tells the next leader to start once it has the whole log.
    pub(super) fn check_transfer(&mut self) {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(transfer) = leader.transfer.as_mut().filter(|transfer| !transfer.told) else {
            return;
        };
        let to = transfer.to;
        let Some(follower) = leader.followers.get(&to) else { return };
        if follower.match_index < last_index {
            return;
        }
        transfer.told = true;
        // The message may arrive any time later, and the follower then gets votes despite the
        // lease, so this term has no lease any more.
        leader.lease_ended = true;
        self.send(to, Body::TimeoutNow);
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        let timeout_ms = self.config.election_timeout_ms;
        if self.is_alone() {
            self.confirm_rounds(now_ms);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if now_ms >= leader.confirmed_ms + timeout_ms {
            // Nobody can rely on a leader without a quorum, and another one may lead already.
            self.follow(now_ms, self.hard_state.term, None);
            return;
        }
        if leader.transfer.as_ref().is_some_and(|transfer| now_ms >= transfer.until_ms) {
            leader.transfer = None;
        }
        let heartbeat_is_due = now_ms >= leader.heartbeat_due_ms;
        self.tick_snapshots(now_ms);
        if heartbeat_is_due {
            self.broadcast(now_ms);
        }
    }

    /// Sends a heartbeat of a new round to all followers.
    pub(super) fn broadcast(&mut self, now_ms: u64) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.round += 1;
        leader.open_rounds.push_back((leader.round, now_ms));
        leader.heartbeat_due_ms = now_ms + self.config.heartbeat_interval_ms;
        let followers: Vec<u64> = leader.followers.keys().copied().collect();
        for to in followers {
            self.send_heartbeat(to);
        }
        self.replicate_all(now_ms);
    }

    /// Notes that a follower answered a round, and confirms reads.
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
            leader.has_lease = true;
        }
        let confirmed_ms = leader.confirmed_ms;
        while leader.reads.front().is_some_and(|read| read.round <= confirmed) {
            let Some(PendingRead { id, index, .. }) = leader.reads.pop_front() else { break };
            self.actions.push(Action::ReadConfirmed { id, index, confirmed_ms });
        }
        self.flush_reads(now_ms);
    }

    /// Commits what a quorum has synced, if it is of this term.
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
            self.follow(now_ms, self.hard_state.term, None);
        }
    }

    /// Appends to the own log; gives the first index and the term.
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

    /// Makes the followers those of the replica set in force.
    fn match_followers(&mut self, now_ms: u64) {
        let set = self.log.replicas().0;
        let next_index = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.followers.retain(|&id, _| set.get(id).is_some());
        for replica in set.replicas.iter().filter(|replica| replica.id != self.config.id) {
            let new = || Progress::new(next_index, now_ms);
            leader.followers.entry(replica.id).or_insert_with(new);
        }
    }

    /// True for the only voter.
    pub(super) fn is_alone(&self) -> bool {
        let set = self.log.replicas().0;
        set.quorum() == 1 && set.is_voter(self.config.id)
    }

    /// Match index and silence of each follower, while leading.
    pub fn followers(&self, now_ms: u64) -> Vec<(u64, u64, u64)> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let followers = leader.followers.iter();
        followers
            .map(|(&id, it)| (id, it.match_index, now_ms.saturating_sub(it.heard_ms)))
            .collect()
    }

    /// Index up to which no follower that was heard of in the last `silence_ms` needs the log.
    pub fn needed_after(&self, now_ms: u64, silence_ms: u64) -> u64 {
        let Role::Leader(leader) = &self.role else { return u64::MAX };
        let live = leader.followers.values().filter(|it| now_ms < it.heard_ms + silence_ms);
        let needed = live.map(|follower| match &follower.mode {
            Mode::Snapshot(transfer) if transfer.meta.last_index > 0 => transfer.meta.last_index,
            Mode::Snapshot(_) => self.snapshot.last_index,
            _ => follower.match_index,
        });
        needed.min().unwrap_or(u64::MAX)
    }
}
