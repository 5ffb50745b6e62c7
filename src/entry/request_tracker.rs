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
    /// Requests that were read and whose answers are not written to their connections yet.
    unanswered: AtomicU32,
    stop: PlannedStop,
    drain_sender: Sender<()>,
    drain_receiver: Receiver<()>,
}

impl Default for Shared {
    fn default() -> Self {
        let (drain_sender, drain_receiver) = bounded(1);
        let (open, unanswered) = (AtomicU32::new(0), AtomicU32::new(0));
        Self { open, unanswered, stop: PlannedStop::default(), drain_sender, drain_receiver }
    }
}

impl RequestTracker {
    /// Counts a request as open until the returned guard is dropped.
    pub fn track(&self) -> RequestGuard {
        RequestGuard::new(self.shared.clone(), |shared| &shared.open)
    }

    /// Counts a request as not answered until the returned guard is dropped.
    pub fn track_answer(&self) -> RequestGuard {
        RequestGuard::new(self.shared.clone(), |shared| &shared.unanswered)
    }

    /// True if no request is open and all answers are written to their connections.
    pub fn is_idle(&self) -> bool {
        let Shared { open, unanswered, .. } = &*self.shared;
        open.load(Ordering::SeqCst) == 0 && unanswered.load(Ordering::SeqCst) == 0
    }

    /// Number of open requests and streams.
    pub fn open_count(&self) -> u32 {
        self.shared.open.load(Ordering::SeqCst)
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

    /// Takes no more requests, before the host looks for open ones for the last time.
    pub fn close_intake(&self) {
        self.shared.stop.close_intake();
    }

    /// True if a request with this deadline ends before a drain of the host does.
    pub fn leaves_time_until(&self, deadline: Instant) -> bool {
        self.shared.stop.leaves_time_until(deadline)
    }
}

/// Keeps a request counted until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    shared: Arc<Shared>,
    count: fn(&Shared) -> &AtomicU32,
}

impl RequestGuard {
    fn new(shared: Arc<Shared>, count: fn(&Shared) -> &AtomicU32) -> Self {
        count(&shared).fetch_add(1, Ordering::SeqCst);
        Self { shared, count }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        (self.count)(&self.shared).fetch_sub(1, Ordering::SeqCst);
    }
}
