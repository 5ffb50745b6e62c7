/// Priority of a command. It determines the order of the queue and how much of the reserved disk
/// space the command may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Proposed before bulk commands. May use half of the reserved space.
    Online,
    /// Proposed after online commands. Rejected once only the reserved space is free.
    Bulk,
    /// Completes accepted work: queued like bulk commands, but may use all of the reserved space.
    Completion,
}
