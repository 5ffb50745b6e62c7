use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::routing::{EjectionPolicy, UpstreamFailure};

/// Health of an upstream: its consecutive failures, its ejection, and whether it is reserved for
/// the trial of a request that is suspected of crashing upstreams.
///
/// Times are in milliseconds since any fixed start.
#[derive(Debug, Default)]
pub struct Health {
    consecutive_failures: AtomicU32,
    failure_weight: AtomicU32,
    consecutive_ejections: AtomicU32,
    /// 0 while the upstream is not ejected.
    ejected_until_ms: AtomicU64,
    readmitted_ms: AtomicU64,
    reserved_for_trial: AtomicBool,
}

impl Health {
    /// Returns true while the upstream accepts ordinary requests.
    pub fn is_available(&self) -> bool {
        // Sequentially consistent with the slot counters: a trial and a concurrent request must
        // not both miss each other.
        !self.reserved_for_trial.load(Ordering::SeqCst) && !self.is_ejected()
    }

    /// Returns true while the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until_ms.load(Ordering::Acquire) != 0
    }

    /// Returns true while the upstream is reserved for the trial of a suspect request.
    pub fn is_reserved_for_trial(&self) -> bool {
        self.reserved_for_trial.load(Ordering::SeqCst)
    }

    /// Number of consecutive failures.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.load(Ordering::Relaxed)
    }

    /// Records a complete response, which resets the consecutive failures.
    pub fn record_success(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
        self.failure_weight.store(0, Ordering::Relaxed);
    }

    /// Records a failure and returns the total weight of the consecutive failures.
    pub fn record_failure(&self, failure: UpstreamFailure) -> u32 {
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
        self.failure_weight.fetch_add(failure.weight(), Ordering::Relaxed) + failure.weight()
    }

    /// Ejects the upstream with exponential backoff and returns the duration in milliseconds.
    pub fn eject(&self, now_ms: u64) -> u64 {
        let readmitted_ms = self.readmitted_ms.load(Ordering::Relaxed);
        if EjectionPolicy::resets_backoff(now_ms.saturating_sub(readmitted_ms)) {
            self.consecutive_ejections.store(0, Ordering::Relaxed);
        }
        let earlier = self.consecutive_ejections.fetch_add(1, Ordering::Relaxed);
        let ejection_ms = EjectionPolicy::ejection_ms(earlier);
        self.ejected_until_ms.store((now_ms + ejection_ms).max(1), Ordering::Release);
        ejection_ms
    }

    /// Returns true if the ejection time has elapsed and a probe must decide on readmission.
    pub fn is_due_for_probe(&self, now_ms: u64) -> bool {
        let until_ms = self.ejected_until_ms.load(Ordering::Acquire);
        until_ms != 0 && until_ms <= now_ms
    }

    /// Ends the ejection after a successful probe.
    pub fn readmit(&self, now_ms: u64) {
        self.record_success();
        self.readmitted_ms.store(now_ms, Ordering::Relaxed);
        self.ejected_until_ms.store(0, Ordering::Release);
    }

    /// Reserves the upstream for a trial. Returns false if it is already reserved.
    pub(super) fn begin_trial(&self) -> bool {
        !self.reserved_for_trial.swap(true, Ordering::SeqCst)
    }

    pub(super) fn end_trial(&self) {
        self.reserved_for_trial.store(false, Ordering::SeqCst);
    }
}
