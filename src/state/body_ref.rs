/// The location of a body in a [`BodyStore`](crate::state::BodyStore).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyRef {
    /// Number of the segment that holds the body.
    pub segment: u32,
    /// Offset of the body's record within the segment.
    pub offset_bytes: u32,
    /// Length of the body before compression.
    pub len_bytes: u32,
}

impl BodyRef {
    /// The empty body, which takes no space in a store.
    pub const EMPTY: Self = Self { segment: 0, offset_bytes: 0, len_bytes: 0 };

    /// Whether this is the empty body.
    pub fn is_empty(self) -> bool {
        self.len_bytes == 0
    }
}
