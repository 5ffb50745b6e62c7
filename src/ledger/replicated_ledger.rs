use std::io;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use arc_swap::ArcSwap;
use bytes::Bytes;
use event_listener::EventListener;
use prost::Message;

use crate::ledger::command::done;
use crate::ledger::job_signals::{AffectedJobs, JobSignals};
use crate::ledger::snapshot::{self, SnapshotContent};
use crate::ledger::tables::Tables;
use crate::ledger::Job;
use crate::raft::StateMachine;
use crate::replication::ReplicatedMachine;
use crate::schema::ledger::{Command, FinishedItem, ItemResult, Outcome, ResultPage};
use crate::schema::routes::RouteTable;
use crate::signal::Signal;

/// Size of the result texts in bytes after which a page of results ends.
const RESULT_PAGE_BYTES: usize = 512 << 10;

/// The replicated state machine of a routed fleet.
#[derive(Default)]
pub struct Ledger {
    tables: RwLock<Tables>,
    /// The routes in force, readable without a lock.
    routes: ArcSwap<RouteTable>,
    changed: Arc<Signal>,
    job_signals: JobSignals,
}

impl Ledger {
    /// An empty ledger that notifies `changed` after each applied command.
    pub fn open(changed: Arc<Signal>) -> Self {
        Self { changed, ..Self::default() }
    }

    /// The routes in force; version 0 if no table is installed.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes.load_full()
    }

    /// The source document of the routes in force, as its author wrote it.
    pub fn document(&self) -> Option<Bytes> {
        let tables = self.tables();
        (tables.table.version > 0).then(|| tables.document.clone())
    }

    /// Creates a listener that is notified once the results of a job may have changed.
    pub fn listen_for_results(&self, job_id: &str) -> EventListener {
        self.job_signals.listen(job_id)
    }

    /// The job with this id.
    pub fn job(&self, job_id: &str) -> Option<Arc<Job>> {
        self.tables().jobs.get(job_id).cloned()
    }

    /// The job with this id, if callers of this team may read it.
    pub fn job_of_team(&self, job_id: &str, team: &str) -> Option<Arc<Job>> {
        self.job(job_id).filter(|job| job.is_visible_to(team))
    }

    /// A page of a job's results from position `after` on, about half a megabyte of text; `None`
    /// for a job that is unknown or not visible to the team.
    pub fn results(&self, job_id: &str, team: &str, after: u32) -> Option<ResultPage> {
        let job = self.job_of_team(job_id, team)?;
        let mut results = Vec::new();
        let mut bytes = 0;
        for result in job.results.iter().skip(after as usize) {
            if bytes > RESULT_PAGE_BYTES {
                break;
            }
            bytes += result.text.len();
            results.push(item_result(&job, result));
        }
        Some(ResultPage { total: job.items.len() as u32, results })
    }

    /// Outcome of a command that repeats one which is applied, and therefore committed; it needs no commit of its own.
    pub fn outcome_of_repeat(&self, command: &Command) -> Option<Outcome> {
        self.tables().outcome_of_repeat(command)
    }

    /// Jobs that have items left to run, oldest first.
    pub fn open_jobs(&self) -> Vec<Arc<Job>> {
        let tables = self.tables();
        let open = tables.jobs.values().filter(|job| !job.has_ended());
        let mut open: Vec<_> = open.cloned().collect();
        open.sort_by(|a, b| {
            let (a, b) = (&a.head, &b.head);
            (a.submitted_at_unix_ms, &a.job_id).cmp(&(b.submitted_at_unix_ms, &b.job_id))
        });
        open
    }

    /// True if there are jobs, which an `Expire` command may change.
    pub fn has_jobs(&self) -> bool {
        !self.tables().jobs.is_empty()
    }

    fn tables(&self) -> RwLockReadGuard<'_, Tables> {
        self.tables.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StateMachine for Ledger {
    fn apply(&self, index: u64, command: &[u8]) -> Bytes {
        let outcome = match Command::decode(command) {
            Ok(command) => {
                let affected = AffectedJobs::of(&command);
                let mut tables = self.tables.write().unwrap_or_else(PoisonError::into_inner);
                let outcome = tables.apply(command);
                if tables.table.version != self.routes.load().version {
                    self.routes.store(tables.table.clone());
                }
                drop(tables);
                self.job_signals.notify(&affected);
                outcome
            }
            Err(error) => {
                log::error!(
                    "log entry {index} can't be decoded as a ledger command and is skipped: {error}"
                );
                done()
            }
        };
        self.changed.notify();
        outcome.encode_to_vec().into()
    }

    fn save(&self, target: &mut dyn io::Write) -> io::Result<()> {
        let content = SnapshotContent::new(&self.tables());
        content.write(target)
    }

    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()> {
        let tables = snapshot::read(source)?;
        let routes = tables.table.clone();
        *self.tables.write().unwrap_or_else(PoisonError::into_inner) = tables;
        // Who reads the version here finds its document in the tables.
        self.routes.store(routes);
        self.job_signals.notify(&AffectedJobs::All);
        self.changed.notify();
        Ok(())
    }
}

impl ReplicatedMachine for Ledger {
    fn is_retired(&self, host_id: &str) -> bool {
        self.tables().retired_hosts.contains(host_id)
    }
}

fn item_result(job: &Job, result: &FinishedItem) -> ItemResult {
    let item = &job.items[result.item as usize];
    ItemResult { item_id: item.item_id.clone(), failed: result.failed, text: result.text.clone() }
}
