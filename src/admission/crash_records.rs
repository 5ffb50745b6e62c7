use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::admission::{CrashRecord, Fingerprint};

/// Crash records that all hosts share.
pub trait CrashRecords: Send + Sync {
    /// Finds the record of a content. Lock-free.
    fn find(&self, fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>>;

    /// All records, sorted by fingerprint.
    fn all(&self) -> Vec<Arc<CrashRecord>>;

    /// Publishes a record to all hosts, which merge it with their record of the same fingerprint.
    fn publish(&self, record: CrashRecord);
}

/// Leases on the trials of suspect requests. A trial runs a suspect request alone on an upstream.
#[async_trait]
pub trait TrialLeases: CrashRecords {
    /// Acquires the lease for a trial at an upstream, so that no other host runs one there at the
    /// same time. `trial_id` identifies the trial.
    async fn claim_trial(&self, upstream_id: &str, trial_id: &str, lease: Duration) -> TrialClaim;

    /// Releases the lease for a trial.
    async fn release_trial(&self, upstream_id: &str, trial_id: &str);
}

/// Outcome of an attempt to acquire the lease for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialClaim {
    /// The lease is granted: no other host runs a trial at the upstream until it expires.
    Granted,
    /// Another host holds the lease for the upstream.
    HeldElsewhere,
    /// No quorum replied. Other hosts may run trials at the upstream at the same time.
    Unknown,
}
