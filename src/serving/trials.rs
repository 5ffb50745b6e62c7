use std::time::{Duration, Instant};

use async_std::task;

use crate::admission::{CrashStanding, Fingerprint, Refusal, RefusalKind, SlotDemand};
use crate::routing::{RequestView, SlotPermit, Trial};
use crate::serving::dispatcher::{convicted, time_left, unknown_target};
use crate::serving::Dispatcher;

/// Pause before an upstream is looked at again that a suspect waits for.
const TRIAL_POLL: Duration = Duration::from_millis(5);

impl Dispatcher {
    /// Takes a slot: beside other requests, or alone when an upstream died under this one.
    pub(super) async fn acquire_by_standing(
        &self,
        view: &RequestView<'_>,
        demand: &SlotDemand<'_>,
        fingerprint: &Fingerprint,
    ) -> Result<(SlotPermit, Option<Trial>), Refusal> {
        match self.crashes().standing(fingerprint) {
            CrashStanding::Clear => Ok((self.acquire_for(view, demand).await?, None)),
            CrashStanding::Suspect => {
                let (permit, trial) = self.acquire_alone(view, demand.deadline).await?;
                Ok((permit, Some(trial)))
            }
            CrashStanding::Convicted { expires_unix_ms } => Err(convicted(expires_unix_ms)),
        }
    }

    /// Takes an upstream for a crash suspect alone: no other request of this host is in flight
    /// there, and none comes until the trial is dropped.
    async fn acquire_alone(
        &self,
        view: &RequestView<'_>,
        deadline: Instant,
    ) -> Result<(SlotPermit, Trial), Refusal> {
        self.counters().count("crash.trial");
        loop {
            if let Some(trial) = self.begin_trial(view)? {
                if let Some(permit) = self.wait_until_idle(view, &trial, deadline).await {
                    return Ok((permit, trial));
                }
            }
            if time_left(deadline) <= TRIAL_POLL {
                let message = "the deadline passed before an upstream was free for this request, \
                    which was running when another one died";
                return Err(Refusal::not_run(RefusalKind::DeadlineExceeded, message));
            }
            task::sleep(TRIAL_POLL).await;
        }
    }

    /// Keeps the least used upstream for a suspect, unless too many are kept already.
    fn begin_trial(&self, view: &RequestView<'_>) -> Result<Option<Trial>, Refusal> {
        let snapshot = self.fleet().load();
        let candidates = snapshot.candidates(view);
        if candidates.is_empty() {
            return Err(unknown_target(view));
        }
        let limit_percent = self.ejector().policy().limit_percent as usize;
        let limit = (candidates.len() * limit_percent / 100).max(1);
        let kept = candidates.iter().filter(|upstream| upstream.health.is_on_trial()).count();
        if kept >= limit {
            return Ok(None);
        }
        let mut usable: Vec<_> = candidates
            .iter()
            .filter(|upstream| !view.excluded.contains(&upstream.record.upstream_id))
            .collect();
        usable.sort_by_key(|upstream| (upstream.in_use(), upstream.reported_load().0));
        Ok(usable.into_iter().find_map(Trial::begin))
    }

    /// Waits until the other requests at the upstream have ended; `None` when the upstream is gone
    /// or the deadline has passed.
    async fn wait_until_idle(
        &self,
        view: &RequestView<'_>,
        trial: &Trial,
        deadline: Instant,
    ) -> Option<SlotPermit> {
        let upstream = trial.upstream();
        while time_left(deadline) > TRIAL_POLL {
            if let Some(permit) = trial.acquire(view.class) {
                return Some(permit);
            }
            let known = self.fleet().load().upstream(&upstream.record.upstream_id).cloned();
            if known.is_none_or(|known| known.incarnation != upstream.incarnation)
                || upstream.health.is_ejected()
            {
                return None;
            }
            task::sleep(TRIAL_POLL).await;
        }
        None
    }
}
