use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use crate::boot_instant::BootInstant;
use crate::configuration::Confirmation;
use crate::signal::Signal;

/// The latest confirmation that a host has received. Read on the path of a request.
#[derive(Debug, Default)]
pub struct LastConfirmation {
    latest: ArcSwapOption<Confirmation>,
    /// The last one of an earlier version than the latest names. It holds for hosts that don't have the newer version yet.
    superseded: ArcSwapOption<Confirmation>,
    /// Notified after each confirmation.
    changed: Signal,
}

impl LastConfirmation {
    /// Records a confirmation, unless a later one was received, as another control host may have been faster.
    pub fn record(&self, confirmation: Confirmation) {
        let confirmation = Arc::new(confirmation);
        let before = self.latest.load_full();
        if let Some(before) = before.filter(|before| before.version < confirmation.version) {
            self.superseded.store(Some(before));
        }
        self.latest.rcu(|latest| match latest {
            Some(latest) if latest.confirmed_at > confirmation.confirmed_at => Some(latest.clone()),
            _ => Some(confirmation.clone()),
        });
        self.changed.notify();
    }

    /// The latest confirmation.
    pub fn load(&self) -> Option<Arc<Confirmation>> {
        self.latest.load_full()
    }

    /// Notified after each confirmation.
    pub fn changed(&self) -> &Signal {
        &self.changed
    }

    /// Time since `version` was last known to be the newest; `None` if it never was or a newer one is known.
    pub fn age(&self, version: u64, now: BootInstant) -> Option<Duration> {
        let latest = self.latest.load();
        let latest = latest.as_ref().filter(|latest| latest.version <= version)?;
        Some(now - latest.confirmed_at)
    }

    /// Time since `version` was last known to be the newest, whether or not a newer one is known by now; `None` if it
    /// never was.
    pub fn age_in_force(&self, version: u64, now: BootInstant) -> Option<Duration> {
        self.age(version, now).or_else(|| {
            let superseded = self.superseded.load();
            let superseded = superseded.as_ref().filter(|it| it.version <= version)?;
            Some(now - superseded.confirmed_at)
        })
    }
}
