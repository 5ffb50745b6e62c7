use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;

use crate::admission::{CrashRecord, CrashRecords, Fingerprint};
use crate::control::unix_ms;
use crate::schema::peer as wire;
use crate::signal::Signal;

/// Most records that a table holds; those that expire first leave first.
const MAX_RECORDS: usize = 2_048;

/// Crash records of one host, which it exchanges with others by revisions. Readers see a map that
/// is replaced as a whole.
#[derive(Debug)]
pub struct CrashTable {
    /// Number of this run of the process; revisions of different runs can't be compared.
    epoch: u64,
    records: ArcSwap<BTreeMap<Vec<u8>, Arc<CrashRecord>>>,
    revision: AtomicU64,
    /// Revision at which each record last changed. Locked by writers only.
    changed_at: Mutex<BTreeMap<Vec<u8>, u64>>,
    changed: Signal,
    published: Signal,
}

impl CrashTable {
    /// Creates an empty table.
    pub fn open() -> Self {
        Self {
            epoch: rand::random_range(1..u64::MAX),
            records: ArcSwap::default(),
            revision: AtomicU64::new(0),
            changed_at: Mutex::default(),
            changed: Signal::default(),
            published: Signal::default(),
        }
    }

    /// Epoch of the table, and its current revision.
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.revision.load(Ordering::Acquire))
    }

    /// Notified after each change.
    pub fn changed(&self) -> &Signal {
        &self.changed
    }

    /// Notified when this host has published a record.
    pub fn published(&self) -> &Signal {
        &self.published
    }

    /// True if there are records that changed after a revision of an epoch.
    pub fn has_changes_since(&self, epoch: u64, revision: u64) -> bool {
        let after = if epoch == self.epoch { revision } else { 0 };
        self.version().1 > after
    }

    /// True if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.load().is_empty()
    }

    /// Records that changed after a revision of an epoch; all if the epoch is another one.
    pub fn changes_since(&self, epoch: u64, revision: u64) -> Vec<wire::CrashRecord> {
        if !self.has_changes_since(epoch, revision) {
            return Vec::new();
        }
        let after = if epoch == self.epoch { revision } else { 0 };
        let changed_at = self.lock();
        let records = self.records.load();
        let changes = changed_at.iter().filter(|(_, revision)| **revision > after);
        let changes = changes.filter_map(|(fingerprint, _)| records.get(fingerprint));
        changes.map(|record| wire::CrashRecord::from(&**record)).collect()
    }

    /// Merges records of other hosts. Returns those of the merged records that differ from what
    /// this host knew.
    pub fn merge(&self, received: &[wire::CrashRecord]) -> Vec<Arc<CrashRecord>> {
        if received.is_empty() {
            return Vec::new();
        }
        self.merge_records(received.iter().map(|record| CrashRecord::from(record.clone())))
    }

    fn merge_records(&self, received: impl Iterator<Item = CrashRecord>) -> Vec<Arc<CrashRecord>> {
        let now_ms = unix_ms();
        let mut changed_at = self.lock();
        let mut records = BTreeMap::clone(&self.records.load());
        let mut revision = self.revision.load(Ordering::Acquire);
        records.retain(|_, record| record.expires_unix_ms > now_ms);
        let mut changes = Vec::new();
        for record in received.filter(|record| record.expires_unix_ms > now_ms) {
            let known = records.get(&record.fingerprint);
            let merged = known.map_or_else(|| record.clone(), |known| known.union(&record));
            if known.is_some_and(|known| **known == merged) {
                continue;
            }
            revision += 1;
            let merged = Arc::new(merged);
            changed_at.insert(record.fingerprint.clone(), revision);
            records.insert(record.fingerprint, merged.clone());
            changes.push(merged);
        }
        while records.len() > MAX_RECORDS {
            let first = records.values().min_by_key(|record| record.expires_unix_ms);
            let Some(fingerprint) = first.map(|record| record.fingerprint.clone()) else { break };
            records.remove(&fingerprint);
        }
        changed_at.retain(|fingerprint, _| records.contains_key(fingerprint));
        self.records.store(Arc::new(records));
        self.revision.store(revision, Ordering::Release);
        drop(changed_at);
        if !changes.is_empty() {
            self.changed.notify();
        }
        changes
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Vec<u8>, u64>> {
        self.changed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CrashRecords for CrashTable {
    fn find(&self, fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>> {
        self.records.load().get(fingerprint.as_bytes()).cloned()
    }

    fn all(&self) -> Vec<Arc<CrashRecord>> {
        self.records.load().values().cloned().collect()
    }

    fn publish(&self, record: CrashRecord) {
        if !self.merge_records(std::iter::once(record)).is_empty() {
            self.published.notify();
        }
    }
}
