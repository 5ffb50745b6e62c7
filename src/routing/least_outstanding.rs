use std::sync::Arc;

use crate::routing::{Balancer, RequestView, Upstream};

/// Selects the upstream with the fewest requests of this host in flight. A baseline for benchmarks.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Balancer for LeastOutstanding {
    fn choose(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
    ) -> Option<usize> {
        let mut best: Option<(u32, usize)> = None;
        let start = random as usize % candidates.len().max(1);
        for step in 0..candidates.len() {
            let index = (start + step) % candidates.len();
            let upstream = &candidates[index];
            if !upstream.health.is_available()
                || request.excluded.contains(&upstream.record.upstream_id)
            {
                continue;
            }
            let in_use = upstream.in_use();
            if best.is_none_or(|(fewest, _)| in_use < fewest) {
                best = Some((in_use, index));
            }
        }
        best.map(|(_, index)| index)
    }
}
