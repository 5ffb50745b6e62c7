use crate::admission::{LeaseTimes, SlotCounts, UseReport};

/// The side of a slot lease that spends it, for one incarnation of an upstream. Holds no clock.
#[derive(Clone, Debug, Default)]
pub struct SlotHolder {
    /// Sequence and time of the last report; grants for earlier ones are void.
    asked: Option<(u64, u64)>,
    use_ends_ms: u64,
    hold_ends_ms: u64,
    online_recent: u32,
}

/// What a lapsed lease asks of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// The lease holds.
    None,
    /// No new request may start.
    Use,
    /// What still runs in lent slots must stop.
    Hold,
}

impl SlotHolder {
    /// Makes a report of the slots' use now.
    pub fn report<'a>(
        &mut self,
        now_ms: u64,
        sequence: u64,
        (holder, incarnation): (&'a str, u64),
        counts: SlotCounts,
        online_wanted: u32,
    ) -> UseReport<'a> {
        self.asked = Some((sequence, now_ms));
        let online_in_use = u32::from(counts.online_in_use);
        // Falls by an eighth with each report, about two seconds of reports back to a few slots.
        let faded = self.online_recent - self.online_recent.div_ceil(8);
        self.online_recent = faded.max(online_in_use + online_wanted);
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

    /// True while an answer to the last report may still come.
    pub fn is_asking(&self, now_ms: u64, times: LeaseTimes) -> bool {
        self.asked.is_some_and(|(_, sent_ms)| now_ms < sent_ms + times.use_ms / 4)
    }

    /// Takes the answer to the report `sequence`; `true` when its lease is to be put in force.
    pub fn grant(&mut self, now_ms: u64, times: LeaseTimes, sequence: u64) -> bool {
        // A lease counts from the report, which the owner got later.
        let Some((asked, sent_ms)) = self.asked else { return false };
        if asked != sequence || sent_ms + times.use_ms <= now_ms {
            return false;
        }
        self.asked = None;
        self.use_ends_ms = sent_ms + times.use_ms;
        self.hold_ends_ms = sent_ms + times.hold_ms;
        true
    }

    /// Whether the lease has lapsed.
    pub fn lapse(&self, now_ms: u64) -> Lapse {
        if now_ms >= self.hold_ends_ms {
            return Lapse::Hold;
        }
        if now_ms >= self.use_ends_ms {
            return Lapse::Use;
        }
        Lapse::None
    }
}
