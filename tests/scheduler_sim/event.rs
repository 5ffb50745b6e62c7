use std::sync::Arc;

use damaskhoist::directory::UpstreamRecord;
use damaskhoist::ledger::Job;
use damaskhoist::schema::ledger::FinishedItem;
use damaskhoist::schema::peer::{ControlSync, SlotPressure};

use super::end_call::EndCall;
use super::sync_call::SyncCall;

/// Something that happens at a point of model time.
#[derive(Clone, Debug)]
pub enum Event {
    Trouble,
    Tick {
        control: usize,
    },
    /// One of the two tasks of a control host that reconcile the scheduler reads the open jobs.
    ReadJobs {
        control: usize,
        task: usize,
    },
    /// The task has the lock of the scheduler.
    ApplyJobs {
        control: usize,
        task: usize,
        jobs: Vec<Arc<Job>>,
        version: usize,
    },
    LedgerSeen {
        control: usize,
        version: usize,
    },
    LeadershipSeen {
        control: usize,
        term: u64,
        leads: bool,
    },
    Poll {
        host: usize,
        incarnation: u64,
        control: usize,
    },
    SyncArrives(SyncCall),
    AnswerDue {
        call: SyncCall,
        leads: bool,
    },
    AnswerArrives {
        call: SyncCall,
        answer: Box<ControlSync>,
    },
    SyncTimeout {
        host: usize,
        incarnation: u64,
        control: usize,
        number: u64,
    },
    RunStep {
        host: usize,
        incarnation: u64,
        assignment_id: u64,
    },
    ReportEnd {
        host: usize,
        incarnation: u64,
        assignment_id: u64,
    },
    EndArrives(EndCall),
    Commit {
        call: EndCall,
        term: u64,
        item: FinishedItem,
    },
    EndReply {
        call: EndCall,
        is_done: bool,
    },
    EndTimeout {
        host: usize,
        incarnation: u64,
        assignment_id: u64,
        number: u64,
    },
    CheckLeader {
        host: usize,
    },
    PressureArrives {
        control: usize,
        pressure: SlotPressure,
    },
    UpstreamsSeen {
        viewer: usize,
        revision: u64,
        records: Vec<UpstreamRecord>,
    },
    RestartHost {
        host: usize,
        incarnation: u64,
    },
    RestartUpstream {
        upstream: usize,
        incarnation: u64,
    },
}
