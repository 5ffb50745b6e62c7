use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use futures::channel::oneshot;

use crate::schema::config::Configuration;

/// The published configuration. Reads take no lock, and a change is awaited without polling.
#[derive(Default)]
pub(crate) struct ConfigurationWatch {
    current: ArcSwap<Configuration>,
    waiters: Mutex<Vec<oneshot::Sender<()>>>,
}

impl ConfigurationWatch {
    pub(crate) fn current(&self) -> Arc<Configuration> {
        self.current.load_full()
    }

    /// Publishes a configuration if it is newer than the published one. After an older snapshot is
    /// restored, readers keep the newer configuration until the log has been replayed.
    pub(crate) fn publish(&self, configuration: &Arc<Configuration>) {
        if configuration.version <= self.current.load().version {
            return;
        }
        self.current.store(configuration.clone());
        let waiters = std::mem::take(&mut *self.waiters.lock().expect("lock is not poisoned"));
        for waiter in waiters {
            // Sending fails if the waiter was dropped, which needs no handling.
            let _ = waiter.send(());
        }
    }

    /// Waits for a configuration newer than `known_version`.
    pub(crate) async fn wait_for_newer(&self, known_version: u64) -> Arc<Configuration> {
        loop {
            let changed = self.register_waiter();
            let current = self.current();
            if current.version > known_version {
                return current;
            }
            // An error means that the sender was dropped; the loop checks the version again.
            let _ = changed.await;
        }
    }

    fn register_waiter(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.lock().expect("lock is not poisoned");
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }
}
