/// A controller's view of the lease under which it sends orders. Times are milliseconds of this
/// host's monotonic clock.
///
/// An order takes effect at most `flight_ms` after it was sent. The holder stops sending that long
/// before its lease ends. A new holder sends nothing to upstreams that ignore fencing numbers until
/// a full lease length plus `flight_ms` has passed, so the clocks of two hosts need not agree.
#[derive(Clone, Debug)]
pub struct OrderLease {
    lease_ms: u64,
    flight_ms: u64,
    held: Option<HeldLease>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: u64,
    acquired_ms: u64,
    ends_ms: u64,
}

impl OrderLease {
    /// Creates a lease that is not held.
    pub fn new(lease_ms: u64, flight_ms: u64) -> Self {
        Self { lease_ms, flight_ms, held: None }
    }

    /// Length of the lease in milliseconds.
    pub fn lease_ms(&self) -> u64 {
        self.lease_ms
    }

    /// Longest time in milliseconds from sending an order until it takes effect.
    pub fn flight_ms(&self) -> u64 {
        self.flight_ms
    }

    /// Records the grant of a fencing number. The lease counts from when it was requested, the wait
    /// of a new holder from when the grant arrived.
    pub fn record_grant(&mut self, fence: u64, requested_ms: u64, now_ms: u64) {
        let previous = self.held.filter(|held| held.fence == fence);
        // A late reply to an earlier request must not shorten the lease.
        let ends_ms = previous.map_or(0, |held| held.ends_ms).max(requested_ms + self.lease_ms);
        let acquired_ms = previous.map_or(now_ms, |held| held.acquired_ms);
        if self.held.is_none_or(|held| held.fence <= fence) {
            self.held = Some(HeldLease { fence, acquired_ms, ends_ms });
        }
    }

    /// Records that another controller holds the lease.
    pub fn record_loss(&mut self) {
        self.held = None;
    }

    /// True when the lease is not held, or when a third of its length has passed since it was last
    /// requested.
    pub fn needs_renewal(&self, now_ms: u64) -> bool {
        self.held.is_none_or(|held| now_ms + self.lease_ms * 2 / 3 >= held.ends_ms)
    }

    /// Fencing number for an order that is sent now, or `None` when none may be sent.
    /// `checks_fencing` says that the upstream rejects orders with an older number.
    pub fn fence(&self, now_ms: u64, checks_fencing: bool) -> Option<u64> {
        let held = self.held.filter(|held| now_ms + self.flight_ms < held.ends_ms)?;
        let is_takeover_safe = now_ms >= held.acquired_ms + self.lease_ms + self.flight_ms;
        (checks_fencing || is_takeover_safe).then_some(held.fence)
    }
}
