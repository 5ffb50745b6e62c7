/// The leader as this host names it to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct NamedLeader {
    /// Peer address; empty if none is known.
    pub(super) address: String,
    /// Term of the leader; without one, the highest term that the replica of this host has seen. 0 if
    /// unknown.
    pub(super) term: u64,
}

impl NamedLeader {
    /// True if both name the same leader of the same term, or none.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.address == other.address && (self.address.is_empty() || self.term == other.term)
    }
}
