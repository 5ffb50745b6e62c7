use crate::routing::Balancer;

/// How a host shares upstreams. Measurements compare other ways with the default one.
pub struct SharingOptions {
    /// Picks upstreams; `None` for the default one.
    pub balancer: Option<Box<dyn Balancer>>,
    /// Batch streams are cut for online requests that wait.
    pub gives_way: bool,
    /// Slots are lent by their owner; otherwise each host counts only its own requests.
    pub leases: bool,
}

impl Default for SharingOptions {
    fn default() -> Self {
        Self { balancer: None, gives_way: true, leases: true }
    }
}
