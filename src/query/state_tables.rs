use crate::query::{Cell, Table};
use crate::schema::config::{Configuration, Customer, Service, ServiceKind};
use crate::schema::state::{File, Item, ItemState, Job, JobState};

impl Table {
    /// Rows of `show jobs`.
    pub fn of_jobs(jobs: &[Job]) -> Self {
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
                text(&job.job_id),
                text(&job.customer),
                job_state(job.state()).into(),
                text(&job.service),
                text(&job.endpoint),
                count(job.items),
                count(job.succeeded),
                count(job.failed),
                count(job.cancelled),
                count(job.leased),
                time(job.deadline_unix_ms),
                time(job.created_at_unix_ms),
                time(job.finished_at_unix_ms),
                text(&job.file_id),
                count(job.max_attempts),
            ]);
        }
        table
    }

    /// Rows of `show items`.
    pub fn of_items(items: &[Item]) -> Self {
        let mut table =
            Self::new(&["job", "item", "custom_id", "state", "attempts", "status", "holder"]);
        for item in items {
            let status = if item.status == 0 { Cell::Null } else { count(item.status) };
            table.rows.push(vec![
                text(&item.job_id),
                count(item.item),
                text(&item.custom_id),
                item_state(item.state()).into(),
                count(item.attempts),
                status,
                text(&item.holder),
            ]);
        }
        table
    }

    /// Rows of `show files`.
    pub fn of_files(files: &[File]) -> Self {
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
                text(&file.file_id),
                text(&file.customer),
                text(&file.name),
                text(&file.purpose),
                file.size_bytes.into(),
                count(file.lines),
                file.complete.into(),
                time(file.created_at_unix_ms),
            ]);
        }
        table
    }

    /// Rows of `show services`; a field that is left to its default is empty.
    pub fn of_services(services: &[Service]) -> Self {
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
                text(&service.name),
                kind.into(),
                text(&models.join(" ")),
                service.record_answers.map_or(Cell::Null, Cell::Flag),
                service.serve_when_isolated.into(),
                service.max_attempts.map_or(Cell::Null, count),
                service.not_repeatable.into(),
                service.upstreams_check_fencing.into(),
            ]);
        }
        table
    }

    /// Rows of `show customers`; a limit of 0 stands for none.
    pub fn of_customers(customers: &[Customer]) -> Self {
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
                text(&customer.name),
                customer.weight.map_or(Cell::Null, count),
                count(customer.requests_per_s),
                count(customer.tokens_per_s),
                count(customer.concurrent_requests),
                (!customer.token_sha256.is_empty()).into(),
            ]);
        }
        table
    }

    /// Rows of `show configuration`: the version and the policy.
    pub fn of_configuration(configuration: &Configuration) -> Self {
        let policy = configuration.policy.unwrap_or_default();
        let small = |value: Option<u32>| value.map(u64::from);
        let values = [
            ("version", Some(configuration.version)),
            ("services", Some(configuration.services.len() as u64)),
            ("customers", Some(configuration.customers.len() as u64)),
            ("batch_yield", small(policy.batch_yield)),
            ("answer_retention_ms", policy.answer_retention_ms),
            ("result_retention_ms", policy.result_retention_ms),
            ("retry_budget_percent", small(policy.retry_budget_percent)),
            ("ejection_limit_percent", small(policy.ejection_limit_percent)),
            ("crash_verdict_ms", policy.crash_verdict_ms),
            ("order_flight_ms", small(policy.order_flight_ms)),
            ("weight_store_bytes_per_s", policy.weight_store_bytes_per_s),
        ];
        let mut table = Self::new(&["name", "value"]);
        for (name, value) in values {
            table.rows.push(vec![name.into(), value.map_or(Cell::Null, Cell::from)]);
        }
        table
    }
}

/// Empty text counts as no value.
pub(super) fn text(text: &str) -> Cell {
    if text.is_empty() {
        return Cell::Null;
    }
    text.into()
}

pub(super) fn count(number: u32) -> Cell {
    u64::from(number).into()
}

fn time(unix_ms: u64) -> Cell {
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
