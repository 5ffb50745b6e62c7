/// A sync call that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SyncCall {
    /// Position in the order in which the calls to the control host are sent.
    pub(super) number: u64,
    /// The control host may delay its reply until something changes.
    pub(super) waits: bool,
}

/// How a reply relates to the other calls to the same control host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyOrder {
    /// No later call was sent.
    Newest,
    /// A later call was sent; no reply to a later call was applied.
    Superseded,
    /// The reply to a later call was applied.
    Late,
}

/// The pending sync calls to one control host: a long poll, and a report that did not wait for its reply. There
/// are no others, so that calls don't pile up at a slow control host. A report that becomes due meanwhile is sent
/// after the reply to the one before, and the next long poll as well: otherwise each call would supersede the other
/// one, and no decision of the leader would hold.
#[derive(Debug, Default)]
pub(super) struct SyncCalls {
    last_number: u64,
    last_applied: u64,
    long_poll: Option<u64>,
    report: Option<u64>,
    is_report_due: bool,
}

impl SyncCalls {
    /// Has a report sent as soon as possible.
    pub(super) fn request_report(&mut self) {
        self.is_report_due = true;
    }

    /// The call to send now; `None` while the pending ones have to end first.
    pub(super) fn begin(&mut self) -> Option<SyncCall> {
        let waits = self.long_poll.is_none();
        if self.report.is_some() || !(waits || self.is_report_due) {
            return None;
        }
        // Every call carries a report.
        self.is_report_due = false;
        self.last_number += 1;
        let slot = if waits { &mut self.long_poll } else { &mut self.report };
        *slot = Some(self.last_number);
        Some(SyncCall { number: self.last_number, waits })
    }

    /// Records the end of a call without a reply.
    pub(super) fn end(&mut self, number: u64) {
        for slot in [&mut self.long_poll, &mut self.report] {
            slot.take_if(|pending| *pending == number);
        }
    }

    /// Records the reply to a call, which is applied next.
    pub(super) fn end_with_reply(&mut self, number: u64) -> ReplyOrder {
        self.end(number);
        if number < self.last_applied {
            return ReplyOrder::Late;
        }
        self.last_applied = number;
        match number == self.last_number {
            true => ReplyOrder::Newest,
            false => ReplyOrder::Superseded,
        }
    }
}
