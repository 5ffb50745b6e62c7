/// What has made no progress on a replica for longer than an election needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// A write of the term, the vote or log entries.
    Write,
    /// Committed entries that wait for the state machine.
    Apply,
}
