use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use crate::routing::{Balancer, RequestView, Upstream};

/// Selects upstreams in turn, regardless of their load. A baseline for benchmarks.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Balancer for RoundRobin {
    fn choose(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        _random: u64,
    ) -> Option<usize> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        for step in 0..candidates.len() {
            let index = (start + step) % candidates.len();
            let upstream = &candidates[index];
            if !upstream.health.is_available()
                || request.excluded.contains(&upstream.record.upstream_id)
            {
                continue;
            }
            return Some(index);
        }
        None
    }
}
