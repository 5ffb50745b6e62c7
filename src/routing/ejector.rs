use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::routing::{EjectionPolicy, FleetSnapshot, Upstream, UpstreamFailure};

/// Default for the maximum share of a service's upstreams that may be ejected at the same time.
pub const DEFAULT_EJECTION_LIMIT_PERCENT: u32 = 30;

/// Ejects failing upstreams from load balancing, up to a limit per service.
#[derive(Debug)]
pub struct Ejector {
    started: Instant,
    limit_percent: AtomicU32,
    /// Held while the ejected upstreams are counted, so that concurrent ejections cannot exceed
    /// the limit.
    ejection_lock: Mutex<()>,
}

impl Ejector {
    /// Creates an ejector with the default limit.
    pub fn open() -> Self {
        let limit_percent = AtomicU32::new(DEFAULT_EJECTION_LIMIT_PERCENT);
        Self { started: Instant::now(), limit_percent, ejection_lock: Mutex::default() }
    }

    /// Sets the maximum share of a service's upstreams that may be ejected at the same time.
    pub fn set_limit_percent(&self, limit_percent: u32) {
        self.limit_percent.store(limit_percent, Ordering::Relaxed);
    }

    /// Returns the policy with the current limit.
    pub fn policy(&self) -> EjectionPolicy {
        EjectionPolicy { limit_percent: self.limit_percent.load(Ordering::Relaxed) }
    }

    /// Records a failure and ejects the upstream if the failure threshold is reached and the limit
    /// allows it. Returns true if the upstream was ejected by this call.
    pub fn record_failure(
        &self,
        fleet: &FleetSnapshot,
        upstream: &Upstream,
        failure: UpstreamFailure,
    ) -> bool {
        let weight = upstream.health.record_failure(failure);
        if !EjectionPolicy::reaches_threshold(weight) {
            return false;
        }
        let _guard = self.ejection_lock.lock().expect("lock is not poisoned");
        let upstreams = fleet.service_upstreams(&upstream.record.service);
        let ejected = upstreams.iter().filter(|other| other.health.is_ejected()).count();
        let should_eject = !upstream.health.is_ejected()
            && self.policy().should_eject(weight, ejected, upstreams.len());
        if should_eject {
            let ejection_ms = upstream.health.eject(self.now_ms());
            log::warn!("upstream {} ejected for {ejection_ms} ms", upstream.record.upstream_id);
        }
        should_eject
    }

    /// Ejected upstreams whose ejection time has elapsed, so that they must be probed.
    pub fn due_for_probe<'a>(
        &self,
        fleet: &'a FleetSnapshot,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + use<'a> {
        let now_ms = self.now_ms();
        fleet.upstreams().filter(move |upstream| upstream.health.is_due_for_probe(now_ms))
    }

    /// Records the result of a probe: readmits the upstream if it answered, otherwise extends its
    /// ejection.
    pub fn record_probe(&self, upstream: &Arc<Upstream>, answered: bool) {
        let upstream_id = &upstream.record.upstream_id;
        if answered {
            upstream.health.readmit(self.now_ms());
            upstream.offer_slots();
            log::info!("upstream {upstream_id} readmitted after a successful probe");
            return;
        }
        upstream.health.eject(self.now_ms());
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
