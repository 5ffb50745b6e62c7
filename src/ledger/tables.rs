use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;

use crate::ledger::command::{done, not_found, refused};
use crate::ledger::route_match::find_route;
use crate::ledger::{check_routes, Job, JobHead};
use crate::schema::ledger::{
    command, outcome, CancelJob, Command, Expire, FinishedItem, InstallRoutes, JobAccepted,
    NewItem, Outcome, RefusalReason, RoutesInstalled, SubmitJob,
};
use crate::schema::routes::{RouteKind, RouteTable};

/// Maximum number of items in a job. Callers send at most 200; a job is copied on its first change
/// after a snapshot.
const MAX_ITEMS_PER_JOB: usize = 10_000;

/// The complete state of the ledger.
#[derive(Debug, Default)]
pub(super) struct Tables {
    /// Time of the ledger: the highest timestamp of an applied command.
    pub(super) now_unix_ms: u64,
    pub(super) table: Arc<RouteTable>,
    /// Source text of the route table.
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
            Some(command::Command::CancelJob(cancel)) => self.cancel(&cancel),
            Some(command::Command::RetireHost(retire)) => {
                self.retired_hosts.insert(retire.host_id);
                done()
            }
            Some(command::Command::Expire(expire)) => self.expire(&expire),
            None => done(),
        }
    }

    /// Outcome of a command whose effect is applied already, so that it would change nothing.
    pub(super) fn outcome_of_repeat(&self, command: &Command) -> Option<Outcome> {
        match command.command.as_ref()? {
            command::Command::InstallRoutes(install) => {
                let version = install.table.as_ref()?.version;
                let is_applied = (1..=self.table.version).contains(&version);
                is_applied.then(|| routes_installed(self.table.version))
            }
            command::Command::SubmitJob(submit) => {
                let job = self.jobs.get(&submit.job_id)?;
                job.is_visible_to(&submit.team).then(|| job_accepted(job, true))
            }
            command::Command::CancelJob(cancel) => {
                let job = self.jobs.get(&cancel.job_id)?;
                (job.cancelled && job.is_visible_to(&cancel.team)).then(done)
            }
            command::Command::RetireHost(retire) => {
                self.retired_hosts.contains(&retire.host_id).then(done)
            }
            command::Command::FinishItems(_) | command::Command::Expire(_) => None,
        }
    }

    /// Installs a valid table with a higher version; acknowledges any other table without a change.
    fn install(&mut self, install: InstallRoutes) -> Outcome {
        let table = install.table.unwrap_or_default();
        // The proposing host has already checked the table. The check is repeated because that host
        // may run another software version with other rules.
        if table.version > self.table.version && check_routes(&table).is_ok() {
            self.table = Arc::new(table);
            self.document = install.document;
        }
        routes_installed(self.table.version)
    }

    fn submit(&mut self, submit: SubmitJob) -> Outcome {
        if let Some(job) = self.jobs.get(&submit.job_id) {
            return match job.is_visible_to(&submit.team) {
                true => job_accepted(job, true),
                false => refused(RefusalReason::Invalid, 0, 0),
            };
        }
        let route = find_route(&self.table.routes, &submit.host, &submit.path);
        let Some(route) = route.filter(|route| route.kind() == RouteKind::Batch) else {
            return refused(RefusalReason::NoRoute, 0, 0);
        };
        if !has_valid_items(&submit.items) {
            return refused(RefusalReason::Invalid, 0, 0);
        }
        let (name, limit) = (route.name.clone(), route.waiting_tokens_limit);
        let waiting = self.waiting_tokens(&name, &submit.team);
        let new: u64 = submit.items.iter().map(|item| item.tokens).sum();
        if limit > 0 && waiting.saturating_add(new) > limit {
            return refused(RefusalReason::Quota, waiting, limit);
        }
        let SubmitJob { job_id, host, path, items, team } = submit;
        let head = JobHead {
            job_id: job_id.as_str().into(),
            team,
            route: name,
            host,
            path,
            submitted_at_unix_ms: self.now_unix_ms,
        };
        let job = Job::new(head, items);
        let outcome = job_accepted(&job, false);
        self.jobs.insert(job_id, Arc::new(job));
        outcome
    }

    /// Tokens of the unfinished items of a team's jobs on a route.
    pub(super) fn waiting_tokens(&self, route: &str, team: &str) -> u64 {
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.head.route == route && job.head.team == team && !job.has_ended());
        jobs.map(|job| job.waiting_tokens()).sum()
    }

    fn finish(&mut self, item: FinishedItem) {
        let Some(job) = self.jobs.get_mut(&item.job_id) else { return };
        if !job.is_finished(item.item) {
            Arc::make_mut(job).finish(item);
        }
    }

    fn cancel(&mut self, cancel: &CancelJob) -> Outcome {
        let job = self.jobs.get_mut(&cancel.job_id);
        let Some(job) = job.filter(|job| job.is_visible_to(&cancel.team)) else {
            return not_found();
        };
        if !job.cancelled {
            Arc::make_mut(job).cancelled = true;
        }
        done()
    }

    /// Removes ended jobs that are older than `keep_ms`, and fails the unfinished items of jobs
    /// that are past the retention of their route or have no route.
    fn expire(&mut self, expire: &Expire) -> Outcome {
        let now = self.now_unix_ms;
        let is_old =
            |job: &Job| job.head.submitted_at_unix_ms.saturating_add(expire.keep_ms) <= now;
        self.jobs.retain(|_, job| !(job.has_ended() && is_old(job)));
        let table = self.table.clone();
        for job in self.jobs.values_mut().filter(|job| !job.has_ended()) {
            let route = find_route(&table.routes, &job.head.host, &job.head.path);
            let retention_ms = route.map_or(0, |route| u64::from(route.retention_ms));
            let is_over = job.head.submitted_at_unix_ms.saturating_add(retention_ms) <= now;
            if is_over && retention_ms > 0 || route.is_none() {
                fail_unfinished_items(Arc::make_mut(job));
            }
        }
        done()
    }
}

/// Adds a failed result for each unfinished item.
fn fail_unfinished_items(job: &mut Job) {
    let unfinished: Vec<u32> = job.unfinished().collect();
    for item in unfinished {
        let job_id = job.head.job_id.to_string();
        job.finish(FinishedItem { job_id, item, failed: true, text: Bytes::new() });
    }
}

fn routes_installed(version: u64) -> Outcome {
    let installed = RoutesInstalled { version };
    Outcome { outcome: Some(outcome::Outcome::RoutesInstalled(installed)) }
}

fn job_accepted(job: &Job, existed: bool) -> Outcome {
    let accepted = JobAccepted { items: job.items.len() as u32, existed };
    Outcome { outcome: Some(outcome::Outcome::JobAccepted(accepted)) }
}

fn has_valid_items(items: &[NewItem]) -> bool {
    let ids: BTreeSet<&str> = items.iter().map(|item| item.item_id.as_str()).collect();
    !items.is_empty() && items.len() <= MAX_ITEMS_PER_JOB && ids.len() == items.len()
}
