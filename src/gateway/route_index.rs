use std::collections::HashMap;
use std::sync::Arc;

use crate::schema::routes::{CallerLimits, Route, RouteTable};

/// The routes in force, found by host and path; replaced as a whole with each version.
#[derive(Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    /// Indexes of the routes of a host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteIndex {
    /// An index of the table.
    pub fn new(table: Arc<RouteTable>) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(table.routes[*place].path_prefix.len()));
        }
        Self { table, by_host }
    }

    /// Version of the routes; 0 before the first.
    pub fn version(&self) -> u64 {
        self.table.version
    }

    /// The route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let places = self.by_host.get(host)?;
        let routes = places.iter().map(|place| &self.table.routes[*place]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Bounds on what callers may send, once there are routes.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.table.limits.as_ref()
    }
}
