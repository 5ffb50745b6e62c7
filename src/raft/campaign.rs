use std::collections::BTreeSet;

use crate::raft::ReplicaSet;

/// An election in which a replica asks for votes in its current term.
#[derive(Clone, Debug, Default)]
pub struct Campaign {
    /// Ids of the voters that granted their vote.
    pub votes: BTreeSet<u64>,
    /// Ids of the voters that refused it.
    pub refused: BTreeSet<u64>,
    /// Ids of the voters that are in the term and have not answered yet: their vote is being
    /// written.
    pub writing: BTreeSet<u64>,
    /// When the votes were asked for.
    pub asked_ms: u64,
}

impl Campaign {
    /// A campaign that starts now.
    pub fn new(now_ms: u64) -> Self {
        Self { asked_ms: now_ms, ..Self::default() }
    }

    /// True if the votes that are being written can make a quorum.
    pub fn may_win(&self, set: &ReplicaSet) -> bool {
        set.is_quorum(|id| self.votes.contains(&id) || self.writing.contains(&id))
    }
}
