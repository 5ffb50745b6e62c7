/// A whole answer of an entry host.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Item at which the next page starts, when there is one.
    pub next_item: Option<u64>,
    /// Body of the answer.
    pub body: Vec<u8>,
}
