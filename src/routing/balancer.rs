use std::sync::Arc;

use crate::routing::{RequestView, Upstream};

/// Policy that picks one of the upstreams that can serve a request.
pub trait Balancer: Send + Sync {
    /// Index of the chosen candidate, or `None` when none has a free slot.
    ///
    /// `candidates` are ordered by region and number, as [`crate::routing::FleetSnapshot`] gives them;
    /// `random` is a fresh random number. Takes no lock and allocates nothing.
    fn choose(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
    ) -> Option<usize>;

    /// Notes that a request was given a slot of an upstream, from which a policy may learn what
    /// the upstream will have cached. Takes no lock.
    fn note_sent(&self, _request: &RequestView<'_>, _upstream: &Upstream) {}
}
