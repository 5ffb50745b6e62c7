//! Answers queries from the tables.

use crate::schema::state as wire;
use crate::schema::state::query::Query as WireQuery;
use crate::schema::state::query_answer::Answer;
use crate::state::bodies::Bodies;
use crate::state::claim::Claim;
use crate::state::file::File;
use crate::state::job::{Job, JobState};
use crate::state::page::Page;
use crate::state::refusal::Refusal;
use crate::state::render;
use crate::state::tables::Tables;

pub(crate) fn answer(query: &wire::Query, tables: &Tables, bodies: &Bodies) -> wire::QueryAnswer {
    let answer = match query.query.as_ref() {
        None => Err(Refusal::invalid("the query is empty or of an unknown kind")),
        Some(WireQuery::GetConfiguration(get)) => Ok(get_configuration(get, tables)),
        Some(WireQuery::GetJob(get)) => tables
            .jobs
            .visible(&get.customer, &get.job_id)
            .map(|found| Answer::Job(encode_job(found))),
        Some(WireQuery::ListJobs(list)) => Ok(Answer::Jobs(list_jobs(list, tables))),
        Some(WireQuery::ListItems(list)) => list_items(list, tables, bodies),
        Some(WireQuery::GetAnswer(get)) => get_recorded_answer(get, tables, bodies),
        Some(WireQuery::GetFile(get)) => tables
            .files
            .visible(&get.customer, &get.file_id)
            .map(|found| Answer::File(encode_file(&get.file_id, found))),
        Some(WireQuery::ListFiles(list)) => Ok(Answer::Files(list_files(list, tables))),
        Some(WireQuery::ReadFile(read)) => read_lines(read, tables, bodies),
    };
    let answer = answer.unwrap_or_else(|refusal| Answer::Refused((&refusal).into()));
    wire::QueryAnswer { answer: Some(answer) }
}

fn get_configuration(get: &wire::GetConfiguration, tables: &Tables) -> Answer {
    let current = tables.configuration.current();
    // A host without a configuration sends version 0 and always gets the whole document.
    if get.known_version == current.version && current.version > 0 {
        return Answer::UnchangedVersion(current.version);
    }
    Answer::Configuration((**current).clone())
}

fn list_jobs(list: &wire::ListJobs, tables: &Tables) -> wire::JobPage {
    let mut page = Page::new(list.limit, 0);
    let mut jobs = Vec::new();
    for found in tables.jobs.list(&list.customer, &list.after_job_id) {
        if !page.try_add(0) {
            return wire::JobPage { jobs, more: true };
        }
        jobs.push(encode_job(found));
    }
    wire::JobPage { jobs, more: false }
}

fn list_files(list: &wire::ListFiles, tables: &Tables) -> wire::FilePage {
    let mut page = Page::new(list.limit, 0);
    let mut files = Vec::new();
    for (file_id, found) in tables.files.list(&list.customer, &list.after_file_id) {
        if !page.try_add(0) {
            return wire::FilePage { files, more: true };
        }
        files.push(encode_file(file_id, found));
    }
    wire::FilePage { files, more: false }
}

fn list_items(list: &wire::ListItems, tables: &Tables, bodies: &Bodies) -> Result<Answer, Refusal> {
    let job = tables.jobs.visible(&list.customer, &list.job_id)?;
    let mut page = Page::new(list.limit, list.limit_bytes);
    let mut items = Vec::new();
    for index in list.from_item..job.counts.total {
        let body_bytes = match list.with_bodies {
            true => job.items.item(index).body.len_bytes.into(),
            false => 0,
        };
        if !page.try_add(body_bytes) {
            return Ok(Answer::Items(wire::ItemPage { items, more: true }));
        }
        items.push(encode_item(job, index, list.with_bodies, tables, bodies)?);
    }
    Ok(Answer::Items(wire::ItemPage { items, more: false }))
}

fn encode_item(
    job: &Job,
    index: u32,
    with_body: bool,
    tables: &Tables,
    bodies: &Bodies,
) -> Result<wire::Item, Refusal> {
    let item = job.items.item(index);
    let state = match job.state == JobState::Cancelled && !item.has_ended() {
        true => wire::ItemState::ItemCancelled,
        false => item.state.into(),
    };
    let body = match with_body && item.has_ended() {
        true => bodies.read(item.body).map_err(|error| {
            Refusal::not_found(format!("result of item {index} cannot be read: {error}"))
        })?,
        false => Default::default(),
    };
    let line = render::item_line(job, index, tables, bodies).unwrap_or_default();
    let holder = job.leases.get(&index).map(|lease| lease.holder.host_id.to_string());
    Ok(wire::Item {
        job_id: job.job_id.to_string(),
        item: index,
        custom_id: render::custom_id(&line),
        state: state.into(),
        attempts: item.counted_attempts.into(),
        status: item.status.into(),
        holder: holder.unwrap_or_default(),
        body,
    })
}

fn get_recorded_answer(
    get: &wire::GetAnswer,
    tables: &Tables,
    bodies: &Bodies,
) -> Result<Answer, Refusal> {
    let by_request = tables.claims.by_request(&get.customer, &get.request_id);
    let found = by_request.or_else(|| tables.claims.by_key(&get.customer, &get.key));
    let (_, claim) = found.ok_or_else(|| Refusal::not_found("the request is not known"))?;
    if claim.answer().is_none() {
        return Err(no_recorded_answer(claim));
    }
    let answer = render::recorded_answer(claim, bodies);
    answer.map(Answer::Recorded).ok_or_else(|| Refusal::not_found("the answer cannot be read"))
}

fn no_recorded_answer(claim: &Claim) -> Refusal {
    Refusal::not_found(format!("request {} has no recorded answer", claim.request_id))
}

fn read_lines(read: &wire::ReadFile, tables: &Tables, bodies: &Bodies) -> Result<Answer, Refusal> {
    let file = tables.files.visible(&read.customer, &read.file_id)?;
    let mut page = Page::new(read.limit, read.limit_bytes);
    let mut lines = Vec::new();
    for line in read.from_line..file.lines {
        let Some((body, range)) = file.locate_line(line) else {
            break;
        };
        if !page.try_add(range.len() as u64) {
            return Ok(Answer::Lines(wire::LinePage { lines, more: true }));
        }
        let chunk = bodies
            .read_chunk(body)
            .map_err(|error| Refusal::not_found(format!("line {line} cannot be read: {error}")))?;
        lines.push(chunk.slice(range));
    }
    Ok(Answer::Lines(wire::LinePage { lines, more: false }))
}

pub(crate) fn encode_job(job: &Job) -> wire::Job {
    let counts = &job.counts;
    let state = match job.state {
        JobState::InProgress => wire::JobState::InProgress,
        JobState::Completed => wire::JobState::Completed,
        JobState::Cancelled => wire::JobState::JobCancelledState,
    };
    wire::Job {
        job_id: job.job_id.to_string(),
        customer: job.customer.to_string(),
        file_id: job.file_id.to_string(),
        service: job.service.to_string(),
        endpoint: job.endpoint.clone(),
        state: state.into(),
        deadline_unix_ms: job.deadline_or_zero(),
        created_at_unix_ms: job.created_at_unix_ms,
        finished_at_unix_ms: job.finished_at_unix_ms,
        items: counts.total,
        succeeded: counts.succeeded,
        failed: counts.failed,
        cancelled: counts.cancelled,
        leased: job.leases.len() as u32,
        metadata_json: job.metadata_json.clone(),
        max_attempts: job.max_attempts.into(),
        idempotency_key: job.idempotency_key.clone(),
    }
}

pub(crate) fn encode_file(file_id: &str, file: &File) -> wire::File {
    wire::File {
        file_id: file_id.to_owned(),
        customer: file.customer.to_string(),
        name: file.name.clone(),
        purpose: file.purpose.clone(),
        size_bytes: file.size_bytes,
        lines: file.lines,
        complete: file.complete,
        created_at_unix_ms: file.created_at_unix_ms,
    }
}
