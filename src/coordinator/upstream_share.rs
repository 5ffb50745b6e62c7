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

/// Slots that batch leaves free on each upstream: online requests that arrive before the next report
/// then find one. At a fivefold burst an upstream gets about one request in two report intervals.
const RESERVED_SLOTS: u32 = 2;
/// Batch gives slots back once fewer than this stay free. Below the reserve, so that batch items are
/// not cut and started again around the same load.
const YIELD_BELOW_FREE: u32 = 1;

impl UpstreamShare {
    /// Batch items that may be started.
    pub fn batch_room(&self) -> u32 {
        self.slots.saturating_sub(RESERVED_SLOTS).saturating_sub(self.online + self.batch)
    }

    /// Batch items that have to give their slot back.
    pub fn batch_excess(&self) -> u32 {
        let used = self.online + self.batch;
        (used + YIELD_BELOW_FREE).saturating_sub(self.slots).min(self.batch)
    }
}
