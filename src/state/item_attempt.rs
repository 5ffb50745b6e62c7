use std::sync::Arc;

use crate::schema::state as wire;

/// Identifies one attempt of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ItemAttempt {
    pub(crate) job_id: Arc<str>,
    pub(crate) item: u32,
    pub(crate) attempt: u32,
}

impl From<&ItemAttempt> for wire::ItemAttempt {
    fn from(attempt: &ItemAttempt) -> Self {
        Self { job_id: attempt.job_id.to_string(), item: attempt.item, attempt: attempt.attempt }
    }
}

impl From<wire::ItemAttempt> for ItemAttempt {
    fn from(attempt: wire::ItemAttempt) -> Self {
        Self { job_id: attempt.job_id.into(), item: attempt.item, attempt: attempt.attempt }
    }
}
