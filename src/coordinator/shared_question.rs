use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures::future::{BoxFuture, FutureExt, Shared};

use crate::coordinator::control_role::lock;

/// A question and its answer, for all reads that wait for it.
type Question<T> = Shared<BoxFuture<'static, T>>;

/// Sends a question anew each time that it is called.
pub(super) type Asker<T> = Box<dyn Fn() -> BoxFuture<'static, T> + Send + Sync>;

/// A question to other hosts that answers all reads that began before it was sent, so the calls do not grow with the
/// reads.
pub(super) struct SharedQuestion<T> {
    shared: Arc<QuestionState<T>>,
}

struct QuestionState<T> {
    asker: Asker<T>,
    max_join_time: Duration,
    questions: Mutex<Questions<T>>,
}

struct Questions<T> {
    /// Not sent yet, so that reads may join it.
    waiting: Option<Question<T>>,
    /// The last one that was sent.
    sent: Option<Question<T>>,
}

impl<T: Clone + Send + Sync + 'static> SharedQuestion<T> {
    /// Creates one that is asked by `asker`. A question waits for the answer to the one before it for up to
    /// `max_join_time`.
    pub(super) fn open(asker: Asker<T>, max_join_time: Duration) -> Self {
        let questions = Mutex::new(Questions { waiting: None, sent: None });
        Self { shared: Arc::new(QuestionState { asker, max_join_time, questions }) }
    }

    /// The answer to a question that was sent after this call.
    pub(super) async fn ask(&self) -> T {
        let question = {
            let mut questions = lock(&self.shared.questions);
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

    fn prepare(&self, previous: Option<Question<T>>) -> Question<T> {
        let shared = self.shared.clone();
        let asked = task::spawn(async move {
            if let Some(previous) = previous {
                let _ = timeout(shared.max_join_time, previous).await;
            }
            {
                // Reads that begin from now on join another question.
                let mut questions = lock(&shared.questions);
                questions.sent = questions.waiting.take();
            }
            (shared.asker)().await
        });
        asked.boxed().shared()
    }
}
