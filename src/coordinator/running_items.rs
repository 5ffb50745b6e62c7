use std::borrow::Borrow;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::directory::{StreamOrigin, UpstreamRecord};
use crate::ledger::JobHead;
use crate::schema::ledger::NewItem;
use crate::schema::peer::{ReturnItem, StopReason};

/// Time after which a stop is sent again to an entry host that still runs the item.
const STOP_RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Progress of an item over its earlier runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// Events that were received so far.
    pub(super) text: Bytes,
    /// Id of the last received event; 0 for none.
    pub(super) last_event_id: u64,
    /// Where the events come from; `None` while there are none.
    pub(super) origin: Option<StreamOrigin>,
    /// Time that the runs took in which the events were received.
    pub(super) run_time: Duration,
}

impl Progress {
    /// Takes over the events of a run. Those without an origin can't be continued, so the item starts anew.
    /// `run_time` is how long the run took.
    pub(super) fn replace_events(&mut self, item: &ReturnItem, run_time: Duration) {
        let run_time = match item.last_event_id > self.last_event_id {
            true => self.run_time + run_time,
            false => self.run_time,
        };
        self.clear_events();
        let Some(origin) = item.origin.clone().filter(|_| item.last_event_id > 0) else { return };
        self.text = item.text.clone();
        self.last_event_id = item.last_event_id;
        self.origin = Some(origin.into());
        self.run_time = run_time;
    }

    /// Drops the events, so that the item starts anew.
    pub(super) fn clear_events(&mut self) {
        *self = Self::default();
    }

    /// True if an upstream may continue the item.
    pub(super) fn may_continue_at(&self, upstream: &UpstreamRecord) -> bool {
        let UpstreamRecord { service, version, .. } = upstream;
        self.origin.as_ref().is_none_or(|origin| origin.may_continue_at(service, version))
    }
}

/// A batch item that is assigned to an entry host and an upstream.
#[derive(Debug)]
pub(super) struct AssignedItem {
    pub(super) job: Arc<JobHead>,
    pub(super) item: u32,
    pub(super) content: Arc<NewItem>,
    pub(super) host_id: String,
    pub(super) upstream_id: String,
    pub(super) progress: Progress,
    /// Time of the last event, or of queueing while there is none; carried over its runs and waits.
    pub(super) idle_since: Instant,
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

/// Assigned items by assignment id, with indexes by entry host, upstream and job.
#[derive(Debug, Default)]
pub(super) struct RunningItems {
    items: HashMap<u64, AssignedItem>,
    by_host: HashMap<String, BTreeSet<u64>>,
    by_upstream: HashMap<String, BTreeSet<u64>>,
    by_job: HashMap<Arc<str>, BTreeSet<u64>>,
}

impl RunningItems {
    pub(super) fn insert(&mut self, id: u64, running: AssignedItem) {
        self.by_host.entry(running.host_id.clone()).or_default().insert(id);
        self.by_upstream.entry(running.upstream_id.clone()).or_default().insert(id);
        self.by_job.entry(running.job.job_id.clone()).or_default().insert(id);
        self.items.insert(id, running);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<AssignedItem> {
        let running = self.items.remove(&id)?;
        remove_from_index(&mut self.by_host, &running.host_id, id);
        remove_from_index(&mut self.by_upstream, &running.upstream_id, id);
        remove_from_index(&mut self.by_job, &running.job.job_id, id);
        Some(running)
    }

    pub(super) fn get(&self, id: u64) -> Option<&AssignedItem> {
        self.items.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut AssignedItem> {
        self.items.get_mut(&id)
    }

    /// Assignment ids of a job's items, by item.
    pub(super) fn of_job(&self, job_id: &str) -> HashMap<u32, u64> {
        let ids = self.by_job.get(job_id).into_iter().flatten();
        ids.filter_map(|id| Some((self.items.get(id)?.item, *id))).collect()
    }

    /// Assignment ids of an item.
    pub(super) fn of_item(&self, job_id: &str, item: u32) -> Vec<u64> {
        let ids = self.by_job.get(job_id).into_iter().flatten().copied();
        ids.filter(|id| self.items.get(id).is_some_and(|running| running.item == item)).collect()
    }

    /// Takes back the cancellation of an item. True if the item is assigned: a host that was told of the
    /// cancellation no longer reports it, and the item is then queued again.
    pub(super) fn resume(&mut self, job_id: &str, item: u32) -> bool {
        let ids = self.of_item(job_id, item);
        for id in &ids {
            let Some(running) = self.items.get_mut(id) else { continue };
            if running.stop == Some(StopReason::Cancelled) {
                (running.stop, running.stop_sent_at) = (None, None);
            }
        }
        !ids.is_empty()
    }

    /// Assignment ids of jobs that are not in `open`.
    pub(super) fn of_closed_jobs(&self, open: &HashSet<&str>) -> Vec<u64> {
        let closed = self.by_job.iter().filter(|(job_id, _)| !open.contains(&***job_id));
        closed.flat_map(|(_, ids)| ids).copied().collect()
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

fn remove_from_index<K: Borrow<str> + Eq + Hash>(
    index: &mut HashMap<K, BTreeSet<u64>>,
    key: &str,
    id: u64,
) {
    let Some(ids) = index.get_mut(key) else { return };
    ids.remove(&id);
    if ids.is_empty() {
        index.remove(key);
    }
}
