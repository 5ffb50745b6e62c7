use std::sync::Arc;

use crate::state::item_attempt::ItemAttempt;
use crate::state::refusal::Refusal;

/// What a command did, without bodies: those are read when the outcome is encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Refused(Refusal),
    ConfigurationChanged { version: u64 },
    FileAppended { size_bytes: u64, lines: u32 },
    JobCreated { job_id: Arc<str>, items: u32, existed: bool },
    JobCancelled,
    ItemsLeased(Vec<ItemAttempt>),
    ItemsRenewed { lost: Vec<ItemAttempt> },
    ItemsFinished(Vec<FinishVerdict>),
    ClaimTaken(ClaimTaken),
    AnswerRecorded { existed: bool },
    ClaimSettled(ClaimStatus),
    FenceTaken { number: u64, held_by: String, held_for_ms: u64 },
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinishVerdict {
    Accepted,
    StaleAttempt,
    Duplicate,
    JobCancelled,
    UnknownItem,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimStatus {
    /// Nobody holds the key.
    Free,
    Held,
    Running,
    Answered,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimTaken {
    pub(crate) status: ClaimStatus,
    /// The request that the key belongs to.
    pub(crate) request_id: Arc<str>,
    pub(crate) holder: Arc<str>,
    /// Record of the answer when the status is answered, otherwise 0.
    pub(crate) record: u64,
}

impl From<Result<Outcome, Refusal>> for Outcome {
    fn from(result: Result<Self, Refusal>) -> Self {
        result.unwrap_or_else(Self::Refused)
    }
}
