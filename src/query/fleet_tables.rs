use std::collections::BTreeMap;

use crate::membership::MembershipView;
use crate::query::state_tables::{count_cell, text_cell};
use crate::query::{Cell, Table};
use crate::schema::peer::HostStatus;

/// Status reports of hosts by host id.
type HostReports = BTreeMap<String, HostStatus>;

impl Table {
    /// Rows of `show hosts`; cells that come from a host's status report are null if it is missing.
    pub fn from_hosts(view: &MembershipView, reports: &HostReports) -> Self {
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
                text_cell(&record.host_id),
                text_cell(&record.zone),
                text_cell(&record.region),
                host.status.name().into(),
                record.entry.into(),
                record.control.into(),
                text_cell(&record.caller_address),
                text_cell(&record.peer_address),
                report.map_or(Cell::Null, |report| report.configuration_version.into()),
                age_ms.map_or(Cell::Null, Cell::from),
                report.map_or(Cell::Null, |report| count_cell(report.open_requests)),
                report.map_or(Cell::Null, |report| report.draining.into()),
                group.map_or(Cell::Null, |group| (group.leader_id == group.replica_id).into()),
                group.map_or(Cell::Null, |group| group.applied_index.into()),
                group.map_or(Cell::Null, |group| text_cell(&group.fault)),
            ]);
        }
        table
    }

    /// Rows of `show upstreams`, with the slots in use summed over all hosts.
    pub fn from_upstreams(view: &MembershipView, reports: &HostReports) -> Self {
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
                text_cell(&record.upstream_id),
                text_cell(&record.service),
                text_cell(&record.zone),
                text_cell(&record.region),
                upstream.status.name().into(),
                text_cell(&record.address),
                text_cell(&models.join(" ")),
                count_cell(record.slots),
                count_cell(online),
                count_cell(batch),
                Cell::Float(load),
                text_cell(&record.role),
                text_cell(&record.home_host_id),
            ]);
        }
        table
    }

    /// Rows of `show counters`, one for each counter of each host.
    pub fn from_counters(reports: &HostReports) -> Self {
        let mut table = Self::new(&["host", "name", "value"]);
        for (host_id, report) in reports {
            for (name, value) in &report.counters {
                table.rows.push(vec![text_cell(host_id), text_cell(name), (*value).into()]);
            }
        }
        table
    }
}

/// Slots of an upstream in use for online requests and for batch items, summed over all hosts.
fn slots_in_use(reports: &HostReports, upstream_id: &str) -> (u32, u32) {
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
