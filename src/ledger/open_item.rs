use crate::schema::ledger::NewItem;

/// An accepted item without a result, as the scheduler starts it.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenItem {
    /// Its job.
    pub job_id: String,
    /// Its index in the job.
    pub item: u32,
    /// Host of the job's submission.
    pub host: String,
    /// Path of the job's submission.
    pub path: String,
    /// When the job was accepted.
    pub submitted_at_unix_ms: u64,
    /// What is sent to an upstream.
    pub content: NewItem,
}
