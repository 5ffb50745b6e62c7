use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures::future::{BoxFuture, FutureExt, Shared};

use crate::coordinator::control_role::lock;
use crate::coordinator::{LeaderClient, LeaderError};
use crate::schema::peer::{call, reply, ReadIndex, ReadIndexCall};

/// Time limit of a question. Callers of a read have 1.2 s and may ask three hosts.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a question waits for the answer to the one before it.
const MAX_JOIN_TIME: Duration = Duration::from_millis(20);

/// A question and its answer, for all reads that wait for it.
type Question = Shared<BoxFuture<'static, Result<u64, LeaderError>>>;

/// Asks the leader up to which entry a replica must have applied the log. A question answers all reads that began
/// before it was sent, so the calls to the leader do not grow with the reads.
pub(super) struct SharedReadIndex {
    client: Arc<LeaderClient>,
    questions: Arc<Mutex<Questions>>,
}

#[derive(Default)]
struct Questions {
    /// Not sent yet, so that reads may join it.
    waiting: Option<Question>,
    /// The last one that was sent.
    sent: Option<Question>,
}

impl SharedReadIndex {
    /// Creates one that asks through `client`.
    pub(super) fn open(client: Arc<LeaderClient>) -> Self {
        Self { client, questions: Arc::default() }
    }

    /// Index up to which the log was committed at some time after this call.
    ///
    /// # Errors
    /// If the leader did not answer in time.
    pub(super) async fn ask(&self) -> Result<u64, LeaderError> {
        let question = {
            let mut questions = lock(&self.questions);
            match &questions.waiting {
                Some(question) => question.clone(),
                None => {
                    let question = self.prepare(questions.sent.clone());
                    questions.waiting = Some(question.clone());
                    question
                }
            }
        };
        question.await
    }

    fn prepare(&self, previous: Option<Question>) -> Question {
        let (client, questions) = (self.client.clone(), self.questions.clone());
        let asked = task::spawn(async move {
            if let Some(previous) = previous {
                let _ = timeout(MAX_JOIN_TIME, previous).await;
            }
            {
                // Reads that begin from now on join another question.
                let mut questions = lock(&questions);
                questions.sent = questions.waiting.take();
            }
            let call = call::Call::ReadIndex(ReadIndexCall {});
            match client.call_leader(call, QUESTION_TIMEOUT).await? {
                reply::Reply::ReadIndex(ReadIndex { index }) => Ok(index),
                _ => Err(LeaderError::unexpected_reply()),
            }
        });
        asked.boxed().shared()
    }
}
