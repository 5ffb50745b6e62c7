use std::collections::{BTreeMap, VecDeque};

use crate::raft::progress::{Mode, Progress};

/// State of a replica while it is the leader.
#[derive(Clone, Debug, Default)]
pub struct Leader {
    /// Progress of each follower (voters and learners) by replica id.
    pub followers: BTreeMap<u64, Progress>,
    /// Index of the empty entry appended at the start of the term.
    pub term_start_index: u64,
    /// Newest heartbeat round.
    pub round: u64,
    /// When the newest round was sent.
    pub round_sent_ms: u64,
    /// Rounds that no quorum has answered yet, with the times at which they were sent.
    pub open_rounds: VecDeque<(u64, u64)>,
    /// End of the log at each round of about the last election timeout, with the time at which it was sent.
    pub log_ends: VecDeque<(u64, u64)>,
    /// When the newest round that a quorum answered was sent; at first, when the leader was
    /// elected.
    ///
    /// Uses the time of sending, because replies may arrive late.
    pub confirmed_ms: u64,
    /// Until when the leader waits longer than the election timeout for a quorum, because it stood
    /// still itself; `None` until then, and again once a quorum has answered.
    pub extended_until_ms: Option<u64>,
    /// A quorum answered a round, so its followers grant no votes for one election timeout from
    /// `confirmed_ms`.
    pub has_lease: bool,
    /// Pending reads, in the order of the rounds that confirm them.
    pub reads: VecDeque<PendingRead>,
    /// When the next heartbeat is due.
    pub heartbeat_due_ms: u64,
    /// Leadership transfer in progress. No commands are accepted meanwhile.
    pub transfer: Option<Transfer>,
    /// A handover was started because this replica stands still.
    pub handover_tried: bool,
    /// `TimeoutNow` was sent in this term, so the lease is no longer valid.
    pub lease_ended: bool,
}

impl Leader {
    /// True if reads wait for a round that was not sent yet.
    pub fn needs_round(&self) -> bool {
        self.reads.front().is_some_and(|read| read.round > self.round)
    }

    /// Records the end of the log at a round that is sent now; forgets those that are not needed to tell where the log ended
    /// `window_ms` ago.
    pub fn record_log_end(&mut self, now_ms: u64, last_index: u64, window_ms: u64) {
        self.log_ends.push_back((now_ms, last_index));
        while self.log_ends.get(1).is_some_and(|(sent_ms, _)| sent_ms + window_ms <= now_ms) {
            self.log_ends.pop_front();
        }
    }

    /// True if a transfer is abandoned at this time.
    ///
    /// A successor that was asked and answers no later round campaigns, or is gone. Commands that are appended
    /// before its request for votes arrives would make its log too old for a vote, and there would be no leader
    /// until the next election.
    pub fn is_transfer_over(&self, now_ms: u64, write_ms: u64) -> bool {
        let Some(transfer) = self.transfer.as_ref() else { return false };
        let answered = self.followers.get(&transfer.to).map_or(0, |it| it.acked_round);
        let asked_ms =
            transfer.asked.filter(|(_, round)| answered <= *round).map(|(at_ms, _)| at_ms);
        now_ms >= transfer.deadline_ms
            && asked_ms.is_none_or(|asked_ms| now_ms >= asked_ms + write_ms)
    }

    /// Time of the next heartbeat, round for reads or snapshot chunk.
    pub fn due_ms(&self, read_interval_ms: u64) -> u64 {
        let transfers = self.followers.values().filter_map(|follower| match &follower.mode {
            Mode::Snapshot(transfer) => Some(transfer.due_ms),
            _ => None,
        });
        let round_due_ms = match self.needs_round() {
            true => self.heartbeat_due_ms.min(self.round_sent_ms + read_interval_ms),
            false => self.heartbeat_due_ms,
        };
        transfers.fold(round_due_ms, u64::min)
    }
}

/// A read that waits for a heartbeat round.
#[derive(Clone, Debug)]
pub struct PendingRead {
    /// Id that was passed to `read`.
    pub id: u64,
    /// Index up to which entries must be applied before the read is answered.
    pub index: u64,
    /// Heartbeat round that confirms the read.
    pub round: u64,
}

/// A leadership transfer.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Id of the next leader.
    pub to: u64,
    /// When the transfer is abandoned.
    pub deadline_ms: u64,
    /// Time and heartbeat round in which `TimeoutNow` was sent to the next leader; `None` before that.
    pub asked: Option<(u64, u64)>,
}
