use std::collections::HashMap;

/// A report of an entry host that the scheduler of one term has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AppliedReport {
    term: u64,
    /// Position in the order in which the reports were applied.
    position: u64,
}

/// Which reports the scheduler of the current term has applied. The scheduler's decisions on a host are only
/// valid as the answer to the newest report of that host that the same term has applied: to another term, all
/// reported items are unknown, and the host has given up the calls before its newest one.
#[derive(Debug, Default)]
pub(super) struct ReportLog {
    /// Term of the scheduler; `None` on a follower.
    term: Option<u64>,
    last_position: u64,
    /// Position of the newest report of each entry host.
    newest: HashMap<String, u64>,
}

impl ReportLog {
    /// Starts the log of another term, or of a follower; false if the term is still the same.
    pub(super) fn begin(&mut self, term: Option<u64>) -> bool {
        if self.term == term {
            return false;
        }
        *self = Self { term, ..Self::default() };
        true
    }

    /// True if the scheduler is that of a leader.
    pub(super) fn has_term(&self) -> bool {
        self.term.is_some()
    }

    /// Records that the scheduler applies a report now; `None` on a follower, which applies none.
    pub(super) fn record(&mut self, host_id: &str) -> Option<AppliedReport> {
        let term = self.term?;
        self.last_position += 1;
        self.newest.insert(host_id.to_owned(), self.last_position);
        Some(AppliedReport { term, position: self.last_position })
    }

    /// True if the answer to this report may contain decisions of the scheduler.
    pub(super) fn may_decide(&self, host_id: &str, report: AppliedReport) -> bool {
        self.term == Some(report.term) && self.newest.get(host_id) == Some(&report.position)
    }
}
