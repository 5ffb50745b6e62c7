/// Lengths of slot leases. All times of leases are in milliseconds on a host's steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time after a report in which its grant may be spent on new requests.
    pub use_ms: u64,
    /// Time after a report in which requests may still run in the lent slots.
    pub hold_ms: u64,
}

impl LeaseTimes {
    /// Times for a lease length. Requests that run when their lease lapses get four more lengths,
    /// because cutting them at once would harm callers whenever an owner is lost.
    pub fn new(lease_ms: u64) -> Self {
        Self { use_ms: lease_ms, hold_ms: lease_ms * 5 }
    }
}

/// What a holder says about its slots of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UseReport<'a> {
    /// Host that holds the slots.
    pub holder: &'a str,
    /// Grows with each start of the host.
    pub incarnation: u64,
    /// Grows with each report; grants for earlier reports are void once it is sent.
    pub sequence: u64,
    /// Slots that the holder may use or still uses.
    pub held: u32,
    /// Slots that online requests use.
    pub online_in_use: u32,
    /// Slots that batch items use.
    pub batch_in_use: u32,
    /// Online requests that wait for a slot.
    pub online_wanted: u32,
    /// Most slots that online requests used of late.
    pub online_recent: u32,
}

/// Slots lent to a holder until its next report, for the time to live at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotLease {
    /// Slots that the holder may use.
    pub slots: u32,
    /// Part of the slots that batch may use.
    pub batch_slots: u32,
    /// Batch above the lease is cut at once, because online requests wait elsewhere.
    pub cut_batch: bool,
}
