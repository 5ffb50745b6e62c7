use std::sync::Arc;

use crate::schema::state as wire;
use crate::schema::state::snapshot_record::Record;
use crate::state::bodies::Bodies;
use crate::state::claims::Claims;
use crate::state::command::Command;
use crate::state::command_results::{CommandResults, KeptResult};
use crate::state::configuration_table::ConfigurationTable;
use crate::state::fences::Fences;
use crate::state::files::Files;
use crate::state::frozen_tables::FrozenTables;
use crate::state::jobs::Jobs;
use crate::state::outcome::Outcome;
use crate::state::proposed_command::ProposedCommand;
use crate::state::refusal::Refusal;
use crate::state::snapshot_records;
use crate::state::state_clock::StateClock;
use crate::state::BodyRef;

/// Version of the snapshot format.
pub(crate) const SNAPSHOT_FORMAT: u32 = 1;
/// Upper bound on the claims and on the files that one `Expire` command removes.
const EXPIRE_BATCH_RECORDS: usize = 1_000;
/// One `Expire` command removes jobs until it has removed this many items. Jobs are removed whole,
/// so the last one may exceed the bound.
const EXPIRE_BATCH_ITEMS: usize = 100_000;

/// All tables of the state machine.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    pub(crate) clock: StateClock,
    pub(crate) configuration: ConfigurationTable,
    pub(crate) results: CommandResults,
    pub(crate) files: Files,
    pub(crate) jobs: Jobs,
    pub(crate) claims: Claims,
    pub(crate) fences: Fences,
}

impl Tables {
    /// Applies a command. A command that was applied before under the same id is not applied again
    /// and gets its first outcome.
    pub(crate) fn apply(&mut self, proposed: ProposedCommand, bodies: &Bodies) -> Arc<Outcome> {
        let now = self.clock.advance(proposed.proposed_at_unix_ms);
        self.results.expire(now);
        self.jobs.expire_leases(now, self.configuration.result_retention_ms(), bodies);
        if let Some(outcome) = self.results.find(&proposed) {
            return outcome;
        }
        let ProposedCommand { command_id, checksum, command, .. } = proposed;
        let result = command.and_then(|command| self.execute(&command_id, command, now, bodies));
        let outcome = Arc::new(Outcome::from(result));
        if !command_id.is_empty() {
            let kept = KeptResult { checksum, outcome: outcome.clone() };
            self.results.keep(&command_id, kept, now);
        }
        outcome
    }

    fn execute(
        &mut self,
        command_id: &str,
        command: Command,
        now: u64,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let answer_retention_ms = self.configuration.answer_retention_ms();
        let result_retention_ms = self.configuration.result_retention_ms();
        let used_bytes = bodies.live_bytes().saturating_add(command.added_body_bytes());
        let storage_full = used_bytes > self.configuration.body_limit_bytes();
        let Self { configuration, files, jobs, claims, fences, .. } = self;
        match command {
            Command::ChangeConfiguration { base_version, edits } => {
                configuration.change(command_id, base_version, edits)
            }
            Command::AppendFile(_) if storage_full => {
                Err(Refusal::storage_full("storage is full; the lines were not appended"))
            }
            Command::AppendFile(chunk) => {
                files.append(&chunk, now + result_retention_ms, now, bodies)
            }
            Command::DeleteFile { customer, file_id } => files.delete(&customer, &file_id, bodies),
            Command::CreateJob(new) => match jobs.find_existing(&new)? {
                Some(outcome) => Ok(outcome),
                None if storage_full => {
                    Err(Refusal::storage_full("storage is full; the job was not created"))
                }
                None => jobs.create(new, now, files, configuration),
            },
            Command::CancelJob { customer, job_id } => {
                jobs.cancel(&customer, &job_id, now, result_retention_ms, bodies)
            }
            Command::DeleteJob { customer, job_id } => {
                jobs.delete(&customer, &job_id, now, result_retention_ms, files, bodies)
            }
            Command::LeaseItems { holder, max_items, lease_ms, services } => Ok(jobs.lease_items(
                &holder,
                max_items,
                now + u64::from(lease_ms),
                &services,
                configuration,
            )),
            Command::RenewItems { holder, lease_ms, items } => {
                Ok(jobs.renew_items(&holder, now + u64::from(lease_ms), items))
            }
            Command::FinishItems { holder, items } => {
                Ok(jobs.finish_items(&holder, &items, now, result_retention_ms, bodies))
            }
            Command::TakeClaim(new) => claims.acquire(new, now, answer_retention_ms, storage_full),
            Command::RecordAnswer(new) => {
                claims.record_answer(new, now, answer_retention_ms, bodies)
            }
            Command::SettleClaim { customer, key, request_id, not_run } => {
                claims.settle(&customer, &key, &request_id, not_run)
            }
            Command::TakeFence { scope, holder, lease_ms } => {
                Ok(fences.acquire(&scope, &holder, lease_ms, now))
            }
            Command::Expire => {
                claims.expire(now, EXPIRE_BATCH_RECORDS, bodies);
                jobs.expire(now, EXPIRE_BATCH_ITEMS, files, bodies);
                files.expire(now, EXPIRE_BATCH_RECORDS, bodies);
                Ok(Outcome::Done)
            }
        }
    }

    /// Captures the content of a snapshot. Large tables are shared, not copied.
    pub(crate) fn freeze(&self) -> FrozenTables {
        let header = wire::SnapshotHeader {
            format: SNAPSHOT_FORMAT,
            now_unix_ms: self.clock.now_unix_ms(),
            configuration: Some((**self.configuration.current()).clone()),
            changed_by: self.configuration.changed_by().to_owned(),
            last_fence: self.fences.last_number(),
            lease_turn: self.jobs.ready().turn(),
            last_claim: self.claims.last_number(),
        };
        let mut small_records = vec![Record::Header(header)];
        small_records.extend(
            self.fences
                .iter()
                .map(|(scope, fence)| Record::Fence(snapshot_records::fence(scope, fence))),
        );
        small_records.extend(self.jobs.ready().shares().map(Record::Share));
        FrozenTables {
            small_records,
            results: self.results.freeze(),
            files: self.files.freeze(),
            jobs: self.jobs.iter().cloned().collect(),
            claims: self.claims.freeze(),
        }
    }

    /// References to all bodies in use.
    pub(crate) fn body_refs(&self) -> impl Iterator<Item = BodyRef> + '_ {
        let lines = self.files.iter().flat_map(|file| &file.chunks).map(|chunk| chunk.body);
        let items = self.jobs.iter().flat_map(|job| job.items.iter()).map(|item| item.body);
        let answers = self.claims.iter().filter_map(|(_, claim)| Some(claim.answer()?.body));
        lines.chain(items).chain(answers).filter(|body| !body.is_empty())
    }
}
