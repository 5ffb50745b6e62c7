use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::boot_instant::BootInstant;
use crate::directory::entry_list::recency;
use crate::directory::DirectorySource;
use crate::raft::LeaderBelief;
use crate::schema::peer::{ControlHostEntry, ControlSync, EntryHost, EntrySync};

/// Time without a reply after which the entry hosts that a control host listed no longer count. Entry
/// hosts that lose a control host turn to another one within that time.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(4);

/// What this host knows from the replies of one control host, or, for the control host itself, from its
/// own tables.
#[derive(Debug, Default)]
pub(super) struct ControlHost {
    pub(super) source: DirectorySource,
    pub(super) is_leader: bool,
    /// The leader that it names, if it knows one.
    pub(super) leader: Option<LeaderBelief>,
    /// Term of that leader or, without one, the highest term that it has seen; 0 if unknown.
    pub(super) leader_term: u64,
    /// The control hosts that it listed last.
    pub(super) listed: Vec<ControlHostEntry>,
    /// Peer addresses of those that it reaches.
    pub(super) reached: HashSet<String>,
    pub(super) failing_since: Option<Instant>,
    pub(super) first_replied_at: Option<BootInstant>,
    /// Time of the last confirmation of the routes that it passed on.
    pub(super) routes_confirmed_at: Option<BootInstant>,
    listed_hash: u64,
    entries: HashMap<String, Arc<EntryHost>>,
    entries_revision: u64,
    /// The entry hosts are those of this host itself.
    is_local: bool,
}

impl ControlHost {
    /// True once it has replied.
    pub(super) fn has_replied(&self) -> bool {
        self.source.version != (0, 0)
    }

    /// True if it replies.
    pub(super) fn is_reached(&self) -> bool {
        self.has_replied() && self.failing_since.is_none()
    }

    /// Fills in what this host already has from the control host.
    pub(super) fn fill_request(&self, sync: &mut EntrySync) {
        (sync.directory_epoch, sync.directory_revision) = self.source.version;
        sync.entries_revision = self.entries_revision;
        sync.control_hosts_hash = self.listed_hash;
    }

    /// Applies the entry hosts of a reply; true if they have changed.
    pub(super) fn apply_entries(&mut self, reply: &mut ControlSync) -> bool {
        let changed = std::mem::take(&mut reply.changed_entries);
        let removed = std::mem::take(&mut reply.removed_entries);
        let has_changes = reply.entries_complete || !changed.is_empty() || !removed.is_empty();
        if reply.entries_complete {
            self.entries.clear();
        }
        for host in changed {
            self.entries.insert(host.host_id.clone(), Arc::new(host));
        }
        for host_id in removed {
            self.entries.remove(&host_id);
        }
        self.entries_revision = reply.entries_revision;
        has_changes
    }

    /// Replaces the entry hosts by those that this host itself knows.
    pub(super) fn replace_entries(&mut self, hosts: Vec<Arc<EntryHost>>) {
        self.is_local = true;
        self.entries = hosts.into_iter().map(|host| (host.host_id.clone(), host)).collect();
    }

    /// Applies what a reply of the control host at `source` says of the leader; true if that has changed.
    pub(super) fn apply_leader(
        &mut self,
        source: &str,
        reply: &mut ControlSync,
        now: Instant,
    ) -> bool {
        let named = std::mem::take(&mut reply.leader_address);
        let address = if reply.leads { source.to_owned() } else { named };
        let leader = (!address.is_empty()).then(|| LeaderBelief {
            address,
            term: reply.leader_term,
            source: source.to_owned(),
            heard_at: now,
        });
        let name = |leader: &Option<LeaderBelief>| {
            leader.as_ref().map(|leader| (leader.address.clone(), leader.term))
        };
        let changed = self.is_leader != reply.leads || name(&self.leader) != name(&leader);
        (self.is_leader, self.leader) = (reply.leads, leader);
        self.leader_term = reply.leader_term;
        changed
    }

    /// Applies the control hosts of a reply; true if they have changed.
    pub(super) fn apply_control_hosts(&mut self, reply: &mut ControlSync) -> bool {
        if reply.control_hosts_hash == self.listed_hash || reply.control_hosts.is_empty() {
            return false;
        }
        self.listed_hash = reply.control_hosts_hash;
        self.listed = std::mem::take(&mut reply.control_hosts);
        let reached = self.listed.iter().filter(|host| host.is_reached);
        self.reached = reached.map(|host| host.peer_address.clone()).collect();
        true
    }

    /// Merges the entry hosts of several control hosts, sorted by name; of two records of a host, the
    /// newer one holds.
    pub(super) fn merge_entries(sources: &[&Self], now: Instant) -> Vec<Arc<EntryHost>> {
        let mut merged: BTreeMap<&str, &Arc<EntryHost>> = BTreeMap::new();
        for source in sources {
            if !source.is_local && !source.source.replied_within(ENTRIES_TIMEOUT, now) {
                continue;
            }
            for host in source.entries.values() {
                let known = merged.entry(&host.host_id).or_insert(host);
                if recency(host) > recency(known) {
                    *known = host;
                }
            }
        }
        merged.into_values().cloned().collect()
    }
}
