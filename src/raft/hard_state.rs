/// Term and vote, which must be synced before anything that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Replica that got this one's vote in the term.
    pub vote: Option<u64>,
}
