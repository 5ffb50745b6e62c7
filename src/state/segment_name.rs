/// Identifies the content of a segment: its number, its nonce and the length up to which it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentName {
    /// Number of the segment, as in a [`BodyRef`](crate::state::BodyRef).
    pub segment: u32,
    /// Random number that distinguishes segments of different replicas with the same number.
    pub nonce: u64,
    /// Length of the segment when its name was taken.
    pub len_bytes: u64,
}

impl SegmentName {
    /// Whether the segment with this name contains all data of `other`: both name the same segment,
    /// and this one is at least as long.
    pub fn covers(&self, other: &Self) -> bool {
        self.segment == other.segment
            && self.nonce == other.nonce
            && self.len_bytes >= other.len_bytes
    }
}
