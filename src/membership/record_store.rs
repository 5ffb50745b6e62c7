use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use crate::membership::record::Fnv;
use crate::membership::{Key, Record, RecordDigest};

/// Parts of the table that are compared one by one in a repair. At 1,170 records a bucket holds
/// 18 of them, so that one lost change costs a digest of about 0.5 KB rather than 30 KB.
pub const BUCKETS: usize = 64;

/// Records by key, with a hash of each bucket.
#[derive(Clone, Debug)]
pub struct RecordStore {
    records: BTreeMap<Key, Stored>,
    bucket_hashes: [u64; BUCKETS],
}

#[derive(Clone, Debug)]
struct Stored {
    record: Record,
    hash: u64,
}

impl Default for RecordStore {
    fn default() -> Self {
        Self { records: BTreeMap::new(), bucket_hashes: [0; BUCKETS] }
    }
}

impl RecordStore {
    /// Joins a record into the store; true when that changed the store.
    pub fn merge(&mut self, record: &Record) -> bool {
        let key = record.key();
        let bucket = Self::bucket(&key);
        match self.records.entry(key) {
            Entry::Vacant(vacant) => {
                let hash = record.stable_hash();
                vacant.insert(Stored { record: record.clone(), hash });
                self.bucket_hashes[bucket] ^= hash;
            }
            Entry::Occupied(mut occupied) => {
                let joined = occupied.get().record.join(record);
                if joined == occupied.get().record {
                    return false;
                }
                let hash = joined.stable_hash();
                self.bucket_hashes[bucket] ^= hash ^ occupied.get().hash;
                occupied.insert(Stored { record: joined, hash });
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

    /// Forgets records that have expired; true when there were any.
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

    /// Hash of each bucket.
    pub fn bucket_hashes(&self) -> &[u64] {
        &self.bucket_hashes
    }

    /// Keys and hashes of the records in some buckets.
    pub fn digest(&self, buckets: &[u32]) -> Vec<RecordDigest> {
        let chosen = self.in_buckets(buckets);
        chosen.map(|(key, stored)| RecordDigest { key: key.clone(), hash: stored.hash }).collect()
    }

    /// Compares some buckets with the digest of another store.
    pub fn compare(&self, buckets: &[u32], digest: &[RecordDigest]) -> Comparison {
        let theirs: BTreeMap<_, _> = digest.iter().map(|entry| (&entry.key, entry.hash)).collect();
        let differs = |key: &Key, hash: u64| theirs.get(key) != Some(&hash);
        let here = self.in_buckets(buckets).filter(|(key, stored)| differs(key, stored.hash));
        let records = here.map(|(_, stored)| stored.record.clone()).collect();
        let has = |entry: &RecordDigest| {
            self.records.get(&entry.key).is_some_and(|stored| stored.hash == entry.hash)
        };
        Comparison { records, lacks: !digest.iter().all(has) }
    }

    fn in_buckets<'a>(&'a self, buckets: &'a [u32]) -> impl Iterator<Item = (&'a Key, &'a Stored)> {
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

/// Difference between some buckets of two stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comparison {
    /// Records that the other store lacks, or has in another version.
    pub records: Vec<Record>,
    /// The other store has records that this one lacks or has in another version.
    pub lacks: bool,
}
