/// How urgent a command is, and whether it may use the reserve of the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Goes into the log first. May use half of the reserve.
    Online,
    /// Waits for online commands. Refused once only the reserve is left.
    Bulk,
    /// Completes accepted work: waits like bulk commands, but may use the whole reserve.
    Completion,
}
