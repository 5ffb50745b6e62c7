use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::admission::{
    CrashDetector, CrashRecord, CrashRecords, CrashVerdict, Fingerprint, RecentRuns,
    RequestFingerprints,
};
use crate::control::unix_ms;

/// Time for which a verdict is valid unless the configuration sets another one.
pub const DEFAULT_CRASH_VERDICT_MS: u64 = 600_000;
/// A part that ran so shortly before a loss did not cause it. Covers the time in which hosts learn of
/// the loss, so that parts that many requests share are cleared at once.
const RECENT_RUN_MS: u32 = 1_000;

/// Pause of a batch item after the first loss under it, and the longest one.
const ITEM_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_ITEM_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Applies the [`CrashDetector`] to the requests of this host, using crash records that all hosts
/// share.
pub struct CrashWatch {
    records: Arc<dyn CrashRecords>,
    request_conviction_losses: usize,
    verdict_ms: AtomicU64,
    recent_runs: RecentRuns,
    opened: Instant,
}

impl CrashWatch {
    /// Creates a watch on the shared records, which convicts a whole request after this number of
    /// losses.
    pub fn open(records: Arc<dyn CrashRecords>, request_conviction_losses: usize) -> Self {
        let verdict_ms = AtomicU64::new(DEFAULT_CRASH_VERDICT_MS);
        Self {
            records,
            request_conviction_losses,
            verdict_ms,
            recent_runs: RecentRuns::default(),
            opened: Instant::now(),
        }
    }

    /// Sets the time for which new verdicts are valid.
    pub fn set_verdict_ms(&self, verdict_ms: u64) {
        self.verdict_ms.store(verdict_ms, Ordering::Relaxed);
    }

    fn detector(&self) -> CrashDetector {
        CrashDetector {
            verdict_ms: self.verdict_ms.load(Ordering::Relaxed),
            request_conviction_losses: self.request_conviction_losses,
        }
    }

    /// Returns the current verdict on a request.
    pub fn verdict(&self, request: &RequestFingerprints) -> CrashVerdict {
        self.detector().verdict(request, &*self.records, unix_ms())
    }

    /// Time until a batch item may run again after the losses recorded under it. Doubles with each
    /// loss; zero without one.
    pub fn retry_delay(&self, request: &RequestFingerprints) -> Duration {
        let Some(record) = self.records.find(&request.request) else { return Duration::ZERO };
        let Some(doublings) = record.uncleared_losses().checked_sub(1) else {
            return Duration::ZERO;
        };
        let delay =
            (ITEM_RETRY_DELAY * 2_u32.saturating_pow(doublings as u32)).min(MAX_ITEM_RETRY_DELAY);
        let verdict_ms = self.verdict_ms.load(Ordering::Relaxed);
        let lost_at_ms = record.expires_unix_ms.saturating_sub(verdict_ms);
        delay.saturating_sub(Duration::from_millis(unix_ms().saturating_sub(lost_at_ms)))
    }

    /// Records that a request was in flight at an upstream that crashed, and returns the new
    /// verdict.
    pub fn record_loss(
        &self,
        request: &RequestFingerprints,
        upstream_id: &str,
        incarnation: u64,
    ) -> CrashVerdict {
        let loss = format!("{upstream_id}@{incarnation}");
        let (detector, now_ms) = (self.detector(), unix_ms());
        for (fingerprint, is_part) in request.iter() {
            let known = self.records.find(fingerprint);
            let record = detector.after_loss(known.as_deref(), fingerprint, is_part, &loss, now_ms);
            self.records.publish(record.clone());
            if is_part {
                self.clear_if_recent(fingerprint, &record);
            }
        }
        let verdict = self.verdict(request);
        if let CrashVerdict::Convicted { losses, .. } = verdict {
            log::warn!(event = "crash_convicted", upstream = upstream_id, losses = losses;
                "rejecting a content that was in flight when upstreams crashed");
        }
        verdict
    }

    /// Records that an upstream has begun the answer to a request, which clears the request's parts.
    pub fn record_parts_run(&self, request: &RequestFingerprints) {
        for part in &request.parts {
            self.recent_runs.record(part, self.now_ms());
            self.clear(part);
        }
    }

    /// Records that a request ran without a crash, which clears its parts and itself.
    pub fn record_run(&self, request: &RequestFingerprints) {
        self.record_parts_run(request);
        self.clear(&request.request);
    }

    fn clear(&self, fingerprint: &Fingerprint) {
        let Some(record) = self.records.find(fingerprint) else { return };
        if let Some(cleared) = CrashDetector::after_run(Some(&record)) {
            self.records.publish(cleared);
        }
    }

    /// Clears the parts among records that other hosts changed, if they ran on this host shortly
    /// before.
    pub fn clear_recent(&self, changes: &[Arc<CrashRecord>]) {
        for record in changes.iter().filter(|record| record.is_part) {
            let Ok(fingerprint) = Fingerprint::try_from(&record.fingerprint[..]) else { continue };
            self.clear_if_recent(&fingerprint, record);
        }
    }

    fn clear_if_recent(&self, fingerprint: &Fingerprint, record: &CrashRecord) {
        if !self.recent_runs.is_recent(fingerprint, self.now_ms(), RECENT_RUN_MS) {
            return;
        }
        if let Some(cleared) = CrashDetector::after_run(Some(record)) {
            self.records.publish(cleared);
        }
    }

    fn now_ms(&self) -> u64 {
        self.opened.elapsed().as_millis() as u64
    }
}
