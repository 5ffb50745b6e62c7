/// Size of the newest snapshot, and by how much a newer one would be larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotSize {
    /// Size of the file.
    pub file_bytes: u64,
    /// Size of the state before compression.
    pub state_bytes: u64,
    /// Growth of the file for a thousand bytes of applied entries.
    growth_permille: u64,
}

impl SnapshotSize {
    /// A snapshot that was restored. How the state grows is not known, so all that is applied counts as kept, compressed
    /// like the state.
    pub fn restored(file_bytes: u64, state_bytes: u64) -> Self {
        let growth_permille = permille(file_bytes, state_bytes);
        Self { file_bytes, state_bytes, growth_permille }
    }

    /// A snapshot that was saved after `applied_bytes` of entries had followed the one before, whose file had
    /// `earlier_file_bytes`.
    pub fn saved(
        file_bytes: u64,
        state_bytes: u64,
        earlier_file_bytes: u64,
        applied_bytes: u64,
    ) -> Self {
        let seen = permille(file_bytes.saturating_sub(earlier_file_bytes), applied_bytes);
        let growth_permille = seen.min(permille(file_bytes, state_bytes));
        Self { file_bytes, state_bytes, growth_permille }
    }

    /// Size of the file of a snapshot that is saved after `applied_bytes` more.
    pub fn expected_file_bytes(&self, applied_bytes: u64) -> u64 {
        self.file_bytes + applied_bytes * self.growth_permille / 1_000
    }
}

/// The part in thousandths, at most the whole.
fn permille(part_bytes: u64, whole_bytes: u64) -> u64 {
    (part_bytes * 1_000).checked_div(whole_bytes).unwrap_or(1_000).min(1_000)
}
