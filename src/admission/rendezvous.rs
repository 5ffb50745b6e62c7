use sha2::{Digest, Sha256};

use crate::membership::{HostEntry, MembershipView, Status, UpstreamRecord};

/// The host that lends the slots of an upstream, the same on all hosts with the same view: an entry
/// host in its zone if there is one, else in its region, else anywhere. When hosts come or go, only
/// the upstreams of these hosts change their owner.
pub fn slot_owner<'a>(
    view: &'a MembershipView,
    upstream: &UpstreamRecord,
) -> Option<&'a HostEntry> {
    let entries = view.hosts.iter().filter(|host| host.record.entry && owns(host.status));
    entries.max_by_key(|host| {
        let near = (host.record.region == upstream.region) as u8
            + (host.record.zone == upstream.zone) as u8;
        (near, score(&host.record.host_id, &upstream.upstream_id))
    })
}

/// A suspect may still lend, and mostly refutes the suspicion.
fn owns(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

fn score(host_id: &str, upstream_id: &str) -> [u8; 8] {
    let mut digest = Sha256::new();
    digest.update(host_id.as_bytes());
    digest.update([0]);
    digest.update(upstream_id.as_bytes());
    let digest = digest.finalize();
    std::array::from_fn(|index| digest[index])
}
