use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use crate::membership::record::Fnv;
use crate::membership::{Key, Record, RecordDigest};

/// Number of buckets, which a repair compares one by one. At 1,170 records a bucket holds 18 of
/// them, so that one lost change costs a digest of about 0.5 KB rather than 30 KB.
pub const BUCKETS: usize = 64;

/// Records by key, with a combined hash of each bucket.
#[derive(Clone, Debug)]
pub struct RecordStore {
    records: BTreeMap<Key, StoredRecord>,
    bucket_hashes: [u64; BUCKETS],
}

#[derive(Clone, Debug)]
struct StoredRecord {
    record: Record,
    hash: u64,
}

impl Default for RecordStore {
    fn default() -> Self {
        Self { records: BTreeMap::new(), bucket_hashes: [0; BUCKETS] }
    }
}

impl RecordStore {
    /// Merges a record into the store; returns true if the store changed.
    pub fn merge(&mut self, record: &Record) -> bool {
        let key = record.key();
        let bucket = Self::bucket(&key);
        match self.records.entry(key) {
            Entry::Vacant(vacant) => {
                let hash = record.stable_hash();
                vacant.insert(StoredRecord { record: record.clone(), hash });
                self.bucket_hashes[bucket] ^= hash;
            }
            Entry::Occupied(mut occupied) => {
                let joined = occupied.get().record.join(record);
                if joined == occupied.get().record {
                    return false;
                }
                let hash = joined.stable_hash();
                self.bucket_hashes[bucket] ^= hash ^ occupied.get().hash;
                occupied.insert(StoredRecord { record: joined, hash });
            }
        }
        true
    }

    /// The record of `key`.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key).map(|stored| &stored.record)
    }

    /// All records, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.records.iter().map(|(key, stored)| (key, &stored.record))
    }

    /// Removes expired records; returns true if there were any.
    pub fn expire(&mut self, now_ms: u64, tombstone_ms: u64) -> bool {
        let before = self.records.len();
        let hashes = &mut self.bucket_hashes;
        self.records.retain(|key, stored| {
            let keep = !stored.record.is_expired(now_ms, tombstone_ms);
            if !keep {
                hashes[Self::bucket(key)] ^= stored.hash;
            }
            keep
        });
        self.records.len() != before
    }

    /// Hash of the whole store.
    pub fn table_hash(&self) -> u64 {
        let mut hasher = Fnv::default();
        self.bucket_hashes.hash(&mut hasher);
        hasher.finish()
    }

    /// Hash of each bucket, in bucket order.
    pub fn bucket_hashes(&self) -> &[u64] {
        &self.bucket_hashes
    }

    /// Keys and hashes of the records in the given buckets.
    pub fn digest(&self, buckets: &[u32]) -> Vec<RecordDigest> {
        let entries = self.in_buckets(buckets);
        entries.map(|(key, stored)| RecordDigest { key: key.clone(), hash: stored.hash }).collect()
    }

    /// Compares the given buckets with another store's digest of them.
    pub fn compare(&self, buckets: &[u32], digest: &[RecordDigest]) -> Comparison {
        let other_hashes: BTreeMap<_, _> =
            digest.iter().map(|entry| (&entry.key, entry.hash)).collect();
        let differs = |key: &Key, hash: u64| other_hashes.get(key) != Some(&hash);
        let differing = self.in_buckets(buckets).filter(|(key, stored)| differs(key, stored.hash));
        let records = differing.map(|(_, stored)| stored.record.clone()).collect();
        let is_identical = |entry: &RecordDigest| {
            self.records.get(&entry.key).is_some_and(|stored| stored.hash == entry.hash)
        };
        Comparison { records, is_missing_records: !digest.iter().all(is_identical) }
    }

    fn in_buckets<'a>(
        &'a self,
        buckets: &'a [u32],
    ) -> impl Iterator<Item = (&'a Key, &'a StoredRecord)> {
        let mut wanted = [false; BUCKETS];
        for bucket in buckets {
            wanted[*bucket as usize % BUCKETS] = true;
        }
        self.records.iter().filter(move |(key, _)| wanted[Self::bucket(key)])
    }

    fn bucket(key: &Key) -> usize {
        let mut hasher = Fnv::default();
        key.hash(&mut hasher);
        hasher.finish() as usize % BUCKETS
    }
}

/// Difference between the compared buckets of two stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Records of this store that are missing or different in the other store.
    pub records: Vec<Record>,
    /// The other store has records that are missing or different in this one.
    pub is_missing_records: bool,
}
