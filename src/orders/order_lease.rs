/// The lease under which one controller sends orders, and when it may send them. Times are
/// milliseconds of this host's steady clock.
///
/// An order takes effect at most `flight_ms` after it was sent. The holder stops that long before
/// its lease ends, and a new holder sends nothing to upstreams that ignore fencing numbers until a
/// whole lease and flight have passed, so that the clocks of two hosts need not agree.
#[derive(Clone, Debug)]
pub struct OrderLease {
    lease_ms: u64,
    flight_ms: u64,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    since_ms: u64,
    ends_ms: u64,
}

impl OrderLease {
    /// A lease that is not held.
    pub fn new(lease_ms: u64, flight_ms: u64) -> Self {
        Self { lease_ms, flight_ms, held: None }
    }

    /// Time for which the lease is asked.
    pub fn lease_ms(&self) -> u64 {
        self.lease_ms
    }

    /// Longest time from the sending of an order until it takes effect.
    pub fn flight_ms(&self) -> u64 {
        self.flight_ms
    }

    /// Notes the grant of a number. The lease counts from before it was asked for, the wait of a
    /// new holder from the answer.
    pub fn note_granted(&mut self, fence: u64, asked_ms: u64, now_ms: u64) {
        let known = self.held.filter(|held| held.fence == fence);
        // A late answer to an old question must not shorten the lease.
        let ends_ms = known.map_or(0, |held| held.ends_ms).max(asked_ms + self.lease_ms);
        let since_ms = known.map_or(now_ms, |held| held.since_ms);
        if self.held.is_none_or(|held| held.fence <= fence) {
            self.held = Some(Held { fence, since_ms, ends_ms });
        }
    }

    /// Notes that another controller holds the lease.
    pub fn note_lost(&mut self) {
        self.held = None;
    }

    /// True when the lease is due for a question, a third of its length after the last grant.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.held.is_none_or(|held| now_ms + self.lease_ms * 2 / 3 >= held.ends_ms)
    }

    /// Number for an order that is sent now, or `None` when none may be sent.
    pub fn fence(&self, now_ms: u64, upstream_checks: bool) -> Option<u64> {
        let held = self.held.filter(|held| now_ms + self.flight_ms < held.ends_ms)?;
        let waited = now_ms >= held.since_ms + self.lease_ms + self.flight_ms;
        (upstream_checks || waited).then_some(held.fence)
    }
}
