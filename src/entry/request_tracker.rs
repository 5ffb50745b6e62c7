use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use async_std::channel::{bounded, Receiver, Sender};

/// Counts the open requests of this host and tracks whether it is draining. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct RequestTracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    open: AtomicU32,
    draining: AtomicBool,
    drain_sender: Sender<()>,
    drain_receiver: Receiver<()>,
}

impl Default for Shared {
    fn default() -> Self {
        let (drain_sender, drain_receiver) = bounded(1);
        Self {
            open: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            drain_sender,
            drain_receiver,
        }
    }
}

impl RequestTracker {
    /// Counts a request as open until the returned guard is dropped.
    pub fn track(&self) -> RequestGuard {
        self.shared.open.fetch_add(1, Ordering::AcqRel);
        RequestGuard { request_tracker: self.clone() }
    }

    /// Number of open requests and streams.
    pub fn open_count(&self) -> u32 {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Whether the drain of this host has started.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Acquire)
    }

    /// Requests a drain from the task that runs the host; does nothing if a request is pending.
    pub fn request_drain(&self) {
        let _ = self.shared.drain_sender.try_send(());
    }

    /// Waits for a call of [`RequestTracker::request_drain`].
    pub async fn drain_requested(&self) {
        let _ = self.shared.drain_receiver.recv().await;
    }

    /// Marks the host as draining.
    pub fn start_drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }
}

/// Keeps a request counted as open until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    request_tracker: RequestTracker,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.request_tracker.shared.open.fetch_sub(1, Ordering::AcqRel);
    }
}
