use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Instant;

use async_std::channel::{bounded, Receiver, Sender};

use crate::admission::PlannedStop;

/// Counts the open requests of this host and tracks whether it is draining. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct RequestTracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    open: AtomicU32,
    stop: PlannedStop,
    drain_sender: Sender<()>,
    drain_receiver: Receiver<()>,
}

impl Default for Shared {
    fn default() -> Self {
        let (drain_sender, drain_receiver) = bounded(1);
        Self { open: AtomicU32::new(0), stop: PlannedStop::default(), drain_sender, drain_receiver }
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
        self.shared.stop.has_begun()
    }

    /// Requests a drain from the task that runs the host; does nothing if a request is pending.
    pub fn request_drain(&self) {
        let _ = self.shared.drain_sender.try_send(());
    }

    /// Waits for a call of [`RequestTracker::request_drain`].
    pub async fn drain_requested(&self) {
        let _ = self.shared.drain_receiver.recv().await;
    }

    /// Marks the host as draining. Requests that are still taken end by `requests_end_by`.
    pub fn start_drain(&self, requests_end_by: Instant) {
        self.shared.stop.begin(requests_end_by);
    }

    /// True if a request with this deadline ends before a drain of the host does.
    pub fn leaves_time_until(&self, deadline: Instant) -> bool {
        self.shared.stop.leaves_time_until(deadline)
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
