use std::hash::Hasher;

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
        let (host_id, upstream_id) = (&host.record.host_id, &upstream.upstream_id);
        (proximity, rendezvous_hash(host_id.as_bytes(), upstream_id.as_bytes()))
    })
}

/// A suspect host stays eligible, because most suspicions are refuted.
fn is_eligible(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

/// Rank of a host for a key. The host with the highest rank is the same in the view of every host.
pub fn rendezvous_hash(host_id: &[u8], key: &[u8]) -> [u8; 8] {
    let mut digest = Sha256::new();
    digest.update(host_id);
    digest.update([0]);
    digest.update(key);
    let digest = digest.finalize();
    std::array::from_fn(|index| digest[index])
}

/// Rank of a candidate for a key, the same on every host. Cheap enough for the path of a request.
pub fn rendezvous_rank(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(key);
    hasher.write_u8(0);
    hasher.write(candidate.as_bytes());
    // FNV spreads the last bytes of its input poorly, so the result is mixed once more.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31)
}
