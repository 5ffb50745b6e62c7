use crate::state::command::Holder;

/// The lease of an item: its holder and its expiration time.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) holder: Holder,
    pub(crate) expires_unix_ms: u64,
}
