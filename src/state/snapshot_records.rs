//! Conversions between the tables' types and the records of a snapshot.

use std::io;

use crate::schema::state as wire;
use crate::schema::state::outcome::Outcome as WireOutcome;
use crate::state::claim::{Claim, ClaimPhase, RecordedAnswer};
use crate::state::command::Holder;
use crate::state::command_results::KeptResult;
use crate::state::fences::Fence;
use crate::state::file::{File, LineChunk};
use crate::state::fingerprint::Fingerprint;
use crate::state::item::{Item, ITEM_BYTES};
use crate::state::item_attempt::ItemAttempt;
use crate::state::item_table::ItemTable;
use crate::state::job::{ItemCounts, Job, JobState, PendingItems};
use crate::state::lease::Lease;
use crate::state::outcome::{ClaimStatus, ClaimTaken, FinishVerdict, Outcome};
use crate::state::query;
use crate::state::render;
use crate::state::snapshot::corrupt;
use crate::state::{BodyRef, SegmentName};

pub(crate) fn result(command_id: &str, expires: u64, kept: &KeptResult) -> wire::KeptResultRecord {
    let claim = match &*kept.outcome {
        Outcome::ClaimTaken(taken) => taken.answer_number,
        _ => 0,
    };
    wire::KeptResultRecord {
        command_id: command_id.to_owned(),
        checksum: kept.checksum,
        expires_unix_ms: expires,
        outcome: Some(render::encode_without_bodies(&kept.outcome)),
        claim,
    }
}

impl TryFrom<&wire::KeptResultRecord> for KeptResult {
    type Error = io::Error;

    fn try_from(record: &wire::KeptResultRecord) -> io::Result<Self> {
        let outcome = record.outcome.clone().and_then(|outcome| outcome.outcome);
        let outcome = outcome.ok_or_else(|| corrupt("a result record has no outcome"))?;
        Ok(Self { checksum: record.checksum, outcome: kept_outcome(outcome, record.claim).into() })
    }
}

fn kept_outcome(outcome: WireOutcome, answer_number: u64) -> Outcome {
    match outcome {
        WireOutcome::Refused(refused) => Outcome::Refused(refused.into()),
        WireOutcome::ConfigurationChanged(changed) => {
            Outcome::ConfigurationChanged { version: changed.version }
        }
        WireOutcome::FileAppended(appended) => {
            Outcome::FileAppended { size_bytes: appended.size_bytes, lines: appended.lines }
        }
        WireOutcome::JobCreated(created) => Outcome::JobCreated {
            job_id: created.job_id.into(),
            items: created.items,
            existed: created.existed,
        },
        WireOutcome::JobCancelled(_) => Outcome::JobCancelled,
        WireOutcome::ItemsLeased(leased) => {
            let attempts = leased.items.into_iter().filter_map(|item| item.attempt);
            Outcome::ItemsLeased(attempts.map(ItemAttempt::from).collect())
        }
        WireOutcome::ItemsRenewed(renewed) => Outcome::ItemsRenewed {
            lost: renewed.lost.into_iter().map(ItemAttempt::from).collect(),
        },
        WireOutcome::ItemsFinished(finished) => {
            Outcome::ItemsFinished(finished.verdicts().map(FinishVerdict::from).collect())
        }
        WireOutcome::ClaimTaken(taken) => Outcome::ClaimTaken(ClaimTaken {
            status: taken.status().into(),
            request_id: taken.request_id.into(),
            holder: taken.holder.into(),
            answer_number,
        }),
        WireOutcome::AnswerRecorded(recorded) => {
            Outcome::AnswerRecorded { existed: recorded.existed }
        }
        WireOutcome::ClaimSettled(settled) => Outcome::ClaimSettled(settled.status().into()),
        WireOutcome::FenceTaken(taken) => Outcome::FenceTaken {
            number: taken.number,
            held_by: taken.held_by,
            held_for_ms: taken.held_for_ms,
        },
        WireOutcome::Done(_) => Outcome::Done,
    }
}

impl From<wire::FinishVerdict> for FinishVerdict {
    fn from(verdict: wire::FinishVerdict) -> Self {
        match verdict {
            wire::FinishVerdict::Accepted => Self::Accepted,
            wire::FinishVerdict::StaleAttempt => Self::StaleAttempt,
            wire::FinishVerdict::Duplicate => Self::Duplicate,
            wire::FinishVerdict::JobCancelled => Self::JobCancelled,
            wire::FinishVerdict::UnknownItem | wire::FinishVerdict::Unspecified => {
                Self::UnknownItem
            }
        }
    }
}

impl From<wire::ClaimStatus> for ClaimStatus {
    fn from(status: wire::ClaimStatus) -> Self {
        match status {
            wire::ClaimStatus::Held => Self::Held,
            wire::ClaimStatus::Running => Self::Running,
            wire::ClaimStatus::Answered => Self::Answered,
            wire::ClaimStatus::Unknown | wire::ClaimStatus::Unspecified => Self::Unknown,
            wire::ClaimStatus::Free => Self::Free,
        }
    }
}

pub(crate) fn file(file_id: &str, file: &File) -> wire::FileRecord {
    let chunk = |chunk: &LineChunk| wire::LineChunk {
        body: Some(chunk.body.into()),
        ends: chunk.ends.to_vec(),
    };
    wire::FileRecord {
        file: Some(query::encode_file(file_id, file)),
        deleted: file.deleted,
        expires_unix_ms: file.expires_unix_ms,
        chunks: file.chunks.iter().map(chunk).collect(),
    }
}

impl TryFrom<wire::FileRecord> for File {
    type Error = io::Error;

    fn try_from(record: wire::FileRecord) -> io::Result<Self> {
        let file = record.file.ok_or_else(|| corrupt("a file record has no file"))?;
        let mut first_line = 0;
        let mut chunks = Vec::with_capacity(record.chunks.len());
        for chunk in record.chunks {
            let lines = chunk.ends.len() as u32;
            let body = chunk.body.unwrap_or_default().into();
            chunks.push(LineChunk { first_line, ends: chunk.ends.into(), body });
            first_line += lines;
        }
        Ok(Self {
            customer: file.customer.into(),
            name: file.name,
            purpose: file.purpose,
            size_bytes: file.size_bytes,
            lines: file.lines,
            complete: file.complete,
            deleted: record.deleted,
            created_at_unix_ms: file.created_at_unix_ms,
            expires_unix_ms: record.expires_unix_ms,
            reader_count: 0,
            chunks,
        })
    }
}

pub(crate) fn job(job: &Job) -> wire::JobRecord {
    let mut items = Vec::with_capacity(job.items.len() * ITEM_BYTES);
    for item in job.items.iter() {
        items.extend_from_slice(&item.to_bytes());
    }
    let lease = |(item, lease): (&u32, &Lease)| wire::ItemLeaseRecord {
        item: *item,
        holder: lease.holder.host_id.to_string(),
        holder_incarnation: lease.holder.incarnation,
        expires_unix_ms: lease.expires_unix_ms,
    };
    wire::JobRecord {
        job: Some(query::encode_job(job)),
        fingerprint: job.fingerprint.as_bytes().to_vec().into(),
        deleted: job.deleted,
        expires_unix_ms: job.expires_unix_ms,
        next: job.pending.next,
        yielded: job.pending.yielded.iter().copied().collect(),
        retries: job.pending.retries.iter().copied().collect(),
        items: items.into(),
        leases: job.leases.iter().map(lease).collect(),
    }
}

impl TryFrom<wire::JobRecord> for Job {
    type Error = io::Error;

    fn try_from(record: wire::JobRecord) -> io::Result<Self> {
        let job = record.job.ok_or_else(|| corrupt("a job record has no job"))?;
        let state = match job.state() {
            wire::JobState::InProgress => JobState::InProgress,
            wire::JobState::Completed => JobState::Completed,
            wire::JobState::JobCancelledState => JobState::Cancelled,
            wire::JobState::Unspecified => return Err(corrupt("a job has no state")),
        };
        let items: Option<ItemTable> =
            record.items.chunks_exact(ITEM_BYTES).map(Item::from_bytes).collect();
        let items = items.ok_or_else(|| corrupt("an item has an unknown state"))?;
        let lease = |lease: wire::ItemLeaseRecord| {
            let (host_id, incarnation) = (lease.holder.into(), lease.holder_incarnation);
            let holder = Holder { host_id, incarnation };
            (lease.item, Lease { holder, expires_unix_ms: lease.expires_unix_ms })
        };
        Ok(Self {
            job_id: job.job_id.into(),
            customer: job.customer.into(),
            service: job.service.into(),
            file_id: job.file_id.into(),
            endpoint: job.endpoint,
            metadata_json: job.metadata_json,
            idempotency_key: job.idempotency_key,
            fingerprint: fingerprint(&record.fingerprint)?,
            deadline_unix_ms: match job.deadline_unix_ms {
                0 => u64::MAX,
                deadline => deadline,
            },
            created_at_unix_ms: job.created_at_unix_ms,
            finished_at_unix_ms: job.finished_at_unix_ms,
            expires_unix_ms: record.expires_unix_ms,
            max_attempts: job.max_attempts as u8,
            state,
            deleted: record.deleted,
            counts: ItemCounts {
                total: job.items,
                succeeded: job.succeeded,
                failed: job.failed,
                cancelled: job.cancelled,
            },
            pending: PendingItems {
                yielded: record.yielded.into(),
                next: record.next,
                retries: record.retries.into(),
            },
            items,
            leases: record.leases.into_iter().map(lease).collect(),
        })
    }
}

pub(crate) fn claim(number: u64, claim: &Claim) -> wire::ClaimRecord {
    let mut record = wire::ClaimRecord {
        claim: number,
        customer: claim.customer.to_string(),
        key: claim.key.to_string(),
        fingerprint: claim.fingerprint.as_bytes().to_vec().into(),
        request_id: claim.request_id.to_string(),
        not_repeatable: claim.not_repeatable,
        expires_unix_ms: claim.expires_unix_ms,
        ..wire::ClaimRecord::default()
    };
    if let Some(holder) = claim.holder() {
        record.holder = holder.host_id.to_string();
        record.holder_incarnation = holder.incarnation;
    }
    match &claim.phase {
        ClaimPhase::Held { lease_expires_unix_ms, .. } => {
            record.set_status(wire::ClaimStatus::Held);
            record.lease_expires_unix_ms = *lease_expires_unix_ms;
        }
        ClaimPhase::Unknown { .. } => record.set_status(wire::ClaimStatus::Unknown),
        ClaimPhase::Answered(answer) => {
            record.set_status(wire::ClaimStatus::Answered);
            record.body = Some(answer.body.into());
            record.answer = Some(wire::Answer {
                status: answer.status,
                content_type: answer.content_type.to_string(),
                recorded_at_unix_ms: answer.recorded_at_unix_ms,
                ..wire::Answer::default()
            });
        }
    }
    record
}

impl TryFrom<wire::ClaimRecord> for Claim {
    type Error = io::Error;

    fn try_from(record: wire::ClaimRecord) -> io::Result<Self> {
        let status = record.status();
        let (host_id, incarnation) = (record.holder.into(), record.holder_incarnation);
        let holder = Holder { host_id, incarnation };
        let phase = match (status, record.answer) {
            (wire::ClaimStatus::Held, _) => {
                ClaimPhase::Held { holder, lease_expires_unix_ms: record.lease_expires_unix_ms }
            }
            (wire::ClaimStatus::Unknown, _) => ClaimPhase::Unknown { holder },
            (wire::ClaimStatus::Answered, Some(answer)) => ClaimPhase::Answered(RecordedAnswer {
                status: answer.status,
                content_type: answer.content_type.into(),
                recorded_at_unix_ms: answer.recorded_at_unix_ms,
                body: record.body.unwrap_or_default().into(),
            }),
            _ => return Err(corrupt("a claim record has an invalid status")),
        };
        Ok(Self {
            customer: record.customer.into(),
            key: record.key.into(),
            fingerprint: fingerprint(&record.fingerprint)?,
            request_id: record.request_id.into(),
            not_repeatable: record.not_repeatable,
            phase,
            expires_unix_ms: record.expires_unix_ms,
        })
    }
}

fn fingerprint(bytes: &[u8]) -> io::Result<Fingerprint> {
    Fingerprint::from_bytes(bytes).ok_or_else(|| corrupt("a fingerprint has the wrong length"))
}

pub(crate) fn fence(scope: &str, fence: &Fence) -> wire::FenceRecord {
    wire::FenceRecord {
        scope: scope.to_owned(),
        holder: fence.holder.clone(),
        number: fence.number,
        expires_unix_ms: fence.expires_unix_ms,
    }
}

impl From<wire::FenceRecord> for Fence {
    fn from(record: wire::FenceRecord) -> Self {
        let wire::FenceRecord { holder, number, expires_unix_ms, .. } = record;
        Self { number, holder, expires_unix_ms }
    }
}

pub(crate) fn segments(names: &[SegmentName]) -> wire::SegmentList {
    let record = |name: &SegmentName| wire::SegmentRecord {
        segment: name.segment,
        nonce: name.nonce,
        len_bytes: name.len_bytes,
    };
    wire::SegmentList { segments: names.iter().map(record).collect() }
}

pub(crate) fn segment_names(list: &wire::SegmentList) -> Vec<SegmentName> {
    let name = |record: &wire::SegmentRecord| SegmentName {
        segment: record.segment,
        nonce: record.nonce,
        len_bytes: record.len_bytes,
    };
    list.segments.iter().map(name).collect()
}

impl From<BodyRef> for wire::BodyPlace {
    fn from(body: BodyRef) -> Self {
        let BodyRef { segment, offset_bytes, len_bytes } = body;
        Self { segment, offset_bytes, len_bytes }
    }
}

impl From<wire::BodyPlace> for BodyRef {
    fn from(place: wire::BodyPlace) -> Self {
        let wire::BodyPlace { segment, offset_bytes, len_bytes } = place;
        Self { segment, offset_bytes, len_bytes }
    }
}
