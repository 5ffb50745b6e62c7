use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;

use crate::admission::{RetryBudget, StallCheck, StaysFor, DEFAULT_RETRY_BUDGET_PERCENT};
use crate::gateway::attempt::Attempt;
use crate::gateway::forward_progress::{AnswerStage, Progress};
use crate::gateway::rerun_reason::RerunReason;
use crate::gateway::stall_limit::stall_limit;
use crate::gateway::upstream::monotonic_ms;
use crate::gateway::wait_end::WaitEnd;
use crate::gateway::{
    choose_upstream, AnswerSink, CallTarget, ChoiceInput, CrashGuard, EventSplitter, GatewayFleet,
    Refusal, RefusalKind, RoutesState, SendError, StreamConnector, StreamOrigins, StreamRequest,
    Upstream, UpstreamAnswer,
};
use crate::http::{BufferLease, HttpError};
use crate::schema::routes::{Route, RouteKind};
use crate::teams::RequestQuota;
use crate::telemetry::Counters;

/// Most sends of one request, including sends that the upstream did not run.
const MAX_SENDS: u32 = 4;
/// A request is sent only while at least this much of its time remains; less is not enough for a first
/// event.
const MIN_SEND_TIME: Duration = Duration::from_millis(30);
/// Retry delay of a refused request, for example while all upstreams are full. Callers retry once, and
/// bursts last some seconds: with 150 ms most retries fell into the same burst.
const RETRY_AFTER: Duration = Duration::from_millis(600);
/// Retry delay while the host has no routes yet or knows no upstream. After a restart of all hosts, the
/// election and the first heartbeats take about a second, and callers retry only once.
const RETRY_AFTER_STARTUP: Duration = Duration::from_millis(1_000);

/// How a request ended; determines what becomes of the caller's connection, and is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The complete answer of an upstream was forwarded.
    Answered,
    /// The host refused the request without an answer of an upstream.
    Refused,
    /// The answer broke off after its head was sent; the caller's connection must be closed.
    Cut,
}

/// Forwards requests to upstreams.
pub struct Forwarder {
    zone: String,
    region: String,
    fleet: Arc<GatewayFleet>,
    connector: Arc<dyn StreamConnector>,
    crashes: Arc<CrashGuard>,
    origins: Arc<dyn StreamOrigins>,
    counters: Counters,
    /// Bounds the runs of requests beyond their first ones.
    retries: RetryBudget,
}

/// The next step after a send.
enum NextStep {
    Ended(ForwardOutcome),
    Retry,
    GiveUp(Refusal),
}

impl Forwarder {
    /// Creates the forwarder of a host in this zone and region.
    pub fn open(
        zone: &str,
        region: &str,
        fleet: Arc<GatewayFleet>,
        connector: Arc<dyn StreamConnector>,
        crashes: Arc<CrashGuard>,
        origins: Arc<dyn StreamOrigins>,
        counters: Counters,
    ) -> Self {
        let (zone, region) = (zone.to_owned(), region.to_owned());
        let retries = RetryBudget::default();
        Self { zone, region, fleet, connector, crashes, origins, counters, retries }
    }

    /// Forwards a request by its route and writes the answer to `sink`. `version` is the version of the
    /// routes, `quota` that of the caller's team.
    ///
    /// # Errors
    /// If the caller has disconnected.
    pub async fn forward(
        &self,
        route: &Route,
        version: u64,
        quota: Option<&dyn RequestQuota>,
        request: &StreamRequest,
        sink: &mut dyn AnswerSink,
    ) -> Result<ForwardOutcome, HttpError> {
        if route.kind() == RouteKind::Batch {
            // A batch route accepts only job submissions, which are not forwarded.
            let refusal = Refusal::not_run("the route accepts only batch jobs", RETRY_AFTER);
            return self.refuse(request, version, refusal, sink).await;
        }
        let deadline = request.deadline(route);
        let resumes = route.kind() == RouteKind::Stream && request.last_event_id > Some(0);
        let origin = match resumes {
            true => self.origins.find(request, route).await,
            false => None,
        };
        if resumes && origin.is_none() {
            let reason = "the version that began the stream is not known";
            let refusal = Refusal::not_run(reason, RETRY_AFTER);
            return self.refuse(request, version, refusal, sink).await;
        }
        if let Some(Err((team, retry_after))) =
            quota.map(|quota| quota.try_take().map_err(|after| (quota.team(), after)))
        {
            self.counters.count("request_over_quota");
            let refusal = Refusal::over_quota(team, retry_after);
            return self.refuse(request, version, refusal, sink).await;
        }
        self.retries.record_request(DEFAULT_RETRY_BUDGET_PERCENT);
        let mut progress = Progress::new(request.last_event_id, origin);
        loop {
            let runs_before = progress.runs;
            let next = self.send_once(route, request, deadline, &mut progress, sink).await?;
            if let Some(quota) = quota.filter(|_| runs_before > 0 && progress.runs > runs_before) {
                quota.take_rerun();
            }
            match next {
                NextStep::Ended(end) => {
                    log::info!(event = "request_ended", request = request.request_id.as_str(),
                        route = route.name.as_str(), routes_version = version,
                        sends = progress.sends, runs = progress.runs,
                        reruns = progress.rerun_reasons().as_str(), withheld = progress.was_withheld,
                        first_event_ms = progress.first_event.map_or(0, |time| time.as_millis() as u64),
                        ms = request.arrived.elapsed().as_millis() as u64; "{end:?}");
                    self.counters.count(outcome_counter(end));
                    let us = request.arrived.elapsed().as_micros() as u64;
                    self.counters.time_us("request", us);
                    return Ok(end);
                }
                NextStep::Retry => {}
                NextStep::GiveUp(_) if progress.head_sent => {
                    log::warn!(event = "answer_cut", request = request.request_id.as_str(),
                        route = route.name.as_str(), sends = progress.sends, runs = progress.runs,
                        reruns = progress.rerun_reasons().as_str(), withheld = progress.was_withheld,
                        last_event = progress.last_event_id.unwrap_or(0),
                        ms = request.arrived.elapsed().as_millis() as u64;
                        "{}", progress.last_error);
                    self.counters.count(outcome_counter(ForwardOutcome::Cut));
                    return Ok(ForwardOutcome::Cut);
                }
                NextStep::GiveUp(refusal) => {
                    if let Some(quota) = quota.filter(|_| progress.runs == 0) {
                        quota.give_back();
                    }
                    return self.refuse(request, version, refusal, sink).await;
                }
            }
        }
    }

    /// Logs and counts a refusal and sends it to the caller.
    pub(super) async fn refuse(
        &self,
        request: &StreamRequest,
        version: u64,
        refusal: Refusal,
        sink: &mut dyn AnswerSink,
    ) -> Result<ForwardOutcome, HttpError> {
        log::info!(event = "request_refused", request = request.request_id.as_str(),
            routes_version = version, kind = format!("{:?}", refusal.kind).as_str(),
            retry_after_ms = refusal.retry_after.map_or(0, |delay| delay.as_millis() as u64),
            ms = request.arrived.elapsed().as_millis() as u64; "{}", refusal.reason);
        self.send_refusal(&refusal, sink).await
    }

    /// Refuses a request that no route matches.
    pub(super) async fn refuse_unmatched(
        &self,
        request: &StreamRequest,
        routes: &RoutesState,
        sink: &mut dyn AnswerSink,
    ) -> Result<ForwardOutcome, HttpError> {
        let refusal = routes.missing_route();
        log::info!(event = "request_refused", request = request.request_id.as_str(),
            host = request.host.as_str(), path = request.path(), routes_version = routes.version,
            routes_age_ms = routes.age_ms(),
            routes_source = routes.source.as_str(), kind = format!("{:?}", refusal.kind).as_str(),
            retry_after_ms = refusal.retry_after.map_or(0, |delay| delay.as_millis() as u64),
            ms = request.arrived.elapsed().as_millis() as u64; "{}", refusal.reason);
        self.send_refusal(&refusal, sink).await
    }

    async fn send_refusal(
        &self,
        refusal: &Refusal,
        sink: &mut dyn AnswerSink,
    ) -> Result<ForwardOutcome, HttpError> {
        self.counters.count(outcome_counter(ForwardOutcome::Refused));
        match self.fleet.is_adaptive() && refusal.kind == RefusalKind::NotRun {
            true => sink.refuse(&refusal.clone().spread()).await?,
            false => sink.refuse(refusal).await?,
        }
        Ok(ForwardOutcome::Refused)
    }

    /// Sends the request to one upstream and forwards its answer to the caller.
    async fn send_once(
        &self,
        route: &Route,
        request: &StreamRequest,
        deadline: Instant,
        progress: &mut Progress,
        sink: &mut dyn AnswerSink,
    ) -> Result<NextStep, HttpError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_SEND_TIME {
            return Ok(NextStep::GiveUp(timeout_refusal(progress)));
        }
        if let Some(refusal) = self.crashes.check(request) {
            self.counters.count("request_convicted");
            return Ok(NextStep::GiveUp(refusal.unless_run(progress.runs)));
        }
        let Some(upstream) = self.claim_upstream(route, request, progress) else {
            return Ok(NextStep::GiveUp(self.no_upstream_refusal(route, progress)));
        };
        progress.sends += 1;
        (progress.stage, progress.broke_off) = (AnswerStage::NotBegun, false);
        progress.tried.push(upstream.upstream_id.clone());
        let may_repeat = is_repeatable(route);
        let (online, in_use) = (upstream.online_requests(), upstream.in_use());
        log::info!(event = "attempt_sent", request = request.request_id.as_str(),
            route = route.name.as_str(), upstream = upstream.upstream_id.as_str(),
            send = progress.sends, online = online, in_use = in_use, slots = upstream.slots,
            after_event = progress.last_event_id.unwrap_or(0),
            left_ms = remaining.as_millis() as u64; "sending the request to the upstream");
        let guard = upstream.begin_online();
        if upstream.is_contended() {
            self.fleet.note_contention();
        }
        let target = CallTarget {
            upstream_id: &upstream.upstream_id,
            address: upstream.address,
            deadline,
            last_event_id: progress.last_event_id,
            is_repeatable: may_repeat,
        };
        let may_resume = may_repeat && progress.runs + 1 < route.max_attempts;
        let attempt = Attempt { route, request, upstream: &upstream, deadline };
        let sent_at_ms = monotonic_ms();
        let new_stall = || StallCheck::new(stall_limit(route, false), sent_at_ms);
        let send = self.connector.send(target, request);
        let waited = self.wait_for(&attempt, new_stall(), may_resume, progress, send).await;
        let wait_end = waited.as_ref().err().copied();
        let result = waited.unwrap_or_else(|end| Err(SendError::Lost(end.to_string())));
        if matches!(result, Ok(_) | Err(SendError::NotRun { .. })) {
            upstream.answer_times().record_heard(monotonic_ms());
        }
        let next = match result {
            Ok(answer) => {
                progress.runs += 1;
                progress.stage = AnswerStage::Begun;
                self.fleet.record_answer_notice(&upstream, &answer.head().notice);
                self.relay_answer(route, request, deadline, answer, &upstream, progress, sink)
                    .await?
            }
            Err(error) => {
                self.handle_send_error(&attempt, &error, wait_end, &mut new_stall(), progress)
            }
        };
        drop(guard);
        if progress.may_have_crashed(route.kind() == RouteKind::Stream) {
            self.record_crash(request, upstream, deadline).await;
        }
        Ok(next)
    }

    /// Waits for `work` of an upstream until the request's time has passed, or until `stall` says that another upstream
    /// should get the request.
    async fn wait_for<T: Send>(
        &self,
        attempt: &Attempt<'_>,
        mut stall: StallCheck,
        may_leave: bool,
        progress: &mut Progress,
        work: impl Future<Output = T> + Send,
    ) -> Result<T, WaitEnd> {
        let mut work = Box::pin(work);
        let mut logged = Vec::new();
        loop {
            let remaining = attempt.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                // A stream whose next bytes are always there never lets the timeout below expire.
                return Err(WaitEnd::TimeLimit);
            }
            let until_judged = stall.until_judged(monotonic_ms());
            if let Ok(done) = timeout(remaining.min(until_judged), &mut work).await {
                return Ok(done);
            }
            stall.record_silence(attempt.upstream.answer_times(), monotonic_ms());
            if !may_leave || !stall.has_stalled(monotonic_ms()) {
                continue;
            }
            let Some(reason) = self.stays_for(attempt, &mut stall, progress) else {
                self.record_rerun(RerunReason::Silence, progress);
                return Err(WaitEnd::Silence);
            };
            if reason == StaysFor::Budget {
                self.record_withheld(progress);
            }
            if !logged.contains(&reason) {
                logged.push(reason);
                log::info!(event = "attempt_stays", request = attempt.request.request_id.as_str(),
                    upstream = attempt.upstream.upstream_id.as_str(),
                    reason = format!("{reason:?}").as_str(),
                    silent_ms = stall.waited(monotonic_ms()).as_millis() as u64,
                    left_ms = remaining.as_millis() as u64;
                    "waiting on for a silent upstream");
            }
        }
    }

    /// Why a request stays with its silent upstream; `None` if it is to leave, for which a retry was withdrawn.
    fn stays_for(
        &self,
        attempt: &Attempt<'_>,
        stall: &mut StallCheck,
        progress: &Progress,
    ) -> Option<StaysFor> {
        if !self.is_reason_to_leave(attempt.upstream, stall) {
            return Some(StaysFor::SilenceOfMost);
        }
        let in_time = Instant::now() + MIN_SEND_TIME < attempt.deadline;
        let may_send = progress.sends < MAX_SENDS && in_time && progress.can_resume();
        let other = || self.choose_upstream(attempt.route, attempt.request, progress, true);
        if !may_send || other().is_none() {
            return Some(StaysFor::NoOther);
        }
        (!self.retries.try_withdraw(monotonic_ms())).then_some(StaysFor::Budget)
    }

    /// True if the silence of `upstream` is reason to leave it, by what the others of its service do.
    fn is_reason_to_leave(&self, upstream: &Upstream, stall: &mut StallCheck) -> bool {
        let all = self.fleet.load();
        let others = all.iter().filter(|other| {
            other.service == upstream.service
                && other.upstream_id != upstream.upstream_id
                && other.accepts_work
        });
        stall.is_reason_to_leave(others.map(|other| other.answer_times()), monotonic_ms())
    }

    /// Withdraws a retry for a request that may have run, if it can be sent again at all.
    fn try_rerun(&self, reason: RerunReason, progress: &mut Progress) -> bool {
        if !progress.can_resume() {
            return false;
        }
        let has_budget = self.retries.try_withdraw(monotonic_ms());
        match has_budget {
            true => self.record_rerun(reason, progress),
            false => self.record_withheld(progress),
        }
        has_budget
    }

    fn record_rerun(&self, reason: RerunReason, progress: &mut Progress) {
        progress.reruns.push(reason);
        self.counters.count(reason.counter());
    }

    fn record_withheld(&self, progress: &mut Progress) {
        if !progress.was_withheld {
            progress.was_withheld = true;
            self.counters.count("rerun_withheld");
        }
    }

    /// Records a crash if the upstream is gone and may have ended when it began the answer. Called
    /// before the request is sent again, so that a request does not end one upstream after the other.
    /// The check goes on if it takes longer than the request's time.
    async fn record_crash(
        &self,
        request: &StreamRequest,
        upstream: Arc<Upstream>,
        deadline: Instant,
    ) {
        let (connector, crashes) = (self.connector.clone(), self.crashes.clone());
        let request = request.clone();
        let check = task::spawn(async move {
            if !connector.is_reachable(upstream.address).await {
                crashes.record_loss(&request, &upstream);
            }
        });
        let _ = timeout(deadline.saturating_duration_since(Instant::now()), check).await;
    }

    /// Binds a stream to the version of the upstream that sent its first event.
    fn bind_stream(&self, request: &StreamRequest, upstream: &Upstream, progress: &mut Progress) {
        if progress.origin.is_none() {
            let origin = upstream.origin();
            self.origins.record(request, &origin);
            progress.origin = Some(origin);
        }
    }

    /// Records that the answer of the current send has brought a part of its body.
    fn record_body(&self, request: &StreamRequest, progress: &mut Progress) {
        if progress.stage == AnswerStage::HasBody {
            return;
        }
        progress.stage = AnswerStage::HasBody;
        self.crashes.record_run(request);
    }

    /// Chooses an upstream and counts the request against its named limit. Other requests may use up
    /// the limit between the two; another upstream is chosen then.
    fn claim_upstream(
        &self,
        route: &Route,
        request: &StreamRequest,
        progress: &Progress,
    ) -> Option<Arc<Upstream>> {
        let hears_of_others = self.fleet.hears_of_others();
        for _ in 0..MAX_SENDS {
            // A caller that has a part of its answer goes before those that have none.
            let allow_full = progress.runs > 0 || progress.origin.is_some();
            let upstream = self.choose_upstream(route, request, progress, allow_full)?;
            if upstream.try_send(hears_of_others) {
                return Some(upstream);
            }
        }
        None
    }

    fn choose_upstream(
        &self,
        route: &Route,
        request: &StreamRequest,
        progress: &Progress,
        allow_full: bool,
    ) -> Option<Arc<Upstream>> {
        let upstreams = self.fleet.load();
        let may_repeat = is_repeatable(route);
        let has_connection = |id: &str| self.connector.has_connection(id, may_repeat);
        let input = ChoiceInput {
            route,
            zone: &self.zone,
            region: &self.region,
            prefix: request.prompt.shared_key().filter(|_| route.prefix_affinity),
            origin: progress.origin.as_ref(),
            tried: &progress.tried,
            now_ms: monotonic_ms(),
            allow_full,
            adaptive: match self.fleet.is_adaptive() {
                true => Some(&has_connection),
                false => None,
            },
        };
        choose_upstream(&upstreams, &input)
    }

    /// Builds the refusal of a request for which no upstream can be chosen.
    fn no_upstream_refusal(&self, route: &Route, progress: &Progress) -> Refusal {
        if progress.runs > 0 {
            return Refusal::of_kind(RefusalKind::MayHaveRun, progress.last_error.clone());
        }
        let upstreams = self.fleet.load();
        let serves = |upstream: &Upstream| {
            route.shares.iter().any(|share| share.service == upstream.service)
        };
        let mut usable = upstreams
            .iter()
            .filter(|upstream| upstream.accepts_work && serves(upstream))
            .filter(|upstream| upstream.may_continue(progress.origin.as_ref()))
            .peekable();
        if usable.peek().is_none() && progress.origin.is_some() {
            let reason = "no upstream of the version that began the stream is left";
            return Refusal::not_run(reason, RETRY_AFTER);
        }
        if usable.peek().is_none() {
            return Refusal::not_run("no upstream of the route is known", RETRY_AFTER_STARTUP);
        }
        // Another host may hold a share of a limit in which this one has none.
        let room = usable.filter_map(|upstream| upstream.time_to_rate_room()).min();
        match room {
            Some(Duration::ZERO) => {
                Refusal::not_run("no upstream can accept the request now", RETRY_AFTER)
            }
            _ => Refusal::not_run(
                "the limits that the upstreams name are used up",
                RETRY_AFTER.max(room.unwrap_or_default()),
            ),
        }
    }

    /// Decides whether to retry after a send that brought no answer.
    fn handle_send_error(
        &self,
        attempt: &Attempt<'_>,
        error: &SendError,
        wait_end: Option<WaitEnd>,
        stall: &mut StallCheck,
        progress: &mut Progress,
    ) -> NextStep {
        let Attempt { route, request, upstream, deadline } = *attempt;
        let may_have_run = matches!(error, SendError::Lost(_));
        progress.runs += u32::from(may_have_run);
        progress.broke_off = may_have_run;
        progress.last_error = error.to_string();
        let pause = match error {
            SendError::NotRun { notice, .. } => {
                self.fleet.record_refusal_notice(upstream, notice);
                Duration::ZERO
            }
            SendError::HeldUp(_) => Duration::ZERO,
            // A short time limit, or a silence of most upstreams, says nothing of this one.
            _ if wait_end == Some(WaitEnd::TimeLimit)
                && !(stall.has_stalled(monotonic_ms())
                    && self.is_reason_to_leave(upstream, stall)) =>
            {
                Duration::ZERO
            }
            _ => upstream.record_failure(monotonic_ms()),
        };
        let in_time = Instant::now() + MIN_SEND_TIME < deadline;
        let may_send = progress.sends < MAX_SENDS && in_time;
        let may_run = progress.runs < route.max_attempts;
        let nothing_ran = progress.runs == 0;
        let may_retry = may_send && (nothing_ran || is_repeatable(route) && may_run);
        let retries = may_retry
            && match wait_end {
                // Already withdrawn.
                Some(WaitEnd::Silence) => true,
                _ if may_have_run => self.try_rerun(RerunReason::Reset, progress),
                _ => true,
            };
        log::warn!(event = "attempt_failed", request = request.request_id.as_str(),
            upstream = upstream.upstream_id.as_str(), may_have_run = may_have_run,
            prompt = request.prompt.to_string().as_str(), pause_ms = pause.as_millis() as u64,
            retries = retries, withheld = may_retry && !retries; "{error}");
        self.counters.count("attempt_failed");
        if retries {
            return NextStep::Retry;
        }
        NextStep::GiveUp(match in_time {
            true if nothing_ran || is_repeatable(route) && !progress.head_sent => {
                Refusal::not_run_if(nothing_ran, &progress.last_error)
            }
            true => Refusal::of_kind(RefusalKind::MayHaveRun, progress.last_error.clone()),
            false => timeout_refusal(progress),
        })
    }

    /// Forwards an answer to the caller while it arrives.
    #[allow(clippy::too_many_arguments)]
    async fn relay_answer(
        &self,
        route: &Route,
        request: &StreamRequest,
        deadline: Instant,
        mut answer: Box<dyn UpstreamAnswer>,
        upstream: &Upstream,
        progress: &mut Progress,
        sink: &mut dyn AnswerSink,
    ) -> Result<NextStep, HttpError> {
        let head = answer.head().clone();
        let may_resume = is_repeatable(route) && progress.runs < route.max_attempts;
        let is_success = (200..300).contains(&head.status);
        if !is_success {
            progress.last_error = format!("the upstream answered with status {}", head.status);
            log::warn!(event = "attempt_answered", request = request.request_id.as_str(),
                upstream = upstream.upstream_id.as_str(), status = head.status;
                "the upstream answered with an error status");
            let reruns = may_resume && self.try_rerun(RerunReason::ErrorStatus, progress);
            if progress.head_sent || reruns {
                return Ok(self.retry_or_cut(progress, reruns));
            }
        }
        if is_success {
            upstream.record_success();
        }
        let is_event_stream = is_success && head.is_event_stream;
        if progress.head_sent && !is_event_stream {
            progress.last_error = "the resumed answer is not a stream of events".to_owned();
            return Ok(self.retry_or_cut(progress, false));
        }
        let attempt = Attempt { route, request, upstream, deadline };
        let mut splitter = EventSplitter::new(BufferLease::for_answer());
        let mut last_progress_at_ms = monotonic_ms();
        // The head is sent together with the first event, so that a retry at another upstream is still
        // possible if this one fails before its first event.
        loop {
            let has_begun = progress.stage == AnswerStage::HasBody;
            let stall = StallCheck::new(stall_limit(route, has_begun), last_progress_at_ms);
            let next =
                self.wait_for(&attempt, stall, may_resume, progress, answer.next_chunk()).await;
            let chunk = match next {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None))
                    if is_event_stream
                        && !head.has_framing
                        && progress.stage != AnswerStage::HasBody =>
                {
                    progress.last_error = "the stream ended without an event".to_owned();
                    return Ok(self.handle_broken_stream(&attempt, progress, may_resume));
                }
                Ok(Ok(None)) if splitter.is_empty() => break,
                Ok(Ok(None)) => {
                    progress.last_error = "the stream ended in the middle of an event".to_owned();
                    return Ok(self.handle_broken_stream(&attempt, progress, may_resume));
                }
                Ok(Err(error)) => {
                    progress.last_error = error.to_string();
                    return Ok(self.handle_broken_stream(&attempt, progress, may_resume));
                }
                Err(WaitEnd::TimeLimit) => {
                    progress.last_error = WaitEnd::TimeLimit.to_string();
                    return Ok(NextStep::GiveUp(timeout_refusal(progress)));
                }
                Err(WaitEnd::Silence) => {
                    progress.last_error = WaitEnd::Silence.to_string();
                    self.record_break(&attempt, progress, true);
                    return Ok(self.retry_or_cut(progress, true));
                }
            };
            upstream.answer_times().record_heard(monotonic_ms());
            if !is_event_stream {
                last_progress_at_ms = monotonic_ms();
                self.record_body(request, progress);
                progress.has_event_ids = false;
                if !progress.head_sent {
                    progress.head_sent = true;
                    sink.start(&head).await?;
                }
                sink.send(&chunk).await?;
                continue;
            }
            splitter.push(&chunk);
            let mut events = Vec::new();
            while let Some(event) = splitter.next_event() {
                let is_next = match (event.id, progress.last_event_id) {
                    (Some(id), Some(last)) => id == last + 1,
                    _ => true,
                };
                if !is_next {
                    progress.last_error =
                        "the event ids of the stream are not consecutive".to_owned();
                    return Ok(self.handle_broken_stream(&attempt, progress, false));
                }
                progress.has_event_ids &= event.id.is_some();
                progress.last_event_id = event.id.or(progress.last_event_id);
                events.extend_from_slice(&event.bytes);
            }
            if !splitter.may_hold_rest() {
                progress.last_error = "an event of the stream is larger than the limit".to_owned();
                return Ok(self.handle_broken_stream(&attempt, progress, may_resume));
            }
            if events.is_empty() {
                continue;
            }
            last_progress_at_ms = monotonic_ms();
            self.record_body(request, progress);
            self.bind_stream(request, upstream, progress);
            if !progress.head_sent {
                progress.head_sent = true;
                let elapsed = request.arrived.elapsed();
                progress.first_event = Some(elapsed);
                self.counters.time_us("first_event", elapsed.as_micros() as u64);
                sink.start(&head).await?;
            }
            sink.send(&events).await?;
        }
        if !progress.head_sent {
            progress.head_sent = true;
            sink.start(&head).await?;
        }
        sink.finish().await?;
        Ok(NextStep::Ended(ForwardOutcome::Answered))
    }

    /// Records that an upstream failed during its answer, and decides whether to resume elsewhere.
    fn handle_broken_stream(
        &self,
        attempt: &Attempt<'_>,
        progress: &mut Progress,
        may_resume: bool,
    ) -> NextStep {
        let reruns = may_resume && self.try_rerun(RerunReason::Reset, progress);
        self.record_break(attempt, progress, reruns);
        self.retry_or_cut(progress, reruns)
    }

    /// Records that an upstream failed during its answer.
    fn record_break(&self, attempt: &Attempt<'_>, progress: &mut Progress, reruns: bool) {
        let Attempt { request, upstream, .. } = *attempt;
        progress.broke_off = true;
        let pause = upstream.record_failure(monotonic_ms());
        log::warn!(event = "stream_broken", request = request.request_id.as_str(),
            upstream = upstream.upstream_id.as_str(), may_go_on = reruns, withheld = progress.was_withheld,
            last_event = progress.last_event_id.unwrap_or(0),
            prompt = request.prompt.to_string().as_str(), pause_ms = pause.as_millis() as u64; "{}", progress.last_error);
        self.counters.count("stream_broken");
    }

    /// Retries if the answer may be resumed; otherwise gives up, which cuts an answer that has begun.
    fn retry_or_cut(&self, progress: &Progress, may_resume: bool) -> NextStep {
        match may_resume && progress.can_resume() {
            true => NextStep::Retry,
            false => NextStep::GiveUp(Refusal::of_kind(
                RefusalKind::MayHaveRun,
                progress.last_error.clone(),
            )),
        }
    }
}

impl Refusal {
    /// The same refusal, or one that does not state "not run" if there were runs.
    fn unless_run(self, runs: u32) -> Self {
        match runs {
            0 => self,
            _ => Self::of_kind(RefusalKind::MayHaveRun, self.reason),
        }
    }

    /// A refusal that states "not run" only if nothing ran.
    fn not_run_if(nothing_ran: bool, reason: &str) -> Self {
        match nothing_ran {
            true => Self::not_run(reason, RETRY_AFTER),
            false => Self::of_kind(RefusalKind::MayHaveRun, reason),
        }
    }
}

/// True if a request of the route may run more than once.
fn is_repeatable(route: &Route) -> bool {
    match route.kind() {
        RouteKind::Repeatable => true,
        RouteKind::Stream => route.resumable,
        _ => false,
    }
}

/// The refusal of a request whose time limit has passed.
fn timeout_refusal(progress: &Progress) -> Refusal {
    match progress.runs {
        0 => Refusal::not_run("the time limit of the request has passed", RETRY_AFTER),
        _ => Refusal::of_kind(RefusalKind::TimedOut, "the time limit of the request has passed"),
    }
}

/// Name of the counter of an outcome.
fn outcome_counter(end: ForwardOutcome) -> &'static str {
    match end {
        ForwardOutcome::Answered => "request_answered",
        ForwardOutcome::Refused => "request_refused",
        ForwardOutcome::Cut => "request_cut",
    }
}
