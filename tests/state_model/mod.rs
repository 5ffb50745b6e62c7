//! A naive version of the replicated state: maps, lists and scans on schema types.

mod claims;
mod jobs;

use std::collections::{BTreeMap, BTreeSet};

use damaskhoist::schema::config::edit::Edit;
use damaskhoist::schema::state::command::Command as Kind;
use damaskhoist::schema::state::outcome::Outcome;
use damaskhoist::schema::state::*;

pub use claims::ClaimModel;
pub use jobs::JobModel;

pub const ANSWER_RETENTION_MS: u64 = 24 * 3_600_000;
pub const RESULT_RETENTION_MS: u64 = 7 * ANSWER_RETENTION_MS;
const KEPT_MS: u64 = 600_000;

#[derive(Default)]
pub struct Model {
    pub now: u64,
    pub version: u64,
    pub weights: BTreeMap<String, u32>,
    pub files: BTreeMap<String, FileModel>,
    pub jobs: BTreeMap<String, JobModel>,
    pub claims: Vec<ClaimModel>,
    pub fences: BTreeMap<String, (u64, String, u64)>,
    pub last_fence: u64,
    /// Virtual time by service and customer.
    pub shares: BTreeMap<(String, String), u64>,
    pub floors: BTreeMap<String, u64>,
    /// Services and customers with pending items.
    active: BTreeSet<(String, String)>,
    kept: Vec<(String, Kind, Outcome, u64)>,
}

pub struct FileModel {
    pub customer: String,
    pub lines: Vec<Vec<u8>>,
    pub complete: bool,
    pub deleted: bool,
    pub expires: u64,
}

/// What a command should have answered.
pub enum Expected {
    New(Outcome),
    /// The kept answer of an earlier command, whose bodies may be gone.
    Kept(Outcome),
}

pub fn refuse(code: RefusalCode) -> Outcome {
    Outcome::Refused(Refused { code: code.into(), message: String::new() })
}

impl Model {
    /// Applies a command. `actual` is the answer of the tested state, from which a lease takes the
    /// order of services only.
    pub fn apply(&mut self, command: &Command, actual: &Outcome) -> Expected {
        self.now = self.now.max(command.proposed_at_unix_ms);
        self.drop_kept();
        self.free_items();
        self.activate();
        let kind = command.command.as_ref().unwrap();
        let id = &command.command_id;
        if let Some((_, first, outcome, _)) =
            self.kept.iter().find(|kept| !id.is_empty() && kept.0 == *id)
        {
            return match first == kind {
                true => Expected::Kept(outcome.clone()),
                false => Expected::New(refuse(RefusalCode::KeyConflict)),
            };
        }
        let outcome = self.run(kind, actual);
        self.activate();
        if !id.is_empty() {
            self.kept.push((id.clone(), kind.clone(), outcome.clone(), self.now + KEPT_MS));
        }
        Expected::New(outcome)
    }

    /// One command drops up to eight results, the oldest first.
    fn drop_kept(&mut self) {
        let over = self.kept.iter().take_while(|kept| kept.3 <= self.now).count();
        self.kept.drain(..over.min(8));
    }

    fn run(&mut self, kind: &Kind, actual: &Outcome) -> Outcome {
        match kind {
            Kind::ChangeConfiguration(change) => self.change_configuration(change),
            Kind::AppendFile(append) => self.append_file(append),
            Kind::DeleteFile(delete) => self.delete_file(delete),
            Kind::CreateJob(create) => self.create_job(create),
            Kind::CancelJob(cancel) => self.cancel_job(cancel),
            Kind::DeleteJob(delete) => self.delete_job(delete),
            Kind::LeaseItems(lease) => self.lease_items(lease, actual),
            Kind::RenewItems(renew) => self.renew_items(renew),
            Kind::FinishItems(finish) => self.finish_items(finish),
            Kind::TakeClaim(take) => self.take_claim(take),
            Kind::RecordAnswer(record) => self.record_answer(record),
            Kind::SettleClaim(settle) => self.settle_claim(settle),
            Kind::TakeFence(take) => self.take_fence(take),
            Kind::Expire(_) => self.expire(),
        }
    }

    fn change_configuration(&mut self, change: &ChangeConfiguration) -> Outcome {
        if change.base_version != self.version {
            return refuse(RefusalCode::VersionConflict);
        }
        for edit in &change.edits {
            match edit.edit.as_ref().unwrap() {
                Edit::PutCustomer(customer) if customer.weight == Some(0) => {
                    return refuse(RefusalCode::Invalid);
                }
                Edit::PutCustomer(customer) => {
                    self.weights.insert(customer.name.clone(), customer.weight.unwrap_or(1));
                }
                _ => {}
            }
        }
        self.version += 1;
        Outcome::ConfigurationChanged(ConfigurationChanged { version: self.version })
    }

    fn append_file(&mut self, append: &AppendFile) -> Outcome {
        let expires = self.now + RESULT_RETENTION_MS;
        if !self.files.contains_key(&append.file_id) {
            if append.offset_bytes > 0 {
                return refuse(RefusalCode::NotFound);
            }
            let customer = append.customer.clone();
            let file =
                FileModel { customer, lines: vec![], complete: false, deleted: false, expires };
            self.files.insert(append.file_id.clone(), file);
        }
        let file = self.files.get_mut(&append.file_id).unwrap();
        if file.deleted || file.customer != append.customer {
            return refuse(RefusalCode::NotFound);
        }
        if file.complete {
            return refuse(RefusalCode::AlreadyFinished);
        }
        if file.size_bytes() != append.offset_bytes {
            return refuse(RefusalCode::Invalid);
        }
        file.lines.extend(append.lines.iter().map(|line| line.to_vec()));
        file.complete = append.last;
        file.expires = expires;
        let (size_bytes, lines) = (file.size_bytes(), file.lines.len() as u32);
        Outcome::FileAppended(FileAppended { size_bytes, lines })
    }

    fn delete_file(&mut self, delete: &DeleteFile) -> Outcome {
        match self.files.get_mut(&delete.file_id) {
            Some(file) if !file.deleted && file.customer == delete.customer => file.deleted = true,
            _ => return refuse(RefusalCode::NotFound),
        }
        self.drop_unused_files();
        Outcome::Done(Done {})
    }

    pub fn is_file_used(&self, file_id: &str) -> bool {
        self.jobs.values().any(|job| job.file_id == file_id && !job.deleted)
    }

    pub fn drop_unused_files(&mut self) {
        let deleted = self.files.iter().filter(|(_, file)| file.deleted).map(|(id, _)| id.clone());
        for file_id in deleted.collect::<Vec<_>>() {
            if !self.is_file_used(&file_id) {
                self.files.remove(&file_id);
            }
        }
    }

    fn take_fence(&mut self, take: &TakeFence) -> Outcome {
        let expires = self.now + u64::from(take.lease_ms);
        if let Some((number, holder, ends)) = self.fences.get_mut(&take.scope) {
            if *ends > self.now && *holder != take.holder {
                let (held_by, held_for_ms) = (holder.clone(), *ends - self.now);
                return Outcome::FenceTaken(FenceTaken { number: 0, held_by, held_for_ms });
            }
            if *ends > self.now {
                *ends = expires.max(*ends);
                return Outcome::FenceTaken(FenceTaken { number: *number, ..Default::default() });
            }
        }
        self.last_fence += 1;
        self.fences.insert(take.scope.clone(), (self.last_fence, take.holder.clone(), expires));
        Outcome::FenceTaken(FenceTaken { number: self.last_fence, ..Default::default() })
    }

    fn expire(&mut self) -> Outcome {
        let now = self.now;
        self.claims.retain(|claim| claim.expires > now);
        let ended: Vec<String> = self
            .jobs
            .values()
            .filter(|job| job.state != JobState::InProgress && job.expires <= now)
            .map(|job| job.job_id.clone())
            .collect();
        for job_id in ended {
            let job = self.jobs.remove(&job_id).unwrap();
            if let Some(file) = self.files.get_mut(&job.file_id).filter(|_| !job.deleted) {
                file.expires = file.expires.max(now);
            }
        }
        self.drop_unused_files();
        let ended: Vec<String> = self
            .files
            .iter()
            .filter(|(file_id, file)| file.expires <= now && !self.is_file_used(file_id))
            .map(|(file_id, _)| file_id.clone())
            .collect();
        for file_id in ended {
            self.files.remove(&file_id);
        }
        Outcome::Done(Done {})
    }

    /// Length of all bodies that the state has to keep.
    pub fn body_bytes(&self) -> u64 {
        let lines = self.files.values().flat_map(|file| &file.lines).map(Vec::len);
        let items = self.jobs.values().flat_map(|job| &job.items).map(|item| item.body.len());
        let answers =
            self.claims.iter().filter_map(|claim| Some(claim.answer.as_ref()?.body.len()));
        lines.chain(items).chain(answers).map(|bytes| bytes as u64).sum()
    }
}

impl FileModel {
    pub fn size_bytes(&self) -> u64 {
        self.lines.iter().map(|line| line.len() as u64 + 1).sum()
    }
}
