use std::fmt::Debug;
use std::sync::Arc;

use crate::routing::Upstream;

/// Callback for upstream slots that may have become available.
pub trait SlotWatcher: Debug + Send + Sync {
    /// Called after a slot of the upstream was released, its slot limits were raised, or it became
    /// available.
    fn slot_freed(&self, upstream: &Arc<Upstream>);
}
