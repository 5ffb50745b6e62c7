use std::io;

use crate::raft::{Entry, Identity};

/// Keeps the log and the identity of one replica. After an error nothing more may be written.
pub trait LogStorage: Send {
    /// Replaces the identity; durable when the call returns.
    fn save_identity(&mut self, identity: &Identity) -> io::Result<()>;

    /// Appends entries, which replace all from the first one on. Durable after [`Self::sync`],
    /// which must come before the next call.
    fn append(&mut self, entries: &[Entry]) -> io::Result<()>;

    /// Makes what was appended durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Entries from `first_index` on, about `limit_bytes`; none if they are not there.
    fn read(&mut self, first_index: u64, limit_bytes: usize) -> io::Result<Vec<Entry>>;

    /// Entries up to `index` are not needed any more.
    fn compact(&mut self, index: u64) -> io::Result<()>;

    /// Forgets all entries.
    fn clear(&mut self) -> io::Result<()>;

    /// Deletes what was kept of damaged files, after their entries came back from peers.
    fn discard_damaged(&mut self) -> io::Result<()>;

    /// Bytes on the disk.
    fn data_bytes(&self) -> u64;
}
