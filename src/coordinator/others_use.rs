use crate::schema::peer::UpstreamUse;

/// Requests of the other entry hosts at each upstream, as one host is told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OthersUse {
    /// Upstreams whose load changed, with the new counts.
    pub uses: Vec<UpstreamUse>,
    /// Upstreams that are left out have no requests, whatever was told before.
    pub complete: bool,
    /// Identity of what the host knows now.
    pub revision: u64,
}
