use crate::membership::MembershipView;
use crate::query::state_tables::{count, text};
use crate::query::Table;

impl Table {
    /// Rows of `show hosts`.
    pub fn of_hosts(view: &MembershipView) -> Self {
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
        ]);
        for host in &view.hosts {
            let record = &host.record;
            table.rows.push(vec![
                text(&record.host_id),
                text(&record.zone),
                text(&record.region),
                host.status.name().into(),
                record.entry.into(),
                record.control.into(),
                text(&record.caller_address),
                text(&record.peer_address),
                record.configuration_version.into(),
            ]);
        }
        table
    }

    /// Rows of `show upstreams`; `in_use` tells how many slots of an upstream this host uses.
    pub fn of_upstreams(view: &MembershipView, in_use: &dyn Fn(&str) -> u64) -> Self {
        let mut table = Self::new(&[
            "upstream",
            "service",
            "zone",
            "region",
            "status",
            "address",
            "models",
            "slots",
            "in_use",
            "role",
            "home_host",
        ]);
        for upstream in &view.upstreams {
            let record = &upstream.record;
            let models: Vec<_> = record.models.iter().map(|model| model.name.as_str()).collect();
            table.rows.push(vec![
                text(&record.upstream_id),
                text(&record.service),
                text(&record.zone),
                text(&record.region),
                upstream.status.name().into(),
                text(&record.address),
                text(&models.join(" ")),
                count(record.slots),
                in_use(&record.upstream_id).into(),
                text(&record.role),
                text(&record.home_host_id),
            ]);
        }
        table
    }
}
