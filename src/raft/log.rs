use std::collections::VecDeque;

use crate::raft::{Entry, LogPosition, Payload, ReplicaSet, SnapshotMeta};

/// In-memory view of a replica's log: the terms and replica sets of all entries, and a cache of the
/// newest entries.
#[derive(Clone, Debug)]
pub struct Log {
    /// Index and term of the entry before the first one.
    base_index: u64,
    base_term: u64,
    last_index: u64,
    /// First index and term of each run of entries of the same term.
    term_runs: VecDeque<(u64, u64)>,
    /// Replica sets by the index of their entry; the first one is in force at the base.
    replica_sets: VecDeque<(u64, ReplicaSet)>,
    /// Indexes of the empty entries.
    empty_entries: VecDeque<u64>,
    /// The newest entries, without gaps up to the last one.
    cached: VecDeque<Entry>,
    cached_bytes: usize,
    /// Size of all entries up to the base.
    base_end_bytes: u64,
    /// Size of all entries up to each one after the base.
    ends_bytes: VecDeque<u64>,
}

impl Log {
    /// Creates a log of `entries` that follow the snapshot.
    pub fn new(snapshot: SnapshotMeta, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self {
            base_index: snapshot.last_index,
            base_term: snapshot.last_term,
            last_index: snapshot.last_index,
            term_runs: VecDeque::new(),
            replica_sets: VecDeque::from([(snapshot.last_index, snapshot.replicas)]),
            empty_entries: VecDeque::new(),
            cached: VecDeque::new(),
            cached_bytes: 0,
            base_end_bytes: 0,
            ends_bytes: VecDeque::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Index of the first entry that was not compacted.
    pub fn first_index(&self) -> u64 {
        self.base_index + 1
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.term_runs.back().map_or(self.base_term, |run| run.1)
    }

    /// Term of the entry at `index`; `None` if it was compacted or is after the last entry.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        if index < self.base_index || index > self.last_index {
            return None;
        }
        let next_run = self.term_runs.partition_point(|run| run.0 <= index);
        Some(self.term_runs[next_run - 1].1)
    }

    /// Position of the entry at `index`; `None` if it was compacted or is after the last entry.
    pub fn position(&self, index: u64) -> Option<LogPosition> {
        Some(LogPosition { term: self.term(index)?, index })
    }

    /// Position of the last entry that is not empty. The entry before the first one counts as not empty.
    pub fn last_position_with_content(&self) -> LogPosition {
        let mut index = self.last_index;
        for &empty in self.empty_entries.iter().rev() {
            if empty != index {
                break;
            }
            index -= 1;
        }
        self.position(index).expect("the base and the entries after it have terms")
    }

    /// Index before the first entry of the term of the entry at `index`.
    pub fn index_before_term_of(&self, index: u64) -> u64 {
        let next_run = self.term_runs.partition_point(|run| run.0 <= index);
        next_run.checked_sub(1).map_or(self.base_index, |run| self.term_runs[run].0 - 1)
    }

    /// The replica set in force and the index of its entry.
    pub fn replicas(&self) -> (&ReplicaSet, u64) {
        let (index, set) = self.replica_sets.back().expect("the base always has a replica set");
        (set, *index)
    }

    /// The replica set that was in force at `index`.
    pub fn replicas_at(&self, index: u64) -> &ReplicaSet {
        let next_set = self.replica_sets.partition_point(|set| set.0 <= index);
        &self.replica_sets[next_set.saturating_sub(1)].1
    }

    /// Appends one entry.
    ///
    /// # Panics
    ///
    /// If its index does not follow the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index + 1, "log entries must have consecutive indexes");
        if self.term_runs.back().map_or(self.base_term, |run| run.1) != entry.term
            || self.term_runs.is_empty()
        {
            self.term_runs.push_back((entry.index, entry.term));
        }
        match &entry.payload {
            Payload::Replicas(set) => self.replica_sets.push_back((entry.index, set.clone())),
            Payload::Empty => self.empty_entries.push_back(entry.index),
            Payload::Command(_) => {}
        }
        self.last_index = entry.index;
        self.ends_bytes.push_back(self.end_bytes(entry.index - 1) + entry.size_bytes() as u64);
        self.cached_bytes += entry.size_bytes();
        self.cached.push_back(entry);
    }

    /// Removes the entry at `index` and all entries after it.
    ///
    /// # Panics
    ///
    /// If `index` is compacted.
    pub fn truncate(&mut self, index: u64) {
        assert!(index > self.base_index, "compacted entries are committed and can't be removed");
        while self.cached.back().is_some_and(|entry| entry.index >= index) {
            let entry = self.cached.pop_back().expect("the cache is not empty");
            self.cached_bytes -= entry.size_bytes();
        }
        while self.term_runs.back().is_some_and(|run| run.0 >= index) {
            self.term_runs.pop_back();
        }
        while self.replica_sets.back().is_some_and(|set| set.0 >= index) {
            self.replica_sets.pop_back();
        }
        while self.empty_entries.back().is_some_and(|&empty| empty >= index) {
            self.empty_entries.pop_back();
        }
        self.last_index = self.last_index.min(index - 1);
        self.ends_bytes.truncate((self.last_index - self.base_index) as usize);
    }

    /// Drops the entries up to and including `index`, which a snapshot covers.
    pub fn compact(&mut self, index: u64) {
        let index = index.min(self.last_index);
        let Some(term) = self.term(index) else { return };
        while self.cached.front().is_some_and(|entry| entry.index <= index) {
            self.pop_cached();
        }
        while self.term_runs.get(1).is_some_and(|run| run.0 <= index + 1) {
            self.term_runs.pop_front();
        }
        if index == self.last_index {
            self.term_runs.clear();
        } else if let Some(run) = self.term_runs.front_mut() {
            run.0 = run.0.max(index + 1);
        }
        while self.replica_sets.get(1).is_some_and(|set| set.0 <= index) {
            self.replica_sets.pop_front();
        }
        while self.empty_entries.front().is_some_and(|&empty| empty <= index) {
            self.empty_entries.pop_front();
        }
        self.base_end_bytes = self.end_bytes(index);
        self.ends_bytes.drain(..(index - self.base_index) as usize);
        (self.base_index, self.base_term) = (index, term);
    }

    /// Size of all entries that were not compacted.
    pub fn bytes(&self) -> u64 {
        self.bytes_between(self.base_index, self.last_index)
    }

    /// Size of the entries after `after_index`, up to and including `through_index`. Entries that were compacted count
    /// nothing.
    pub fn bytes_between(&self, after_index: u64, through_index: u64) -> u64 {
        self.end_bytes(through_index).saturating_sub(self.end_bytes(after_index))
    }

    /// The lowest index with at most `limit_bytes` of entries after it, up to and including `through_index`.
    pub fn index_before_bytes(&self, through_index: u64, limit_bytes: u64) -> u64 {
        let least_end_bytes = self.end_bytes(through_index).saturating_sub(limit_bytes);
        if self.base_end_bytes >= least_end_bytes {
            return self.base_index;
        }
        let smaller = self.ends_bytes.partition_point(|&end_bytes| end_bytes < least_end_bytes);
        self.base_index + 1 + smaller as u64
    }

    /// Size of all entries up to and including `index`, those that were compacted as well.
    fn end_bytes(&self, index: u64) -> u64 {
        let after_base = index.min(self.last_index).saturating_sub(self.base_index) as usize;
        let last = after_base.checked_sub(1).and_then(|position| self.ends_bytes.get(position));
        last.copied().unwrap_or(self.base_end_bytes)
    }

    /// Drops entries up to and including `index` from the cache while it exceeds `limit_bytes`.
    /// Their terms and replica sets remain known.
    pub fn trim_cache(&mut self, index: u64, limit_bytes: usize) {
        while self.cached_bytes > limit_bytes
            && self.cached.front().is_some_and(|entry| entry.index <= index)
        {
            self.pop_cached();
        }
    }

    /// Entries from `first` on, at least one and at most `limit_bytes`; empty after the end of the
    /// log, and `None` if the entry is not in the cache.
    pub fn slice(&self, first: u64, limit_bytes: usize) -> Option<Vec<Entry>> {
        if first > self.last_index {
            return Some(Vec::new());
        }
        let cached_first = self.cached.front()?.index;
        let skip = first.checked_sub(cached_first)?;
        let mut entries = Vec::new();
        let mut bytes = 0;
        for entry in self.cached.range(skip as usize..) {
            bytes += entry.size_bytes();
            if bytes > limit_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        Some(entries)
    }

    /// The entry at `index`, if it is in the cache.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let skip = index.checked_sub(self.cached.front()?.index)?;
        self.cached.get(skip as usize)
    }

    fn pop_cached(&mut self) {
        let Some(entry) = self.cached.pop_front() else { return };
        self.cached_bytes -= entry.size_bytes();
    }
}
