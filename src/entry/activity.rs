use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use async_std::channel::{bounded, Receiver, Sender};

/// Counts the open requests of this host and tracks whether it is draining. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct Activity {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    open: AtomicU32,
    draining: AtomicBool,
    requests: Sender<()>,
    requested: Receiver<()>,
}

impl Default for Shared {
    fn default() -> Self {
        let (requests, requested) = bounded(1);
        Self { open: AtomicU32::new(0), draining: AtomicBool::new(false), requests, requested }
    }
}

impl Activity {
    /// Counts a request as open until the returned guard is dropped.
    pub fn track(&self) -> RequestGuard {
        self.shared.open.fetch_add(1, Ordering::AcqRel);
        RequestGuard { activity: self.clone() }
    }

    /// Number of open requests and streams.
    pub fn open(&self) -> u32 {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Whether the drain of this host has started.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Acquire)
    }

    /// Requests a drain from the task that runs the host; does nothing if a request is pending.
    pub fn request_drain(&self) {
        let _ = self.shared.requests.try_send(());
    }

    /// Waits for a call of [`Activity::request_drain`].
    pub async fn drain_requested(&self) {
        let _ = self.shared.requested.recv().await;
    }

    /// Marks the host as draining.
    pub fn start_drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }
}

/// Keeps a request counted as open until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    activity: Activity,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.shared.open.fetch_sub(1, Ordering::AcqRel);
    }
}
