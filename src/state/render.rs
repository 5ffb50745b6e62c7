//! Encodes outcomes as schema messages, including the bodies that they refer to.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;

use crate::schema::state as wire;
use crate::schema::state::outcome::Outcome as WireOutcome;
use crate::state::bodies::Bodies;
use crate::state::claim::Claim;
use crate::state::item_attempt::ItemAttempt;
use crate::state::job::Job;
use crate::state::outcome::{ClaimStatus, ClaimTaken, FinishVerdict, Outcome};
use crate::state::tables::Tables;

/// Maximum size of the lines and partial answers in a reply with several leased items. A frame
/// between hosts holds 16 MiB.
const LEASE_REPLY_BYTES: usize = 8 << 20;

/// The part of an item's input line that is decoded: the caller's id of the item.
#[derive(Deserialize)]
struct LineId<'a> {
    #[serde(borrow, default)]
    custom_id: Cow<'a, str>,
}

pub(crate) fn encode_outcome(outcome: &Outcome, tables: &Tables, bodies: &Bodies) -> wire::Outcome {
    let outcome = match outcome {
        Outcome::ItemsLeased(attempts) => {
            WireOutcome::ItemsLeased(encode_leased_items(attempts, tables, bodies))
        }
        Outcome::ClaimTaken(taken) => {
            let claim = tables.claims.get(taken.answer_number);
            let answer = claim.and_then(|claim| recorded_answer(claim, bodies));
            WireOutcome::ClaimTaken(wire::ClaimTaken { answer, ..encode_claim_taken(taken) })
        }
        other => return encode_without_bodies(other),
    };
    wire::Outcome { outcome: Some(outcome) }
}

/// Encodes an outcome with only the ids of attempts and claims, without lines and answers.
pub(crate) fn encode_without_bodies(outcome: &Outcome) -> wire::Outcome {
    let outcome = match outcome {
        Outcome::Refused(refusal) => WireOutcome::Refused(refusal.into()),
        Outcome::ConfigurationChanged { version } => {
            WireOutcome::ConfigurationChanged(wire::ConfigurationChanged { version: *version })
        }
        Outcome::FileAppended { size_bytes, lines } => {
            WireOutcome::FileAppended(wire::FileAppended { size_bytes: *size_bytes, lines: *lines })
        }
        Outcome::JobCreated { job_id, items, existed } => {
            WireOutcome::JobCreated(wire::JobCreated {
                job_id: job_id.to_string(),
                items: *items,
                existed: *existed,
            })
        }
        Outcome::JobCancelled => WireOutcome::JobCancelled(wire::JobCancelled {
            state: wire::JobState::JobCancelledState.into(),
        }),
        Outcome::ItemsLeased(attempts) => {
            let item = |attempt: &ItemAttempt| wire::LeasedItem {
                attempt: Some(attempt.into()),
                ..wire::LeasedItem::default()
            };
            WireOutcome::ItemsLeased(wire::ItemsLeased {
                items: attempts.iter().map(item).collect(),
                omitted: Vec::new(),
            })
        }
        Outcome::ItemsRenewed { lost } => WireOutcome::ItemsRenewed(wire::ItemsRenewed {
            lost: lost.iter().map(wire::ItemAttempt::from).collect(),
        }),
        Outcome::ItemsFinished(verdicts) => WireOutcome::ItemsFinished(wire::ItemsFinished {
            verdicts: verdicts
                .iter()
                .map(|verdict| wire::FinishVerdict::from(*verdict).into())
                .collect(),
        }),
        Outcome::ClaimTaken(taken) => WireOutcome::ClaimTaken(encode_claim_taken(taken)),
        Outcome::AnswerRecorded { existed } => {
            WireOutcome::AnswerRecorded(wire::AnswerRecorded { existed: *existed })
        }
        Outcome::ClaimSettled(status) => WireOutcome::ClaimSettled(wire::ClaimSettled {
            status: wire::ClaimStatus::from(*status).into(),
        }),
        Outcome::FenceTaken { number, held_by, held_for_ms } => {
            WireOutcome::FenceTaken(wire::FenceTaken {
                number: *number,
                held_by: held_by.clone(),
                held_for_ms: *held_for_ms,
            })
        }
        Outcome::Done => WireOutcome::Done(wire::Done {}),
    };
    wire::Outcome { outcome: Some(outcome) }
}

/// Leased items with their input lines, as many as fit into one reply, at least one.
fn encode_leased_items(
    attempts: &[ItemAttempt],
    tables: &Tables,
    bodies: &Bodies,
) -> wire::ItemsLeased {
    let mut leased = wire::ItemsLeased::default();
    let mut reply_bytes = 0;
    for attempt in attempts {
        if reply_bytes >= LEASE_REPLY_BYTES {
            leased.omitted.push(attempt.into());
            continue;
        }
        let Some(item) = encode_leased_item(attempt, tables, bodies) else { continue };
        reply_bytes += item.body.len() + item.progress.len();
        if reply_bytes > LEASE_REPLY_BYTES && !leased.items.is_empty() {
            leased.omitted.push(attempt.into());
            continue;
        }
        leased.items.push(item);
    }
    leased
}

/// A leased item with its input line. `None` if the job is gone or the line cannot be read.
fn encode_leased_item(
    attempt: &ItemAttempt,
    tables: &Tables,
    bodies: &Bodies,
) -> Option<wire::LeasedItem> {
    let job = tables.jobs.get(&attempt.job_id)?;
    let item = job.items.get(attempt.item)?;
    let line = item_line(job, attempt.item, tables, bodies)?;
    // The outcome may be encoded again for a retry, after the item has ended or was leased again.
    // Its body is then not the partial answer for this attempt.
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

/// The input line of an item. `None` if it cannot be read.
pub(crate) fn item_line(job: &Job, item: u32, tables: &Tables, bodies: &Bodies) -> Option<Bytes> {
    let (body, range) = tables.files.get(&job.file_id)?.locate_line(item)?;
    match bodies.read_chunk(body) {
        Ok(chunk) => Some(chunk.slice(range)),
        Err(error) => {
            log::error!("cannot read the input line of item {item} of job {}: {error}", job.job_id);
            None
        }
    }
}

/// The caller's id of an item; empty if the line has none.
pub(crate) fn custom_id(line: &[u8]) -> String {
    serde_json::from_slice(line)
        .map(|line: LineId<'_>| line.custom_id.into_owned())
        .unwrap_or_default()
}

/// The recorded answer of a claim, with its body. `None` if there is none or it cannot be read.
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
            log::error!("cannot read the recorded answer of request {}: {error}", claim.request_id);
            None
        }
    }
}

fn encode_claim_taken(taken: &ClaimTaken) -> wire::ClaimTaken {
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
