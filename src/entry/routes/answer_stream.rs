use std::sync::Arc;

use futures::future::{select, Either};
use futures::pin_mut;

use crate::admission::{Refusal, RefusalKind};
use crate::entry::event_body::{EventSender, Sent};
use crate::entry::refusal_response::refusal_bytes;
use crate::entry::shared::EntryShared;
use crate::serving::{Answer, OnlineRequest, OnlineRun};
use crate::telemetry::Span;

/// Produces the events of one streamed answer.
pub struct AnswerStream {
    /// State of the entry host.
    pub shared: Arc<EntryShared>,
    /// The request.
    pub request: OnlineRequest,
    /// Span of the request.
    pub span: Span,
}

/// Why events end.
enum End {
    /// The answer is whole.
    Whole(Answer),
    /// The upstreams failed.
    Broken(Refusal),
    /// The caller went away.
    CallerGone,
    /// The caller has read nothing for too long.
    Stalled(Refusal),
}

impl AnswerStream {
    /// Sends events until the answer is whole, has failed, or the caller takes no more.
    pub async fn send(mut self, mut run: OnlineRun, mut sender: EventSender) {
        match self.forward(&mut run, &mut sender).await {
            End::Whole(answer) => {
                // Nothing ends the stream before the answer is on a quorum.
                let online = &self.shared.online;
                let recorded = online.record(&self.request, run, &answer, &self.span).await;
                let (id, model) = (&self.request.identity.request_id, &self.request.model);
                let last = self.request.format.last_chunk(id, model, &answer, recorded);
                sender.event(&last.to_string()).await;
                sender.finish("[DONE]");
            }
            End::Broken(refusal) => {
                self.span.text("error", &refusal.message);
                self.shared.counters.count("stream.broken");
                self.finish_broken(&refusal, sender);
            }
            End::CallerGone => {
                self.span.text("error", "the caller went away");
                self.shared.counters.count("stream.caller_gone");
                run.abandon().await;
            }
            End::Stalled(refusal) => {
                self.span.text("error", &refusal.message);
                self.shared.counters.count("stream.stalled");
                self.finish_broken(&refusal, sender);
                run.abandon().await;
            }
        }
    }

    fn finish_broken(&self, refusal: &Refusal, sender: EventSender) {
        let error = refusal_bytes(refusal, &self.shared.other_addresses());
        sender.finish(&String::from_utf8_lossy(&error));
    }

    /// Hands pieces on.
    async fn forward(&mut self, run: &mut OnlineRun, sender: &mut EventSender) -> End {
        let mut answer = Answer::default();
        loop {
            let position = run.position();
            let next = {
                let next = run.next(&self.span);
                pin_mut!(next);
                match select(next, &mut sender.reader_gone).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return End::CallerGone,
                }
            };
            let chunk = match next {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return End::Whole(answer),
                Err(refusal) => return End::Broken(refusal),
            };
            answer.push(&chunk);
            if chunk.text.is_empty() {
                continue;
            }
            let (id, model) = (&self.request.identity.request_id, &self.request.model);
            let event = self.request.format.chunk(id, model, &chunk.text, position);
            match sender.event(&event.to_string()).await {
                Sent::Queued => {}
                Sent::Gone => return End::CallerGone,
                Sent::Stalled => {
                    let message = "the caller did not read the answer in time";
                    let refusal = Refusal::not_run(RefusalKind::LimitReached, message);
                    return End::Stalled(refusal.with_outcome(run.progress()));
                }
            }
        }
    }
}
