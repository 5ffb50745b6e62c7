use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::ledger::Job;
use crate::schema::peer::StopReason;

/// Time after which an entry host that still runs an item is told again to stop it.
const REPEAT_STOP: Duration = Duration::from_millis(200);

/// What earlier runs of an item brought.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    pub(super) text: Bytes,
    pub(super) last_event_id: u64,
    pub(super) failures: u32,
}

/// An item that an entry host works on.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) job: Arc<Job>,
    pub(super) item: u32,
    pub(super) host_id: String,
    pub(super) upstream_id: String,
    pub(super) progress: Progress,
    pub(super) started: Instant,
    pub(super) stop: Option<StopReason>,
    /// When the entry host was last told to stop.
    pub(super) told: Option<Instant>,
}

impl Running {
    pub(super) fn must_tell(&self, now: Instant) -> bool {
        self.stop.is_some() && self.told.is_none_or(|told| now - told > REPEAT_STOP)
    }
}

/// Running items by assignment, and the assignments of each entry host and upstream.
#[derive(Debug, Default)]
pub(super) struct RunningItems {
    items: HashMap<u64, Running>,
    of_host: HashMap<String, BTreeSet<u64>>,
    on_upstream: HashMap<String, BTreeSet<u64>>,
}

impl RunningItems {
    pub(super) fn insert(&mut self, id: u64, running: Running) {
        self.of_host.entry(running.host_id.clone()).or_default().insert(id);
        self.on_upstream.entry(running.upstream_id.clone()).or_default().insert(id);
        self.items.insert(id, running);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<Running> {
        let running = self.items.remove(&id)?;
        forget(&mut self.of_host, &running.host_id, id);
        forget(&mut self.on_upstream, &running.upstream_id, id);
        Some(running)
    }

    pub(super) fn get(&self, id: u64) -> Option<&Running> {
        self.items.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut Running> {
        self.items.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &Running)> {
        self.items.iter().map(|(id, running)| (*id, running))
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Running> {
        self.items.values_mut()
    }

    /// Assignments of an entry host, the oldest first.
    pub(super) fn of_host(&self, host_id: &str) -> impl Iterator<Item = u64> + '_ {
        self.of_host.get(host_id).into_iter().flatten().copied()
    }

    /// Assignments on an upstream, the oldest first.
    pub(super) fn on_upstream(&self, upstream_id: &str) -> impl Iterator<Item = u64> + '_ {
        self.on_upstream.get(upstream_id).into_iter().flatten().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }
}

fn forget(index: &mut HashMap<String, BTreeSet<u64>>, key: &str, id: u64) {
    let Some(ids) = index.get_mut(key) else { return };
    ids.remove(&id);
    if ids.is_empty() {
        index.remove(key);
    }
}
