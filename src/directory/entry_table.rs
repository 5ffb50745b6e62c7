use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::schema::peer::EntryHost;

/// Silence after which an entry host is no longer offered to callers. Entry hosts ask several times a
/// second.
const SILENCE: Duration = Duration::from_millis(2_500);

/// The entry hosts that ask a control host for what is new.
#[derive(Debug, Default)]
pub struct EntryTable {
    revision: u64,
    hosts: HashMap<String, (EntryHost, Instant)>,
}

impl EntryTable {
    /// Takes what an entry host says of itself; true if that is new.
    pub fn hear(&mut self, host: &EntryHost, now: Instant) -> bool {
        let known = self.hosts.get_mut(&host.host_id);
        if let Some((known, heard)) = known {
            *heard = now;
            if known == host {
                return false;
            }
        }
        self.hosts.insert(host.host_id.clone(), (host.clone(), now));
        self.revision += 1;
        true
    }

    /// Drops entry hosts that fell silent; true if there were some.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.hosts.len();
        self.hosts.retain(|_, (_, heard)| now.duration_since(*heard) < SILENCE);
        let changed = self.hosts.len() != before;
        self.revision += u64::from(changed);
        changed
    }

    /// Grows with each change; starts at 1 so that 0 stands for knowing nothing.
    pub fn revision(&self) -> u64 {
        self.revision + 1
    }

    /// All entry hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &EntryHost> {
        self.hosts.values().map(|(host, _)| host)
    }
}
