use std::collections::HashMap;
use std::sync::Arc;

use crate::schema::routes::RouteTable;
use crate::teams::{Member, QuotaRegistry, TeamQuota};

/// Teams by their keys; built once for each version of the routes. A lookup takes no lock and copies nothing.
#[derive(Default)]
pub struct TeamIndex {
    table: Arc<RouteTable>,
    by_key: HashMap<String, usize>,
    /// Quotas in the order of the teams in the table.
    quotas: Vec<Option<Arc<TeamQuota>>>,
}

impl TeamIndex {
    /// Builds the index of a table. Quotas keep their counts through `registry`.
    pub fn new(table: Arc<RouteTable>, registry: &QuotaRegistry) -> Self {
        let mut by_key = HashMap::new();
        for (position, team) in table.teams.iter().enumerate() {
            for key in &team.keys {
                // A key of two teams identifies none; tables with one are rejected before they are installed.
                by_key
                    .entry(key.clone())
                    .and_modify(|position| *position = usize::MAX)
                    .or_insert(position);
            }
        }
        let quotas = registry.update(&table.teams);
        Self { table, by_key, quotas }
    }

    /// True if there are no teams, so that requests carry no keys.
    pub fn is_empty(&self) -> bool {
        self.table.teams.is_empty()
    }

    /// The team with this key.
    pub fn find(&self, key: &str) -> Option<Member<'_>> {
        let position = *self.by_key.get(key)?;
        let team = self.table.teams.get(position)?;
        Some(Member { team, quota: self.quotas.get(position).and_then(Option::as_ref) })
    }

    /// The team of this name.
    pub fn named(&self, name: &str) -> Option<Member<'_>> {
        let position = self.table.teams.iter().position(|team| team.name == name)?;
        let quota = self.quotas.get(position).and_then(Option::as_ref);
        Some(Member { team: &self.table.teams[position], quota })
    }
}

/// Leaves the keys out, as they must not get into logs.
impl std::fmt::Debug for TeamIndex {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names = self.table.teams.iter().map(|team| &team.name);
        formatter.debug_set().entries(names).finish()
    }
}
