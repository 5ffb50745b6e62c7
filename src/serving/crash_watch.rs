use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::admission::{CrashDetector, CrashRecords, CrashVerdict, Fingerprint};
use crate::control::unix_ms;
use crate::routing::Upstream;

/// Time for which a verdict is valid unless the configuration sets another one.
pub const DEFAULT_CRASH_VERDICT_MS: u64 = 600_000;

/// Applies the [`CrashDetector`] to the requests of this host, using crash records that all hosts
/// share.
pub struct CrashWatch {
    records: Arc<dyn CrashRecords>,
    verdict_ms: AtomicU64,
}

impl CrashWatch {
    /// Creates a watch on the shared records.
    pub fn open(records: Arc<dyn CrashRecords>) -> Self {
        Self { records, verdict_ms: AtomicU64::new(DEFAULT_CRASH_VERDICT_MS) }
    }

    /// Sets the time for which new verdicts are valid.
    pub fn set_verdict_ms(&self, verdict_ms: u64) {
        self.verdict_ms.store(verdict_ms, Ordering::Relaxed);
    }

    /// Crash records that all hosts share.
    pub fn records(&self) -> &Arc<dyn CrashRecords> {
        &self.records
    }

    /// Returns the current verdict on a request.
    pub fn verdict(&self, fingerprint: &Fingerprint) -> CrashVerdict {
        let record = self.records.find(fingerprint);
        CrashDetector::verdict(record.as_deref(), unix_ms())
    }

    /// Records that a request was in flight at an upstream that crashed, and returns the new
    /// verdict.
    pub fn record_loss(&self, fingerprint: &Fingerprint, upstream: &Upstream) -> CrashVerdict {
        let loss = format!("{}@{}", upstream.record.upstream_id, upstream.incarnation);
        let detector = CrashDetector { verdict_ms: self.verdict_ms.load(Ordering::Relaxed) };
        let now_ms = unix_ms();
        let known = self.records.find(fingerprint);
        let record = detector.after_loss(known.as_deref(), fingerprint, &loss, now_ms);
        let verdict = CrashDetector::verdict(Some(&record), now_ms);
        if matches!(verdict, CrashVerdict::Convicted { .. }) {
            log::warn!(
                "rejecting a request that was in flight when upstreams {:?} crashed",
                record.upstream_ids
            );
        }
        self.records.publish(record);
        verdict
    }

    /// Records that a request was answered completely, which clears its crash record.
    pub fn record_completion(&self, fingerprint: &Fingerprint) {
        let Some(record) = self.records.find(fingerprint) else { return };
        if let Some(cleared) = CrashDetector::after_finish(Some(&record)) {
            self.records.publish(cleared);
        }
    }
}
