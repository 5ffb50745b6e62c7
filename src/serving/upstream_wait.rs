use std::future::Future;
use std::time::Duration;

use async_std::future;

use crate::admission::{StallCheck, StaysFor};
use crate::routing::{Upstream, WorkClass};
use crate::serving::dispatcher::time_left;
use crate::serving::{AttemptFailure, AttemptPolicy, Dispatcher, EngineRequest, NextStep};
use crate::upstream::UpstreamError;

/// The wait of an attempt for the next data of its upstream.
pub(super) struct UpstreamWait<'a> {
    pub(super) dispatcher: &'a Dispatcher,
    pub(super) request: &'a EngineRequest,
    pub(super) upstream: &'a Upstream,
    /// Ids of the upstreams that have already failed the request.
    pub(super) excluded: &'a [String],
    pub(super) policy: AttemptPolicy,
}

impl UpstreamWait<'_> {
    /// Waits for `work`, which ends by itself at the request's deadline. `limit` is the time without data since
    /// `since_ms` after which the upstream has stalled.
    ///
    /// # Errors
    /// If another upstream should get the request. For an online request, a retry has been withdrawn from the budget.
    pub(super) async fn run<T>(
        &self,
        limit: Duration,
        since_ms: u64,
        work: impl Future<Output = T> + Send,
    ) -> Result<T, AttemptFailure> {
        let mut work = Box::pin(work);
        let mut stall = StallCheck::new(limit, since_ms);
        let mut logged = None;
        loop {
            let until_judged = stall.until_judged(self.dispatcher.now_ms());
            if let Ok(done) = future::timeout(until_judged, &mut work).await {
                return Ok(done);
            }
            let now_ms = self.dispatcher.now_ms();
            stall.record_silence(&self.upstream.answer_times, now_ms);
            if !stall.has_stalled(now_ms) {
                continue;
            }
            let silence = AttemptFailure::from(UpstreamError::Silent(format!(
                "no data within {} ms",
                limit.as_millis()
            )));
            let Some(reason) = self.stays_for(&mut stall, &silence, now_ms) else {
                return Err(silence);
            };
            if logged.replace(reason) != Some(reason) {
                log::info!(event = "attempt_stays", request = self.request.request_id.as_str(),
                    upstream = &*self.upstream.record.upstream_id,
                    reason = format!("{reason:?}").as_str(),
                    left_ms = time_left(self.request.deadline).as_millis() as u64;
                    "waiting on for a silent upstream");
            }
        }
    }

    /// Why the request stays with its silent upstream; `None` if it is to leave.
    fn stays_for(
        &self,
        stall: &mut StallCheck,
        silence: &AttemptFailure,
        now_ms: u64,
    ) -> Option<StaysFor> {
        // The deadline of an item is hours away, so it does not wait for it at an upstream that may be gone.
        if self.request.class == WorkClass::Batch && self.request.repeatable {
            return None;
        }
        let view = self.request.view(self.excluded);
        let snapshot = self.dispatcher.fleet().load();
        let is_other =
            |other: &Upstream| other.record.upstream_id != self.upstream.record.upstream_id;
        let others = || snapshot.candidates(&view).iter().filter(|other| is_other(other));
        if !stall.is_reason_to_leave(others().map(|other| &*other.answer_times), now_ms) {
            return Some(StaysFor::SilenceOfMost);
        }
        let time_left = time_left(self.request.deadline);
        let policy = AttemptPolicy { time_left, ..self.policy };
        let may_retry = matches!(policy.next_step(silence, rand::random()), NextStep::Retry { .. });
        let has_other =
            || others().any(|other| other.can_serve(&view) && other.health.is_available());
        if !may_retry || !has_other() {
            return Some(StaysFor::NoOther);
        }
        (!self.dispatcher.try_withdraw_retry()).then_some(StaysFor::Budget)
    }
}
