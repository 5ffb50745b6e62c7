use std::io;

use crate::state::SegmentName;

/// The segments of a body store at one point in time. They stay readable after the store deletes
/// them.
pub trait SegmentSnapshot: Send {
    /// Names of the segments.
    fn names(&self) -> &[SegmentName];

    /// Makes the segments durable in the store that they belong to.
    fn sync(&self) -> io::Result<()>;

    /// Writes the `len_bytes` of the segment at this index in the list of names.
    fn export(&self, index: usize, target: &mut dyn io::Write) -> io::Result<()>;
}
