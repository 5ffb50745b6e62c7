use std::fmt;
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
    pub fn is_own_word(&self) -> bool {
        self.address == self.source
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
