use std::collections::BTreeSet;

use crate::raft::node::Role;
use crate::raft::{Body, HardState, Message, RaftNode, Standing};

use super::Action;

/// Elections.
impl RaftNode {
    /// True for a voter that has all that it ever acknowledged.
    ///
    /// A voter that is being removed still counts until the change is committed: its log may be the
    /// only one with the change, and then nobody else can be elected.
    pub(super) fn may_campaign(&self) -> bool {
        let (newest, committed) = (self.replicas(), self.log.replicas_at(self.commit_index));
        let is_voter = newest.is_voter(self.config.id) || committed.is_voter(self.config.id);
        self.standing == Standing::Member && is_voter
    }

    /// True while a leader is surely there, so that nobody else should get a vote.
    pub(super) fn hears_leader(&self, now_ms: u64) -> bool {
        let heard_ms = match &self.role {
            Role::Leader(leader) => leader.confirmed_ms,
            _ => self.leader_heard_ms,
        };
        now_ms < heard_ms + self.config.election_timeout_ms
    }

    /// Asks whether an election could be won, without a new term.
    pub(super) fn start_pre_vote(&mut self, now_ms: u64) {
        self.retry_election(now_ms);
        self.leader_id = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.config.id]));
        if self.is_alone() {
            self.start_election(now_ms, false);
            return;
        }
        let (last_term, last_index) = self.last();
        let body = Body::VoteRequest { pre_vote: true, last_index, last_term, transfer: false };
        for to in self.other_voters() {
            // A pre-vote promises nothing, so it needs nothing on the disk.
            let term = self.hard_state.term + 1;
            let message = Message { from: self.config.id, to, term, body: body.clone() };
            self.actions.push(Action::Send(message));
        }
    }

    /// Asks for votes in a new term.
    pub(super) fn start_election(&mut self, now_ms: u64, transfer: bool) {
        if !self.may_campaign() || self.is_leader() {
            return;
        }
        let term = self.hard_state.term + 1;
        self.follow(now_ms, term, None);
        self.retry_election(now_ms);
        self.hard_state = HardState { term, vote: Some(self.config.id) };
        self.role = Role::Candidate(BTreeSet::new());
        self.persist(Vec::new());
        let (last_term, last_index) = self.last();
        for to in self.other_voters() {
            let body = Body::VoteRequest { pre_vote: false, last_index, last_term, transfer };
            self.send(to, body);
        }
    }

    pub(super) fn step_vote_request(
        &mut self,
        now_ms: u64,
        from: u64,
        term: u64,
        pre_vote: bool,
        log_is_new: bool,
    ) {
        let may_vote = self.standing == Standing::Member;
        if pre_vote {
            let granted = may_vote && log_is_new && term > self.hard_state.term;
            let term = if granted { term } else { self.hard_state.term };
            let body = Body::VoteReply { pre_vote, granted };
            let message = Message { from: self.config.id, to: from, term, body };
            self.actions.push(Action::Send(message));
            return;
        }
        if term > self.hard_state.term {
            self.follow(now_ms, term, None);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = may_vote && log_is_new && term == self.hard_state.term && free;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.persist(Vec::new());
        }
        if granted {
            self.reset_election(now_ms);
        }
        self.send(from, Body::VoteReply { pre_vote, granted });
    }

    pub(super) fn step_pre_vote(&mut self, now_ms: u64, from: u64) {
        let Role::PreCandidate(agreed) = &mut self.role else { return };
        agreed.insert(from);
        let agreed = agreed.clone();
        if self.replicas().is_quorum(|id| agreed.contains(&id)) {
            self.start_election(now_ms, false);
        }
    }

    pub(super) fn step_vote(&mut self, now_ms: u64, from: u64) {
        let Role::Candidate(votes) = &mut self.role else { return };
        votes.insert(from);
        let votes = votes.clone();
        if self.replicas().is_quorum(|id| votes.contains(&id)) {
            self.lead(now_ms);
        }
    }

    /// The own vote counts only once it is on the disk.
    pub(super) fn count_own_vote(&mut self, now_ms: u64) {
        if self.hard_state.vote == Some(self.config.id) {
            self.step_vote(now_ms, self.config.id);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        self.replicas().voters().filter(|&id| id != self.config.id).collect()
    }
}
