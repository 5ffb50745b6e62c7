use std::sync::atomic::{fence, Ordering};
use std::sync::Arc;

use crate::routing::{SlotPermit, Upstream, WorkClass};

/// Exclusive reservation of an upstream for one request of this host that is suspected of crashing
/// upstreams. Dropping the trial makes the upstream available to other requests again.
#[derive(Debug)]
pub struct Trial {
    upstream: Arc<Upstream>,
}

impl Trial {
    /// Reserves an upstream. Returns `None` if it is ejected or reserved for another trial.
    pub fn begin(upstream: &Arc<Upstream>) -> Option<Self> {
        if upstream.health.is_ejected() || !upstream.health.begin_trial() {
            return None;
        }
        Some(Self { upstream: upstream.clone() })
    }

    /// The reserved upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Acquires a slot, or returns `None` while another request of this host is in flight at the
    /// upstream or no slot is free.
    pub fn acquire(&self, class: WorkClass) -> Option<SlotPermit> {
        // Pairs with the fence in `Upstream::acquire`.
        fence(Ordering::SeqCst);
        if self.upstream.in_use() > 0 {
            return None;
        }
        self.upstream.acquire_for_trial(class)
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.upstream.health.end_trial();
        self.upstream.offer_slots();
    }
}
