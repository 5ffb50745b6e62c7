use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use async_std::task::{self, JoinHandle};

use crate::boot_instant::BootInstant;
use crate::configuration::{ConfigurationView, Confirmation, LastConfirmation};
use crate::state::StateClient;
use crate::telemetry::Counters;

/// Longest time that a control host may hold a watch request (long poll) open.
const MAX_WATCH_MS: u64 = 1_000;
/// Watch requests that fit into a lease. Each confirmation counts from before its request was sent,
/// so a lease must be longer than one request.
const WATCHES_PER_LEASE: u64 = 4;
/// Delay before a failed watch request is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows the configuration and tracks when it was last confirmed to be the newest.
#[derive(Clone)]
pub struct ConfigurationWatch {
    shared: Arc<Shared>,
}

struct Shared {
    view: ArcSwap<ConfigurationView>,
    confirmation: LastConfirmation,
    lease_ms: u64,
    watch_task: std::sync::Mutex<Option<JoinHandle<()>>>,
}

impl ConfigurationWatch {
    /// Starts to follow the configuration. `on_change` runs after each new version is published.
    pub fn spawn(
        client: Arc<dyn StateClient>,
        lease_ms: u64,
        counters: Counters,
        on_change: impl Fn(&ConfigurationView) + Send + Sync + 'static,
    ) -> Self {
        let shared = Arc::new(Shared {
            view: ArcSwap::default(),
            confirmation: LastConfirmation::default(),
            lease_ms,
            watch_task: Default::default(),
        });
        let task = task::spawn(follow_configuration(shared.clone(), client, counters, on_change));
        *shared.watch_task.lock().expect("lock is not poisoned") = Some(task);
        Self { shared }
    }

    /// The newest configuration that this host has.
    pub fn load(&self) -> Guard<Arc<ConfigurationView>> {
        self.shared.view.load()
    }

    /// The newest configuration that this host has, as an owned reference that may be held across
    /// `await`.
    pub fn load_full(&self) -> Arc<ConfigurationView> {
        self.shared.view.load_full()
    }

    /// Time in milliseconds since the configuration was last confirmed; `None` before the first
    /// confirmation.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        // The confirmation is read first: it never names a newer version than the one in force then.
        let confirmation = self.shared.confirmation.load()?;
        let is_in_force = confirmation.version <= self.load().version();
        is_in_force.then(|| confirmation.confirmed_at.elapsed().as_millis() as u64)
    }

    /// True while the last confirmation is younger than the lease, so that a newer configuration
    /// can have been in force elsewhere for less than the lease length.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_age_ms().is_some_and(|age_ms| age_ms < self.shared.lease_ms)
    }

    /// Stops following the configuration.
    pub async fn close(self) {
        let task = self.shared.watch_task.lock().expect("lock is not poisoned").take();
        if let Some(task) = task {
            task.cancel().await;
        }
    }
}

async fn follow_configuration(
    shared: Arc<Shared>,
    client: Arc<dyn StateClient>,
    counters: Counters,
    on_change: impl Fn(&ConfigurationView),
) {
    let wait_ms = MAX_WATCH_MS.min(shared.lease_ms / WATCHES_PER_LEASE);
    let wait = Duration::from_millis(wait_ms);
    loop {
        // The control host confirms the configuration after the request was sent, so the time of
        // the request is a safe lower bound.
        let confirmed_at = BootInstant::now();
        let known_version = shared.view.load().version();
        let notice = match client.watch_configuration(known_version, wait).await {
            Ok(notice) => notice,
            Err(_) => {
                counters.count("configuration.watch_failed");
                task::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if notice.version < known_version {
            counters.count("configuration.older_version_refused");
            continue;
        }
        if let Some(configuration) = notice.configuration {
            if configuration.version > known_version {
                let view = Arc::new(ConfigurationView::from(configuration));
                shared.view.store(view.clone());
                log::info!("applied configuration version {}", view.version());
                on_change(&view);
            }
        }
        let source = "state".to_owned();
        let confirmation = Confirmation { version: notice.version, confirmed_at, source };
        shared.confirmation.record(confirmation);
    }
}
