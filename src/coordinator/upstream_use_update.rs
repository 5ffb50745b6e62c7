use crate::schema::peer::UpstreamUse;

/// Requests of all other entry hosts at each upstream, as sent to one entry host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamUseUpdate {
    /// Upstreams whose load has changed, with the new counts.
    pub uses: Vec<UpstreamUse>,
    /// True if `uses` replaces everything that was sent before: upstreams that are not listed have
    /// no requests of other hosts.
    pub complete: bool,
    /// Revision of the host's view once it has applied this update.
    pub revision: u64,
}
