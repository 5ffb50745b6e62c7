use std::sync::Arc;

use crate::routing::{RequestView, Upstream};

/// Load-balancing policy: selects one of the upstreams that can serve a request.
pub trait Balancer: Send + Sync {
    /// Returns the index of the selected candidate, or `None` if no candidate can accept the
    /// request.
    ///
    /// `candidates` must be ordered by region and upstream number, as
    /// [`crate::routing::FleetSnapshot`] returns them; `random` is a fresh random number.
    /// Implementations take no locks and allocate no memory.
    fn choose(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
    ) -> Option<usize>;

    /// Records that a request has acquired a slot of an upstream, so that a policy can predict the
    /// content of the upstream's prefix cache. Takes no locks.
    fn record_sent(&self, _request: &RequestView<'_>, _upstream: &Upstream) {}
}
