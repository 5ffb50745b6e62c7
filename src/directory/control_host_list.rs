use std::hash::{Hash, Hasher};

use crate::schema::peer::ControlHostEntry;

/// The control hosts that a control host lists in its replies, with a hash by which a host recognizes
/// that it has the list already.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlHostList {
    /// The hosts, sorted by address.
    pub hosts: Vec<ControlHostEntry>,
    /// Hash of the hosts; never 0, which stands for no list.
    pub hash: u64,
}

impl ControlHostList {
    /// Creates the list of these hosts.
    pub fn new(mut hosts: Vec<ControlHostEntry>) -> Self {
        hosts.sort_by(|a, b| a.peer_address.cmp(&b.peer_address));
        let mut hasher = fnv::FnvHasher::default();
        for host in &hosts {
            (&host.peer_address, &host.zone, host.is_reached, host.has_replica).hash(&mut hasher);
        }
        Self { hosts, hash: hasher.finish().max(1) }
    }
}
