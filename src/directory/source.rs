use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::directory::{Phase, UpstreamRecord};
use crate::schema::peer::UpstreamEntry;

/// Time for which the upstreams of a control host that fell silent are still used: it may be cut off
/// together with upstreams that go on announcing themselves to it. Requests to those that are really
/// gone fail fast and go elsewhere.
const LOST_HOST_GRACE: Duration = Duration::from_secs(20);

/// The directory of one control host, as another host knows it.
#[derive(Debug)]
pub struct Source {
    /// Epoch and revision that is known.
    pub known: (u64, u64),
    records: HashMap<String, UpstreamRecord>,
    heard: Option<Instant>,
    /// Time since the control host started, at the last answer.
    uptime: Duration,
}

impl Default for Source {
    fn default() -> Self {
        Self { known: (0, 0), records: HashMap::new(), heard: None, uptime: Duration::ZERO }
    }
}

impl Source {
    /// Takes the changes of an answer; true if there were some.
    pub fn update(
        &mut self,
        known: (u64, u64),
        changes: Vec<UpstreamEntry>,
        uptime: Duration,
        now: Instant,
    ) -> bool {
        let is_restart = known.0 != self.known.0;
        if is_restart {
            self.records.clear();
        }
        let changed = is_restart || !changes.is_empty();
        for change in changes {
            self.records.insert(change.upstream_id.clone(), change.into());
        }
        self.known = known;
        self.heard = Some(now);
        self.uptime = uptime;
        changed
    }

    /// True while the control host answers.
    pub fn is_heard(&self, silence: Duration, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now.duration_since(heard) < silence)
    }

    /// True if the control host fell silent a short time ago.
    fn is_lost(&self, silence: Duration, now: Instant) -> bool {
        !self.is_heard(silence, now) && self.is_heard(LOST_HOST_GRACE, now)
    }

    /// True once the control host must have heard of every upstream that is there.
    fn is_complete(&self, silence: Duration, now: Instant) -> bool {
        self.is_heard(silence, now) && self.uptime > silence
    }
}

/// Merges the directories of all control hosts into the upstreams that are there, in the order of
/// their ids.
///
/// A control host that fell silent no longer counts after a grace, once another one has a complete
/// directory: upstreams that are alive have announced themselves there meanwhile. Until then an
/// upstream whose heartbeats stopped elsewhere may announce itself to that host, and is used as well.
pub fn merge<'a>(
    sources: impl Iterator<Item = &'a Source> + Clone,
    silence: Duration,
    now: Instant,
) -> Vec<UpstreamRecord> {
    let has_complete = sources.clone().any(|source| source.is_complete(silence, now));
    let mut newest: HashMap<&str, &UpstreamRecord> = HashMap::new();
    let has_lost = sources.clone().any(|source| source.is_lost(silence, now));
    for source in sources.filter(|it| !has_complete || it.is_heard(LOST_HOST_GRACE, now)) {
        for (id, record) in &source.records {
            let known = newest.entry(id).or_insert(record);
            if record.order() > known.order() || is_worse(record, known) {
                *known = record;
            }
        }
    }
    let mut by_address: HashMap<&str, &UpstreamRecord> = HashMap::new();
    let is_there = |record: &&&UpstreamRecord| match record.phase {
        Phase::Ready | Phase::Draining => true,
        Phase::Silent => has_lost,
        Phase::Gone => false,
    };
    for record in newest.values().filter(is_there) {
        let known = by_address.entry(&record.address).or_insert(record);
        // An address that was given to a new upstream says nothing about the old one.
        if record.started_at_unix_ms > known.started_at_unix_ms {
            *known = record;
        }
    }
    let mut merged: Vec<UpstreamRecord> = by_address.into_values().cloned().collect();
    for record in merged.iter_mut().filter(|record| record.phase == Phase::Silent) {
        record.phase = Phase::Ready;
    }
    merged.sort_by(|a, b| a.upstream_id.cmp(&b.upstream_id));
    merged
}

/// Of two records with the same heartbeat, the one that knows of its end holds.
fn is_worse(record: &UpstreamRecord, known: &UpstreamRecord) -> bool {
    let is_there = |it: &UpstreamRecord| matches!(it.phase, Phase::Ready | Phase::Draining);
    record.order() == known.order() && !is_there(record) && is_there(known)
}
