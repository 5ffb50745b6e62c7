use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::directory::UpstreamRecord;
use crate::gateway::Upstream;

/// The upstreams that are there, replaced as a whole with each change.
#[derive(Debug, Default)]
pub struct GatewayFleet {
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
}

impl GatewayFleet {
    /// All upstreams, in the order of their ids.
    pub fn load(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// The upstream with this id.
    pub fn get(&self, upstream_id: &str) -> Option<Arc<Upstream>> {
        let upstreams = self.upstreams.load();
        upstreams.iter().find(|it| it.upstream_id == upstream_id).cloned()
    }

    /// Replaces the fleet; upstreams that stay keep their counts.
    pub fn replace(&self, records: &[UpstreamRecord]) {
        let before = self.upstreams.load();
        let known = |id: &str| before.iter().find(|it| it.upstream_id == id).map(|it| &**it);
        let next = records.iter().filter_map(|it| Upstream::new(it, known(&it.upstream_id)));
        let next: Vec<Arc<Upstream>> = next.map(Arc::new).collect();
        drop(before);
        self.upstreams.store(Arc::new(next));
    }
}
