use crate::raft::Stall;

/// A step of an election or the end of a leadership, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// The replica asks whether the others would vote for it; reported at intervals only.
    PreVoteStarted {
        /// Term that it would campaign for.
        term: u64,
        /// Time since the last contact to a leader.
        silent_ms: u64,
        /// Ids of the voters that are asked.
        voters: Vec<u64>,
    },
    /// The replica campaigns.
    CampaignStarted {
        /// Its new term.
        term: u64,
        /// Time since the last contact to a leader.
        silent_ms: u64,
        /// A leader hands leadership over.
        transfer: bool,
    },
    /// The replica was elected.
    Elected {
        /// Its term.
        term: u64,
        /// Ids of the replicas that voted for it.
        voters: Vec<u64>,
    },
    /// The replica refuses a vote; reported at intervals only.
    VoteRefused {
        /// Id of the replica that asked.
        candidate: u64,
        /// Term of the vote.
        term: u64,
        /// Why.
        reason: VoteRefusal,
    },
    /// The replica ends its leadership, or starts to hand it over.
    LeadershipEnds {
        /// Term that it leads.
        term: u64,
        /// Why.
        reason: LeadershipEnd,
        /// Time since a quorum confirmed the leadership.
        confirmed_age_ms: u64,
        /// How late this replica itself ran at worst in the last election timeout.
        run_delay_ms: u64,
        /// Newest heartbeat round that was sent in the term.
        round: u64,
        /// Ids of the other voters, each with the newest round that it answered.
        answered_rounds: Vec<(u64, u64)>,
    },
}

/// Why a vote is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteRefusal {
    /// There was contact to a leader within the election timeout.
    RecentLeader,
    /// This replica lacks entries that it acknowledged, or is not formed yet.
    NoMember,
    /// The log of the candidate is behind.
    LogBehind,
    /// A term or vote of this replica is being written.
    VoteWaits,
    /// Writes of this replica stand still.
    Stalled,
    /// This replica has just voted for another candidate, which may lead by now.
    VoteSent,
    /// This replica campaigns itself and may still win.
    Campaigns,
    /// The term is not newer, or the vote in it is given.
    TermTaken,
}

/// Why a leadership ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipEnd {
    /// No quorum answered heartbeats within the election timeout.
    NoQuorum,
    /// Another replica has a newer term.
    NewerTerm(u64),
    /// The replica was removed from the replica set.
    Removed,
    /// The replica has stood still for `age_ms` while the others can go on. It steps down if it
    /// names no successor.
    #[allow(missing_docs)]
    StandsStill { stall: Stall, age_ms: u64, successor: Option<u64> },
}
