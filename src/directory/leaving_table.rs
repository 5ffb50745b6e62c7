use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::schema::peer::LeavingUpstream;
use crate::signal::Signal;

/// Time for which an upstream is remembered after it said that it leaves. It may serve on for many
/// seconds, and its heartbeats may still say that it is ready.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which a host repeats a notice in its sync calls, so that it reaches every control host even
/// if some calls are lost.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// Upstreams that said in an answer that they leave. An incarnation that leaves never becomes ready
/// again, whatever its heartbeats say; a later incarnation under the same id is not affected.
#[derive(Debug, Default)]
pub struct LeavingTable {
    upstreams: Mutex<HashMap<String, Leaving>>,
    /// Number of new notices.
    revision: AtomicU64,
    changed: Signal,
    /// Notified when another host has taken note.
    told: Signal,
}

#[derive(Debug)]
struct Leaving {
    started_at_unix_ms: u64,
    /// When it was learned, or repeated last.
    learned_at: Instant,
    /// Peer addresses of the hosts that have replied to a call with the notice.
    told: HashSet<String>,
}

impl LeavingTable {
    /// Records that an incarnation leaves; true if this was not known.
    pub fn insert(&self, upstream_id: &str, started_at_unix_ms: u64, now: Instant) -> bool {
        let mut upstreams = self.lock();
        let known = upstreams.get(upstream_id).map(|leaving| leaving.started_at_unix_ms);
        if known.is_some_and(|known| known >= started_at_unix_ms) {
            return false;
        }
        upstreams.retain(|_, leaving| now.duration_since(leaving.learned_at) < RETENTION);
        let leaving = Leaving { started_at_unix_ms, learned_at: now, told: HashSet::new() };
        upstreams.insert(upstream_id.to_owned(), leaving);
        self.revision.fetch_add(1, Ordering::Release);
        drop(upstreams);
        self.changed.notify();
        true
    }

    /// As [`LeavingTable::insert`]; a known notice is repeated in the next sync calls.
    pub fn repeat(&self, upstream_id: &str, started_at_unix_ms: u64, now: Instant) {
        if self.insert(upstream_id, started_at_unix_ms, now) {
            return;
        }
        if let Some(known) = self.lock().get_mut(upstream_id) {
            known.learned_at = now;
        }
    }

    /// Records that the host at `address` has replied to a call with these notices.
    pub(super) fn record_told(&self, address: &str, notices: &[LeavingUpstream]) {
        let mut upstreams = self.lock();
        for notice in notices {
            let Some(known) = upstreams.get_mut(&notice.upstream_id) else { continue };
            if known.started_at_unix_ms == notice.started_at_unix_ms {
                known.told.insert(address.to_owned());
            }
        }
        drop(upstreams);
        self.told.notify();
    }

    /// Peer addresses of the other hosts that know that this incarnation, or a later one, leaves.
    pub fn told(&self, upstream_id: &str, started_at_unix_ms: u64) -> HashSet<String> {
        let upstreams = self.lock();
        let known = upstreams.get(upstream_id);
        let known = known.filter(|it| it.started_at_unix_ms >= started_at_unix_ms);
        known.map(|it| it.told.clone()).unwrap_or_default()
    }

    /// Notified when another host has taken note.
    pub fn told_signal(&self) -> &Signal {
        &self.told
    }

    /// True if this incarnation, or a later one, has said that it leaves.
    pub fn contains(&self, upstream_id: &str, started_at_unix_ms: u64) -> bool {
        let upstreams = self.lock();
        upstreams.get(upstream_id).is_some_and(|it| it.started_at_unix_ms >= started_at_unix_ms)
    }

    /// Notices that were learned a short time ago, to be told to other hosts.
    pub fn recent(&self, now: Instant) -> Vec<LeavingUpstream> {
        let upstreams = self.lock();
        let recent = upstreams
            .iter()
            .filter(|(_, leaving)| now.duration_since(leaving.learned_at) < REPEAT_TIME);
        recent
            .map(|(upstream_id, leaving)| LeavingUpstream {
                upstream_id: upstream_id.clone(),
                started_at_unix_ms: leaving.started_at_unix_ms,
            })
            .collect()
    }

    /// Grows with each new notice. What is read from the table afterwards includes all notices up to it.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// Notified after each new notice.
    pub fn changed(&self) -> &Signal {
        &self.changed
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Leaving>> {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
