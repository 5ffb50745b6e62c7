/// Roles that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Roles {
    /// Serves requests of callers and operators and accepts registrations of upstreams.
    pub entry: bool,
    /// Runs a replica of the replicated durable state.
    pub control: bool,
}
