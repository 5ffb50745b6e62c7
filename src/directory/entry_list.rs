use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::schema::peer::EntryHost;

/// Number of removals that are remembered; hosts with an older copy receive the whole list.
const MAX_REMOVALS: usize = 1_000;

/// Entry hosts by name, with revisions, so that a host with a copy receives only what changed.
#[derive(Debug, Default)]
pub struct EntryList {
    revision: u64,
    hosts: HashMap<String, (Arc<EntryHost>, u64)>,
    /// Names of removed hosts with the revision of their removal, oldest first.
    removals: VecDeque<(String, u64)>,
    /// Revision of the last removal that was forgotten.
    forgotten_revision: u64,
}

/// Changes of an [`EntryList`] since a revision.
#[derive(Debug, Default, PartialEq)]
pub struct EntryChanges {
    /// Hosts that are new or have changed.
    pub changed: Vec<EntryHost>,
    /// Names of the hosts that are gone.
    pub removed: Vec<String>,
    /// Hosts that `changed` leaves out are gone.
    pub is_complete: bool,
}

impl EntryList {
    /// Adds or replaces a host; true if the list has changed. An older record of a known host, as a slow
    /// control host may relay it, is ignored.
    pub fn insert(&mut self, host: &Arc<EntryHost>) -> bool {
        let known = self.hosts.get(&host.host_id);
        if known.is_some_and(|(known, _)| known == host || recency(known) > recency(host)) {
            return false;
        }
        self.revision += 1;
        self.hosts.insert(host.host_id.clone(), (host.clone(), self.revision));
        true
    }

    /// Removes a host; true if it was listed.
    pub fn remove(&mut self, host_id: &str) -> bool {
        if self.hosts.remove(host_id).is_none() {
            return false;
        }
        self.revision += 1;
        self.removals.push_back((host_id.to_owned(), self.revision));
        if self.removals.len() > MAX_REMOVALS {
            let forgotten = self.removals.pop_front();
            self.forgotten_revision = forgotten.map_or(0, |(_, revision)| revision);
        }
        true
    }

    /// Makes the list equal to `hosts`; true if it has changed.
    pub fn replace(&mut self, hosts: &[Arc<EntryHost>]) -> bool {
        let before = self.revision;
        let gone: Vec<String> = {
            let listed: std::collections::HashSet<&str> =
                hosts.iter().map(|host| host.host_id.as_str()).collect();
            self.hosts.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect()
        };
        for host_id in gone {
            self.remove(&host_id);
        }
        for host in hosts {
            self.insert(host);
        }
        self.revision != before
    }

    /// Number that grows with each change. It starts at 1, so that a host without a copy can send 0.
    pub fn revision(&self) -> u64 {
        self.revision + 1
    }

    /// What changed after `revision`; everything if `revision` is 0 or unknown here.
    pub fn changes_since(&self, revision: u64) -> EntryChanges {
        let is_known = (self.forgotten_revision + 1..=self.revision()).contains(&revision);
        if revision == 0 || !is_known {
            let changed = self.hosts.values().map(|(host, _)| EntryHost::clone(host)).collect();
            return EntryChanges { changed, removed: Vec::new(), is_complete: true };
        }
        let changed = self.hosts.values().filter(|(_, changed_at)| *changed_at >= revision);
        let removed = self.removals.iter().filter(|(host_id, removed_at)| {
            *removed_at >= revision && !self.hosts.contains_key(host_id)
        });
        EntryChanges {
            changed: changed.map(|(host, _)| EntryHost::clone(host)).collect(),
            removed: removed.map(|(host_id, _)| host_id.clone()).collect(),
            is_complete: false,
        }
    }

    /// All hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<EntryHost>> {
        self.hosts.values().map(|(host, _)| host)
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// True if there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Key by which records of the same host are compared; the larger one is newer.
pub(super) fn recency(host: &EntryHost) -> (u64, u64) {
    (host.started_at_unix_ms, host.sequence)
}
