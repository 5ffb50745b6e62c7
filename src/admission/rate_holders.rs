use crate::admission::rendezvous_rank;

/// Least number of hosts that share a named limit. Each may send a request before it hears of those of the
/// others, so a burst exceeds the limit by about as many requests as there are holders: more than these where
/// many hosts depend on few upstreams.
const MIN_HOLDERS: usize = 4;
/// Limited upstreams that each host can use on average, so that every host serves its callers.
const MIN_UPSTREAMS_PER_HOST: usize = 2;

/// An entry host that may share the limit of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct HolderCandidate<'a> {
    /// Id of the host.
    pub host_id: &'a str,
    /// It is in the region of the upstream, or has no upstream in its own.
    pub is_near: bool,
}

/// Decides which hosts send to an upstream that names a limit of requests per second.
///
/// Answers the load of many hosts before a small limit: each knows the requests of the others from a report
/// that is some hundred milliseconds old. If all of them might use what is left, all would see it at the
/// same time, and a burst would exceed the limit by one request a host. Hosts with the same list choose the
/// same holders without a message; those near the upstream come first.
///
/// Returns the number of holders if `own_host_id` is one of them. `upstreams` is the number of upstreams
/// that serve the same requests.
pub fn rate_holders(
    candidates: &[HolderCandidate<'_>],
    own_host_id: &str,
    upstream_id: &str,
    upstreams: usize,
) -> Option<u32> {
    let per_upstream = (candidates.len() * MIN_UPSTREAMS_PER_HOST).div_ceil(upstreams.max(1));
    let count = MIN_HOLDERS.max(per_upstream).min(candidates.len()).max(1);
    let rank = |candidate: &HolderCandidate<'_>| {
        let hash = rendezvous_rank(upstream_id.as_bytes(), candidate.host_id);
        (candidate.is_near, hash)
    };
    let own = candidates.iter().find(|candidate| candidate.host_id == own_host_id).map(rank)?;
    let before = candidates.iter().filter(|candidate| rank(candidate) > own).count();
    (before < count).then_some(count as u32)
}
