use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::admission::Fingerprint;
use crate::membership::CrashRecord;

/// Crash records that all hosts share, and the trials of suspects that hosts agree on.
#[async_trait]
pub trait CrashRecords: Send + Sync {
    /// The record of a request, if there is one. Takes no lock.
    fn find(&self, fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>>;

    /// Spreads a record, which joins what is known of its fingerprint.
    fn publish(&self, record: CrashRecord);

    /// Claims the trial of a suspect at an upstream, so that no other host tries one there at the
    /// same time. `trial_id` names the trial.
    async fn claim_trial(&self, upstream_id: &str, trial_id: &str, lease: Duration) -> TrialClaim;

    /// Gives a claimed trial back.
    async fn release_trial(&self, upstream_id: &str, trial_id: &str);
}

/// Answer to the claim of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialClaim {
    /// No other host tries a suspect at the upstream until the lease ends.
    Held,
    /// Another host tries a suspect there.
    Taken,
    /// No quorum answered. Suspects of other hosts may run there too.
    Unknown,
}
