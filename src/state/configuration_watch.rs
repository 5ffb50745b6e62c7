use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use futures::channel::oneshot;

use crate::schema::config::Configuration;

/// The published configuration: read without a lock, awaited without polling.
#[derive(Default)]
pub(crate) struct ConfigurationWatch {
    current: ArcSwap<Configuration>,
    waiters: Mutex<Vec<oneshot::Sender<()>>>,
}

impl ConfigurationWatch {
    pub(crate) fn current(&self) -> Arc<Configuration> {
        self.current.load_full()
    }

    /// Publishes a configuration that is newer than the published one. After a restore of an older
    /// snapshot, readers keep the newer one until the log has been applied again.
    pub(crate) fn publish(&self, configuration: &Arc<Configuration>) {
        if configuration.version <= self.current.load().version {
            return;
        }
        self.current.store(configuration.clone());
        let waiters = std::mem::take(&mut *self.waiters.lock().expect("lock is not poisoned"));
        for waiter in waiters {
            // A waiter that gave up is of no interest.
            let _ = waiter.send(());
        }
    }

    /// Waits for a configuration newer than `known_version`.
    pub(crate) async fn newer_than(&self, known_version: u64) -> Arc<Configuration> {
        loop {
            let changed = self.register();
            let current = self.current();
            if current.version > known_version {
                return current;
            }
            // An error means that the sender was dropped, after which the loop looks again.
            let _ = changed.await;
        }
    }

    fn register(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.lock().expect("lock is not poisoned");
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }
}
