use crate::admin::FleetReports;
use crate::configuration::ConfigurationView;
use crate::membership::MembershipView;
use crate::query::{Cell, Table};

/// Hosts with what they report.
pub fn hosts(view: &MembershipView, reports: &FleetReports) -> Table {
    let mut table = Table::new(&[
        "host",
        "zone",
        "region",
        "entry",
        "control",
        "status",
        "draining",
        "configuration_version",
        "configuration_age_ms",
        "open_requests",
        "leads",
        "applied_index",
        "fault",
        "caller_address",
        "peer_address",
    ]);
    for host in &view.hosts {
        let record = &host.record;
        let report = reports.by_host.get(&record.host_id);
        let group = report.and_then(|report| report.groups.first());
        let fault = group.map(|group| group.fault.as_str()).filter(|fault| !fault.is_empty());
        table.rows.push(vec![
            record.host_id.as_str().into(),
            record.zone.as_str().into(),
            record.region.as_str().into(),
            record.entry.into(),
            record.control.into(),
            host.status.name().into(),
            report.map_or(Cell::Null, |report| report.draining.into()),
            report.map_or(Cell::Null, |report| report.configuration_version.into()),
            report.and_then(|report| report.configuration_age_ms).map_or(Cell::Null, Cell::from),
            report.map_or(Cell::Null, |report| u64::from(report.open_requests).into()),
            group.map_or(Cell::Null, |group| (group.leader_id == group.replica_id).into()),
            group.map_or(Cell::Null, |group| group.applied_index.into()),
            fault.map_or(Cell::Null, Cell::from),
            record.caller_address.as_str().into(),
            record.peer_address.as_str().into(),
        ]);
    }
    table
}

/// Upstreams with their slots in use over all hosts.
pub fn upstreams(view: &MembershipView, reports: &FleetReports) -> Table {
    let mut table = Table::new(&[
        "upstream",
        "service",
        "models",
        "zone",
        "region",
        "status",
        "slots",
        "online_in_use",
        "batch_in_use",
        "load",
        "address",
        "home_host",
    ]);
    for upstream in &view.upstreams {
        let record = &upstream.record;
        let (online, batch) = reports.slots_in_use(&record.upstream_id);
        let load = f64::from(online + batch) / f64::from(record.slots.max(1));
        let models: Vec<_> = record.models.iter().map(|model| model.name.as_str()).collect();
        table.rows.push(vec![
            record.upstream_id.as_str().into(),
            record.service.as_str().into(),
            models.join(" ").as_str().into(),
            record.zone.as_str().into(),
            record.region.as_str().into(),
            upstream.status.name().into(),
            u64::from(record.slots).into(),
            u64::from(online).into(),
            u64::from(batch).into(),
            Cell::Decimal(load),
            record.address.as_str().into(),
            record.home_host_id.as_str().into(),
        ]);
    }
    table
}

/// Services of the configuration.
pub fn services(view: &ConfigurationView) -> Table {
    let mut table = Table::new(&[
        "service",
        "kind",
        "models",
        "record_answers",
        "serve_when_isolated",
        "not_repeatable",
        "max_attempts",
    ]);
    for service in &view.configuration().services {
        let models: Vec<_> = service.models.iter().map(|model| model.name.as_str()).collect();
        table.rows.push(vec![
            service.name.as_str().into(),
            service.kind().as_str_name().into(),
            models.join(" ").as_str().into(),
            view.records_answers(&service.name).into(),
            service.serve_when_isolated.into(),
            service.not_repeatable.into(),
            u64::from(view.max_attempts(&service.name)).into(),
        ]);
    }
    table
}

/// Customers of the configuration.
pub fn customers(view: &ConfigurationView) -> Table {
    let mut table = Table::new(&[
        "customer",
        "weight",
        "requests_per_s",
        "tokens_per_s",
        "concurrent_requests",
        "has_token",
    ]);
    for customer in &view.configuration().customers {
        table.rows.push(vec![
            customer.name.as_str().into(),
            u64::from(customer.weight.unwrap_or(1)).into(),
            limit(customer.requests_per_s),
            limit(customer.tokens_per_s),
            limit(customer.concurrent_requests),
            (!customer.token_sha256.is_empty()).into(),
        ]);
    }
    table
}

/// Version of the configuration in force on each host.
pub fn configuration(view: &MembershipView, reports: &FleetReports) -> Table {
    let mut table = Table::new(&["host", "version", "age_ms"]);
    for host in view.hosts.iter().filter(|host| host.record.entry) {
        let report = reports.by_host.get(&host.record.host_id);
        let age_ms = report.and_then(|report| report.configuration_age_ms);
        table.rows.push(vec![
            host.record.host_id.as_str().into(),
            report.map_or(Cell::Null, |report| report.configuration_version.into()),
            age_ms.map_or(Cell::Null, Cell::from),
        ]);
    }
    table
}

/// Counters of all hosts.
pub fn counters(reports: &FleetReports) -> Table {
    let mut table = Table::new(&["host", "name", "value"]);
    for (host_id, report) in &reports.by_host {
        for (name, value) in &report.counters {
            let row = vec![host_id.as_str().into(), name.as_str().into(), (*value).into()];
            table.rows.push(row);
        }
    }
    table
}

/// 0 stands for no limit.
fn limit(value: u32) -> Cell {
    match value {
        0 => Cell::Null,
        value => u64::from(value).into(),
    }
}
