use std::collections::{BTreeMap, VecDeque};

use crate::raft::progress::{Mode, Progress};

/// State of a replica while it leads.
#[derive(Clone, Debug, Default)]
pub struct Leader {
    /// Followers, voters and learners.
    pub followers: BTreeMap<u64, Progress>,
    /// Index of the entry that opened the term.
    pub term_start_index: u64,
    /// Newest heartbeat round.
    pub round: u64,
    /// Rounds that no quorum has answered, with the time of sending.
    pub open_rounds: VecDeque<(u64, u64)>,
    /// When the newest round was sent that a quorum answered; at first, when the leader was elected.
    ///
    /// The time of sending counts, because answers may be late.
    pub confirmed_ms: u64,
    /// A round was answered, so followers keep their promise not to vote since `confirmed_ms`.
    pub has_lease: bool,
    /// Reads with the round that confirms them, in order.
    pub reads: VecDeque<PendingRead>,
    /// When the next heartbeat is due.
    pub heartbeat_due_ms: u64,
    /// Transfer of leadership that is under way.
    pub transfer: Option<Transfer>,
    /// A follower was told to take over, so the lease can't be relied on any more.
    pub lease_ended: bool,
}

impl Leader {
    /// When something is due.
    pub fn due_ms(&self) -> u64 {
        let transfers = self.followers.values().filter_map(|follower| match &follower.mode {
            Mode::Snapshot(transfer) => Some(transfer.due_ms),
            _ => None,
        });
        transfers.fold(self.heartbeat_due_ms, u64::min)
    }
}

/// A read that waits for a round.
#[derive(Clone, Debug)]
pub struct PendingRead {
    /// Id that the caller gave.
    pub id: u64,
    /// Index that the read must see.
    pub index: u64,
    /// Round that confirms it.
    pub round: u64,
}

/// A transfer of leadership.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// The next leader.
    pub to: u64,
    /// When the transfer is given up.
    pub until_ms: u64,
    /// The follower was told to start.
    pub told: bool,
}
