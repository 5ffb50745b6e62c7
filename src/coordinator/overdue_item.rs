use std::sync::Arc;
use std::time::Duration;

use crate::coordinator::WaitReason;

/// Where the scheduler holds an unfinished item of an open job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemPlace {
    /// It waits for a slot.
    Waits(WaitReason),
    /// It is assigned.
    Runs {
        /// Id of the assignment.
        assignment_id: u64,
        /// Entry host that runs it.
        host_id: String,
        /// Upstream that it was assigned to.
        upstream_id: String,
        /// Time since the assignment.
        run_time: Duration,
    },
}

/// An item that has made no progress for longer than expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueItem {
    /// Job of the item.
    pub job_id: Arc<str>,
    /// Index of the item in its job.
    pub item: u32,
    /// Time since which it received no event.
    pub idle_time: Duration,
    /// Where it is.
    pub place: ItemPlace,
}
