/// Term and vote, which must be durable before a message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Id of the replica that this one voted for in the term.
    pub vote: Option<u64>,
}
