use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::ledger::Job;
use crate::schema::peer::StopReason;

/// Time after which a stop is sent again to an entry host that still runs the item.
const STOP_RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Progress of an item over its earlier runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// Events that were received so far.
    pub(super) text: Bytes,
    /// Id of the last received event; 0 for none.
    pub(super) last_event_id: u64,
    /// Number of failed attempts.
    pub(super) failures: u32,
}

/// A batch item that is assigned to an entry host and an upstream.
#[derive(Debug)]
pub(super) struct AssignedItem {
    pub(super) job: Arc<Job>,
    pub(super) item: u32,
    pub(super) host_id: String,
    pub(super) upstream_id: String,
    pub(super) progress: Progress,
    pub(super) started: Instant,
    /// Why the entry host must stop the item; `None` while it may run.
    pub(super) stop: Option<StopReason>,
    /// Time at which the stop was last sent to the entry host, or at which the host reported that
    /// it yields the slot.
    pub(super) stop_sent_at: Option<Instant>,
}

impl AssignedItem {
    /// True if the stop has to be sent, or sent again, to the entry host.
    pub(super) fn is_stop_due(&self, now: Instant) -> bool {
        self.stop.is_some()
            && self.stop_sent_at.is_none_or(|sent_at| now - sent_at > STOP_RESEND_INTERVAL)
    }
}

/// Assigned items by assignment id, with indexes by entry host and upstream.
#[derive(Debug, Default)]
pub(super) struct RunningItems {
    items: HashMap<u64, AssignedItem>,
    by_host: HashMap<String, BTreeSet<u64>>,
    by_upstream: HashMap<String, BTreeSet<u64>>,
}

impl RunningItems {
    pub(super) fn insert(&mut self, id: u64, running: AssignedItem) {
        self.by_host.entry(running.host_id.clone()).or_default().insert(id);
        self.by_upstream.entry(running.upstream_id.clone()).or_default().insert(id);
        self.items.insert(id, running);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<AssignedItem> {
        let running = self.items.remove(&id)?;
        remove_from_index(&mut self.by_host, &running.host_id, id);
        remove_from_index(&mut self.by_upstream, &running.upstream_id, id);
        Some(running)
    }

    pub(super) fn get(&self, id: u64) -> Option<&AssignedItem> {
        self.items.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut AssignedItem> {
        self.items.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &AssignedItem)> {
        self.items.iter().map(|(id, running)| (*id, running))
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut AssignedItem> {
        self.items.values_mut()
    }

    /// Assignment ids of an entry host, oldest first.
    pub(super) fn on_host(&self, host_id: &str) -> impl Iterator<Item = u64> + '_ {
        self.by_host.get(host_id).into_iter().flatten().copied()
    }

    /// Assignment ids on an upstream, oldest first.
    pub(super) fn on_upstream(&self, upstream_id: &str) -> impl Iterator<Item = u64> + '_ {
        self.by_upstream.get(upstream_id).into_iter().flatten().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }
}

fn remove_from_index(index: &mut HashMap<String, BTreeSet<u64>>, key: &str, id: u64) {
    let Some(ids) = index.get_mut(key) else { return };
    ids.remove(&id);
    if ids.is_empty() {
        index.remove(key);
    }
}
