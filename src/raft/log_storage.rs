use std::io;
use std::sync::Arc;

use crate::raft::{Entry, Identity, LogReader};

/// Durable storage of the log and the identity of one replica. After an error, no further writes
/// are allowed.
pub trait LogStorage: Send {
    /// Replaces the identity; durable when the call returns.
    fn save_identity(&mut self, identity: &Identity) -> io::Result<()>;

    /// Appends entries, which replace all stored entries from the index of the first one on. They
    /// are durable after [`Self::sync`], which must be called before the next append.
    fn append(&mut self, entries: &[Entry]) -> io::Result<()>;

    /// Makes appended entries durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Reads the stored entries beside the writes. Entries that are not synced yet may be among them.
    fn reader(&self) -> Arc<dyn LogReader>;

    /// Deletes entries up to `index`, as far as whole files allow it.
    fn compact(&mut self, index: u64) -> io::Result<()>;

    /// Deletes all entries.
    fn clear(&mut self) -> io::Result<()>;

    /// Deletes the quarantined files, once their entries were replicated again.
    fn discard_quarantined(&mut self) -> io::Result<()>;

    /// Size of the log on the disk.
    fn data_bytes(&self) -> u64;
}
