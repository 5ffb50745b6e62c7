use std::collections::HashMap;
use std::sync::Arc;

use crate::schema::routes::{CallerLimits, Route, RouteKind, RouteTable};
use crate::teams::{KeyUse, QuotaRegistry, TeamIndex};

/// An index of the current routes by host and path; replaced as a whole with each version.
#[derive(Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    /// Positions in the table of the routes of each host, the longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    teams: TeamIndex,
}

impl RouteIndex {
    /// Builds the index of a table. The quotas of its teams keep their counts through `registry`.
    pub fn new(table: Arc<RouteTable>, registry: &QuotaRegistry) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(table.routes[*index].path_prefix.len()));
        }
        let teams = TeamIndex::new(table.clone(), registry);
        Self { table, by_host, teams }
    }

    /// The teams by their keys.
    pub fn teams(&self) -> &TeamIndex {
        &self.teams
    }

    /// Whether calls about batch jobs of this host need a key.
    pub fn job_key_use(&self, host: &str) -> KeyUse {
        let routes = self.by_host.get(host).into_iter().flatten();
        let mut routes = routes.map(|index| &self.table.routes[*index]);
        match routes.any(|route| route.kind() == RouteKind::Batch && route.anonymous) {
            true => KeyUse::Optional,
            false => KeyUse::Required,
        }
    }

    /// Version of the routes; 0 until the first table is received.
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// The route with the longest path prefix that matches a request; `None` if none matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let indexes = self.by_host.get(host)?;
        let routes = indexes.iter().map(|index| &self.table.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Limits on callers' requests; `None` until the first table is received.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.table.limits.as_ref()
    }
}
