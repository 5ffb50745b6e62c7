use crate::membership::Status;

/// Version of a record; the highest one wins, compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Unix milliseconds at the start of the process, plus one for each refuted report of death.
    pub incarnation: u64,
    /// State within the incarnation.
    pub status: Status,
    /// Number of the change within the state.
    pub sequence: u64,
}
