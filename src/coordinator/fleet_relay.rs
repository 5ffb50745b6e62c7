use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::directory::{ControlHostList, EntryChanges, EntryList, FleetView, RelayDirectory};
use crate::schema::peer::{ControlHostEntry, ControlSync, EntrySync};

/// Shortest time between two changes of the entry hosts. A restart of many hosts changes them often, and
/// callers keep the answers to their lookups for seconds.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(200);

/// What a control host passes on to entry hosts: the upstreams and entry hosts of the whole fleet, the
/// control hosts and the leader.
pub(super) struct FleetRelay {
    directory: Mutex<RelayDirectory>,
    entries: Mutex<RelayedEntries>,
    control_hosts: ArcSwap<ControlHostList>,
    routes_version: Mutex<u64>,
}

#[derive(Default)]
struct RelayedEntries {
    list: EntryList,
    changed_at: Option<Instant>,
}

impl FleetRelay {
    /// Creates a relay that knows nothing yet.
    pub(super) fn new() -> Self {
        Self {
            directory: Mutex::new(RelayDirectory::new(rand::random_range(1..u64::MAX))),
            entries: Mutex::default(),
            control_hosts: ArcSwap::default(),
            routes_version: Mutex::default(),
        }
    }

    /// Applies the current view of the fleet; true if entry hosts have to be told of a change.
    pub(super) fn update(
        &self,
        view: &FleetView,
        control_hosts: Vec<ControlHostEntry>,
        now: Instant,
    ) -> bool {
        let mut changed = lock(&self.directory).replace(&view.known_upstreams, now);
        let mut entries = lock(&self.entries);
        let is_due = entries.changed_at.is_none_or(|at| now - at >= ENTRIES_INTERVAL);
        if is_due && entries.list.replace(&view.entries) {
            entries.changed_at = Some(now);
            changed = true;
        }
        drop(entries);
        let control_hosts = ControlHostList::new(control_hosts);
        if self.control_hosts.load().hash != control_hosts.hash {
            self.control_hosts.store(control_hosts.into());
            changed = true;
        }
        let mut routes_version = lock(&self.routes_version);
        changed |= view.routes.version > *routes_version;
        *routes_version = view.routes.version.max(*routes_version);
        changed
    }

    /// True if there is something to tell the entry host that sent this call.
    pub(super) fn has_changes(&self, sync: &EntrySync) -> bool {
        lock(&self.directory).version() != (sync.directory_epoch, sync.directory_revision)
            || lock(&self.entries).list.revision() != sync.entries_revision
    }

    /// Fills in what the entry host that sent this call does not have yet.
    pub(super) fn fill_answer(&self, sync: &EntrySync, answer: &mut ControlSync) {
        let directory = lock(&self.directory);
        (answer.directory_epoch, answer.directory_revision) = directory.version();
        answer.upstreams = directory.changes_since(sync.directory_epoch, sync.directory_revision);
        drop(directory);
        let known =
            if answer.directory_epoch == sync.directory_epoch { sync.entries_revision } else { 0 };
        set_entries(answer, &lock(&self.entries).list, known);
    }

    /// The control hosts.
    pub(super) fn control_hosts(&self) -> arc_swap::Guard<std::sync::Arc<ControlHostList>> {
        self.control_hosts.load()
    }

    /// Number of entry hosts of the fleet.
    pub(super) fn entry_host_count(&self) -> usize {
        lock(&self.entries).list.len()
    }
}

/// Fills in the entry hosts that changed after the known revision.
pub(super) fn set_entries(answer: &mut ControlSync, list: &EntryList, known_revision: u64) {
    let EntryChanges { changed, removed, is_complete } = list.changes_since(known_revision);
    answer.entries_revision = list.revision();
    answer.changed_entries = changed;
    answer.removed_entries = removed;
    answer.entries_complete = is_complete;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
