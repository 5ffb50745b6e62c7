use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::directory::UpstreamRecord;
use crate::gateway::Upstream;
use crate::schema::peer::UpstreamUse;
use crate::signal::Signal;

/// The upstreams that are there, replaced as a whole with each change.
#[derive(Debug, Default)]
pub struct GatewayFleet {
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    /// An online request went to a full upstream where batch items run.
    crowded: AtomicBool,
    pressure: Signal,
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

    /// An online request went to a full upstream where batch items run: they must give way now.
    pub fn note_crowded(&self) {
        if !self.crowded.swap(true, Ordering::AcqRel) {
            self.pressure.notify();
        }
    }

    /// Waits until batch items must give way.
    pub async fn crowded(&self) {
        loop {
            let pressure = self.pressure.listen();
            if self.crowded.swap(false, Ordering::AcqRel) {
                return;
            }
            pressure.await;
        }
    }

    /// Takes what the other hosts have at each upstream; with `complete` those that are left out have
    /// nothing.
    pub fn set_elsewhere(&self, uses: &[UpstreamUse], complete: bool) {
        let upstreams = self.upstreams.load();
        if complete {
            for upstream in upstreams.iter() {
                upstream.set_elsewhere(0, 0);
            }
        }
        for used in uses {
            let id = used.upstream_id.as_str();
            let place = upstreams.binary_search_by(|it| it.upstream_id.as_str().cmp(id));
            let Some(upstream) = place.ok().and_then(|place| upstreams.get(place)) else {
                continue;
            };
            upstream.set_elsewhere(used.online, used.batch);
        }
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
