use std::collections::BTreeSet;

use rand::Rng;

use crate::raft::campaign::Campaign;
use crate::raft::node::Role;
use crate::raft::{
    Action, Body, ElectionEvent, HardState, LeadershipEnd, Message, RaftNode, Stall, Standing,
    VoteRefusal,
};

/// Longest write of a vote that candidates allow for, in election timeouts. A disk that hung for long
/// would otherwise delay later elections.
const MAX_VOTE_WRITE_TIMEOUTS: u64 = 2;

/// Longest time for which a candidate that waits for votes refuses pre-votes to others, in election
/// timeouts. A voter may end one write, and then write its vote, of 1 s each at the usual timeout.
const MAX_CAMPAIGN_TIMEOUTS: u64 = 5;

/// Time without contact, in election timeouts, after which a replica that gets no answers, or never campaigns, names its
/// last leader no more: a replica that is cut off can't know of the next one, and a lost leader would be asked for good.
const MAX_NAMED_TIMEOUTS: u64 = 4;

/// Least time between two reports of a pre-vote, or of a refused vote. An isolated replica repeats
/// its pre-vote several times a second.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// Elections and votes.
impl RaftNode {
    /// True for a voter that has every entry it ever acknowledged.
    ///
    /// A voter that is being removed may still campaign until the change is committed: its log may
    /// be the only one with the change, and then no other replica can be elected.
    pub(super) fn is_member_voter(&self) -> bool {
        let (newest, committed) = (self.replicas(), self.log.replicas_at(self.commit_index));
        let is_voter = newest.is_voter(self.config.id) || committed.is_voter(self.config.id);
        self.standing == Standing::Member && is_voter
    }

    /// True for a voter that may start an election now.
    ///
    /// No replica campaigns while a term or vote is being written: a new term would void that vote,
    /// also one for itself. Nor does one that stands still: it could not lead.
    pub(super) fn may_campaign(&self) -> bool {
        self.is_member_voter() && self.is_vote_durable() && self.stall.is_none()
    }

    /// True if there was contact to a leader within the last election timeout; votes are not
    /// granted during that time.
    pub(super) fn has_recent_leader(&self, now_ms: u64) -> bool {
        let contact_ms = match &self.role {
            Role::Leader(leader) => leader.confirmed_ms,
            _ => self.last_leader_contact_ms,
        };
        now_ms < contact_ms + self.config.election_timeout_ms
    }

    /// True if this replica sent its vote to another candidate less than a third of the election
    /// timeout ago, two trips between regions and more. The candidate may lead by now, and a newer
    /// term would keep this replica from answering its first heartbeats.
    fn has_just_voted(&self, now_ms: u64, candidate: u64) -> bool {
        let is_for_other = self.hard_state.vote.is_some_and(|vote| vote != candidate);
        let sent_ms = self.vote_sent_ms.filter(|_| is_for_other);
        sent_ms.is_some_and(|sent_ms| now_ms < sent_ms + self.config.election_timeout_ms / 3)
    }

    /// Restarts the election timer for a running election: a third to two thirds of the election
    /// timeout, so that two rounds with lost messages still end within 2 s.
    pub(super) fn retry_election(&mut self, now_ms: u64) {
        let third_ms = self.config.election_timeout_ms / 3;
        self.election_due_ms = now_ms + third_ms + self.random.random_range(0..third_ms);
    }

    /// Extends the election timer, once since the last contact to a leader, if it is handled late:
    /// this replica stood still, and messages of the leader may have arrived that it has not read.
    pub(super) fn extend_late_election(&mut self, now_ms: u64) -> bool {
        let interval_ms = self.config.heartbeat_interval_ms;
        let is_late = self.run_delay.current_ms() > interval_ms;
        if !is_late || self.is_election_extended || !matches!(self.role, Role::Follower) {
            return false;
        }
        self.is_election_extended = true;
        // Replicas that stood still together don't campaign together.
        let random_ms = self.random.random_range(0..=interval_ms);
        self.election_due_ms = now_ms + 2 * interval_ms + random_ms;
        true
    }

    /// Extends the election timer once the current term and vote are durable, since the messages
    /// that depend on them are sent only now.
    pub(super) fn vote_persisted(&mut self, now_ms: u64) {
        let timeout_ms = self.config.election_timeout_ms;
        let write_ms = self.vote_clock.age_ms(now_ms).min(MAX_VOTE_WRITE_TIMEOUTS * timeout_ms);
        match &mut self.role {
            Role::Candidate(campaign) => {
                campaign.asked_ms = now_ms;
                // The disk of a voter may be as slow, and end an earlier write before it writes the
                // vote. Candidates that started together wait for different times.
                let writes_ms = 2 * write_ms + self.random.random_range(0..=write_ms);
                let trips_ms = timeout_ms / 12;
                self.election_due_ms = self.election_due_ms.max(now_ms + writes_ms + trips_ms);
            }
            Role::Follower if self.hard_state.vote.is_some() => {
                self.vote_sent_ms = Some(now_ms);
                self.reset_election(now_ms);
            }
            Role::Follower | Role::PreCandidate(_) | Role::Leader(_) => {}
        }
    }

    /// Time from which a replica that does not hear its leader names it no more.
    pub(super) fn leader_forgotten_ms(&self) -> u64 {
        self.last_leader_contact_ms + MAX_NAMED_TIMEOUTS * self.config.election_timeout_ms
    }

    /// Starts a pre-vote: asks the other voters whether they would grant a vote, without starting a
    /// new term.
    pub(super) fn start_pre_vote(&mut self, now_ms: u64) {
        self.retry_election(now_ms);
        let silent_ms = now_ms.saturating_sub(self.last_leader_contact_ms);
        // Until a quorum grants the pre-vote, the leader may well lead.
        if now_ms >= self.leader_forgotten_ms() {
            self.leader_id = None;
        }
        if let Role::Candidate(campaign) = &self.role {
            self.earlier_campaign = Some(campaign.clone());
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.config.id]));
        if self.is_only_voter() {
            self.start_election(now_ms, false);
            return;
        }
        if now_ms >= self.next_reports_ms.0 {
            self.next_reports_ms.0 = now_ms + REPORT_INTERVAL_MS;
            let (term, voters) = (self.hard_state.term + 1, self.other_voters());
            self.report(ElectionEvent::PreVoteStarted { term, silent_ms, voters });
        }
        let (last_term, last_index) = self.last_term_and_index();
        let body = Body::VoteRequest { pre_vote: true, last_index, last_term, transfer: false };
        for to in self.other_voters() {
            // A pre-vote makes no promise, so it does not wait for a write to the disk.
            let term = self.hard_state.term + 1;
            let message = Message { from: self.config.id, to, term, body: body.clone() };
            self.actions.push(Action::Send(message));
        }
    }

    /// Starts an election in a new term.
    pub(super) fn start_election(&mut self, now_ms: u64, transfer: bool) {
        if !self.may_campaign() || self.is_leader() {
            return;
        }
        let term = self.hard_state.term + 1;
        let silent_ms = now_ms.saturating_sub(self.last_leader_contact_ms);
        self.report(ElectionEvent::CampaignStarted { term, silent_ms, transfer });
        self.become_follower(now_ms, term, None);
        self.retry_election(now_ms);
        self.hard_state = HardState { term, vote: Some(self.config.id) };
        self.role = Role::Candidate(Campaign::new(now_ms));
        self.persist(Vec::new());
        let (last_term, last_index) = self.last_term_and_index();
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
        log_is_up_to_date: bool,
    ) {
        let may_vote = self.standing == Standing::Member;
        if pre_vote {
            // A new term would void a vote that is being written. If writes stand still, no vote
            // would be sent.
            let can_write = self.is_vote_durable() && self.stall != Some(Stall::Write);
            // A campaign of another replica would end this one, for which votes may be under way.
            let is_campaigning = self.waits_for_votes(now_ms);
            let has_voted = self.has_just_voted(now_ms, from);
            let may_vote = may_vote && can_write && !is_campaigning && !has_voted;
            let is_newer = term > self.hard_state.term;
            let granted = may_vote && log_is_up_to_date && is_newer;
            if !granted {
                let reason = match self.refusal(pre_vote, log_is_up_to_date) {
                    VoteRefusal::TermTaken if is_campaigning => VoteRefusal::Campaigns,
                    VoteRefusal::TermTaken if has_voted => VoteRefusal::VoteSent,
                    reason => reason,
                };
                self.report_refusal(now_ms, from, term, reason);
            }
            let term = if granted { term } else { self.hard_state.term };
            let body = Body::VoteReply { pre_vote, granted };
            let message = Message { from: self.config.id, to: from, term, body };
            self.actions.push(Action::Send(message));
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now_ms, term, None);
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted =
            may_vote && log_is_up_to_date && term == self.hard_state.term && vote_available;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.persist(Vec::new());
        }
        if granted {
            self.reset_election(now_ms);
        } else {
            let reason = self.refusal(pre_vote, log_is_up_to_date);
            self.report_refusal(now_ms, from, term, reason);
        }
        self.send(from, Body::VoteReply { pre_vote, granted });
    }

    pub(super) fn step_pre_vote(&mut self, now_ms: u64, from: u64) {
        let Role::PreCandidate(grants) = &mut self.role else { return };
        if let Some(campaign) = &mut self.earlier_campaign {
            campaign.writing.remove(&from);
        }
        grants.insert(from);
        let grants = grants.clone();
        if self.replicas().is_quorum(|id| grants.contains(&id)) {
            self.start_election(now_ms, false);
        }
    }

    pub(super) fn step_vote(&mut self, now_ms: u64, from: u64) {
        let Some(campaign) = self.campaign_mut() else { return };
        campaign.votes.insert(from);
        campaign.writing.remove(&from);
        let votes = campaign.votes.clone();
        if self.replicas().is_quorum(|id| votes.contains(&id)) {
            let (term, voters) = (self.hard_state.term, votes.into_iter().collect());
            self.report(ElectionEvent::Elected { term, voters });
            self.become_leader(now_ms);
        }
    }

    /// Handles a refusal by a voter that is in the current term. If it refuses a pre-vote and has
    /// not answered the campaign yet, it may be writing its vote.
    pub(super) fn step_refusal(&mut self, from: u64, pre_vote: bool) {
        let Some(campaign) = self.campaign_mut() else { return };
        if !pre_vote {
            campaign.writing.remove(&from);
            campaign.refused.insert(from);
        } else if !campaign.votes.contains(&from) && !campaign.refused.contains(&from) {
            campaign.writing.insert(from);
        }
    }

    /// The campaign in the current term.
    fn campaign_mut(&mut self) -> Option<&mut Campaign> {
        match &mut self.role {
            Role::Candidate(campaign) => Some(campaign),
            Role::PreCandidate(_) => self.earlier_campaign.as_mut(),
            Role::Follower | Role::Leader(_) => None,
        }
    }

    /// True if this replica campaigns and votes are being written that would let it win.
    fn waits_for_votes(&self, now_ms: u64) -> bool {
        let longest_ms = MAX_CAMPAIGN_TIMEOUTS * self.config.election_timeout_ms;
        let campaign = match &self.role {
            Role::Candidate(campaign) => Some(campaign),
            Role::PreCandidate(_) => self.earlier_campaign.as_ref(),
            Role::Follower | Role::Leader(_) => None,
        };
        campaign.is_some_and(|campaign| {
            now_ms < campaign.asked_ms + longest_ms && campaign.may_win(self.replicas())
        })
    }

    /// Counts this replica's vote for itself, which is valid only once it is durable.
    pub(super) fn count_own_vote(&mut self, now_ms: u64) {
        if self.hard_state.vote == Some(self.config.id) {
            self.step_vote(now_ms, self.config.id);
        }
    }

    pub(super) fn report(&mut self, event: ElectionEvent) {
        self.actions.push(Action::Report(event));
    }

    /// Reports the end of a leadership; does nothing unless this replica leads.
    pub(super) fn report_leadership_end(&mut self, now_ms: u64, reason: LeadershipEnd) {
        let Role::Leader(leader) = &self.role else { return };
        let voters = self.other_voters().into_iter();
        let answered_rounds = voters
            .map(|id| (id, leader.followers.get(&id).map_or(0, |follower| follower.acked_round)));
        self.report(ElectionEvent::LeadershipEnds {
            term: self.hard_state.term,
            reason,
            confirmed_age_ms: now_ms.saturating_sub(leader.confirmed_ms),
            run_delay_ms: self.longest_run_delay_ms(now_ms),
            round: leader.round,
            answered_rounds: answered_rounds.collect(),
        });
    }

    pub(super) fn report_refusal(
        &mut self,
        now_ms: u64,
        candidate: u64,
        term: u64,
        reason: VoteRefusal,
    ) {
        if now_ms >= self.next_reports_ms.1 {
            self.next_reports_ms.1 = now_ms + REPORT_INTERVAL_MS;
            self.report(ElectionEvent::VoteRefused { candidate, term, reason });
        }
    }

    /// Why a vote is refused that no recent leader forbids.
    fn refusal(&self, pre_vote: bool, log_is_up_to_date: bool) -> VoteRefusal {
        match self.stall {
            _ if self.standing != Standing::Member => VoteRefusal::NoMember,
            _ if !log_is_up_to_date => VoteRefusal::LogBehind,
            _ if pre_vote && !self.is_vote_durable() => VoteRefusal::VoteWaits,
            Some(Stall::Write) if pre_vote => VoteRefusal::Stalled,
            _ => VoteRefusal::TermTaken,
        }
    }

    /// Time since a quorum confirmed this replica as the leader; `None` unless it leads.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        match &self.role {
            Role::Leader(leader) => Some(now_ms.saturating_sub(leader.confirmed_ms)),
            _ => None,
        }
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        self.replicas().voters().filter(|&id| id != self.config.id).collect()
    }
}
