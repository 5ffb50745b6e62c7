use crate::admin::job_filter::required_value;
use crate::admission::{Refusal, RefusalKind};
use crate::control::unix_ms;
use crate::query::{Cell, Show, Table};
use crate::schema::state::{
    query, query_answer, File, Item, ItemState, Job, JobState, ListFiles, ListItems, ListJobs,
    Query,
};
use crate::serving::unavailable;
use crate::state::StateClient;

/// Rows of one read.
const PAGE_ROWS: u32 = 1_000;
/// Rows that a statement may select before it must be narrower.
const MATCH_LIMIT: usize = 200_000;

/// Reads tables of the replicated state page by page and keeps the rows that a statement selects.
pub struct StateTables<'a> {
    /// Access to the state.
    pub state: &'a dyn StateClient,
    /// The statement.
    pub show: &'a Show,
}

impl StateTables<'_> {
    /// Jobs that the statement selects.
    pub async fn jobs(&self) -> Result<Table, Refusal> {
        let customer = self.required("customer").unwrap_or_default();
        let mut selected = Table::new(&[
            "job",
            "customer",
            "service",
            "state",
            "items",
            "succeeded",
            "failed",
            "cancelled",
            "running",
            "created_at_unix_ms",
            "deadline_unix_ms",
            "late",
        ]);
        let mut after_job_id = String::new();
        loop {
            let list = ListJobs { customer: customer.clone(), after_job_id, limit: PAGE_ROWS };
            let answer = self.read(query::Query::ListJobs(list)).await?;
            let query_answer::Answer::Jobs(page) = answer else { return Err(unexpected()) };
            self.select(&mut selected, page.jobs.iter().map(job_row).collect())?;
            let Some(last) = page.jobs.last().filter(|_| page.more) else { return Ok(selected) };
            after_job_id = last.job_id.clone();
        }
    }

    /// Items of the job that the statement names.
    pub async fn items(&self) -> Result<Table, Refusal> {
        let Some(job_id) = self.required("job") else {
            let message = "`show items` needs a condition such as `where job = j-17`";
            return Err(Refusal::not_run(RefusalKind::InvalidRequest, message));
        };
        let mut selected =
            Table::new(&["job", "item", "custom_id", "state", "attempts", "status", "holder"]);
        let mut from_item = 0;
        loop {
            let list = ListItems {
                customer: String::new(),
                job_id: job_id.clone(),
                from_item,
                limit: PAGE_ROWS,
                with_bodies: false,
                limit_bytes: 0,
            };
            let answer = self.read(query::Query::ListItems(list)).await?;
            let query_answer::Answer::Items(page) = answer else { return Err(unexpected()) };
            self.select(&mut selected, page.items.iter().map(item_row).collect())?;
            let Some(last) = page.items.last().filter(|_| page.more) else { return Ok(selected) };
            from_item = last.item + 1;
        }
    }

    /// Files that the statement selects.
    pub async fn files(&self) -> Result<Table, Refusal> {
        let customer = self.required("customer").unwrap_or_default();
        let columns = ["file", "customer", "name", "purpose", "bytes", "lines", "complete"];
        let mut selected = Table::new(&columns);
        let mut after_file_id = String::new();
        loop {
            let list = ListFiles { customer: customer.clone(), after_file_id, limit: PAGE_ROWS };
            let answer = self.read(query::Query::ListFiles(list)).await?;
            let query_answer::Answer::Files(page) = answer else { return Err(unexpected()) };
            self.select(&mut selected, page.files.iter().map(file_row).collect())?;
            let Some(last) = page.files.last().filter(|_| page.more) else { return Ok(selected) };
            after_file_id = last.file_id.clone();
        }
    }

    fn required(&self, column: &str) -> Option<String> {
        required_value(self.show.filter.as_ref(), column)
    }

    async fn read(&self, query: query::Query) -> Result<query_answer::Answer, Refusal> {
        let query = Query { query: Some(query) };
        match self.state.query(query).await.map_err(unavailable)?.answer {
            Some(query_answer::Answer::Refused(refused)) => Err(refused.into()),
            Some(answer) => Ok(answer),
            None => Err(unexpected()),
        }
    }

    /// Keeps the rows of a page that satisfy the statement's condition.
    fn select(&self, selected: &mut Table, rows: Vec<Vec<Cell>>) -> Result<(), Refusal> {
        let page = Table { columns: selected.columns.clone(), rows };
        let filter = Show { order: Vec::new(), limit: None, after: None, ..self.show.clone() };
        let kept = filter
            .evaluate(&page)
            .map_err(|error| Refusal::not_run(RefusalKind::InvalidRequest, error.to_string()))?;
        selected.rows.extend(kept.rows.into_iter().map(<[Cell]>::to_vec));
        if selected.rows.len() > MATCH_LIMIT {
            let message = format!("over {MATCH_LIMIT} rows match: narrow the condition");
            return Err(Refusal::not_run(RefusalKind::InvalidRequest, message));
        }
        Ok(())
    }
}

fn job_row(job: &Job) -> Vec<Cell> {
    let state = match job.state() {
        JobState::Completed => "completed",
        JobState::JobCancelledState => "cancelled",
        JobState::InProgress | JobState::Unspecified => "in_progress",
    };
    let ended_at = if job.finished_at_unix_ms > 0 { job.finished_at_unix_ms } else { unix_ms() };
    vec![
        job.job_id.as_str().into(),
        job.customer.as_str().into(),
        job.service.as_str().into(),
        state.into(),
        u64::from(job.items).into(),
        u64::from(job.succeeded).into(),
        u64::from(job.failed).into(),
        u64::from(job.cancelled).into(),
        u64::from(job.leased).into(),
        job.created_at_unix_ms.into(),
        job.deadline_unix_ms.into(),
        (ended_at > job.deadline_unix_ms).into(),
    ]
}

fn item_row(item: &Item) -> Vec<Cell> {
    let state = match item.state() {
        ItemState::Unspecified => "unknown",
        ItemState::ItemPending => "pending",
        ItemState::ItemLeased => "running",
        ItemState::ItemSucceeded => "succeeded",
        ItemState::ItemFailed => "failed",
        ItemState::ItemCancelled => "cancelled",
    };
    let holder = if item.holder.is_empty() { Cell::Null } else { item.holder.as_str().into() };
    vec![
        item.job_id.as_str().into(),
        u64::from(item.item).into(),
        item.custom_id.as_str().into(),
        state.into(),
        u64::from(item.attempts).into(),
        u64::from(item.status).into(),
        holder,
    ]
}

fn file_row(file: &File) -> Vec<Cell> {
    vec![
        file.file_id.as_str().into(),
        file.customer.as_str().into(),
        file.name.as_str().into(),
        file.purpose.as_str().into(),
        file.size_bytes.into(),
        u64::from(file.lines).into(),
        file.complete.into(),
    ]
}

fn unexpected() -> Refusal {
    Refusal::not_run(RefusalKind::ControlUnavailable, "unexpected answer of the control hosts")
}
