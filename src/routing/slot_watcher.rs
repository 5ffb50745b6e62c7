use std::fmt::Debug;
use std::sync::Arc;

use crate::routing::Upstream;

/// Learns of slots that may be used again.
pub trait SlotWatcher: Debug + Send + Sync {
    /// A request gave a slot back, or the limits of the host's use were raised.
    fn slot_freed(&self, upstream: &Arc<Upstream>);
}
