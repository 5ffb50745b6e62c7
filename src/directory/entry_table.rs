use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::EntryList;
use crate::schema::peer::EntryHost;

/// Time without a sync request after which an entry host is no longer offered to callers. Entry
/// hosts send several requests a second.
const ENTRY_HOST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The entry hosts that send sync requests to a control host.
#[derive(Debug, Default)]
pub struct EntryTable {
    list: EntryList,
    /// Time of the last request of each host.
    last_seen: HashMap<String, Instant>,
    /// Version of the routes of each host.
    routes_versions: HashMap<String, u64>,
}

impl EntryTable {
    /// Adds or refreshes an entry host; true if it is new or has changed.
    pub fn upsert(&mut self, host: &EntryHost, now: Instant) -> bool {
        if let Some(last_seen) = self.last_seen.get_mut(&host.host_id) {
            *last_seen = now;
        } else {
            self.last_seen.insert(host.host_id.clone(), now);
        }
        self.list.insert(&Arc::new(host.clone()))
    }

    /// Records the version of the routes that an entry host reports.
    pub fn record_routes_version(&mut self, host_id: &str, version: u64) {
        match self.routes_versions.get_mut(host_id) {
            Some(known) => *known = version,
            None => drop(self.routes_versions.insert(host_id.to_owned(), version)),
        }
    }

    /// The oldest version of the routes among the entry hosts; `None` if there are none.
    pub fn oldest_routes_version(&self) -> Option<u64> {
        self.routes_versions.values().copied().min()
    }

    /// Drops the entry hosts that stopped sending sync requests; true if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let Self { list, last_seen, routes_versions } = self;
        let before = last_seen.len();
        last_seen.retain(|host_id, last_seen| {
            let is_fresh = now.duration_since(*last_seen) < ENTRY_HOST_TIMEOUT;
            if !is_fresh {
                list.remove(host_id);
                routes_versions.remove(host_id);
            }
            is_fresh
        });
        last_seen.len() != before
    }

    /// The hosts with their revisions.
    pub fn list(&self) -> &EntryList {
        &self.list
    }
}
