use std::sync::Arc;

use futures::future::{select, Either};
use futures::pin_mut;

use crate::admission::{Refusal, RunOutcome};
use crate::entry::event_body::EventSender;
use crate::entry::refusal_response::refusal_bytes;
use crate::entry::shared::EntryShared;
use crate::serving::{Answer, OnlineRequest, RunningAnswer};
use crate::telemetry::Span;

/// Produces the events of one streamed answer.
pub struct AnswerStream {
    /// State of the entry host.
    pub shared: Arc<EntryShared>,
    /// The request.
    pub request: OnlineRequest,
    /// The answer as an upstream produces it.
    pub running: RunningAnswer,
    /// Span of the request.
    pub span: Span,
}

impl AnswerStream {
    /// Writes events until the answer is whole, has failed, or the caller went away.
    pub async fn run(mut self, mut sender: EventSender) {
        let (answer, refusal) = self.forward(&mut sender).await;
        let Some(refusal) = refusal else {
            // Nothing ends the stream before the answer is on a quorum.
            let recorded = self.shared.online.record(&self.request, &answer, &self.span).await;
            let (id, model) = (&self.request.identity.request_id, &self.request.model);
            let last = self.request.format.last_chunk(id, model, &answer, recorded);
            sender.event(&last.to_string()).await;
            sender.event("[DONE]").await;
            return;
        };
        self.span.text("error", &refusal.message);
        self.shared.counters.count("stream.broken");
        self.shared.online.release(&self.request, refusal.outcome).await;
        let error = refusal_bytes(&refusal, &self.shared.other_addresses());
        sender.event(&String::from_utf8_lossy(&error)).await;
    }

    /// Hands pieces on. Gives what was gathered, and why it is not whole.
    async fn forward(&mut self, sender: &mut EventSender) -> (Answer, Option<Refusal>) {
        let mut answer = Answer::default();
        loop {
            let position = self.running.position();
            let next = {
                let next = self.running.next(&self.span);
                pin_mut!(next);
                match select(next, &mut sender.reader_gone).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return (answer, Some(caller_gone())),
                }
            };
            let chunk = match next {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return (answer, None),
                Err(refusal) => return (answer, Some(refusal)),
            };
            answer.push(&chunk);
            if chunk.text.is_empty() {
                continue;
            }
            let (id, model) = (&self.request.identity.request_id, &self.request.model);
            let event = self.request.format.chunk(id, model, &chunk.text, position);
            if !sender.event(&event.to_string()).await {
                return (answer, Some(caller_gone()));
            }
        }
    }
}

fn caller_gone() -> Refusal {
    let kind = crate::admission::RefusalKind::UpstreamFailed;
    Refusal::not_run(kind, "the caller went away").with_outcome(RunOutcome::MayHaveRun)
}
