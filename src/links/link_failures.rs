use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a failure counts.
const FAILURE_WINDOW: Duration = Duration::from_millis(1_000);
/// Different upstreams that must have failed within [`FAILURE_WINDOW`] before the links of this host are
/// checked. A single one is paused by itself.
const SUSPICIOUS_UPSTREAMS: usize = 2;

/// Upstreams that could not be reached lately.
#[derive(Debug, Default)]
pub struct LinkFailures {
    failed_at: HashMap<String, Instant>,
}

impl LinkFailures {
    /// Records that an upstream could not be reached.
    pub fn record(&mut self, upstream_id: &str, now: Instant) {
        self.failed_at.retain(|_, failed_at| now - *failed_at < FAILURE_WINDOW);
        self.failed_at.insert(upstream_id.to_owned(), now);
    }

    /// True if enough upstreams have failed that the links of this host may be the cause.
    pub fn are_suspicious(&self, now: Instant) -> bool {
        let recent = self.failed_at.values().filter(|failed_at| now - **failed_at < FAILURE_WINDOW);
        recent.count() >= SUSPICIOUS_UPSTREAMS
    }
}
