/// Log position of a linearizable read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPoint {
    /// All entries that were committed when the read started are applied, up to this index.
    pub index: u64,
    /// Time since this replica was last confirmed as the leader.
    pub confirmed_age_ms: u64,
}
