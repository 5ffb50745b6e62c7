use damaskhoist::raft::{
    Entry, HardState, Log, Payload, RecoveredState, ReplicaSet, SnapshotMeta, Standing,
};

use super::Job;

/// What survives a crash.
pub struct Disk {
    hard_state: HardState,
    standing: Standing,
    snapshot: (SnapshotMeta, Vec<u64>),
    /// Records of entries that were synced together; the flag marks a damaged one.
    records: Vec<(Vec<Entry>, bool)>,
}

impl Disk {
    pub fn new(replicas: ReplicaSet, standing: Standing) -> Self {
        let meta = SnapshotMeta { replicas, ..Default::default() };
        let snapshot = (meta, Vec::new());
        Self { hard_state: HardState::default(), standing, snapshot, records: Vec::new() }
    }

    pub fn write(&mut self, job: Job) {
        self.hard_state = job.hard_state.unwrap_or(self.hard_state);
        self.standing = job.standing.unwrap_or(self.standing);
        if job.clear {
            self.records.clear();
        }
        if !job.entries.is_empty() {
            self.records.push((job.entries, false));
        }
    }

    pub fn save_snapshot(&mut self, meta: SnapshotMeta, state: Vec<u64>) {
        self.snapshot = (meta, state);
    }

    pub fn compact(&mut self, index: u64) {
        let last_index = |record: &(Vec<Entry>, bool)| record.0.last().map(|entry| entry.index);
        while self.records.len() > 1 && last_index(&self.records[0]) <= Some(index) {
            self.records.remove(0);
        }
    }

    /// Damages a record that is followed by another one.
    pub fn damage(&mut self, place: usize) -> bool {
        let followed = self.records.len().saturating_sub(1);
        if followed == 0 {
            return false;
        }
        self.records[place % followed].1 = true;
        true
    }

    pub fn read(&self, first_index: u64) -> Vec<Entry> {
        let (entries, _) = self.whole_entries();
        let wanted = entries.into_iter().skip_while(|entry| entry.index < first_index);
        wanted.take(3).collect()
    }

    pub fn snapshot_bytes(&self) -> (SnapshotMeta, Vec<u8>) {
        let bytes = self.snapshot.1.iter().flat_map(|command| command.to_le_bytes());
        (self.snapshot.0.clone(), bytes.collect())
    }

    /// Replica sets with their index.
    pub fn replica_sets(&self) -> Vec<(u64, ReplicaSet)> {
        let entries = self.records.iter().flat_map(|record| &record.0);
        let sets = entries.filter_map(|entry| match &entry.payload {
            Payload::Replicas(set) => Some((entry.index, set.clone())),
            _ => None,
        });
        let meta = &self.snapshot.0;
        sets.chain([(meta.last_index, meta.replicas.clone())]).collect()
    }

    /// Opens the disk like the real recovery does.
    pub fn recover(&mut self) -> (RecoveredState, Vec<u64>) {
        let (mut entries, damaged_from) = self.whole_entries();
        if let Some(from) = damaged_from {
            let lost = self.records[from..].iter().flat_map(|record| &record.0);
            let through = lost.map(|entry| entry.index).max().unwrap_or(0);
            self.standing = match self.standing {
                Standing::Member => Standing::Repairing { through },
                Standing::Repairing { through: earlier } => {
                    Standing::Repairing { through: through.max(earlier) }
                }
                other => other,
            };
            self.records.truncate(from);
        }
        let (meta, state) = self.snapshot.clone();
        let continues = match entries.first() {
            None => true,
            Some(first) if meta.last_index + 1 < first.index => false,
            Some(first) if meta.last_index < first.index => first.term >= meta.last_term,
            Some(first) => {
                let at = (meta.last_index - first.index) as usize;
                entries.get(at).is_some_and(|entry| entry.term == meta.last_term)
            }
        };
        if !continues {
            entries.clear();
            self.records.clear();
        }
        entries.retain(|entry| entry.index > meta.last_index);
        let log = Log::new(meta.clone(), entries);
        let (hard_state, standing) = (self.hard_state, self.standing);
        (RecoveredState { hard_state, standing, snapshot: meta, log }, state)
    }

    /// The entries before the first damage, and the place of that.
    fn whole_entries(&self) -> (Vec<Entry>, Option<usize>) {
        let mut entries: Vec<Entry> = Vec::new();
        for (at, (record, is_damaged)) in self.records.iter().enumerate() {
            if *is_damaged {
                return (entries, Some(at));
            }
            let first_index = record[0].index;
            entries.retain(|entry| entry.index < first_index);
            entries.extend(record.iter().cloned());
        }
        (entries, None)
    }
}
