use crate::raft::node::Role;
use crate::raft::stall_clock::StallClock;
use crate::raft::{LeadershipEnd, RaftNode, Stall};

/// Least time without progress after which a replica leaves leading and voting to others, in election
/// timeouts. A handover costs about one election timeout, so shorter stops are better waited out.
const STALL_TIMEOUTS: u64 = 2;

/// Replicas whose disk or state machine stands still without an error.
impl RaftNode {
    /// Updates the ages of waiting work.
    pub(super) fn observe_progress(&mut self, now_ms: u64) {
        let (durable_index, commit_index) = (self.durable_index, self.commit_index);
        let is_vote_waiting = !self.is_vote_durable();
        self.vote_clock.observe(now_ms, self.durable_hard_state.term, is_vote_waiting);
        self.write_clock.observe(now_ms, durable_index, durable_index < self.log.last_index());
        self.lag_clock.observe(now_ms, durable_index, durable_index < commit_index);
        let applied_index = self.applied_index;
        self.apply_clock.observe(now_ms, applied_index, applied_index < commit_index);
        let least_ms = self.stall_ms();
        let is_stalled = |clock: &StallClock| clock.is_stalled(now_ms, least_ms);
        self.stall = if is_stalled(&self.vote_clock) || is_stalled(&self.write_clock) {
            Some(Stall::Write)
        } else if is_stalled(&self.apply_clock) {
            Some(Stall::Apply)
        } else {
            None
        };
        self.run_delay.observe_timer(now_ms, self.due_ms().is_some());
    }

    /// Records how late a call is against the time for which it was due.
    pub(super) fn record_run_delay(&mut self, now_ms: u64) {
        self.run_delay.record(now_ms, self.due_ms(), self.config.election_timeout_ms);
    }

    /// Longest delay of this replica's own runs against its timers, in about the last election
    /// timeout.
    pub fn longest_run_delay_ms(&self, now_ms: u64) -> u64 {
        self.run_delay.longest_since(now_ms.saturating_sub(self.config.election_timeout_ms))
    }

    /// True if this replica itself did not run for more than a heartbeat interval since `since_ms`.
    pub(super) fn stood_still_since(&self, since_ms: u64) -> bool {
        self.run_delay.longest_since(since_ms) > self.config.heartbeat_interval_ms
    }

    /// Time for which waiting writes have made no progress; 0 if none waits.
    pub fn oldest_write_ms(&self, now_ms: u64) -> u64 {
        self.vote_clock.age_ms(now_ms).max(self.write_clock.age_ms(now_ms))
    }

    /// Time for which waiting committed entries have not been applied; 0 if none waits.
    pub fn oldest_unapplied_ms(&self, now_ms: u64) -> u64 {
        self.apply_clock.age_ms(now_ms)
    }

    fn stall_ms(&self) -> u64 {
        STALL_TIMEOUTS * self.config.election_timeout_ms
    }

    /// Hands leadership over if this replica stands still and the others can go on without it; steps
    /// down if the handover fails.
    ///
    /// Counts the time since a quorum has what this replica has not written, so a leader of a group
    /// whose disks are all slow stays.
    pub(super) fn yield_if_stalled(&mut self, now_ms: u64) {
        let (own_id, commit_index) = (self.config.id, self.commit_index);
        let timeout_ms = self.config.election_timeout_ms;
        let (lag_ms, unapplied_ms) =
            (self.lag_clock.age_ms(now_ms), self.apply_clock.age_ms(now_ms));
        let least_ms = self.stall_ms();
        let is_write_stalled = lag_ms >= self.write_clock.limit_ms(least_ms);
        let is_apply_stalled = self.apply_clock.is_stalled(now_ms, least_ms);
        let set = self.log.replicas().0;
        let Role::Leader(leader) = &mut self.role else { return };
        let (stall, age_ms) = if is_write_stalled {
            (Stall::Write, lag_ms)
        } else if is_apply_stalled {
            (Stall::Apply, unapplied_ms)
        } else {
            leader.handover_tried = false;
            return;
        };
        let can_go_on = |id| {
            id != own_id
                && leader.followers.get(&id).is_some_and(|follower| {
                    follower.settled
                        && follower.match_index >= commit_index
                        && now_ms < follower.last_reply_ms + timeout_ms
                })
        };
        if leader.transfer.is_some() || !set.is_quorum(can_go_on) {
            return;
        }
        let is_first = !std::mem::replace(&mut leader.handover_tried, true);
        let successor = match is_first {
            true => self.transfer_leadership(now_ms, 0).ok(),
            false => None,
        };
        let reason = LeadershipEnd::StandsStill { stall, age_ms, successor };
        self.report_leadership_end(now_ms, reason);
        if successor.is_none() {
            self.become_follower(now_ms, self.hard_state.term, None);
        }
    }
}
