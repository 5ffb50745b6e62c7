use crate::admission::{Refusal, RefusalKind};
use crate::query::{Cell, Show, Table};
use crate::schema::state::{query, query_answer, ListFiles, ListItems, ListJobs};
use crate::serving::read;
use crate::state::StateClient;

/// Maximum rows of one read.
const PAGE_ROWS: u32 = 1_000;
/// Maximum rows that a statement may select; a statement that matches more is refused.
const MAX_MATCHING_ROWS: usize = 200_000;

/// Reads tables of the replicated state page by page and keeps the rows that a statement selects.
pub struct StateTables<'a> {
    /// Client of the replicated state.
    pub state: &'a dyn StateClient,
    /// The statement that selects the rows.
    pub show: &'a Show,
}

impl StateTables<'_> {
    /// Jobs that the statement selects.
    pub async fn jobs(&self) -> Result<Table, Refusal> {
        let customer = self.required_value("customer").unwrap_or_default();
        let mut selected = Table::from_jobs(&[]);
        let mut after_job_id = String::new();
        loop {
            let list = ListJobs { customer: customer.clone(), after_job_id, limit: PAGE_ROWS };
            let answer = read(self.state, query::Query::ListJobs(list)).await?;
            let query_answer::Answer::Jobs(page) = answer else { return Err(unexpected_answer()) };
            self.select(&mut selected, Table::from_jobs(&page.jobs))?;
            let Some(last) = page.jobs.last().filter(|_| page.more) else { return Ok(selected) };
            after_job_id = last.job_id.clone();
        }
    }

    /// Items that the statement selects, all of the one job that its condition must name.
    pub async fn items(&self) -> Result<Table, Refusal> {
        let Some(job_id) = self.required_value("job") else {
            let message = "`show items` needs a condition such as `where job = j-17`";
            return Err(Refusal::not_run(RefusalKind::InvalidRequest, message));
        };
        let mut selected = Table::from_items(&[]);
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
            let answer = read(self.state, query::Query::ListItems(list)).await?;
            let query_answer::Answer::Items(page) = answer else { return Err(unexpected_answer()) };
            self.select(&mut selected, Table::from_items(&page.items))?;
            let Some(last) = page.items.last().filter(|_| page.more) else { return Ok(selected) };
            from_item = last.item + 1;
        }
    }

    /// Files that the statement selects.
    pub async fn files(&self) -> Result<Table, Refusal> {
        let customer = self.required_value("customer").unwrap_or_default();
        let mut selected = Table::from_files(&[]);
        let mut after_file_id = String::new();
        loop {
            let list = ListFiles { customer: customer.clone(), after_file_id, limit: PAGE_ROWS };
            let answer = read(self.state, query::Query::ListFiles(list)).await?;
            let query_answer::Answer::Files(page) = answer else { return Err(unexpected_answer()) };
            self.select(&mut selected, Table::from_files(&page.files))?;
            let Some(last) = page.files.last().filter(|_| page.more) else { return Ok(selected) };
            after_file_id = last.file_id.clone();
        }
    }

    /// The value that the statement's condition requires in `column`.
    fn required_value(&self, column: &str) -> Option<String> {
        self.show.required_value(column)
    }

    /// Adds the rows of a page that satisfy the statement's condition to `selected`.
    fn select(&self, selected: &mut Table, page: Table) -> Result<(), Refusal> {
        let unpaged = Show { order: Vec::new(), limit: None, after: None, ..self.show.clone() };
        let matching = unpaged
            .evaluate(&page)
            .map_err(|error| Refusal::not_run(RefusalKind::InvalidRequest, error.to_string()))?;
        selected.rows.extend(matching.rows.into_iter().map(<[Cell]>::to_vec));
        if selected.rows.len() > MAX_MATCHING_ROWS {
            let message = format!("over {MAX_MATCHING_ROWS} rows match: narrow the condition");
            return Err(Refusal::not_run(RefusalKind::InvalidRequest, message));
        }
        Ok(())
    }
}

fn unexpected_answer() -> Refusal {
    Refusal::not_run(RefusalKind::ControlUnavailable, "unexpected answer of the control hosts")
}
