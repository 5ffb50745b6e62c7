use std::sync::Arc;

use futures::future::{select, Either};
use futures::pin_mut;

use crate::admission::{Refusal, RefusalKind};
use crate::entry::event_body::{EventSender, SendOutcome};
use crate::entry::refusal_response::refusal_bytes;
use crate::entry::shared::EntryShared;
use crate::serving::{Answer, OnlineRequest, OnlineRun};
use crate::telemetry::Span;

/// Sends the events of one streamed answer.
pub struct AnswerStream {
    /// Shared state of the entry host.
    pub shared: Arc<EntryShared>,
    /// The request that is answered.
    pub request: OnlineRequest,
    /// Span of the request.
    pub span: Span,
}

/// Why a stream ended.
enum StreamEnd {
    /// The answer is complete.
    Complete(Answer),
    /// The run failed; no upstream could complete the answer.
    Failed(Refusal),
    /// The caller disconnected.
    CallerGone,
    /// The caller did not read for too long.
    CallerStalled(Refusal),
}

impl AnswerStream {
    /// Sends events until the answer is complete or has failed, or the caller disconnects or
    /// stalls.
    pub async fn send(mut self, mut run: OnlineRun, mut sender: EventSender) {
        match self.forward(&mut run, &mut sender).await {
            StreamEnd::Complete(answer) => {
                // The stream ends only after the attempt to record the answer on a quorum has
                // finished.
                let online = &self.shared.online;
                let recorded = online.record(&self.request, run, &answer, &self.span).await;
                let (id, model) = (&self.request.identity.request_id, &self.request.model);
                let last = self.request.format.last_chunk(id, model, &answer, recorded);
                sender.send_event(&last.to_string()).await;
                sender.finish("[DONE]");
            }
            StreamEnd::Failed(refusal) => {
                self.span.set_text("error", &refusal.message);
                self.shared.counters.count("stream.broken");
                self.finish_with_error(&refusal, sender);
            }
            StreamEnd::CallerGone => {
                self.span.set_text("error", "the caller went away");
                self.shared.counters.count("stream.caller_gone");
                run.abandon().await;
            }
            StreamEnd::CallerStalled(refusal) => {
                self.span.set_text("error", &refusal.message);
                self.shared.counters.count("stream.stalled");
                self.finish_with_error(&refusal, sender);
                run.abandon().await;
            }
        }
    }

    fn finish_with_error(&self, refusal: &Refusal, sender: EventSender) {
        let error = refusal_bytes(refusal, &self.shared.other_entry_addresses());
        sender.finish(&String::from_utf8_lossy(&error));
    }

    /// Forwards the chunks of the answer to the caller as events.
    async fn forward(&mut self, run: &mut OnlineRun, sender: &mut EventSender) -> StreamEnd {
        let mut answer = Answer::default();
        loop {
            let position = run.position();
            let next = {
                let next = run.next(&self.span);
                pin_mut!(next);
                match select(next, &mut sender.body_dropped).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return StreamEnd::CallerGone,
                }
            };
            let chunk = match next {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return StreamEnd::Complete(answer),
                Err(refusal) => return StreamEnd::Failed(refusal),
            };
            answer.push(&chunk);
            if chunk.text.is_empty() {
                continue;
            }
            let (id, model) = (&self.request.identity.request_id, &self.request.model);
            let event = self.request.format.chunk(id, model, &chunk.text, position);
            match sender.send_event(&event.to_string()).await {
                SendOutcome::Queued => {}
                SendOutcome::Gone => return StreamEnd::CallerGone,
                SendOutcome::Stalled => {
                    let message = "the caller did not read the answer in time";
                    let refusal = Refusal::not_run(RefusalKind::LimitReached, message);
                    return StreamEnd::CallerStalled(refusal.with_outcome(run.progress()));
                }
            }
        }
    }
}
