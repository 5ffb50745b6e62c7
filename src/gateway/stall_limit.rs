use std::time::Duration;

use crate::schema::routes::Route;

/// Shortest stall limit. Upstreams that queue a request or run many of them pause for up to a quarter of a
/// second.
pub(crate) const MIN_STALL_LIMIT: Duration = Duration::from_millis(700);
/// Multiple of a route's own target after which an upstream counts as stalled. An answer that is late by
/// less is worth more than one that starts again elsewhere.
const TARGET_FACTOR: u32 = 2;

/// Time without a whole event from an upstream, or without data where the answer has no events, after which
/// a request that may be repeated or resumed is sent to another upstream. It follows from the targets of the
/// route, so that a service that is slow by nature is not taken for a stalled one.
pub fn stall_limit(route: &Route, has_begun: bool) -> Duration {
    let target_ms = if has_begun { route.event_gap_target_ms } else { route.latency_target_ms };
    MIN_STALL_LIMIT.max(Duration::from_millis(target_ms.into()) * TARGET_FACTOR)
}
