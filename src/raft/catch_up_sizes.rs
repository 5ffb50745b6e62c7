use crate::raft::SnapshotSize;

/// Sizes that decide how a follower gets the entries that it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatchUpSizes {
    /// Applied entries that the follower lacks.
    pub missing_bytes: u64,
    /// The newest snapshot; `None` if there is none.
    pub snapshot: Option<SnapshotSize>,
    /// Applied entries after the newest snapshot.
    pub tail_bytes: u64,
    /// Size from which entries are replaced by a snapshot. Fewer ones arrive before a snapshot would be installed.
    pub min_bytes: u64,
}

impl CatchUpSizes {
    /// True if the follower gets a snapshot though the entries are there, because a new one would be much smaller.
    pub fn prefers_snapshot(&self) -> bool {
        let Some(snapshot) = self.snapshot else { return false };
        let expected_bytes = snapshot.expected_file_bytes(self.tail_bytes);
        self.missing_bytes > expected_bytes + (expected_bytes / 4).max(self.min_bytes)
    }

    /// True if a new snapshot is saved before one is sent, because the entries after the newest one would take as long
    /// as half of it.
    pub fn is_snapshot_outdated(&self) -> bool {
        let file_bytes = self.snapshot.map_or(0, |snapshot| snapshot.file_bytes);
        self.tail_bytes > (file_bytes / 2).max(self.min_bytes)
    }
}
