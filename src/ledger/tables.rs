use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;

use crate::ledger::command::{done, not_found, refused};
use crate::ledger::fit::route_for;
use crate::ledger::{check_routes, Job};
use crate::schema::ledger::{
    command, outcome, Command, Expire, FinishedItem, InstallRoutes, JobAccepted, NewItem, Outcome,
    RefusalReason, RoutesInstalled, SubmitJob,
};
use crate::schema::routes::{RouteKind, RouteTable};

/// Most items of one job; callers send at most 200, and a job is copied on its first change after a
/// snapshot.
const ITEMS_LIMIT: usize = 10_000;

/// All tables of the ledger.
#[derive(Debug, Default)]
pub(super) struct Tables {
    pub(super) now_unix_ms: u64,
    pub(super) table: Arc<RouteTable>,
    pub(super) document: Bytes,
    pub(super) jobs: BTreeMap<String, Arc<Job>>,
    pub(super) retired_hosts: BTreeSet<String>,
}

impl Tables {
    pub(super) fn apply(&mut self, command: Command) -> Outcome {
        self.now_unix_ms = self.now_unix_ms.max(command.proposed_at_unix_ms);
        match command.command {
            Some(command::Command::InstallRoutes(install)) => self.install(install),
            Some(command::Command::SubmitJob(submit)) => self.submit(submit),
            Some(command::Command::FinishItems(finish)) => {
                for item in finish.items {
                    self.finish(item);
                }
                done()
            }
            Some(command::Command::CancelJob(cancel)) => self.cancel(&cancel.job_id),
            Some(command::Command::RetireHost(retire)) => {
                self.retired_hosts.insert(retire.host_id);
                done()
            }
            Some(command::Command::Expire(expire)) => self.expire(&expire),
            None => done(),
        }
    }

    /// Installs a table with a higher version; another one is acknowledged and changes nothing.
    fn install(&mut self, install: InstallRoutes) -> Outcome {
        let table = install.table.unwrap_or_default();
        // The host that proposed the table has checked it; the check is repeated so that no version
        // of a proposer can bring in what this version refuses.
        if table.version > self.table.version && check_routes(&table).is_ok() {
            self.table = Arc::new(table);
            self.document = install.document;
        }
        let installed = RoutesInstalled { version: self.table.version };
        Outcome { outcome: Some(outcome::Outcome::RoutesInstalled(installed)) }
    }

    fn submit(&mut self, submit: SubmitJob) -> Outcome {
        if let Some(job) = self.jobs.get(&submit.job_id) {
            return accepted(job, true);
        }
        let route = route_for(&self.table.routes, &submit.host, &submit.path);
        let Some(route) = route.filter(|route| route.kind() == RouteKind::Batch) else {
            return refused(RefusalReason::NoRoute, 0, 0);
        };
        if !are_valid(&submit.items) {
            return refused(RefusalReason::Invalid, 0, 0);
        }
        let (name, limit) = (route.name.clone(), route.waiting_tokens_limit);
        let waiting = self.waiting_tokens(&name);
        let new: u64 = submit.items.iter().map(|item| item.tokens).sum();
        if limit > 0 && waiting.saturating_add(new) > limit {
            return refused(RefusalReason::Quota, waiting, limit);
        }
        let SubmitJob { job_id, host, path, items } = submit;
        let job = Job::new(job_id.clone(), name, host, path, items, self.now_unix_ms);
        let outcome = accepted(&job, false);
        self.jobs.insert(job_id, Arc::new(job));
        outcome
    }

    /// Tokens of unfinished items on a route.
    pub(super) fn waiting_tokens(&self, route: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.route == route && !job.has_ended());
        jobs.map(|job| job.waiting_tokens()).sum()
    }

    fn finish(&mut self, item: FinishedItem) {
        let Some(job) = self.jobs.get_mut(&item.job_id) else { return };
        if !job.is_finished(item.item) {
            Arc::make_mut(job).finish(item);
        }
    }

    fn cancel(&mut self, job_id: &str) -> Outcome {
        let Some(job) = self.jobs.get_mut(job_id) else { return not_found() };
        if !job.cancelled {
            Arc::make_mut(job).cancelled = true;
        }
        done()
    }

    /// Fails items that are past their retention or have no route, and removes old jobs.
    fn expire(&mut self, expire: &Expire) -> Outcome {
        let now = self.now_unix_ms;
        let is_old = |job: &Job| job.submitted_at_unix_ms.saturating_add(expire.keep_ms) <= now;
        self.jobs.retain(|_, job| !(job.has_ended() && is_old(job)));
        let table = self.table.clone();
        for job in self.jobs.values_mut().filter(|job| !job.has_ended()) {
            let route = route_for(&table.routes, &job.host, &job.path);
            let retention_ms = route.map_or(0, |route| u64::from(route.retention_ms));
            let is_over = job.submitted_at_unix_ms.saturating_add(retention_ms) <= now;
            if is_over && retention_ms > 0 || route.is_none() {
                give_up(Arc::make_mut(job));
            }
        }
        done()
    }
}

fn give_up(job: &mut Job) {
    let unfinished: Vec<u32> = job.unfinished().collect();
    for item in unfinished {
        let job_id = job.job_id.clone();
        job.finish(FinishedItem { job_id, item, failed: true, text: Bytes::new() });
    }
}

fn accepted(job: &Job, existed: bool) -> Outcome {
    let accepted = JobAccepted { items: job.items.len() as u32, existed };
    Outcome { outcome: Some(outcome::Outcome::JobAccepted(accepted)) }
}

fn are_valid(items: &[NewItem]) -> bool {
    let ids: BTreeSet<&str> = items.iter().map(|item| item.item_id.as_str()).collect();
    !items.is_empty() && items.len() <= ITEMS_LIMIT && ids.len() == items.len()
}
