use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::signal::Signal;

/// The routes that other control hosts had when they last polled this one.
#[derive(Default)]
pub(super) struct RoutesHolders {
    versions: Mutex<Versions>,
    changed: Signal,
}

#[derive(Default)]
struct Versions {
    /// Version by peer address of the hosts that name their address.
    named: HashMap<String, u64>,
    /// Highest version of the hosts that do not, which are of earlier builds.
    unnamed: u64,
}

impl RoutesHolders {
    /// Records the version of a control host that polls this one; `address` is empty if it does not name its own.
    pub(super) fn record(&self, address: &str, version: u64) {
        let mut versions = self.lock();
        let known = match address {
            "" => &mut versions.unnamed,
            named => versions.named.entry(named.to_owned()).or_default(),
        };
        // Several hosts share the version of those that name no address.
        let next = if address.is_empty() { version.max(*known) } else { version };
        if std::mem::replace(known, next) == next {
            return;
        }
        drop(versions);
        self.changed.notify();
    }

    /// Peer addresses of the hosts that had this version or a higher one.
    pub(super) fn of_version(&self, version: u64) -> HashSet<String> {
        let versions = self.lock();
        let holders = versions.named.iter().filter(|(_, known)| **known >= version);
        holders.map(|(address, _)| address.clone()).collect()
    }

    /// True if at least one other host had this version or a higher one.
    pub(super) fn any_of_version(&self, version: u64) -> bool {
        let versions = self.lock();
        versions.unnamed >= version || versions.named.values().any(|known| *known >= version)
    }

    /// Notified after each change.
    pub(super) fn changed(&self) -> &Signal {
        &self.changed
    }

    fn lock(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
