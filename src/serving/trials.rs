use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;

use crate::admission::{
    CrashVerdict, Refusal, RefusalKind, RequestFingerprints, SlotDemand, TrialClaim, TrialLeases,
};
use crate::routing::{RequestView, SlotPermit, Trial, WorkClass};
use crate::serving::dispatcher::{convicted, time_left, unknown_target};
use crate::serving::Dispatcher;

/// Interval at which a crash suspect checks whether its reserved upstream is idle.
const TRIAL_POLL: Duration = Duration::from_millis(5);
/// Pause after no upstream could be reserved for a trial. Longer than [`TRIAL_POLL`], because each
/// round may call the control hosts.
const TRIAL_RETRY: Duration = Duration::from_millis(50);
/// Maximum lease for which a host reserves an upstream against the crash suspects of other hosts.
const TRIAL_LEASE: Duration = Duration::from_secs(60);

/// Reserves an upstream for one crash suspect: against all other requests of this host, and against
/// the crash suspects of other hosts. Dropping it releases both reservations.
pub(super) struct TrialGuard {
    trial: Trial,
    leases: Arc<dyn TrialLeases>,
    trial_id: String,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let (leases, trial_id) = (self.leases.clone(), std::mem::take(&mut self.trial_id));
        let upstream_id = self.trial.upstream().record.upstream_id.clone();
        task::spawn(async move { leases.release_trial(&upstream_id, &trial_id).await });
    }
}

impl Dispatcher {
    /// Acquires a slot according to the crash verdict on the request: a normal slot if the request
    /// is clear, or a reserved upstream if an upstream crashed with it in flight. Refuses a
    /// convicted request, but never a batch item: items are owed, so they run alone after a pause.
    pub(super) async fn acquire_by_verdict(
        &self,
        view: &RequestView<'_>,
        demand: &SlotDemand<'_>,
        fingerprints: &RequestFingerprints,
    ) -> Result<(SlotPermit, Option<TrialGuard>), Refusal> {
        // If no other upstream is left, allow those that already failed the request.
        let view =
            if self.has_alternative(view) { *view } else { RequestView { excluded: &[], ..*view } };
        let verdict = self.crashes().verdict(fingerprints);
        if view.class == WorkClass::Batch && verdict != CrashVerdict::Clear {
            task::sleep(self.crashes().retry_delay(fingerprints)).await;
            let (permit, trial) = self.acquire_for_trial(&view, demand.deadline).await?;
            return Ok((permit, Some(trial)));
        }
        match verdict {
            CrashVerdict::Clear => Ok((self.acquire_permit(&view, demand).await?, None)),
            CrashVerdict::Suspect => {
                let (permit, trial) = self.acquire_for_trial(&view, demand.deadline).await?;
                Ok((permit, Some(trial)))
            }
            CrashVerdict::Convicted { expires_unix_ms, .. } => Err(convicted(expires_unix_ms)),
        }
    }

    fn has_alternative(&self, view: &RequestView<'_>) -> bool {
        let snapshot = self.fleet().load();
        view.excluded.is_empty()
            || snapshot.candidates(view).iter().any(|other| other.can_serve(view))
    }

    /// Acquires a slot at an upstream that is reserved for a crash suspect: until the guard is
    /// dropped, no other request of this host and no crash suspect of another host is in flight
    /// there.
    async fn acquire_for_trial(
        &self,
        view: &RequestView<'_>,
        deadline: Instant,
    ) -> Result<(SlotPermit, TrialGuard), Refusal> {
        self.counters().count("crash.trial");
        loop {
            if let Some(guard) = self.begin_trial(view, deadline).await? {
                if let Some(permit) = self.wait_until_idle(view, &guard.trial, deadline).await {
                    return Ok((permit, guard));
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

    /// Reserves the least loaded upstream that is available for a crash suspect. Returns `None` if
    /// there is none, or if the limit of upstreams on trial is reached.
    async fn begin_trial(
        &self,
        view: &RequestView<'_>,
        deadline: Instant,
    ) -> Result<Option<TrialGuard>, Refusal> {
        let snapshot = self.fleet().load_full();
        let candidates = snapshot.candidates(view);
        if candidates.is_empty() {
            return Err(unknown_target(view));
        }
        let limit_percent = self.ejector().policy().limit_percent as usize;
        let limit = (candidates.len() * limit_percent / 100).max(1);
        let mut usable: Vec<_> =
            candidates.iter().filter(|upstream| upstream.can_serve(view)).collect();
        // A host without a lease on an upstream's slots may not run requests there.
        usable.retain(|upstream| upstream.slots().slots > 0);
        usable.sort_by_key(|upstream| (upstream.in_use(), upstream.reported_load().0));
        for upstream in usable {
            let on_trial = candidates
                .iter()
                .filter(|upstream| upstream.health.is_reserved_for_trial())
                .count();
            if on_trial >= limit {
                return Ok(None);
            }
            let Some(trial) = Trial::begin(upstream) else { continue };
            let trial_id = format!("trial-{:x}", rand::random::<u128>());
            let leases = self.trials().clone();
            // Create the guard before claiming, so that the claim is released even if its reply is
            // lost.
            let guard = TrialGuard { trial, leases, trial_id };
            let lease = time_left(deadline).min(TRIAL_LEASE);
            let id = &upstream.record.upstream_id;
            match guard.leases.claim_trial(id, &guard.trial_id, lease).await {
                TrialClaim::Granted => return Ok(Some(guard)),
                TrialClaim::Unknown => {
                    self.counters().count("crash.trial_unclaimed");
                    return Ok(Some(guard));
                }
                TrialClaim::HeldElsewhere => {}
            }
        }
        Ok(None)
    }

    /// Waits until the other requests at the upstream have ended. Returns `None` when the deadline
    /// has passed, or when the upstream restarted, was removed or ejected, or has no slots for this
    /// host.
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
            let current = self.fleet().load().upstream(&upstream.record.upstream_id).cloned();
            if current.is_none_or(|current| current.incarnation != upstream.incarnation)
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
