/// Position of an entry in the replicated log. The order is that in which logs are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Term in which the entry was created.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}
