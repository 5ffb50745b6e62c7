use std::hash::{Hash, Hasher};

use crate::membership::record::Fnv;
use crate::membership::HostRecord;

/// Number of rings that contain the hosts of one region.
const REGION_RINGS: u32 = 3;
/// Number of rings that contain all hosts.
const FLEET_RINGS: u32 = 2;

/// The few hosts that this host gossips with.
///
/// Hosts are placed on several hash rings, in a different order on each. A host probes its
/// successor on each ring, and gossips with its successors and predecessors. This connects all
/// hosts as well as random choices would, but with ten connections per host rather than one to
/// every other host. Most rings stay within a region, because the link between regions is slow and
/// billed by volume.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbors {
    /// Host ids of the successors, which are probed in turn.
    pub successors: Vec<String>,
    /// Host ids of successors and predecessors.
    pub all: Vec<String>,
}

impl Neighbors {
    /// Selects the neighbors of `own` among `hosts`, which must not contain `own`.
    pub fn choose<'a>(
        own: &HostRecord,
        hosts: impl Iterator<Item = &'a HostRecord> + Clone,
    ) -> Self {
        let mut neighbors = Self::default();
        for ring in 0..REGION_RINGS + FLEET_RINGS {
            let is_on_ring = |host: &&HostRecord| ring >= REGION_RINGS || host.region == own.region;
            let start = Self::position(ring, own);
            let distance = |host: &&HostRecord| Self::position(ring, host).wrapping_sub(start);
            let on_ring = hosts.clone().filter(is_on_ring);
            let Some(next) = on_ring.clone().min_by_key(distance) else { continue };
            let Some(previous) = on_ring.max_by_key(distance) else { continue };
            push_unique(&mut neighbors.successors, &next.host_id);
            push_unique(&mut neighbors.all, &next.host_id);
            push_unique(&mut neighbors.all, &previous.host_id);
        }
        neighbors
    }

    fn position(ring: u32, host: &HostRecord) -> u64 {
        let mut hasher = Fnv::default();
        (ring, &host.host_id).hash(&mut hasher);
        hasher.finish()
    }
}

fn push_unique(ids: &mut Vec<String>, id: &str) {
    if !ids.iter().any(|known| known == id) {
        ids.push(id.to_owned());
    }
}
