/// What a leader has sent to a follower that lacks much of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct CatchUp {
    /// When the follower was found to lack much.
    pub started_ms: u64,
    /// Where the log ended then; the follower has caught up once it has this entry.
    pub goal_index: u64,
    /// Size of the entries that were sent since.
    pub entry_bytes: u64,
    /// Size of the snapshot chunks that were sent since.
    pub snapshot_bytes: u64,
}

impl CatchUp {
    /// A follower that needs the log up to `goal_index`.
    pub fn new(started_ms: u64, goal_index: u64) -> Self {
        Self { started_ms, goal_index, entry_bytes: 0, snapshot_bytes: 0 }
    }
}
