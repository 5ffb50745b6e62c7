/// How an item ended that came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// It waits to be started again.
    Waits,
    /// All its attempts failed.
    GivenUp,
    /// The assignment is not known.
    Unknown,
}
