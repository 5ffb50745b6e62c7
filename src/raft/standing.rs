/// Whether a replica may take part in votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The group is new, and this replica has not met all the other initial ones.
    Forming,
    /// It joins a group that exists, and must first catch up as a learner.
    Joining,
    /// It lost records up to this index after it may have acknowledged them.
    Repairing {
        /// Highest index that it may have acknowledged.
        through: u64,
    },
    /// It has all that it ever acknowledged.
    Member,
}
