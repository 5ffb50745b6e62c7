use std::time::{Duration, Instant};

use async_std::task;

use crate::admission::{Refusal, RefusalKind, RequestFingerprints, RunOutcome};
use crate::routing::{SlotPermit, WorkClass};
use crate::serving::dispatcher::time_left;
use crate::serving::trials::TrialGuard;
use crate::serving::upstream_wait::UpstreamWait;
use crate::serving::{
    AttemptFailure, AttemptPolicy, Dispatcher, EngineRequest, FailureCause, NextStep,
};
use crate::telemetry::Span;
use crate::upstream::{Chunk, EngineEvent, EngineStream, StreamAssembler};

/// Longest time for which a cancelled stream keeps its slot. Preemption must free a slot in under
/// 100 ms, so the connection is closed after this time even without the upstream's confirmation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(50);

/// An answer that an upstream is generating. Dropping it cancels the work at the upstream.
pub struct RunningAnswer {
    dispatcher: Dispatcher,
    request: EngineRequest,
    assembler: StreamAssembler,
    attempt: Option<Attempt>,
    excluded: Vec<String>,
    attempts: u32,
    progress: RunOutcome,
    /// Final chunk, without text, to be returned after all others.
    last_chunk: Option<Chunk>,
    done: bool,
}

/// An attempt in flight. The order of the fields matters for dropping: the connection closes before
/// the slot is released, and the slot is released before the trial ends.
struct Attempt {
    stream: EngineStream,
    permit: SlotPermit,
    _trial: Option<TrialGuard>,
    span: Span,
    started: Instant,
    /// The same time on the dispatcher's clock.
    started_ms: u64,
    first_token: Option<Duration>,
    chunks: u64,
}

impl Attempt {
    /// Cancels the stream. Releases the slot once the upstream has confirmed the cancellation, or
    /// after [`CANCEL_TIMEOUT`].
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
        dispatcher.record_request();
        let assembler = StreamAssembler::starting_at(request.first_position);
        let mut answer = Self {
            dispatcher,
            request,
            assembler,
            attempt: None,
            excluded: Vec::new(),
            attempts: 0,
            progress: RunOutcome::NotRun,
            last_chunk: None,
            done: false,
        };
        answer.attempt = Some(answer.open_attempt(span).await?);
        Ok(answer)
    }

    /// ID of the upstream that currently generates the answer; empty between attempts.
    pub fn upstream_id(&self) -> &str {
        let attempt = self.attempt.as_ref();
        attempt.map_or("", |attempt| &attempt.permit.upstream().record.upstream_id)
    }

    /// Number of chunks returned so far, including those of earlier attempts.
    pub fn position(&self) -> u64 {
        self.assembler.next_position()
    }

    /// Whether the request ran, as far as is known.
    pub fn progress(&self) -> RunOutcome {
        self.progress
    }

    /// Returns the next chunk in order, or `None` once the answer is complete.
    ///
    /// When an upstream fails midway, another one resumes the answer at the same position.
    pub async fn next(&mut self, span: &Span) -> Result<Option<Chunk>, Refusal> {
        loop {
            if let Some(chunk) = self.assembler.pop() {
                self.progress = RunOutcome::Ran;
                return Ok(Some(chunk));
            }
            if self.done {
                return Ok(self.last_chunk.take());
            }
            let Err(failure) = self.read_event().await else { continue };
            let Some(attempt) = self.attempt.take() else {
                return Err(self.deadline_refusal());
            };
            let has_token = attempt.first_token.is_some();
            let Attempt { stream, permit, _trial: trial, span: attempt_span, .. } = attempt;
            // Cancel the work at this upstream before another one resumes the answer.
            drop(stream);
            self.handle_failure(permit, trial, attempt_span, failure, has_token).await?;
            self.assembler.restart();
            self.attempt = Some(self.open_attempt(span).await?);
        }
    }

    /// Reads one event from the stream into the assembler.
    async fn read_event(&mut self) -> Result<(), AttemptFailure> {
        let policy = self.policy();
        let Some(attempt) = self.attempt.as_mut() else {
            return Err(AttemptFailure::deadline());
        };
        let upstream = attempt.permit.upstream();
        let token_latency = &upstream.token_latency;
        let time_left = time_left(self.request.deadline);
        let (limit, since_ms) = match attempt.first_token {
            None => (token_latency.first_token_timeout(), attempt.started_ms),
            Some(_) => (token_latency.token_timeout(), self.dispatcher.now_ms()),
        };
        let wait = UpstreamWait {
            dispatcher: &self.dispatcher,
            request: &self.request,
            upstream,
            excluded: &self.excluded,
            policy,
        };
        let wait_started = Instant::now();
        let event = match wait.run(limit, since_ms, attempt.stream.next(time_left)).await? {
            Err(_) if wait_started.elapsed() >= time_left => {
                return Err(AttemptFailure::deadline());
            }
            event => event?,
        };
        upstream.answer_times.record_heard(self.dispatcher.now_ms());
        let chunk = match event {
            EngineEvent::Chunk(chunk) => chunk,
            EngineEvent::Done => {
                self.last_chunk = Some(self.assembler.finish()?);
                self.complete();
                return Ok(());
            }
        };
        attempt.chunks += 1;
        if attempt.first_token.is_none() && !chunk.text.is_empty() {
            self.dispatcher.crashes().record_parts_run(&self.request.fingerprints);
            let first_token = attempt.started.elapsed();
            attempt.first_token = Some(first_token);
            token_latency.record_first_token(first_token);
        }
        Ok(self.assembler.push(chunk)?)
    }

    fn complete(&mut self) {
        self.done = true;
        let Some(attempt) = self.attempt.take() else { return };
        let upstream = attempt.permit.upstream();
        if let Some(first_token) = attempt.first_token {
            // Excludes the first token, which is timed separately, and the final chunk, which
            // carries no token.
            let time = attempt.started.elapsed().saturating_sub(first_token);
            upstream.token_latency.record_tokens(attempt.chunks.saturating_sub(2), time);
        }
        upstream.health.record_success();
        self.dispatcher.crashes().record_run(&self.request.fingerprints);
        attempt.stream.close();
        attempt.span.close();
    }

    /// Opens an attempt; retries at other upstreams as long as the policy allows.
    async fn open_attempt(&mut self, parent: &Span) -> Result<Attempt, Refusal> {
        loop {
            if time_left(self.request.deadline).is_zero() {
                return Err(self.deadline_refusal());
            }
            let request = &self.request;
            let view = request.view(&self.excluded);
            let decision = parent.child("decision");
            let acquired = self
                .dispatcher
                .acquire_by_verdict(&view, &request.demand(), &request.fingerprints)
                .await;
            decision.close();
            let (mut permit, trial) =
                acquired.map_err(|refusal| refusal.with_outcome_at_least(self.progress))?;
            if let Some(stop) = &request.stop {
                permit.allow_preemption(stop);
            }
            let mut span = parent.child("upstream_attempt");
            span.set_text("upstream_id", &permit.upstream().record.upstream_id);
            span.set_number("position", self.assembler.next_position() as i64);
            self.request.traceparent = span.traceparent();
            self.attempts += 1;
            self.dispatcher.counters().count("attempt.started");
            let (started, started_ms) = (Instant::now(), self.dispatcher.now_ms());
            let failure = match self.open_stream(&permit).await {
                Ok(stream) => {
                    self.progress = self.progress.max(RunOutcome::MayHaveRun);
                    return Ok(Attempt {
                        stream,
                        permit,
                        _trial: trial,
                        span,
                        started,
                        started_ms,
                        first_token: None,
                        chunks: 0,
                    });
                }
                Err(failure) => failure,
            };
            self.handle_failure(permit, trial, span, failure, false).await?;
        }
    }

    async fn open_stream(&self, permit: &SlotPermit) -> Result<EngineStream, AttemptFailure> {
        let time_left = time_left(self.request.deadline);
        let upstream = permit.upstream();
        let position = self.assembler.next_position();
        let wait = UpstreamWait {
            dispatcher: &self.dispatcher,
            request: &self.request,
            upstream,
            excluded: &self.excluded,
            policy: self.policy(),
        };
        let open = self.dispatcher.open_stream(&self.request, permit, position, time_left);
        let limit = upstream.token_latency.first_token_timeout();
        let opened = wait.run(limit, self.dispatcher.now_ms(), open).await?;
        if opened.is_ok() {
            upstream.answer_times.record_heard(self.dispatcher.now_ms());
        }
        match opened {
            Err(failure) if failure.was_sent() && self.request.deadline <= Instant::now() => {
                Err(AttemptFailure::deadline())
            }
            opened => opened,
        }
    }

    /// Ends a failed attempt. Sleeps until the next attempt if the policy allows one, and returns a
    /// refusal otherwise.
    async fn handle_failure(
        &mut self,
        permit: SlotPermit,
        trial: Option<TrialGuard>,
        mut span: Span,
        failure: AttemptFailure,
        has_token: bool,
    ) -> Result<(), Refusal> {
        span.set_text("error", &failure.reason);
        let upstream = permit.upstream().clone();
        drop(permit);
        self.excluded.push(upstream.record.upstream_id.clone());
        let policy = self.policy();
        self.progress = policy.outcome(&failure);
        // An upstream that has begun the answer has read all parts without a crash, and items never
        // crash upstreams by themselves.
        let is_batch = self.request.class == WorkClass::Batch;
        let fingerprints = match has_token || is_batch {
            true => RequestFingerprints::of_request(self.request.fingerprints.request),
            false => self.request.fingerprints.clone(),
        };
        self.dispatcher
            .record_failure(
                &upstream,
                &fingerprints,
                self.request.class,
                self.request.deadline,
                &failure,
            )
            .await
            .map_err(|refusal| refusal.with_outcome_at_least(self.progress))?;
        // Keep the trial until the crash check above is done, so that no other request starts on an
        // upstream that this request may have crashed.
        drop(trial);
        // The wait for a silent upstream has already withdrawn the retry of an online request.
        let is_withdrawn = failure.cause == FailureCause::Silent && !is_batch;
        match policy.next_step(&failure, rand::random()) {
            NextStep::GiveUp(refusal) => Err(refusal),
            NextStep::Retry { pause } if is_withdrawn || self.dispatcher.try_withdraw_retry() => {
                task::sleep(pause).await;
                Ok(())
            }
            NextStep::Retry { .. } => Err(policy.refusal(&failure)),
        }
    }

    fn policy(&self) -> AttemptPolicy {
        AttemptPolicy {
            repeatable: self.request.repeatable,
            can_resume: self.assembler.can_resume(),
            attempts: self.attempts,
            progress: self.progress,
            time_left: time_left(self.request.deadline),
        }
    }

    fn deadline_refusal(&self) -> Refusal {
        let message = "the deadline passed before an upstream answered";
        Refusal::not_run(RefusalKind::DeadlineExceeded, message).with_outcome(self.progress)
    }
}
