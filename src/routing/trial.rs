use std::sync::atomic::{fence, Ordering};
use std::sync::Arc;

use crate::routing::{SlotPermit, Upstream, WorkClass};

/// An upstream that is kept for one request of this host, which may crash it. Dropping the trial
/// opens the upstream to other requests.
#[derive(Debug)]
pub struct Trial {
    upstream: Arc<Upstream>,
}

impl Trial {
    /// Keeps an upstream; `None` when it is kept for another request or is ejected.
    pub fn begin(upstream: &Arc<Upstream>) -> Option<Self> {
        if upstream.health.is_ejected() || !upstream.health.begin_trial() {
            return None;
        }
        Some(Self { upstream: upstream.clone() })
    }

    /// The upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// A slot, once no other request of this host is in flight at the upstream.
    pub fn acquire(&self, class: WorkClass) -> Option<SlotPermit> {
        // The other half of the order in `Upstream::acquire`.
        fence(Ordering::SeqCst);
        if self.upstream.in_use() > 0 {
            return None;
        }
        self.upstream.acquire_on_trial(class)
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.upstream.health.end_trial();
        self.upstream.offer_slots();
    }
}
