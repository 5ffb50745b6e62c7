/// Slots of an upstream, divided between online requests and batch items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamShare {
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Online requests of all entry hosts.
    pub online: u32,
    /// Batch items that hold a slot.
    pub batch: u32,
}

/// Slots that batch leaves free on each upstream when it starts an item, so that the next online request
/// finds one. Items give way only once online requests need their slots: keeping the reserve free by
/// stopping items cut twice as many runs.
const RESERVED_SLOTS: u32 = 1;

impl UpstreamShare {
    /// Batch items that may be started.
    pub fn batch_room(&self) -> u32 {
        self.slots.saturating_sub(RESERVED_SLOTS).saturating_sub(self.online + self.batch)
    }

    /// Batch items that have to give their slot back.
    pub fn batch_excess(&self) -> u32 {
        let used = self.online + self.batch;
        used.saturating_sub(self.slots).min(self.batch)
    }
}
