use crate::raft::driver::Driver;
use crate::raft::ElectionEvent;

/// Log lines on elections.
impl Driver {
    pub(super) fn log_election(&self, election: &ElectionEvent) {
        let (group, replica) = (self.options.group, self.options.replica_id);
        match election {
            ElectionEvent::PreVoteStarted { term, silent_ms, voters } => {
                log::info!(event = "pre_vote_started", group, replica, term, silent_ms, voters:?;
                    "no contact to a leader");
            }
            ElectionEvent::CampaignStarted { term, silent_ms, transfer } => {
                log::info!(event = "campaign_started", group, replica, term, silent_ms, transfer;
                    "asking for votes");
            }
            ElectionEvent::Elected { term, voters } => {
                log::info!(event = "leader_elected", group, replica, term, voters:?;
                    "this replica leads");
            }
            ElectionEvent::VoteRefused { candidate, term, reason } => {
                log::info!(event = "vote_refused", group, replica, term, candidate, reason:?;
                    "vote refused");
            }
            ElectionEvent::LeadershipEnds {
                term,
                reason,
                confirmed_age_ms,
                run_delay_ms,
                round,
                answered_rounds,
            } => {
                let oldest_write_ms = self.node.oldest_write_ms(self.now_ms());
                let oldest_unapplied_ms = self.node.oldest_unapplied_ms(self.now_ms());
                let driver_pass_ms = self.delays.pass_ms(self.now_ms());
                log::warn!(event = "leadership_ends", group, replica, term, reason:?,
                    confirmed_age_ms, run_delay_ms, driver_pass_ms, round, answered_rounds:?,
                    oldest_write_ms, oldest_unapplied_ms;
                    "this replica gives up leadership");
            }
        }
    }
}
