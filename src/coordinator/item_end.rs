/// Result of returning an unfinished item to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The item is requeued, unless its job was cancelled.
    Waits,
    /// The item has used up its attempts.
    GivenUp,
    /// The assignment is unknown; its progress is stored if the item is pending.
    Unknown,
}
