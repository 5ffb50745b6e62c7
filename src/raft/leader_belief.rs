use std::fmt;
use std::sync::Arc;
use std::time::Instant;

/// What a host believes of the leader of a group, and from whom it has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderBelief {
    /// Peer address of the leader.
    pub address: String,
    /// Term of the leader; 0 if unknown, as from builds that do not name it.
    pub term: u64,
    /// Peer address of the host that said so: the leader itself, or one that follows it.
    pub source: String,
    /// When the source said so last.
    pub heard_at: Instant,
}

impl LeaderBelief {
    /// True if the leader itself said that it leads.
    pub fn is_direct(&self) -> bool {
        self.address == self.source
    }

    /// True if a host that believes in `other` should believe in this instead: the later term counts, and within a term
    /// what the leader said itself. Where a term is unknown, only what the leader said itself counts.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |belief: &Self| (belief.is_direct(), belief.term);
        if self.address == other.address && self.term == other.term {
            return rank(self) >= rank(other) && self.heard_at >= other.heard_at;
        }
        match self.term == 0 || other.term == 0 || self.term == other.term {
            true => rank(self) > rank(other),
            false => self.term > other.term,
        }
    }

    fn outranks(&self, other: &Self) -> bool {
        (self.term, self.is_direct()) > (other.term, other.is_direct())
    }

    /// The belief of a replica or, if it says more, what was heard from other hosts: a later term or, within a term, what
    /// the leader said itself. A replica that stood still may name a leader of an older term.
    pub fn preferred(replica: Option<Arc<Self>>, heard: Option<Arc<Self>>) -> Option<Arc<Self>> {
        match (replica, heard) {
            (Some(replica), Some(heard)) if heard.outranks(&replica) => Some(heard),
            (replica, heard) => replica.or(heard),
        }
    }

    /// Time since the source said so, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.heard_at.elapsed().as_millis() as u64
    }
}

impl fmt::Display for LeaderBelief {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { address, term, source, .. } = self;
        write!(formatter, "{address} in term {term}, heard {} ms ago from {source}", self.age_ms())
    }
}
