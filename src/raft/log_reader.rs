use std::io;

use crate::raft::Entry;

/// Reads the stored entries of a log while others are written.
pub trait LogReader: Send + Sync {
    /// Entries from `first_index` on, about `limit_bytes`; empty if the entry is not stored.
    ///
    /// # Errors
    /// If the disk fails or a record is damaged.
    fn read(&self, first_index: u64, limit_bytes: usize) -> io::Result<Vec<Entry>>;
}
