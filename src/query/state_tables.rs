use crate::query::{Cell, Table};
use crate::schema::config::{Configuration, Customer, Service, ServiceKind};
use crate::schema::state::{File, Item, ItemState, Job, JobState};

impl Table {
    /// Rows of `show jobs`.
    pub fn from_jobs(jobs: &[Job]) -> Self {
        let mut table = Self::new(&[
            "job",
            "customer",
            "state",
            "service",
            "endpoint",
            "items",
            "succeeded",
            "failed",
            "cancelled",
            "leased",
            "deadline_unix_ms",
            "created_at_unix_ms",
            "finished_at_unix_ms",
            "file",
            "max_attempts",
        ]);
        for job in jobs {
            table.rows.push(vec![
                text_cell(&job.job_id),
                text_cell(&job.customer),
                job_state(job.state()).into(),
                text_cell(&job.service),
                text_cell(&job.endpoint),
                count_cell(job.items),
                count_cell(job.succeeded),
                count_cell(job.failed),
                count_cell(job.cancelled),
                count_cell(job.leased),
                time_cell(job.deadline_unix_ms),
                time_cell(job.created_at_unix_ms),
                time_cell(job.finished_at_unix_ms),
                text_cell(&job.file_id),
                count_cell(job.max_attempts),
            ]);
        }
        table
    }

    /// Rows of `show items`.
    pub fn from_items(items: &[Item]) -> Self {
        let mut table =
            Self::new(&["job", "item", "custom_id", "state", "attempts", "status", "holder"]);
        for item in items {
            let status = if item.status == 0 { Cell::Null } else { count_cell(item.status) };
            table.rows.push(vec![
                text_cell(&item.job_id),
                count_cell(item.item),
                text_cell(&item.custom_id),
                item_state(item.state()).into(),
                count_cell(item.attempts),
                status,
                text_cell(&item.holder),
            ]);
        }
        table
    }

    /// Rows of `show files`.
    pub fn from_files(files: &[File]) -> Self {
        let mut table = Self::new(&[
            "file",
            "customer",
            "name",
            "purpose",
            "size_bytes",
            "lines",
            "complete",
            "created_at_unix_ms",
        ]);
        for file in files {
            table.rows.push(vec![
                text_cell(&file.file_id),
                text_cell(&file.customer),
                text_cell(&file.name),
                text_cell(&file.purpose),
                file.size_bytes.into(),
                count_cell(file.lines),
                file.complete.into(),
                time_cell(file.created_at_unix_ms),
            ]);
        }
        table
    }

    /// Rows of `show services`; an optional field that is not set is null.
    pub fn from_services(services: &[Service]) -> Self {
        let mut table = Self::new(&[
            "service",
            "kind",
            "models",
            "record_answers",
            "serve_when_isolated",
            "max_attempts",
            "not_repeatable",
            "upstreams_check_fencing",
        ]);
        for service in services {
            let kind = match service.kind() {
                ServiceKind::Engine => "engine",
                ServiceKind::Plain => "plain",
            };
            let models: Vec<_> = service.models.iter().map(|model| model.name.as_str()).collect();
            table.rows.push(vec![
                text_cell(&service.name),
                kind.into(),
                text_cell(&models.join(" ")),
                service.record_answers.map_or(Cell::Null, Cell::Boolean),
                service.serve_when_isolated.into(),
                service.max_attempts.map_or(Cell::Null, count_cell),
                service.not_repeatable.into(),
                service.upstreams_check_fencing.into(),
            ]);
        }
        table
    }

    /// Rows of `show customers`; a limit of 0 means no limit.
    pub fn from_customers(customers: &[Customer]) -> Self {
        let mut table = Self::new(&[
            "customer",
            "weight",
            "requests_per_s",
            "tokens_per_s",
            "concurrent_requests",
            "has_token",
        ]);
        for customer in customers {
            table.rows.push(vec![
                text_cell(&customer.name),
                customer.weight.map_or(Cell::Null, count_cell),
                count_cell(customer.requests_per_s),
                count_cell(customer.tokens_per_s),
                count_cell(customer.concurrent_requests),
                (!customer.token_sha256.is_empty()).into(),
            ]);
        }
        table
    }

    /// Rows of `show configuration`: the version, the numbers of services and customers, and the
    /// policy.
    pub fn from_configuration(configuration: &Configuration) -> Self {
        let policy = configuration.policy.unwrap_or_default();
        let widen = |value: Option<u32>| value.map(u64::from);
        let values = [
            ("version", Some(configuration.version)),
            ("services", Some(configuration.services.len() as u64)),
            ("customers", Some(configuration.customers.len() as u64)),
            ("batch_yield", widen(policy.batch_yield)),
            ("answer_retention_ms", policy.answer_retention_ms),
            ("result_retention_ms", policy.result_retention_ms),
            ("retry_budget_percent", widen(policy.retry_budget_percent)),
            ("ejection_limit_percent", widen(policy.ejection_limit_percent)),
            ("crash_verdict_ms", policy.crash_verdict_ms),
            ("order_flight_ms", widen(policy.order_flight_ms)),
            ("weight_store_bytes_per_s", policy.weight_store_bytes_per_s),
        ];
        let mut table = Self::new(&["name", "value"]);
        for (name, value) in values {
            table.rows.push(vec![name.into(), value.map_or(Cell::Null, Cell::from)]);
        }
        table
    }
}

/// A cell of text; null if the text is empty.
pub(super) fn text_cell(text: &str) -> Cell {
    if text.is_empty() {
        return Cell::Null;
    }
    text.into()
}

/// A cell of an unsigned integer.
pub(super) fn count_cell(number: u32) -> Cell {
    u64::from(number).into()
}

/// A cell of a Unix time in milliseconds; null if it is 0, which means not set.
fn time_cell(unix_ms: u64) -> Cell {
    if unix_ms == 0 {
        return Cell::Null;
    }
    unix_ms.into()
}

fn job_state(state: JobState) -> &'static str {
    match state {
        JobState::Unspecified => "unspecified",
        JobState::InProgress => "in_progress",
        JobState::Completed => "completed",
        JobState::JobCancelledState => "cancelled",
    }
}

fn item_state(state: ItemState) -> &'static str {
    match state {
        ItemState::Unspecified => "unspecified",
        ItemState::ItemPending => "pending",
        ItemState::ItemLeased => "leased",
        ItemState::ItemSucceeded => "succeeded",
        ItemState::ItemFailed => "failed",
        ItemState::ItemCancelled => "cancelled",
    }
}
