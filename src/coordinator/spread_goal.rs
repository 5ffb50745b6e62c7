use std::collections::HashSet;

use crate::replication::KnownControlHost;

/// Control hosts besides this one that must know what is acknowledged, if so many are reached. With two, any two of
/// those that know may be lost.
const WANTED_HOLDERS: usize = 2;

/// Which other control hosts must know something before this one acknowledges it, so that it reaches all hosts even if
/// this one, or its zone, is lost right after.
pub(super) struct SpreadGoal {
    wanted: usize,
    /// Peer addresses of the reached hosts in other zones.
    elsewhere: HashSet<String>,
}

impl SpreadGoal {
    /// The goal of a host in `zone` that reaches these others.
    pub(super) fn new(reached: &[KnownControlHost], zone: &str) -> Self {
        let elsewhere = reached.iter().filter(|host| host.zone != zone);
        Self {
            wanted: reached.len().min(WANTED_HOLDERS),
            elsewhere: elsewhere.map(|host| host.peer_address.clone()).collect(),
        }
    }

    /// True if no other host is reached.
    pub(super) fn is_empty(&self) -> bool {
        self.wanted == 0
    }

    /// True if enough others know, one of them in another zone if any is reached there.
    pub(super) fn is_met(&self, holders: &HashSet<String>) -> bool {
        let in_other_zone = self.elsewhere.is_empty() || !self.elsewhere.is_disjoint(holders);
        holders.len() >= self.wanted && in_other_zone
    }
}
