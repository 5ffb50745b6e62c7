use sha2::{Digest, Sha256};

use crate::membership::{HostEntry, MembershipView, Status, UpstreamRecord};

/// The host that owns the slots of an upstream and grants leases on them. All hosts with the same
/// view choose the same one, by rendezvous hashing: an entry host in the upstream's zone if there
/// is one, else in its region, else anywhere. When a host joins or leaves, only the upstreams
/// assigned to that host change their owner.
pub fn slot_owner<'a>(
    view: &'a MembershipView,
    upstream: &UpstreamRecord,
) -> Option<&'a HostEntry> {
    let entries = view.hosts.iter().filter(|host| host.record.entry && is_eligible(host.status));
    entries.max_by_key(|host| {
        let proximity = (host.record.region == upstream.region) as u8
            + (host.record.zone == upstream.zone) as u8;
        (proximity, rendezvous_hash(&host.record.host_id, &upstream.upstream_id))
    })
}

/// A suspect host stays eligible, because most suspicions are refuted.
fn is_eligible(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

fn rendezvous_hash(host_id: &str, upstream_id: &str) -> [u8; 8] {
    let mut digest = Sha256::new();
    digest.update(host_id.as_bytes());
    digest.update([0]);
    digest.update(upstream_id.as_bytes());
    let digest = digest.finalize();
    std::array::from_fn(|index| digest[index])
}
