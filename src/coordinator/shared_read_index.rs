use std::sync::Arc;
use std::time::Duration;

use futures::future::FutureExt;

use crate::coordinator::shared_question::SharedQuestion;
use crate::coordinator::{LeaderClient, LeaderError};
use crate::schema::peer::{call, reply, ReadIndex, ReadIndexCall};

/// Time limit of a question. Callers of a read have 1.2 s and may ask three hosts.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a question waits for the answer to the one before it.
const MAX_JOIN_TIME: Duration = Duration::from_millis(20);

/// Asks the leader up to which entry a replica must have applied the log.
pub(super) struct SharedReadIndex {
    question: SharedQuestion<Result<u64, LeaderError>>,
}

impl SharedReadIndex {
    /// Creates one that asks through `client`.
    pub(super) fn open(client: Arc<LeaderClient>) -> Self {
        let asker = Box::new(move || ask_leader(client.clone()).boxed());
        Self { question: SharedQuestion::open(asker, MAX_JOIN_TIME) }
    }

    /// Index up to which the log was committed at some time after this call.
    ///
    /// # Errors
    /// If the leader did not answer in time.
    pub(super) async fn ask(&self) -> Result<u64, LeaderError> {
        self.question.ask().await
    }
}

async fn ask_leader(client: Arc<LeaderClient>) -> Result<u64, LeaderError> {
    let call = call::Call::ReadIndex(ReadIndexCall {});
    match client.call_leader(call, QUESTION_TIMEOUT).await? {
        reply::Reply::ReadIndex(ReadIndex { index }) => Ok(index),
        _ => Err(LeaderError::unexpected_reply()),
    }
}
