use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::routing::{EjectionPolicy, FleetSnapshot, Upstream, UpstreamFailure};

/// Share of a service's upstreams that may be ejected where the configuration says nothing.
pub const DEFAULT_EJECTION_LIMIT_PERCENT: u32 = 30;

/// Ejects upstreams that fail, never more of a service than the limit allows.
#[derive(Debug)]
pub struct Ejector {
    started: Instant,
    limit_percent: AtomicU32,
    /// Held while ejections are counted, so that two threads do not pass the limit together.
    ejecting: Mutex<()>,
}

impl Ejector {
    /// An ejector with the default limit.
    pub fn open() -> Self {
        let limit_percent = AtomicU32::new(DEFAULT_EJECTION_LIMIT_PERCENT);
        Self { started: Instant::now(), limit_percent, ejecting: Mutex::default() }
    }

    /// Sets the share of a service's upstreams that may be ejected at once.
    pub fn set_limit_percent(&self, limit_percent: u32) {
        self.limit_percent.store(limit_percent, Ordering::Relaxed);
    }

    /// The policy with the limit in force.
    pub fn policy(&self) -> EjectionPolicy {
        EjectionPolicy { limit_percent: self.limit_percent.load(Ordering::Relaxed) }
    }

    /// Notes a failure; ejects the upstream when it has failed too often. True for an ejection.
    pub fn note_failure(
        &self,
        fleet: &FleetSnapshot,
        upstream: &Upstream,
        failure: UpstreamFailure,
    ) -> bool {
        let weight = upstream.health.record_failure(failure);
        if !EjectionPolicy::is_failing(weight) {
            return false;
        }
        let _ejecting = self.ejecting.lock().expect("lock is not poisoned");
        let service = fleet.service_upstreams(&upstream.record.service);
        let ejected = service.iter().filter(|other| other.health.is_ejected()).count();
        let ejects =
            !upstream.health.is_ejected() && self.policy().ejects(weight, ejected, service.len());
        if ejects {
            let ejection_ms = upstream.health.eject(self.now_ms());
            log::warn!("upstream {} is ejected for {ejection_ms} ms", upstream.record.upstream_id);
        }
        ejects
    }

    /// Ejected upstreams whose time is over, to be probed.
    pub fn due<'a>(
        &self,
        fleet: &'a FleetSnapshot,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + use<'a> {
        let now_ms = self.now_ms();
        fleet.upstreams().filter(move |upstream| upstream.health.is_due(now_ms))
    }

    /// Lets an upstream come back after a probe that it answered, or ejects it for longer.
    pub fn note_probe(&self, upstream: &Arc<Upstream>, answered: bool) {
        let upstream_id = &upstream.record.upstream_id;
        if answered {
            upstream.health.readmit(self.now_ms());
            upstream.offer_slots();
            log::info!("upstream {upstream_id} is back");
            return;
        }
        upstream.health.eject(self.now_ms());
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
