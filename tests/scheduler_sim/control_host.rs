use std::collections::BTreeSet;

use damaskhoist::coordinator::Scheduler;
use damaskhoist::directory::UpstreamRecord;

/// A control host with its scheduler.
#[derive(Debug, Default)]
pub struct ControlHost {
    pub scheduler: Scheduler,
    /// What the replica says, which may be late.
    pub leads: bool,
    /// Term that `leads` speaks of.
    pub term: u64,
    /// The scheduler has a term.
    pub is_scheduling: bool,
    /// Version of the ledger that the replica has applied.
    pub ledger_version: usize,
    /// Version of the list of open jobs that was applied last.
    pub applied_version: usize,
    /// Jobs of the list that was applied last.
    pub queued: BTreeSet<String>,
    pub upstreams: Vec<UpstreamRecord>,
    pub upstreams_revision: u64,
    pub overloaded_until_ms: u64,
    pub ticks: u64,
    /// Whether each task that reconciles waits for the lock.
    pub task_waits: [bool; 2],
}
