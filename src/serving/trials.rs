use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;

use crate::admission::{
    CrashRecords, CrashVerdict, Fingerprint, Refusal, RefusalKind, SlotDemand, TrialClaim,
};
use crate::routing::{RequestView, SlotPermit, Trial};
use crate::serving::dispatcher::{convicted, time_left, unknown_target};
use crate::serving::Dispatcher;

/// Pause before an upstream is looked at again that a suspect waits for.
const TRIAL_POLL: Duration = Duration::from_millis(5);
/// Pause after no upstream could be had for a trial, which may have asked the control hosts.
const TRIAL_RETRY: Duration = Duration::from_millis(50);
/// Longest time for which a host keeps an upstream from the suspects of others.
const TRIAL_LEASE: Duration = Duration::from_secs(60);

/// An upstream that is kept for one suspect: on this host, and against suspects of other hosts.
pub(super) struct HeldTrial {
    trial: Trial,
    records: Arc<dyn CrashRecords>,
    trial_id: String,
}

impl Drop for HeldTrial {
    fn drop(&mut self) {
        let (records, trial_id) = (self.records.clone(), std::mem::take(&mut self.trial_id));
        let upstream_id = self.trial.upstream().record.upstream_id.clone();
        task::spawn(async move { records.release_trial(&upstream_id, &trial_id).await });
    }
}

impl Dispatcher {
    /// Takes a slot: beside other requests, or alone when an upstream died under this one.
    pub(super) async fn acquire_by_standing(
        &self,
        view: &RequestView<'_>,
        demand: &SlotDemand<'_>,
        fingerprint: &Fingerprint,
    ) -> Result<(SlotPermit, Option<HeldTrial>), Refusal> {
        // Without another upstream, one that failed the request before is better than none.
        let view =
            if self.has_another(view) { *view } else { RequestView { excluded: &[], ..*view } };
        match self.crashes().standing(fingerprint) {
            CrashVerdict::Clear => Ok((self.acquire_for(&view, demand).await?, None)),
            CrashVerdict::Suspect => {
                let (permit, trial) = self.acquire_alone(&view, demand.deadline).await?;
                Ok((permit, Some(trial)))
            }
            CrashVerdict::Convicted { expires_unix_ms } => Err(convicted(expires_unix_ms)),
        }
    }

    fn has_another(&self, view: &RequestView<'_>) -> bool {
        let snapshot = self.fleet().load();
        view.excluded.is_empty() || snapshot.candidates(view).iter().any(|other| other.fits(view))
    }

    /// Takes an upstream for a crash suspect alone: no other request of this host and no suspect
    /// of another host is in flight there until the trial is dropped.
    async fn acquire_alone(
        &self,
        view: &RequestView<'_>,
        deadline: Instant,
    ) -> Result<(SlotPermit, HeldTrial), Refusal> {
        self.counters().count("crash.trial");
        loop {
            if let Some(held) = self.begin_trial(view, deadline).await? {
                if let Some(permit) = self.wait_until_idle(view, &held.trial, deadline).await {
                    return Ok((permit, held));
                }
            }
            if time_left(deadline) <= TRIAL_RETRY {
                let message = "the deadline passed before an upstream was free for this request, \
                    which was running when another one died";
                return Err(Refusal::not_run(RefusalKind::DeadlineExceeded, message));
            }
            task::sleep(TRIAL_RETRY).await;
        }
    }

    /// Keeps the least used upstream that can be had for a suspect.
    async fn begin_trial(
        &self,
        view: &RequestView<'_>,
        deadline: Instant,
    ) -> Result<Option<HeldTrial>, Refusal> {
        let snapshot = self.fleet().load_full();
        let candidates = snapshot.candidates(view);
        if candidates.is_empty() {
            return Err(unknown_target(view));
        }
        let limit_percent = self.ejector().policy().limit_percent as usize;
        let limit = (candidates.len() * limit_percent / 100).max(1);
        let mut usable: Vec<_> = candidates.iter().filter(|upstream| upstream.fits(view)).collect();
        // A host without a lease of an upstream's slots may run nothing there.
        usable.retain(|upstream| upstream.slots().slots > 0);
        usable.sort_by_key(|upstream| (upstream.in_use(), upstream.reported_load().0));
        for upstream in usable {
            let kept = candidates.iter().filter(|upstream| upstream.health.is_on_trial()).count();
            if kept >= limit {
                return Ok(None);
            }
            let Some(trial) = Trial::begin(upstream) else { continue };
            let trial_id = format!("trial-{:x}", rand::random::<u128>());
            let records = self.crashes().records().clone();
            // Given back even if the answer to the claim is lost.
            let held = HeldTrial { trial, records, trial_id };
            let lease = time_left(deadline).min(TRIAL_LEASE);
            let id = &upstream.record.upstream_id;
            match held.records.claim_trial(id, &held.trial_id, lease).await {
                TrialClaim::Granted => return Ok(Some(held)),
                TrialClaim::Unknown => {
                    self.counters().count("crash.trial_unclaimed");
                    return Ok(Some(held));
                }
                TrialClaim::HeldElsewhere => {}
            }
        }
        Ok(None)
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
                || upstream.slots().slots == 0
            {
                return None;
            }
            task::sleep(TRIAL_POLL).await;
        }
        None
    }
}
