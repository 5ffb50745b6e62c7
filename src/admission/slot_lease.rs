/// Durations of slot leases. All lease times are in milliseconds of a host's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time after a report in which new requests may use its grant.
    pub use_ms: u64,
    /// Time after a report in which running requests may still use its grant. The part after
    /// `use_ms` is the grace period.
    pub hold_ms: u64,
}

impl LeaseTimes {
    /// Durations for a lease length. Requests that run when their lease ends get a grace period of
    /// four more lengths, because stopping them at once would harm callers whenever an owner is
    /// lost.
    pub fn new(lease_ms: u64) -> Self {
        Self { use_ms: lease_ms, hold_ms: lease_ms * 5 }
    }
}

/// Report of a holder on its slots of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UseReport<'a> {
    /// Host that holds the slots.
    pub holder: &'a str,
    /// Increases with each start of the host.
    pub incarnation: u64,
    /// Increases with each report. Sending a report invalidates the grants for earlier ones.
    pub sequence: u64,
    /// Slots that the holder may use or is still using, whichever is larger.
    pub held: u32,
    /// Slots that online requests use.
    pub online_in_use: u32,
    /// Slots that batch items use.
    pub batch_in_use: u32,
    /// Online requests that wait for a slot.
    pub online_wanted: u32,
    /// Recent peak of the slots that online requests used or waited for, which decays over time.
    pub online_recent: u32,
}

/// Slots granted to a holder until its next report, at most for the lease length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotLease {
    /// Slots that the holder may use.
    pub slots: u32,
    /// Part of the slots that batch may use.
    pub batch_slots: u32,
    /// The holder must stop batch items beyond the lease at once, because online requests wait on
    /// another host.
    pub cut_batch: bool,
}
