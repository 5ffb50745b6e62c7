use std::sync::Arc;

use crate::routing::{Balancer, RequestView, Upstream};

/// Cost of an upstream in another zone of the region, in parts of a fully used upstream.
const OTHER_ZONE_COST: f32 = 0.1;
/// Cost of an upstream in another region, whose traffic is paid by volume.
const OTHER_REGION_COST: f32 = 4.0;
/// Cost of each attempt in a row that the upstream failed.
const FAILURE_COST: f32 = 0.5;

/// Scores upstreams by free slots, distance and recent failures, and takes the best one.
#[derive(Debug)]
pub struct WeightedScore {
    zone: String,
    region: String,
}

impl WeightedScore {
    /// A policy for a host in `zone` of `region`.
    pub fn new(zone: &str, region: &str) -> Self {
        Self { zone: zone.to_owned(), region: region.to_owned() }
    }

    fn cost(&self, upstream: &Upstream) -> f32 {
        let record = &upstream.record;
        let slots = upstream.slots();
        let used = f32::from(slots.in_use()) / f32::from(slots.slots.max(1));
        let distance = match (record.region == self.region, record.zone == self.zone) {
            (true, true) => 0.0,
            (true, false) => OTHER_ZONE_COST,
            (false, _) => OTHER_REGION_COST,
        };
        used + distance + FAILURE_COST * upstream.health.failures().min(8) as f32
    }
}

impl Balancer for WeightedScore {
    fn choose(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
    ) -> Option<usize> {
        let mut best: Option<(f32, usize)> = None;
        let start = random as usize % candidates.len().max(1);
        for step in 0..candidates.len() {
            let index = (start + step) % candidates.len();
            let upstream = &candidates[index];
            if upstream.free_slots(request.class) == 0 || !upstream.health.takes_requests() {
                continue;
            }
            if request.excluded.contains(&upstream.record.upstream_id) {
                continue;
            }
            let cost = self.cost(upstream);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }
}
