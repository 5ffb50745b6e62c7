/// Parts of the system that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Roles {
    /// Serves callers, upstream announcements and operators.
    pub entry: bool,
    /// Runs a replica of the durable state.
    pub control: bool,
}
