use std::io;

use crate::state::SegmentName;

/// The segments of a store at one moment. They stay readable even if the store deletes them.
pub trait SealedBodies: Send {
    /// Names of the segments.
    fn names(&self) -> &[SegmentName];

    /// Makes the segments durable where they are.
    fn sync(&self) -> io::Result<()>;

    /// Writes the `len_bytes` of the segment at this place among the names.
    fn export(&self, place: usize, target: &mut dyn io::Write) -> io::Result<()>;
}
