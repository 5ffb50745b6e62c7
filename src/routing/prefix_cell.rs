use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

use crate::routing::PrefixView;

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(1);

/// Cell with the latest published view of one upstream's prefix cache.
#[derive(Debug)]
pub struct PrefixCell {
    number: u32,
    view: ArcSwap<PrefixView>,
}

impl PrefixCell {
    /// Number of the upstream's incarnation in [`HolderIndex`](crate::routing::HolderIndex), unique
    /// in the process.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the latest view.
    pub fn load(&self) -> Guard<Arc<PrefixView>> {
        self.view.load()
    }

    /// Publishes a view.
    pub fn store(&self, view: PrefixView) {
        self.view.store(Arc::new(view));
    }
}

impl Default for PrefixCell {
    fn default() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        Self { number, view: ArcSwap::default() }
    }
}
