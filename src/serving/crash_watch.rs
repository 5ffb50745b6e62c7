use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::admission::{CrashDetector, CrashRecords, CrashVerdict, Fingerprint};
use crate::control::unix_ms;
use crate::routing::Upstream;

/// Time for which a verdict holds where the configuration says nothing.
pub const DEFAULT_CRASH_VERDICT_MS: u64 = 600_000;

/// Applies the [`CrashDetector`] to the requests of this host and to records that hosts share.
pub struct CrashWatch {
    records: Arc<dyn CrashRecords>,
    verdict_ms: AtomicU64,
}

impl CrashWatch {
    /// A watch over shared records.
    pub fn open(records: Arc<dyn CrashRecords>) -> Self {
        Self { records, verdict_ms: AtomicU64::new(DEFAULT_CRASH_VERDICT_MS) }
    }

    /// Sets the time for which new verdicts hold.
    pub fn set_verdict_ms(&self, verdict_ms: u64) {
        self.verdict_ms.store(verdict_ms, Ordering::Relaxed);
    }

    /// The shared records.
    pub fn records(&self) -> &Arc<dyn CrashRecords> {
        &self.records
    }

    /// How a request may run now.
    pub fn standing(&self, fingerprint: &Fingerprint) -> CrashVerdict {
        let record = self.records.find(fingerprint);
        CrashDetector::verdict(record.as_deref(), unix_ms())
    }

    /// Notes that a request was in flight at an upstream that died.
    pub fn note_loss(&self, fingerprint: &Fingerprint, upstream: &Upstream) -> CrashVerdict {
        let loss = format!("{}@{}", upstream.record.upstream_id, upstream.incarnation);
        let detector = CrashDetector { verdict_ms: self.verdict_ms.load(Ordering::Relaxed) };
        let now_ms = unix_ms();
        let known = self.records.find(fingerprint);
        let record = detector.after_loss(known.as_deref(), fingerprint, &loss, now_ms);
        let standing = CrashDetector::verdict(Some(&record), now_ms);
        if matches!(standing, CrashVerdict::Convicted { .. }) {
            log::warn!("a request is refused because upstreams {:?} died", record.upstream_ids);
        }
        self.records.publish(record);
        standing
    }

    /// Notes that a request was answered in full.
    pub fn note_finish(&self, fingerprint: &Fingerprint) {
        let Some(record) = self.records.find(fingerprint) else { return };
        if let Some(cleared) = CrashDetector::after_finish(Some(&record)) {
            self.records.publish(cleared);
        }
    }
}
