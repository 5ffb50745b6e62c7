use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::directory::{Phase, UpstreamRecord};
use crate::schema::peer::UpstreamEntry;

/// Heartbeats that may be missing before an upstream counts as gone. Heartbeats arrive up to some
/// seconds late, and callers notice a crash much earlier by themselves.
const MISSED_HEARTBEATS: u32 = 4;
/// Time for which an upstream that left is remembered, so that late heartbeats do not bring it back.
const GONE_AGE: Duration = Duration::from_secs(60);
/// How far before the notice an unknown upstream that leaves is assumed to have started. A restart
/// under the same id takes longer, even by a clock that is half a second off.
const UNKNOWN_START_MS: u64 = 1_000;

/// Silence after which an upstream that sends heartbeats at this interval counts as gone.
pub fn silence_after(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * MISSED_HEARTBEATS
}

/// What a heartbeat brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// The upstream is new or has changed.
    Changed,
    /// Nothing but its sequence is new.
    Refreshed,
    /// It is older than what is known.
    Late,
}

/// The upstreams that announced themselves to one control host.
#[derive(Debug)]
pub struct Directory {
    /// Drawn at the start of the process; revisions of different epochs can't be compared.
    epoch: u64,
    revision: u64,
    entries: HashMap<String, Entry>,
    silence: Duration,
}

#[derive(Debug)]
struct Entry {
    record: UpstreamRecord,
    revision: u64,
    heard: Instant,
    has_left: bool,
}

impl Directory {
    /// An empty directory of upstreams that send heartbeats at this interval.
    pub fn new(epoch: u64, heartbeat_interval: Duration) -> Self {
        let silence = silence_after(heartbeat_interval);
        Self { epoch, revision: 0, entries: HashMap::new(), silence }
    }

    /// Epoch and revision of the last change.
    pub fn revision(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// Silence after which an upstream counts as gone.
    pub fn silence(&self) -> Duration {
        self.silence
    }

    /// Takes a heartbeat.
    pub fn hear(&mut self, record: UpstreamRecord, now: Instant) -> Heartbeat {
        let revision = self.revision + 1;
        let Some(known) = self.entries.get_mut(&record.upstream_id) else {
            self.revision = revision;
            let entry = Entry { revision, heard: now, has_left: false, record };
            self.entries.insert(entry.record.upstream_id.clone(), entry);
            return Heartbeat::Changed;
        };
        let is_new_start = record.started_at_unix_ms > known.record.started_at_unix_ms;
        if record.order() <= known.record.order() || known.has_left && !is_new_start {
            return Heartbeat::Late;
        }
        known.heard = now;
        known.has_left = false;
        let same = UpstreamRecord { sequence: known.record.sequence, ..record.clone() };
        let changed = same != known.record;
        known.record = record;
        if !changed {
            return Heartbeat::Refreshed;
        }
        known.revision = revision;
        self.revision = revision;
        Heartbeat::Changed
    }

    /// An upstream says that it leaves. `started_at_unix_ms` is 0 if it did not tell its start.
    pub fn leave(
        &mut self,
        upstream_id: &str,
        started_at_unix_ms: u64,
        unix_ms: u64,
        now: Instant,
    ) {
        let revision = self.revision + 1;
        let known = self.entries.get(upstream_id).map(|entry| entry.record.started_at_unix_ms);
        if known.is_some_and(|known| started_at_unix_ms != 0 && started_at_unix_ms < known) {
            return;
        }
        let started = match (started_at_unix_ms, known) {
            (0, Some(known)) => known,
            (0, None) => unix_ms.saturating_sub(UNKNOWN_START_MS),
            (told, _) => told,
        };
        let entry = self.entries.entry(upstream_id.to_owned()).or_insert_with(|| Entry {
            record: unknown(upstream_id),
            revision,
            heard: now,
            has_left: true,
        });
        entry.record.phase = Phase::Gone;
        entry.record.started_at_unix_ms = started;
        entry.record.sequence = u64::MAX;
        entry.revision = revision;
        entry.heard = now;
        entry.has_left = true;
        self.revision = revision;
    }

    /// Marks upstreams that fell silent and forgets those that are long gone; gives the silent ones.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        self.entries.retain(|_, entry| {
            let is_there = matches!(entry.record.phase, Phase::Ready | Phase::Draining);
            is_there || now.duration_since(entry.heard) < GONE_AGE
        });
        let mut silent = Vec::new();
        for (id, entry) in &mut self.entries {
            let is_silent = now.duration_since(entry.heard) > self.silence;
            if matches!(entry.record.phase, Phase::Gone | Phase::Silent) || !is_silent {
                continue;
            }
            self.revision += 1;
            entry.record.phase = Phase::Silent;
            entry.revision = self.revision;
            silent.push(id.clone());
        }
        silent
    }

    /// Entries that changed after a revision; all of them for another epoch.
    pub fn changes_since(&self, epoch: u64, revision: u64) -> Vec<UpstreamEntry> {
        let known = if epoch == self.epoch { revision } else { 0 };
        let changed = self.entries.values().filter(|entry| entry.revision > known);
        changed.map(|entry| entry.record.to_wire(entry.revision)).collect()
    }

    /// The entry of an upstream.
    pub fn get(&self, upstream_id: &str) -> Option<&UpstreamRecord> {
        self.entries.get(upstream_id).map(|entry| &entry.record)
    }
}

fn unknown(upstream_id: &str) -> UpstreamRecord {
    UpstreamRecord {
        upstream_id: upstream_id.to_owned(),
        service: String::new(),
        address: String::new(),
        zone: String::new(),
        region: String::new(),
        slots: 0,
        phase: Phase::Gone,
        started_at_unix_ms: 0,
        sequence: 0,
    }
}
