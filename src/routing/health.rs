use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::routing::{EjectionPolicy, UpstreamFailure};

/// Whether an upstream may get requests: its failures in a row, its ejection, and whether a
/// request that may crash it runs there. Times count from any fixed start.
#[derive(Debug, Default)]
pub struct Health {
    failures: AtomicU32,
    weight: AtomicU32,
    ejections: AtomicU32,
    /// 0 while the upstream is not ejected.
    ejected_until_ms: AtomicU64,
    returned_ms: AtomicU64,
    on_trial: AtomicBool,
}

impl Health {
    /// True while the upstream gets ordinary requests.
    pub fn takes_requests(&self) -> bool {
        // Ordered against the slot counters: a trial and a request must not both see the other
        // as absent.
        !self.on_trial.load(Ordering::SeqCst) && !self.is_ejected()
    }

    /// True while the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until_ms.load(Ordering::Acquire) != 0
    }

    /// True while a crash suspect has the upstream for itself.
    pub fn is_on_trial(&self) -> bool {
        self.on_trial.load(Ordering::SeqCst)
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Notes an answer in full.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.weight.store(0, Ordering::Relaxed);
    }

    /// Notes a failure; gives the weight of all failures in a row.
    pub fn record_failure(&self, failure: UpstreamFailure) -> u32 {
        self.failures.fetch_add(1, Ordering::Relaxed);
        self.weight.fetch_add(failure.weight(), Ordering::Relaxed) + failure.weight()
    }

    /// Ejects the upstream for a time that grows with each ejection; gives that time.
    pub fn eject(&self, now_ms: u64) -> u64 {
        let returned_ms = self.returned_ms.load(Ordering::Relaxed);
        if EjectionPolicy::is_forgiven(now_ms.saturating_sub(returned_ms)) {
            self.ejections.store(0, Ordering::Relaxed);
        }
        let earlier = self.ejections.fetch_add(1, Ordering::Relaxed);
        let ejection_ms = EjectionPolicy::ejection_ms(earlier);
        self.ejected_until_ms.store((now_ms + ejection_ms).max(1), Ordering::Release);
        ejection_ms
    }

    /// True when the ejection is over and a probe decides what follows.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let until_ms = self.ejected_until_ms.load(Ordering::Acquire);
        until_ms != 0 && until_ms <= now_ms
    }

    /// Ends the ejection after a probe that the upstream answered.
    pub fn readmit(&self, now_ms: u64) {
        self.record_success();
        self.returned_ms.store(now_ms, Ordering::Relaxed);
        self.ejected_until_ms.store(0, Ordering::Release);
    }

    /// Keeps ordinary requests away; `false` when the upstream is on trial already.
    pub(super) fn begin_trial(&self) -> bool {
        !self.on_trial.swap(true, Ordering::SeqCst)
    }

    pub(super) fn end_trial(&self) {
        self.on_trial.store(false, Ordering::SeqCst);
    }
}
