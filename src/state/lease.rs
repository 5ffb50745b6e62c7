use crate::state::command::Holder;

/// A leased item's holder and end.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    pub(crate) holder: Holder,
    pub(crate) expires_unix_ms: u64,
}
