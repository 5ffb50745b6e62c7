//! Notification that wakes all tasks waiting for a state change.

use std::future::Future;
use std::time::Duration;

use event_listener::{Event, EventListener};

/// Wakes waiting tasks without polling. A listener receives every notification sent after its
/// creation.
#[derive(Debug, Default)]
pub struct Signal {
    event: Event,
}

impl Signal {
    /// Wakes all listeners.
    pub fn notify(&self) {
        self.event.notify(usize::MAX);
    }

    /// Creates a listener for later notifications. To miss no change, check the state after this
    /// call and before waiting.
    pub fn listen(&self) -> EventListener {
        self.event.listen()
    }

    /// Waits until the future `notification` completes, for at most `max_wait`. The future may
    /// combine several listeners.
    pub async fn wait<T>(notification: impl Future<Output = T>, max_wait: Duration) {
        // A timeout is handled like a notification: the caller checks the state again.
        let _ = async_std::future::timeout(max_wait, notification).await;
    }
}
