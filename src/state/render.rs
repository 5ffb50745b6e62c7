//! Encodes outcomes as schema messages, with the bodies that they name.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;

use crate::schema::state as wire;
use crate::schema::state::outcome::Outcome as Wire;
use crate::state::bodies::Bodies;
use crate::state::claim::Claim;
use crate::state::item_attempt::ItemAttempt;
use crate::state::job::Job;
use crate::state::outcome::{ClaimStatus, ClaimTaken, FinishVerdict, Outcome};
use crate::state::tables::Tables;

/// The caller's name of an item in its line.
#[derive(Deserialize)]
struct LineHead<'a> {
    #[serde(borrow, default)]
    custom_id: Cow<'a, str>,
}

pub(crate) fn outcome(outcome: &Outcome, tables: &Tables, bodies: &Bodies) -> wire::Outcome {
    let outcome = match outcome {
        Outcome::ItemsLeased(attempts) => {
            let items = attempts
                .iter()
                .filter_map(|attempt| leased_item(attempt, tables, bodies))
                .collect();
            Wire::ItemsLeased(wire::ItemsLeased { items })
        }
        Outcome::ClaimTaken(taken) => {
            let claim = tables.claims.get(taken.record);
            let answer = claim.and_then(|claim| recorded_answer(claim, bodies));
            Wire::ClaimTaken(wire::ClaimTaken { answer, ..claim_taken(taken) })
        }
        other => return without_bodies(other),
    };
    wire::Outcome { outcome: Some(outcome) }
}

/// Encodes an outcome with attempts and claims by name only.
pub(crate) fn without_bodies(outcome: &Outcome) -> wire::Outcome {
    let outcome = match outcome {
        Outcome::Refused(refusal) => Wire::Refused(refusal.into()),
        Outcome::ConfigurationChanged { version } => {
            Wire::ConfigurationChanged(wire::ConfigurationChanged { version: *version })
        }
        Outcome::FileAppended { size_bytes, lines } => {
            Wire::FileAppended(wire::FileAppended { size_bytes: *size_bytes, lines: *lines })
        }
        Outcome::JobCreated { job_id, items, existed } => Wire::JobCreated(wire::JobCreated {
            job_id: job_id.to_string(),
            items: *items,
            existed: *existed,
        }),
        Outcome::JobCancelled => Wire::JobCancelled(wire::JobCancelled {
            state: wire::JobState::JobCancelledState.into(),
        }),
        Outcome::ItemsLeased(attempts) => {
            let item = |attempt: &ItemAttempt| wire::LeasedItem {
                attempt: Some(attempt.into()),
                ..wire::LeasedItem::default()
            };
            Wire::ItemsLeased(wire::ItemsLeased { items: attempts.iter().map(item).collect() })
        }
        Outcome::ItemsRenewed { lost } => Wire::ItemsRenewed(wire::ItemsRenewed {
            lost: lost.iter().map(wire::ItemAttempt::from).collect(),
        }),
        Outcome::ItemsFinished(verdicts) => Wire::ItemsFinished(wire::ItemsFinished {
            verdicts: verdicts
                .iter()
                .map(|verdict| wire::FinishVerdict::from(*verdict).into())
                .collect(),
        }),
        Outcome::ClaimTaken(taken) => Wire::ClaimTaken(claim_taken(taken)),
        Outcome::AnswerRecorded { existed } => {
            Wire::AnswerRecorded(wire::AnswerRecorded { existed: *existed })
        }
        Outcome::ClaimSettled(status) => Wire::ClaimSettled(wire::ClaimSettled {
            status: wire::ClaimStatus::from(*status).into(),
        }),
        Outcome::FenceTaken { number, held_by, held_for_ms } => {
            Wire::FenceTaken(wire::FenceTaken {
                number: *number,
                held_by: held_by.clone(),
                held_for_ms: *held_for_ms,
            })
        }
        Outcome::Done => Wire::Done(wire::Done {}),
    };
    wire::Outcome { outcome: Some(outcome) }
}

/// An item with its line; none when the job is gone or the line cannot be read.
fn leased_item(
    attempt: &ItemAttempt,
    tables: &Tables,
    bodies: &Bodies,
) -> Option<wire::LeasedItem> {
    let job = tables.jobs.get(&attempt.job_id)?;
    let item = job.items.get(attempt.item)?;
    let line = item_line(job, attempt.item, tables, bodies)?;
    // An item that has moved on since the first answer has no progress to give.
    let progress = match item.attempt == attempt.attempt && !item.has_ended() {
        true => bodies.read(item.body).unwrap_or_default(),
        false => Bytes::new(),
    };
    Some(wire::LeasedItem {
        attempt: Some(attempt.into()),
        customer: job.customer.to_string(),
        custom_id: custom_id(&line),
        service: job.service.to_string(),
        endpoint: job.endpoint.clone(),
        body: line,
        deadline_unix_ms: job.deadline_or_zero(),
        progress,
    })
}

/// The line of an item; none when it cannot be read.
pub(crate) fn item_line(job: &Job, item: u32, tables: &Tables, bodies: &Bodies) -> Option<Bytes> {
    let (body, range) = tables.files.get(&job.file_id)?.line(item)?;
    match bodies.read_chunk(body) {
        Ok(chunk) => Some(chunk.slice(range)),
        Err(error) => {
            log::error!("item {item} of job {}: cannot read its line: {error}", job.job_id);
            None
        }
    }
}

/// The caller's name of an item; empty when the line has none.
pub(crate) fn custom_id(line: &[u8]) -> String {
    serde_json::from_slice(line)
        .map(|head: LineHead<'_>| head.custom_id.into_owned())
        .unwrap_or_default()
}

/// A claim's recorded answer with its body.
pub(crate) fn recorded_answer(claim: &Claim, bodies: &Bodies) -> Option<wire::Answer> {
    let answer = claim.answer()?;
    match bodies.read(answer.body) {
        Ok(body) => Some(wire::Answer {
            request_id: claim.request_id.to_string(),
            status: answer.status,
            content_type: answer.content_type.to_string(),
            body,
            recorded_at_unix_ms: answer.recorded_at_unix_ms,
        }),
        Err(error) => {
            log::error!("request {}: cannot read its answer: {error}", claim.request_id);
            None
        }
    }
}

fn claim_taken(taken: &ClaimTaken) -> wire::ClaimTaken {
    wire::ClaimTaken {
        status: wire::ClaimStatus::from(taken.status).into(),
        request_id: taken.request_id.to_string(),
        holder: taken.holder.to_string(),
        answer: None,
    }
}

impl From<FinishVerdict> for wire::FinishVerdict {
    fn from(verdict: FinishVerdict) -> Self {
        match verdict {
            FinishVerdict::Accepted => Self::Accepted,
            FinishVerdict::StaleAttempt => Self::StaleAttempt,
            FinishVerdict::Duplicate => Self::Duplicate,
            FinishVerdict::JobCancelled => Self::JobCancelled,
            FinishVerdict::UnknownItem => Self::UnknownItem,
        }
    }
}

impl From<ClaimStatus> for wire::ClaimStatus {
    fn from(status: ClaimStatus) -> Self {
        match status {
            ClaimStatus::Free => Self::Free,
            ClaimStatus::Held => Self::Held,
            ClaimStatus::Running => Self::Running,
            ClaimStatus::Answered => Self::Answered,
            ClaimStatus::Unknown => Self::Unknown,
        }
    }
}
