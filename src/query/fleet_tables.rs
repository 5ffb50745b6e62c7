use std::collections::BTreeMap;

use crate::membership::MembershipView;
use crate::query::state_tables::{count, text};
use crate::query::{Cell, Table};
use crate::schema::peer::HostStatus;

/// What hosts report about themselves, by host.
type Reports = BTreeMap<String, HostStatus>;

impl Table {
    /// Rows of `show hosts`; cells that only the host itself knows are empty without its report.
    pub fn of_hosts(view: &MembershipView, reports: &Reports) -> Self {
        let mut table = Self::new(&[
            "host",
            "zone",
            "region",
            "status",
            "entry",
            "control",
            "caller_address",
            "peer_address",
            "configuration_version",
            "configuration_age_ms",
            "open_requests",
            "draining",
            "leads",
            "applied_index",
            "fault",
        ]);
        for host in &view.hosts {
            let record = &host.record;
            let report = reports.get(&record.host_id);
            let group = report.and_then(|report| report.groups.first());
            let age_ms = report.and_then(|report| report.configuration_age_ms);
            table.rows.push(vec![
                text(&record.host_id),
                text(&record.zone),
                text(&record.region),
                host.status.name().into(),
                record.entry.into(),
                record.control.into(),
                text(&record.caller_address),
                text(&record.peer_address),
                report.map_or(Cell::Null, |report| report.configuration_version.into()),
                age_ms.map_or(Cell::Null, Cell::from),
                report.map_or(Cell::Null, |report| count(report.open_requests)),
                report.map_or(Cell::Null, |report| report.draining.into()),
                group.map_or(Cell::Null, |group| (group.leader_id == group.replica_id).into()),
                group.map_or(Cell::Null, |group| group.applied_index.into()),
                group.map_or(Cell::Null, |group| text(&group.fault)),
            ]);
        }
        table
    }

    /// Rows of `show upstreams`, with the slots that all hosts together use.
    pub fn of_upstreams(view: &MembershipView, reports: &Reports) -> Self {
        let mut table = Self::new(&[
            "upstream",
            "service",
            "zone",
            "region",
            "status",
            "address",
            "models",
            "slots",
            "online_in_use",
            "batch_in_use",
            "load",
            "role",
            "home_host",
        ]);
        for upstream in &view.upstreams {
            let record = &upstream.record;
            let models: Vec<_> = record.models.iter().map(|model| model.name.as_str()).collect();
            let (online, batch) = slots_in_use(reports, &record.upstream_id);
            let load = f64::from(online + batch) / f64::from(record.slots.max(1));
            table.rows.push(vec![
                text(&record.upstream_id),
                text(&record.service),
                text(&record.zone),
                text(&record.region),
                upstream.status.name().into(),
                text(&record.address),
                text(&models.join(" ")),
                count(record.slots),
                count(online),
                count(batch),
                Cell::Decimal(load),
                text(&record.role),
                text(&record.home_host_id),
            ]);
        }
        table
    }

    /// Rows of `show counters`.
    pub fn of_counters(reports: &Reports) -> Self {
        let mut table = Self::new(&["host", "name", "value"]);
        for (host_id, report) in reports {
            for (name, value) in &report.counters {
                table.rows.push(vec![text(host_id), text(name), (*value).into()]);
            }
        }
        table
    }
}

/// Slots of an upstream that all hosts together use for online and for batch work.
fn slots_in_use(reports: &Reports, upstream_id: &str) -> (u32, u32) {
    let mut total = (0, 0);
    for used in reports.values().flat_map(|report| &report.slots) {
        if used.upstream_id != upstream_id {
            continue;
        }
        total.0 += used.online_in_use;
        total.1 += used.batch_in_use;
    }
    total
}
