use std::sync::Arc;

/// What identifies a batch job and never changes, shared by all that work on its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobHead {
    /// Identity, chosen by the customer.
    pub job_id: Arc<str>,
    /// Team that owns it; empty if its caller belonged to none.
    pub team: String,
    /// Name of the route that accepted it.
    pub route: String,
    /// Host that the job was submitted to, as named in the request.
    pub host: String,
    /// Path that the job was submitted to.
    pub path: String,
    /// Time at which the job was accepted.
    pub submitted_at_unix_ms: u64,
}
