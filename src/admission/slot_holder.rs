use crate::admission::{LeaseTimes, SlotCounts, UseReport};

/// Holder's side of the slot lease for one incarnation of an upstream. Callers pass the time.
#[derive(Clone, Debug, Default)]
pub struct SlotHolder {
    /// Sequence and time of the last report until it is answered. Grants for earlier reports are
    /// invalid.
    pending_report: Option<(u64, u64)>,
    use_ends_ms: u64,
    hold_ends_ms: u64,
    online_recent: u32,
}

/// State of a lease, which decides what the holder may still do with its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// New requests may start.
    Active,
    /// The lease has ended: no new request may start, running requests may finish.
    Grace,
    /// The grace period has ended: requests that still run in leased slots must stop.
    Expired,
}

impl SlotHolder {
    /// Builds a report of the current use, which invalidates grants for earlier reports.
    pub fn build_report<'a>(
        &mut self,
        now_ms: u64,
        sequence: u64,
        (holder, incarnation): (&'a str, u64),
        counts: SlotCounts,
        online_wanted: u32,
    ) -> UseReport<'a> {
        self.pending_report = Some((sequence, now_ms));
        let online_in_use = u32::from(counts.online_in_use);
        // Decays by an eighth with each report, so that a peak falls to a few slots within about
        // two seconds.
        let decayed = self.online_recent - self.online_recent.div_ceil(8);
        self.online_recent = decayed.max(online_in_use + online_wanted);
        UseReport {
            holder,
            incarnation,
            sequence,
            held: counts.slots.max(counts.in_use()).into(),
            online_in_use,
            batch_in_use: counts.batch_in_use.into(),
            online_wanted,
            online_recent: self.online_recent,
        }
    }

    /// True while the grant for the last report may still arrive.
    pub fn is_awaiting_grant(&self, now_ms: u64, times: LeaseTimes) -> bool {
        self.pending_report.is_some_and(|(_, sent_ms)| now_ms < sent_ms + times.use_ms / 4)
    }

    /// Accepts the grant for the report `sequence`; `true` when its lease is to be applied.
    pub fn accept_grant(&mut self, now_ms: u64, times: LeaseTimes, sequence: u64) -> bool {
        // The lease starts when the report was sent, which is before the owner received it.
        let Some((pending_sequence, sent_ms)) = self.pending_report else { return false };
        if pending_sequence != sequence || sent_ms + times.use_ms <= now_ms {
            return false;
        }
        self.pending_report = None;
        self.use_ends_ms = sent_ms + times.use_ms;
        self.hold_ends_ms = sent_ms + times.hold_ms;
        true
    }

    /// State of the lease at `now_ms`.
    pub fn lease_state(&self, now_ms: u64) -> LeaseState {
        if now_ms >= self.hold_ends_ms {
            return LeaseState::Expired;
        }
        if now_ms >= self.use_ends_ms {
            return LeaseState::Grace;
        }
        LeaseState::Active
    }
}
