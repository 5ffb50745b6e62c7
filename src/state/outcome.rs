use std::sync::Arc;

use crate::state::item_attempt::ItemAttempt;
use crate::state::refusal::Refusal;

/// The outcome of a command. It holds no bodies; they are read when the outcome is encoded.
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

/// Whether the reported end of an attempt was accepted, otherwise why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinishVerdict {
    Accepted,
    StaleAttempt,
    Duplicate,
    JobCancelled,
    UnknownItem,
}

/// Status of a claim, as the request that asks for it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimStatus {
    /// No request holds the key.
    Free,
    /// The asking request holds the claim.
    Held,
    /// Another request holds the claim and its lease is valid.
    Running,
    /// The answer is recorded.
    Answered,
    /// The holder was lost, and it is not known whether the request ran.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimTaken {
    pub(crate) status: ClaimStatus,
    /// The request that holds the key.
    pub(crate) request_id: Arc<str>,
    pub(crate) holder: Arc<str>,
    /// Number of the record with the answer if the status is `Answered`, otherwise 0.
    pub(crate) answer_number: u64,
}

impl From<Result<Outcome, Refusal>> for Outcome {
    fn from(result: Result<Self, Refusal>) -> Self {
        result.unwrap_or_else(Self::Refused)
    }
}
