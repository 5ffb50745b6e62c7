/// Whether a replica may vote. Only a [`Standing::Member`] grants votes and campaigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The group is new, and this replica has not received the nonces of all initial replicas.
    Forming,
    /// The replica joins an existing group and must first catch up as a learner.
    Joining,
    /// The replica lost records that it may have acknowledged, and must first replicate them again.
    Repairing {
        /// Highest index that the replica may have acknowledged.
        through: u64,
    },
    /// The replica has every entry that it ever acknowledged.
    Member,
}
