use damaskhoist::schema::peer::{ItemAssignment, RunningItem, StreamOrigin};

use super::end_report::EndReport;

/// A run of an item on an entry host, listed until its end was acknowledged.
#[derive(Debug)]
pub struct ItemRun {
    pub assignment: ItemAssignment,
    pub text: Vec<u8>,
    pub last_event_id: u64,
    pub origin: Option<StreamOrigin>,
    /// Incarnation of the upstream that took the request; `None` before.
    pub upstream_incarnation: Option<u64>,
    pub event_interval_ms: u64,
    pub last_event_at_ms: u64,
    /// The end of the run, once it is over.
    pub end: Option<EndReport>,
    pub attempts: u32,
    pub attempt_until_ms: u64,
    /// Number of the call that reports the end.
    pub call: u64,
}

impl ItemRun {
    pub fn of(assignment: ItemAssignment, event_interval_ms: u64, now_ms: u64) -> Self {
        let origin = assignment.origin.clone().filter(|_| assignment.last_event_id > 0);
        let has_events = origin.is_some();
        Self {
            text: if has_events { assignment.text.to_vec() } else { Vec::new() },
            last_event_id: if has_events { assignment.last_event_id } else { 0 },
            origin,
            upstream_incarnation: None,
            event_interval_ms,
            last_event_at_ms: now_ms,
            end: None,
            attempts: 0,
            attempt_until_ms: 0,
            call: 0,
            assignment,
        }
    }

    /// How the host lists the run in its reports.
    pub fn listed(&self) -> RunningItem {
        RunningItem {
            assignment_id: self.assignment.assignment_id,
            job_id: self.assignment.job_id.clone(),
            item: self.assignment.item,
            upstream_id: self.assignment.upstream_id.clone(),
        }
    }
}
