use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::directory::{Phase, UpstreamRecord};
use crate::schema::peer::UpstreamEntry;

/// Heartbeat intervals without a heartbeat after which an upstream is marked as silent. Heartbeats
/// arrive up to some seconds late, and hosts that forward requests detect a crash much earlier.
const MISSED_HEARTBEAT_LIMIT: u32 = 4;
/// Time for which the record of an upstream that left or fell silent is kept, so that delayed
/// heartbeats do not register it again.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);
/// How long before its deregistration an unknown upstream is assumed to have started. A restart
/// under the same id takes longer than this, even if the clocks differ by half a second.
const ASSUMED_LIFETIME_MS: u64 = 1_000;

/// Time without a heartbeat after which an upstream that sends one per `heartbeat_interval` is
/// marked as silent.
pub fn heartbeat_timeout(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * MISSED_HEARTBEAT_LIMIT
}

/// Effect of a heartbeat on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The upstream is new or has changed.
    Changed,
    /// Only the sequence number has changed.
    Refreshed,
    /// The heartbeat was ignored: it is not newer than the record, or the upstream has left.
    Stale,
}

/// The upstreams that send heartbeats to one control host.
#[derive(Debug)]
pub struct Directory {
    /// Random number chosen at the start of the process; revisions of different epochs can't be
    /// compared.
    epoch: u64,
    revision: u64,
    entries: HashMap<String, Entry>,
    heartbeat_timeout: Duration,
}

#[derive(Debug)]
struct Entry {
    record: UpstreamRecord,
    revision: u64,
    last_contact_at: Instant,
    has_left: bool,
}

impl Directory {
    /// Creates an empty directory for upstreams that send heartbeats at this interval.
    pub fn new(epoch: u64, heartbeat_interval: Duration) -> Self {
        let heartbeat_timeout = heartbeat_timeout(heartbeat_interval);
        Self { epoch, revision: 0, entries: HashMap::new(), heartbeat_timeout }
    }

    /// Epoch and revision of the last change.
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// Time without a heartbeat after which an upstream is marked as silent.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_timeout
    }

    /// Records a heartbeat that arrived at `now`.
    pub fn record_heartbeat(&mut self, record: UpstreamRecord, now: Instant) -> HeartbeatOutcome {
        let revision = self.revision + 1;
        let Some(known) = self.entries.get_mut(&record.upstream_id) else {
            self.revision = revision;
            let entry = Entry { revision, last_contact_at: now, has_left: false, record };
            self.entries.insert(entry.record.upstream_id.clone(), entry);
            return HeartbeatOutcome::Changed;
        };
        let is_new_start = record.started_at_unix_ms > known.record.started_at_unix_ms;
        if record.recency() <= known.record.recency() || known.has_left && !is_new_start {
            return HeartbeatOutcome::Stale;
        }
        known.last_contact_at = now;
        known.has_left = false;
        let same = UpstreamRecord { sequence: known.record.sequence, ..record.clone() };
        // Heartbeats in between went to other control hosts, whose later record would count for more.
        let was_elsewhere = record.sequence > known.record.sequence.saturating_add(1);
        let changed = same != known.record || was_elsewhere;
        known.record = record;
        if !changed {
            return HeartbeatOutcome::Refreshed;
        }
        known.revision = revision;
        self.revision = revision;
        HeartbeatOutcome::Changed
    }

    /// Adds upstreams that were known before a restart, as if their last heartbeats arrived at `now`. Those
    /// that are known already stay as they are.
    pub fn restore(&mut self, entries: Vec<UpstreamEntry>, now: Instant) {
        for entry in entries {
            let record = UpstreamRecord::from(entry);
            if self.entries.contains_key(&record.upstream_id) {
                continue;
            }
            self.revision += 1;
            let has_left = record.phase == Phase::Gone;
            let entry = Entry { revision: self.revision, last_contact_at: now, has_left, record };
            self.entries.insert(entry.record.upstream_id.clone(), entry);
        }
    }

    /// Marks an upstream as gone at its own request, unless a later incarnation is registered.
    /// `started_at_unix_ms` is 0 if the request did not contain the start time.
    pub fn deregister(
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
            (0, None) => unix_ms.saturating_sub(ASSUMED_LIFETIME_MS),
            (reported, _) => reported,
        };
        let entry = self.entries.entry(upstream_id.to_owned()).or_insert_with(|| Entry {
            record: unknown_record(upstream_id),
            revision,
            last_contact_at: now,
            has_left: true,
        });
        entry.record.phase = Phase::Gone;
        entry.record.started_at_unix_ms = started;
        entry.record.sequence = u64::MAX;
        entry.revision = revision;
        entry.last_contact_at = now;
        entry.has_left = true;
        self.revision = revision;
    }

    /// Marks upstreams without recent heartbeats as silent, those that drain as gone, and returns their ids. Also
    /// removes records of silent and gone upstreams after a retention time.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        self.entries.retain(|_, entry| {
            let is_live = matches!(entry.record.phase, Phase::Ready | Phase::Draining);
            is_live || now.duration_since(entry.last_contact_at) < TOMBSTONE_RETENTION
        });
        let mut silent = Vec::new();
        for (id, entry) in &mut self.entries {
            let is_silent = now.duration_since(entry.last_contact_at) > self.heartbeat_timeout;
            if matches!(entry.record.phase, Phase::Gone | Phase::Silent) || !is_silent {
                continue;
            }
            self.revision += 1;
            entry.record.phase = entry.record.phase.without_heartbeats();
            entry.revision = self.revision;
            silent.push(id.clone());
        }
        silent
    }

    /// Entries that changed after `revision`; all entries if `epoch` is not the current one.
    pub fn changes_since(&self, epoch: u64, revision: u64) -> Vec<UpstreamEntry> {
        let after = if epoch == self.epoch { revision } else { 0 };
        let changed = self.entries.values().filter(|entry| entry.revision > after);
        changed.map(|entry| entry.record.to_wire(entry.revision)).collect()
    }

    /// The record of an upstream.
    pub fn get(&self, upstream_id: &str) -> Option<&UpstreamRecord> {
        self.entries.get(upstream_id).map(|entry| &entry.record)
    }
}

/// Record of an upstream that deregisters without ever having sent a heartbeat.
fn unknown_record(upstream_id: &str) -> UpstreamRecord {
    UpstreamRecord {
        upstream_id: upstream_id.to_owned(),
        service: String::new(),
        address: String::new(),
        zone: String::new(),
        region: String::new(),
        version: String::new(),
        slots: 0,
        phase: Phase::Gone,
        started_at_unix_ms: 0,
        sequence: 0,
    }
}
