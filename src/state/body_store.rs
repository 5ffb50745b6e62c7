use std::io;

use bytes::Bytes;

use crate::state::{BodyRef, SealedBodies, SegmentName};

/// Keeps bodies in append-only segments.
///
/// The bodies that it must keep are also in the log or a snapshot, so nothing needs to be durable
/// before [`SealedBodies::sync`].
pub trait BodyStore: Send + Sync {
    /// Appends a body. One that cannot be written is kept in memory and reported as a fault.
    fn append(&self, body: &[u8]) -> BodyRef;

    /// Reads a body; an error when it is missing or damaged.
    fn read(&self, body: BodyRef) -> io::Result<Bytes>;

    /// Gives up a body. A segment whose bodies are all given up is deleted.
    fn release(&self, body: BodyRef);

    /// The segments as they are now, with all bodies appended so far. Cheap: nothing is written.
    fn seal(&self) -> Box<dyn SealedBodies>;

    /// Whether the segment is here, whole. It may have grown since it was named.
    fn holds(&self, segment: &SegmentName) -> bool;

    /// Reads the `len_bytes` of an exported segment, for a later [`BodyStore::adopt`].
    fn import(&self, segment: &SegmentName, source: &mut dyn io::Read) -> io::Result<()>;

    /// Replaces all segments by `segments`, held or imported before, in which only `live` is kept.
    fn adopt(
        &self,
        segments: &[SegmentName],
        live: &mut dyn Iterator<Item = BodyRef>,
    ) -> io::Result<()>;

    /// Why the store no longer writes to its disk.
    fn fault(&self) -> Option<String> {
        None
    }
}
