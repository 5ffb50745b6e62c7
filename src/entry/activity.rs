use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use async_std::channel::{bounded, Receiver, Sender};

/// Counts the requests that this host serves and tells whether it takes new ones.
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
    /// Counts one request until the guard is dropped.
    pub fn enter(&self) -> ActivityGuard {
        self.shared.open.fetch_add(1, Ordering::AcqRel);
        ActivityGuard { activity: self.clone() }
    }

    /// Requests and streams that are open now.
    pub fn open(&self) -> u32 {
        self.shared.open.load(Ordering::Acquire)
    }

    /// True once the host has begun to stop.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Acquire)
    }

    /// Asks whoever runs the host to drain it.
    pub fn request_drain(&self) {
        let _ = self.shared.requests.try_send(());
    }

    /// Waits until a drain is asked for.
    pub async fn drain_requested(&self) {
        let _ = self.shared.requested.recv().await;
    }

    /// Begins the stop of the host.
    pub fn start_draining(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }
}

/// One open request.
#[derive(Debug)]
pub struct ActivityGuard {
    activity: Activity,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.activity.shared.open.fetch_sub(1, Ordering::AcqRel);
    }
}
