use std::io;

use bytes::Bytes;

use crate::state::{BodyRef, SegmentName, SegmentSnapshot};

/// Stores bodies in append-only segments.
///
/// All bodies in use are also in the log or in a snapshot, so nothing needs to be durable before
/// [`SegmentSnapshot::sync`].
pub trait BodyStore: Send + Sync {
    /// Appends a body and returns its location. A body that cannot be written is kept in memory,
    /// and the store reports a [`BodyStore::fault`].
    fn append(&self, body: &[u8]) -> BodyRef;

    /// Reads a body. An error if it is missing or corrupt.
    fn read(&self, body: BodyRef) -> io::Result<Bytes>;

    /// Releases a body. A segment is deleted once all its bodies are released.
    fn release(&self, body: BodyRef);

    /// Captures the segments with all bodies appended so far. Cheap, because nothing is written.
    fn snapshot_segments(&self) -> Box<dyn SegmentSnapshot>;

    /// Whether the store has the whole segment. It may have grown since its name was taken.
    fn has_segment(&self, segment: &SegmentName) -> bool;

    /// Reads the `len_bytes` of an exported segment from `source`, for a later
    /// [`BodyStore::adopt`].
    fn import(&self, segment: &SegmentName, source: &mut dyn io::Read) -> io::Result<()>;

    /// Replaces the content of the store by `segments`, which must be present or imported before.
    /// `live` lists the bodies in use; segments without any are dropped.
    fn adopt(
        &self,
        segments: &[SegmentName],
        live: &mut dyn Iterator<Item = BodyRef>,
    ) -> io::Result<()>;

    /// Why the store no longer writes to its disk; `None` while it does.
    fn fault(&self) -> Option<String> {
        None
    }
}
