/// Slots of an upstream, and how many of them online requests and batch items use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamShare {
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Number of online requests from all entry hosts.
    pub online: u32,
    /// Number of batch items that hold a slot.
    pub batch: u32,
}

/// Slots that stay free on each upstream when a batch item starts, so that the next online request
/// gets one at once. Running items are not stopped to keep this reserve free, only when online
/// requests need their slots: stopping items for the reserve interrupted twice as many runs.
const RESERVED_SLOTS: u32 = 1;

impl UpstreamShare {
    /// Number of batch items that may be started.
    pub fn free_batch_slots(&self) -> u32 {
        self.slots.saturating_sub(RESERVED_SLOTS).saturating_sub(self.online + self.batch)
    }

    /// Number of batch items that must release their slots.
    pub fn excess_batch_items(&self) -> u32 {
        let used = self.online + self.batch;
        used.saturating_sub(self.slots).min(self.batch)
    }
}
