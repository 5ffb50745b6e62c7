use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::directory::{Phase, UpstreamRecord};
use crate::schema::peer::UpstreamEntry;

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

    /// True once the control host must have heard of every upstream that is there.
    fn is_complete(&self, silence: Duration, now: Instant) -> bool {
        self.is_heard(silence, now) && self.uptime > silence
    }
}

/// Merges the directories of all control hosts into the upstreams that are there, in the order of
/// their ids.
///
/// A control host that was not heard for `silence` no longer counts once another one has a complete
/// directory: upstreams that are alive have announced themselves there meanwhile.
pub fn merge<'a>(
    sources: impl Iterator<Item = &'a Source> + Clone,
    silence: Duration,
    now: Instant,
) -> Vec<UpstreamRecord> {
    let has_complete = sources.clone().any(|source| source.is_complete(silence, now));
    let mut newest: HashMap<&str, &UpstreamRecord> = HashMap::new();
    for source in sources.filter(|it| !has_complete || it.is_heard(silence, now)) {
        for (id, record) in &source.records {
            let known = newest.entry(id).or_insert(record);
            if record.order() > known.order() || is_worse(record, known) {
                *known = record;
            }
        }
    }
    let mut by_address: HashMap<&str, &UpstreamRecord> = HashMap::new();
    for record in newest.values().filter(|record| record.phase != Phase::Gone) {
        let known = by_address.entry(&record.address).or_insert(record);
        // An address that was given to a new upstream says nothing about the old one.
        if record.started_at_unix_ms > known.started_at_unix_ms {
            *known = record;
        }
    }
    let mut merged: Vec<UpstreamRecord> = by_address.into_values().cloned().collect();
    merged.sort_by(|a, b| a.upstream_id.cmp(&b.upstream_id));
    merged
}

/// Of two records with the same heartbeat, the one that knows of its end holds.
fn is_worse(record: &UpstreamRecord, known: &UpstreamRecord) -> bool {
    record.order() == known.order() && record.phase == Phase::Gone && known.phase != Phase::Gone
}
