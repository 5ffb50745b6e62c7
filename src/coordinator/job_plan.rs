/// What the current routes say of a batch job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobPlan {
    /// Services that may run its items; empty if the job no longer has a route.
    pub services: Vec<String>,
    /// Time at which its results are due, in Unix milliseconds.
    pub due_unix_ms: u64,
}
