//! Wakes all tasks that wait for something to change.

use std::future::Future;
use std::time::Duration;

use event_listener::{Event, EventListener};

/// Wakes waiting tasks without polling. A listener sees each notice after it was created.
#[derive(Debug, Default)]
pub struct Signal {
    event: Event,
}

impl Signal {
    /// Wakes all listeners.
    pub fn notify(&self) {
        self.event.notify(usize::MAX);
    }

    /// Listens from now on; look at the state after this call and before waiting.
    pub fn listen(&self) -> EventListener {
        self.event.listen()
    }

    /// Waits for a notice, or for one of several, for at most `wait`.
    pub async fn wait<T>(notice: impl Future<Output = T>, wait: Duration) {
        // A timeout is as good as a notice: the caller looks at the state again.
        let _ = async_std::future::timeout(wait, notice).await;
    }
}
