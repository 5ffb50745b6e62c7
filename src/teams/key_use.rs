/// Whether a request has to carry a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyUse {
    /// Only members of a team may send it.
    Required,
    /// Members of a team may send it, and callers without a key.
    Optional,
    /// Anybody may send it; a key has no meaning.
    Ignored,
}
