use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::directory::UpstreamRecord;
use crate::gateway::Upstream;
use crate::schema::peer::UpstreamUse;
use crate::signal::Signal;

/// The known upstreams, replaced as a whole with each change.
#[derive(Debug, Default)]
pub struct GatewayFleet {
    upstreams: ArcSwap<Vec<Arc<Upstream>>>,
    /// An online request was sent to a full upstream that runs batch items.
    contended: AtomicBool,
    contention_signal: Signal,
}

impl GatewayFleet {
    /// All upstreams, in the order of their ids.
    pub fn load(&self) -> Arc<Vec<Arc<Upstream>>> {
        self.upstreams.load_full()
    }

    /// The upstream with this id.
    pub fn get(&self, upstream_id: &str) -> Option<Arc<Upstream>> {
        let upstreams = self.upstreams.load();
        upstreams.iter().find(|upstream| upstream.upstream_id == upstream_id).cloned()
    }

    /// Notes that an online request was sent to a full upstream that runs batch items, and wakes the
    /// task in [`GatewayFleet::wait_for_contention`], which makes batch items release their slots.
    pub fn note_contention(&self) {
        if !self.contended.swap(true, Ordering::AcqRel) {
            self.contention_signal.notify();
        }
    }

    /// Waits until batch items must release slots to online requests.
    pub async fn wait_for_contention(&self) {
        loop {
            let contention = self.contention_signal.listen();
            if self.contended.swap(false, Ordering::AcqRel) {
                return;
            }
            contention.await;
        }
    }

    /// Sets the requests and batch items of the other hosts at each upstream. If `complete`, those of
    /// upstreams that `uses` leaves out are set to zero; otherwise they stay as they are.
    pub fn set_remote_use(&self, uses: &[UpstreamUse], complete: bool) {
        let upstreams = self.upstreams.load();
        if complete {
            for upstream in upstreams.iter() {
                upstream.set_remote_use(0, 0);
            }
        }
        for remote in uses {
            let id = remote.upstream_id.as_str();
            let index =
                upstreams.binary_search_by(|upstream| upstream.upstream_id.as_str().cmp(id));
            let Some(upstream) = index.ok().and_then(|index| upstreams.get(index)) else {
                continue;
            };
            upstream.set_remote_use(remote.online, remote.batch);
        }
    }

    /// Replaces the upstreams; those that stay in the same incarnation keep their request counts.
    pub fn replace(&self, records: &[UpstreamRecord]) {
        let before = self.upstreams.load();
        let known = |id: &str| {
            before.iter().find(|upstream| upstream.upstream_id == id).map(|upstream| &**upstream)
        };
        let next =
            records.iter().filter_map(|record| Upstream::new(record, known(&record.upstream_id)));
        let next: Vec<Arc<Upstream>> = next.map(Arc::new).collect();
        drop(before);
        self.upstreams.store(Arc::new(next));
    }
}
