use serde_json::Value;

use crate::cmd::Failure;

/// State of a batch job, from the batch object of the HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct JobStatus {
    pub(super) id: String,
    pub(super) status: String,
    pub(super) total: u64,
    pub(super) completed: u64,
    pub(super) failed: u64,
    pub(super) cancelled: u64,
}

impl JobStatus {
    pub(super) fn from_json(batch: &Value) -> Result<Self, Failure> {
        let (Some(id), Some(status)) = (batch["id"].as_str(), batch["status"].as_str()) else {
            let message = "the answer is not a batch object";
            return Err(Failure::failed(message, "check that --entry names a damaskhoist host"));
        };
        let count = |name: &str| batch["request_counts"][name].as_u64().unwrap_or(0);
        Ok(Self {
            id: id.to_owned(),
            status: status.to_owned(),
            total: count("total"),
            completed: count("completed"),
            failed: count("failed"),
            cancelled: count("cancelled"),
        })
    }

    /// Items that have ended.
    pub(super) fn done(&self) -> u64 {
        self.completed + self.failed + self.cancelled
    }

    /// Nothing more will happen to the job.
    pub(super) fn is_over(&self) -> bool {
        matches!(self.status.as_str(), "completed" | "failed" | "expired" | "cancelled")
    }

    /// Fails unless every item of the job succeeded.
    pub(super) fn require_success(&self) -> Result<(), Failure> {
        let Self { id, status, total, completed, failed, .. } = self;
        if status == "completed" && *failed == 0 {
            return Ok(());
        }
        let message = format!(
            "job {id} is {status}: {completed} of {total} items succeeded, {failed} failed"
        );
        let advice = format!("run 'damaskhoist results {id} --failed' to see the reasons");
        Err(Failure::failed(message, advice))
    }
}
