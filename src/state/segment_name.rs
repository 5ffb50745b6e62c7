/// Identity of a segment of bodies, up to a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentName {
    /// Number that [`BodyRef`](crate::state::BodyRef)s carry.
    pub segment: u32,
    /// Random number that tells apart segments of different replicas under one number.
    pub nonce: u64,
    /// Length of the segment when it was named.
    pub len_bytes: u64,
}

impl SegmentName {
    /// Whether a segment under this name holds all of another one: the same, as it was or as it
    /// grew since.
    pub fn holds(&self, other: &Self) -> bool {
        self.segment == other.segment
            && self.nonce == other.nonce
            && self.len_bytes >= other.len_bytes
    }
}
