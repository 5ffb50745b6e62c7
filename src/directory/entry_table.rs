use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::schema::peer::EntryHost;

/// Time without a sync request after which an entry host is no longer offered to callers. Entry
/// hosts send several requests a second.
const ENTRY_HOST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The entry hosts that send sync requests to a control host.
#[derive(Debug, Default)]
pub struct EntryTable {
    revision: u64,
    /// Entry hosts by their names, with the time of the last request.
    hosts: HashMap<String, (EntryHost, Instant)>,
}

impl EntryTable {
    /// Adds or refreshes an entry host; true if it is new or has changed.
    pub fn upsert(&mut self, host: &EntryHost, now: Instant) -> bool {
        let known = self.hosts.get_mut(&host.host_id);
        if let Some((known, last_seen)) = known {
            *last_seen = now;
            if known == host {
                return false;
            }
        }
        self.hosts.insert(host.host_id.clone(), (host.clone(), now));
        self.revision += 1;
        true
    }

    /// Drops the entry hosts that stopped sending sync requests; true if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.hosts.len();
        self.hosts.retain(|_, (_, last_seen)| now.duration_since(*last_seen) < ENTRY_HOST_TIMEOUT);
        let changed = self.hosts.len() != before;
        self.revision += u64::from(changed);
        changed
    }

    /// Number that grows with each change. It starts at 1, so that a host without a copy of the
    /// table can send 0.
    pub fn revision(&self) -> u64 {
        self.revision + 1
    }

    /// All entry hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &EntryHost> {
        self.hosts.values().map(|(host, _)| host)
    }
}
