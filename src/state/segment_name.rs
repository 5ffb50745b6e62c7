/// Identity of a sealed segment of bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentName {
    /// Number that [`BodyRef`](crate::state::BodyRef)s carry.
    pub segment: u32,
    /// Random number that tells apart segments of different replicas under one number.
    pub nonce: u64,
    /// Length of the sealed segment.
    pub len_bytes: u64,
}
