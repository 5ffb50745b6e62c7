use std::sync::Arc;

use bytes::Bytes;

use crate::schema::config::edit::Edit as EditKind;
use crate::schema::state::command::Command as WireCommand;
use crate::schema::state::ItemEnd;
use crate::state::fingerprint::Fingerprint;
use crate::state::item_attempt::ItemAttempt;
use crate::state::refusal::Refusal;

/// A decoded command of the log.
#[derive(Debug)]
pub(crate) enum Command {
    ChangeConfiguration { base_version: u64, edits: Vec<EditKind> },
    AppendFile(FileChunk),
    DeleteFile { customer: String, file_id: String },
    CreateJob(NewJob),
    CancelJob { customer: String, job_id: String },
    DeleteJob { customer: String, job_id: String },
    LeaseItems { holder: Holder, max_items: u32, lease_ms: u32, services: Vec<String> },
    RenewItems { holder: Holder, lease_ms: u32, items: Vec<ItemAttempt> },
    FinishItems { holder: String, items: Vec<ItemFinish> },
    TakeClaim(NewClaim),
    RecordAnswer(NewAnswer),
    SettleClaim { customer: String, key: String, request_id: String, not_run: bool },
    TakeFence { scope: String, holder: String, lease_ms: u32 },
    Expire,
}

/// The process that holds a lease or a claim: a host and the incarnation of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) host_id: Arc<str>,
    pub(crate) incarnation: u64,
}

/// Lines to append to an uploaded file.
#[derive(Debug)]
pub(crate) struct FileChunk {
    pub(crate) customer: String,
    pub(crate) file_id: String,
    pub(crate) name: String,
    pub(crate) purpose: String,
    pub(crate) offset_bytes: u64,
    pub(crate) lines: Vec<Bytes>,
    pub(crate) last: bool,
}

/// A batch job to create.
#[derive(Debug)]
pub(crate) struct NewJob {
    pub(crate) customer: String,
    pub(crate) job_id: String,
    /// Empty for none.
    pub(crate) idempotency_key: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) file_id: String,
    pub(crate) endpoint: String,
    pub(crate) service: String,
    /// 0 for none.
    pub(crate) deadline_unix_ms: u64,
    /// 0 for the default of the service.
    pub(crate) max_attempts: u32,
    pub(crate) metadata_json: String,
}

/// How one attempt of an item ended, with its response body.
#[derive(Debug)]
pub(crate) struct ItemFinish {
    pub(crate) attempt: ItemAttempt,
    pub(crate) end: AttemptEnd,
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    Succeeded,
    Failed,
    AttemptFailed,
    Yielded,
}

/// A claim to acquire on an idempotency key.
#[derive(Debug)]
pub(crate) struct NewClaim {
    pub(crate) customer: String,
    pub(crate) key: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) request_id: String,
    pub(crate) holder: Holder,
    pub(crate) lease_ms: u32,
    pub(crate) not_repeatable: bool,
}

/// The answer of an online request, to be recorded.
#[derive(Debug)]
pub(crate) struct NewAnswer {
    pub(crate) customer: String,
    /// Empty for none.
    pub(crate) key: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) request_id: String,
    pub(crate) status: u32,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl Command {
    /// Total length of the bodies that the command adds as new work. Results and answers of work
    /// that was accepted earlier do not count.
    pub(crate) fn added_body_bytes(&self) -> u64 {
        match self {
            Self::AppendFile(chunk) => chunk.lines.iter().map(|line| line.len() as u64).sum(),
            _ => 0,
        }
    }
}

impl TryFrom<WireCommand> for Command {
    type Error = Refusal;

    fn try_from(wire: WireCommand) -> Result<Self, Refusal> {
        Ok(match wire {
            WireCommand::ChangeConfiguration(change) => {
                let edits: Option<Vec<EditKind>> =
                    change.edits.into_iter().map(|edit| edit.edit).collect();
                let edits = edits.ok_or_else(|| Refusal::invalid("an edit is empty"))?;
                Self::ChangeConfiguration { base_version: change.base_version, edits }
            }
            WireCommand::AppendFile(append) => Self::AppendFile(FileChunk {
                customer: required("customer", append.customer)?,
                file_id: required("file_id", append.file_id)?,
                name: append.name,
                purpose: append.purpose,
                offset_bytes: append.offset_bytes,
                lines: append.lines,
                last: append.last,
            }),
            WireCommand::DeleteFile(delete) => {
                Self::DeleteFile { customer: delete.customer, file_id: delete.file_id }
            }
            WireCommand::CreateJob(create) => Self::CreateJob(NewJob {
                customer: required("customer", create.customer)?,
                job_id: required("job_id", create.job_id)?,
                idempotency_key: create.idempotency_key,
                fingerprint: create.fingerprint[..].into(),
                file_id: required("file_id", create.file_id)?,
                endpoint: create.endpoint,
                service: required("service", create.service)?,
                deadline_unix_ms: create.deadline_unix_ms,
                max_attempts: create.max_attempts,
                metadata_json: create.metadata_json,
            }),
            WireCommand::CancelJob(cancel) => {
                Self::CancelJob { customer: cancel.customer, job_id: cancel.job_id }
            }
            WireCommand::DeleteJob(delete) => {
                Self::DeleteJob { customer: delete.customer, job_id: delete.job_id }
            }
            WireCommand::LeaseItems(lease) => Self::LeaseItems {
                holder: Holder::try_new(lease.holder, lease.holder_incarnation)?,
                max_items: lease.max_items,
                lease_ms: lease.lease_ms,
                services: lease.services,
            },
            WireCommand::RenewItems(renew) => Self::RenewItems {
                holder: Holder::try_new(renew.holder, renew.holder_incarnation)?,
                lease_ms: renew.lease_ms,
                items: renew.items.into_iter().map(ItemAttempt::from).collect(),
            },
            WireCommand::FinishItems(finish) => Self::FinishItems {
                holder: required("holder", finish.holder)?,
                items: finish
                    .items
                    .into_iter()
                    .map(ItemFinish::try_from)
                    .collect::<Result<_, _>>()?,
            },
            WireCommand::TakeClaim(take) => Self::TakeClaim(NewClaim {
                customer: take.customer,
                key: required("key", take.key)?,
                fingerprint: take.fingerprint[..].into(),
                request_id: required("request_id", take.request_id)?,
                holder: Holder::try_new(take.holder, take.holder_incarnation)?,
                lease_ms: take.lease_ms,
                not_repeatable: take.not_repeatable,
            }),
            WireCommand::RecordAnswer(record) => Self::RecordAnswer(NewAnswer {
                customer: record.customer,
                key: record.key,
                fingerprint: record.fingerprint[..].into(),
                request_id: required("request_id", record.request_id)?,
                status: record.status,
                content_type: record.content_type,
                body: record.body,
            }),
            WireCommand::SettleClaim(settle) => Self::SettleClaim {
                customer: settle.customer,
                key: required("key", settle.key)?,
                request_id: required("request_id", settle.request_id)?,
                not_run: settle.not_run,
            },
            WireCommand::TakeFence(take) => Self::TakeFence {
                scope: required("scope", take.scope)?,
                holder: required("holder", take.holder)?,
                lease_ms: take.lease_ms,
            },
            WireCommand::Expire(_) => Self::Expire,
        })
    }
}

impl Holder {
    fn try_new(host_id: String, incarnation: u64) -> Result<Self, Refusal> {
        Ok(Self { host_id: required("holder", host_id)?.into(), incarnation })
    }
}

impl TryFrom<crate::schema::state::ItemFinish> for ItemFinish {
    type Error = Refusal;

    fn try_from(wire: crate::schema::state::ItemFinish) -> Result<Self, Refusal> {
        let end = match wire.end() {
            ItemEnd::Succeeded => AttemptEnd::Succeeded,
            ItemEnd::Failed => AttemptEnd::Failed,
            ItemEnd::AttemptFailed => AttemptEnd::AttemptFailed,
            ItemEnd::Yielded => AttemptEnd::Yielded,
            ItemEnd::Unspecified => return Err(Refusal::invalid("an item has no end")),
        };
        let attempt = wire.attempt.ok_or_else(|| Refusal::invalid("an item has no attempt"))?;
        let status = u16::try_from(wire.status)
            .map_err(|_| Refusal::invalid(format!("status {} is above 65535", wire.status)))?;
        Ok(Self { attempt: attempt.into(), end, status, body: wire.body })
    }
}

fn required(field: &str, value: String) -> Result<String, Refusal> {
    if value.is_empty() {
        return Err(Refusal::invalid(format!("{field} is empty")));
    }
    Ok(value)
}
