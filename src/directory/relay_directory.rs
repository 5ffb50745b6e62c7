use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::directory::{Phase, UpstreamRecord};
use crate::schema::peer::UpstreamEntry;

/// Time for which an upstream that is gone stays listed, so that hosts with an older record learn of it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// The upstreams of the whole fleet as one control host knows them: from the heartbeats that it receives
/// and from the directories of the other control hosts. Entry hosts poll only a few control hosts and
/// receive the changes of this list.
#[derive(Debug)]
pub struct RelayDirectory {
    epoch: u64,
    revision: u64,
    entries: HashMap<String, RelayEntry>,
}

#[derive(Debug)]
struct RelayEntry {
    record: UpstreamRecord,
    revision: u64,
    /// Time of the last list that named the upstream.
    named_at: Instant,
}

impl RelayDirectory {
    /// Creates an empty list. Revisions of different epochs can't be compared.
    pub fn new(epoch: u64) -> Self {
        Self { epoch, revision: 0, entries: HashMap::new() }
    }

    /// Epoch and revision of the last change.
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// Applies the current list; true if something other than sequence numbers has changed. Upstreams
    /// that the list no longer names are marked as silent, those that drain as gone.
    pub fn replace(&mut self, records: &[UpstreamRecord], now: Instant) -> bool {
        let before = self.revision;
        for record in records {
            let known = self.entries.get_mut(&record.upstream_id);
            let Some(known) = known.filter(|known| is_same_state(&known.record, record)) else {
                self.revision += 1;
                let entry =
                    RelayEntry { record: record.clone(), revision: self.revision, named_at: now };
                self.entries.insert(record.upstream_id.clone(), entry);
                continue;
            };
            known.record.sequence = record.sequence;
            known.named_at = now;
        }
        let named: HashSet<&str> =
            records.iter().map(|record| record.upstream_id.as_str()).collect();
        for (id, entry) in &mut self.entries {
            let is_live = matches!(entry.record.phase, Phase::Ready | Phase::Draining);
            if named.contains(id.as_str()) || !is_live {
                continue;
            }
            self.revision += 1;
            entry.record.phase = entry.record.phase.without_heartbeats();
            entry.revision = self.revision;
        }
        self.entries.retain(|_, entry| now - entry.named_at < TOMBSTONE_RETENTION);
        self.revision != before
    }

    /// Entries that changed after `revision`; all entries if `epoch` is not the current one.
    pub fn changes_since(&self, epoch: u64, revision: u64) -> Vec<UpstreamEntry> {
        let after = if epoch == self.epoch { revision } else { 0 };
        let changed = self.entries.values().filter(|entry| entry.revision > after);
        changed.map(|entry| entry.record.to_wire(entry.revision)).collect()
    }
}

/// True if two records differ in their sequence numbers at most.
fn is_same_state(a: &UpstreamRecord, b: &UpstreamRecord) -> bool {
    a.phase == b.phase
        && a.started_at_unix_ms == b.started_at_unix_ms
        && a.address == b.address
        && a.service == b.service
        && a.version == b.version
        && a.slots == b.slots
        && a.zone == b.zone
        && a.region == b.region
}
