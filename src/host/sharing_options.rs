use crate::routing::Balancer;

/// How a host shares upstreams with other hosts. Benchmarks compare the default with
/// alternatives.
pub struct SharingOptions {
    /// Chooses the upstream of a request; `None` selects the default, `WeightedScore`.
    pub balancer: Option<Box<dyn Balancer>>,
    /// Whether batch requests are preempted and paused for waiting online requests.
    pub preempts_batch: bool,
    /// Whether hosts lease slots from the slot owner of an upstream. Otherwise each host counts
    /// only its own requests against the upstream's limit.
    pub leases: bool,
}

impl Default for SharingOptions {
    fn default() -> Self {
        Self { balancer: None, preempts_batch: true, leases: true }
    }
}
