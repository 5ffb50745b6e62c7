use crate::membership::Status;

/// Version of a record. The higher one wins, compared field by field in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Unix milliseconds at the start of the process, increased by one for each refuted report of
    /// death.
    pub incarnation: u64,
    /// Status within the incarnation.
    pub status: Status,
    /// Number of the change within the status.
    pub sequence: u64,
}
