use std::time::{Duration, Instant};

use async_std::task;

use crate::admission::{Refusal, RefusalKind, RunOutcome};
use crate::routing::SlotPermit;
use crate::serving::dispatcher::time_left;
use crate::serving::{AttemptFailure, AttemptPolicy, Dispatcher, EngineRequest, NextStep};
use crate::telemetry::Span;
use crate::upstream::{Chunk, EngineEvent, EngineStream, StreamAssembler};

/// Longest time that a cancelled stream keeps its slot. A cut must free a slot in under 100 ms, and
/// the connection is closed after this time in any case.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(50);

/// An answer that an upstream produces. Dropping it cancels the work at the upstream.
pub struct RunningAnswer {
    dispatcher: Dispatcher,
    request: EngineRequest,
    assembler: StreamAssembler,
    attempt: Option<Attempt>,
    excluded: Vec<String>,
    attempts: u32,
    sent: bool,
    done: bool,
}

struct Attempt {
    permit: SlotPermit,
    stream: EngineStream,
    span: Span,
    started: Instant,
    first_token: Option<Duration>,
    pieces: u64,
}

impl Attempt {
    /// Cancels the stream; the slot is free once the upstream has confirmed it, or after a bound.
    async fn cancel(self) {
        let _ = async_std::future::timeout(CANCEL_TIMEOUT, self.stream.cancel()).await;
        drop(self.permit);
        self.span.close();
    }
}

impl Drop for RunningAnswer {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            task::spawn(attempt.cancel());
        }
    }
}

impl RunningAnswer {
    pub(super) async fn start(
        dispatcher: Dispatcher,
        request: EngineRequest,
        span: &Span,
    ) -> Result<Self, Refusal> {
        let assembler = StreamAssembler::starting_at(request.first_position);
        let mut answer = Self {
            dispatcher,
            request,
            assembler,
            attempt: None,
            excluded: Vec::new(),
            attempts: 0,
            sent: false,
            done: false,
        };
        answer.attempt = Some(answer.open(span).await?);
        Ok(answer)
    }

    /// Upstream that produces the answer now.
    pub fn upstream_id(&self) -> &str {
        let attempt = self.attempt.as_ref();
        attempt.map_or("", |attempt| &attempt.permit.upstream().record.upstream_id)
    }

    /// Tokens that were handed on so far.
    pub fn position(&self) -> u64 {
        self.assembler.next_position()
    }

    /// The next piece in order; `None` once the answer is whole.
    ///
    /// When an upstream fails in the middle, another one continues at the same position.
    pub async fn next(&mut self, span: &Span) -> Result<Option<Chunk>, Refusal> {
        loop {
            if let Some(chunk) = self.assembler.pop() {
                return Ok(Some(chunk));
            }
            if self.done {
                return Ok(None);
            }
            let Err(failure) = self.read().await else { continue };
            self.close_failed_attempt(&failure);
            self.pause_after(failure).await?;
            self.assembler.restart();
            self.attempt = Some(self.open(span).await?);
        }
    }

    /// Reads one event into the assembler.
    async fn read(&mut self) -> Result<(), AttemptFailure> {
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(failed("no attempt is running".to_owned()));
        };
        let event =
            async_std::future::timeout(time_left(self.request.deadline), attempt.stream.next());
        let event = match event.await {
            Err(_) => return Err(failed("the deadline passed".to_owned())),
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Ok(Ok(event)) => event,
        };
        let chunk = match event {
            EngineEvent::Chunk(chunk) => chunk,
            EngineEvent::Done if self.assembler.has_gap() => {
                return Err(failed("the stream ended with a gap".to_owned()));
            }
            EngineEvent::Done => {
                self.finish().await;
                return Ok(());
            }
        };
        attempt.pieces += 1;
        if attempt.first_token.is_none() {
            let first_token = attempt.started.elapsed();
            attempt.first_token = Some(first_token);
            attempt.permit.upstream().record_success(first_token.as_micros() as u64);
        }
        if !self.assembler.push(chunk) {
            return Err(failed("a piece of the stream is missing".to_owned()));
        }
        Ok(())
    }

    async fn finish(&mut self) {
        self.done = true;
        let Some(attempt) = self.attempt.take() else { return };
        if let Some(first_token) = attempt.first_token {
            // The last piece has no token.
            let time = attempt.started.elapsed().saturating_sub(first_token);
            attempt.permit.upstream().record_tokens(attempt.pieces.saturating_sub(2), time);
        }
        attempt.stream.close().await;
        attempt.span.close();
    }

    fn close_failed_attempt(&mut self, failure: &AttemptFailure) {
        let Some(mut attempt) = self.attempt.take() else { return };
        attempt.span.text("error", &failure.reason);
        attempt.permit.upstream().record_failure();
        self.excluded.push(attempt.permit.upstream().record.upstream_id.clone());
    }

    /// Opens an attempt, trying other upstreams while the policy allows it.
    async fn open(&mut self, parent: &Span) -> Result<Attempt, Refusal> {
        loop {
            if time_left(self.request.deadline).is_zero() {
                return Err(self.deadline_refusal());
            }
            let acquired = self.dispatcher.acquire(&self.request, &self.excluded).await;
            let permit = acquired.map_err(|refusal| self.adjust(refusal))?;
            let mut span = parent.child("upstream_attempt");
            span.text("upstream_id", &permit.upstream().record.upstream_id);
            span.number("position", self.assembler.next_position() as i64);
            self.request.traceparent = span.traceparent();
            self.attempts += 1;
            self.dispatcher.counters().count("attempt.started");
            let started = Instant::now();
            let position = self.assembler.next_position();
            let opened = self.dispatcher.open_stream(&self.request, &permit, position).await;
            let failure = match opened {
                Ok(stream) => {
                    self.sent = true;
                    return Ok(Attempt {
                        permit,
                        stream,
                        span,
                        started,
                        first_token: None,
                        pieces: 0,
                    });
                }
                Err(failure) => failure,
            };
            span.text("error", &failure.reason);
            if failure.status == 0 {
                permit.upstream().record_failure();
            }
            self.excluded.push(permit.upstream().record.upstream_id.clone());
            drop(permit);
            self.pause_after(failure).await?;
        }
    }

    async fn pause_after(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        self.dispatcher.counters().count("attempt.failed");
        let policy = AttemptPolicy {
            repeatable: self.request.repeatable,
            attempts: self.attempts,
            sent_before: self.sent,
            time_left: time_left(self.request.deadline),
        };
        self.sent |= failure.sent;
        match policy.next_step(&failure, rand::random()) {
            NextStep::GiveUp(refusal) => Err(refusal),
            NextStep::Retry { pause } => {
                task::sleep(pause).await;
                Ok(())
            }
        }
    }

    /// A refusal of a later attempt must tell what earlier ones may have done.
    fn adjust(&self, refusal: Refusal) -> Refusal {
        let outcome = if self.sent { RunOutcome::MayHaveRun } else { refusal.outcome };
        refusal.with_outcome(outcome)
    }

    fn deadline_refusal(&self) -> Refusal {
        let message = "the deadline passed before an upstream answered";
        self.adjust(Refusal::not_run(RefusalKind::DeadlineExceeded, message))
    }
}

fn failed(reason: String) -> AttemptFailure {
    AttemptFailure { sent: true, status: 0, reason }
}
