use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use async_std::task;
use futures::{AsyncReadExt, FutureExt};
use serde::Deserialize;

use crate::routing::{CacheEvent, HolderIndex, PrefixTracker, Upstream};
use crate::serving::dispatcher::Shared;
use crate::upstream::{UpstreamCall, UpstreamError};

/// Interval between two polling rounds.
const POLL_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Upstreams polled per round. Bounds the cost for a host regardless of the fleet's size.
const POLLS_PER_ROUND: usize = 4;
/// Minimum time between two polls of the same upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time to wait for a complete response.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest response that is read. A longer one is truncated and then fails to parse.
const RESPONSE_LIMIT_BYTES: u64 = 8 << 20;

/// Spawns a task that keeps the views of the upstreams' prefix caches up to date until the
/// dispatcher is dropped.
///
/// Polls only upstreams in this host's region, so that cache events don't use the link between
/// regions.
pub(super) fn spawn(shared: &Arc<Shared>, region: &str, holders: Arc<HolderIndex>) {
    let feed = CacheFeed {
        region: region.to_owned(),
        holders,
        started: Instant::now(),
        followed: HashMap::new(),
    };
    task::spawn(feed.run(Arc::downgrade(shared)));
}

struct CacheFeed {
    region: String,
    holders: Arc<HolderIndex>,
    started: Instant,
    followed: HashMap<String, FollowedUpstream>,
}

#[derive(Default)]
struct FollowedUpstream {
    tracker: PrefixTracker,
    /// Number of the upstream's prefix cell to which the newest view was published.
    published_to: u32,
    last_polled: Option<Instant>,
}

#[derive(Deserialize)]
struct WireEvents {
    incarnation: u64,
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
struct WireEvent {
    sequence: u64,
    kind: String,
    hash: String,
}

impl CacheFeed {
    async fn run(mut self, shared: Weak<Shared>) {
        loop {
            task::sleep(POLL_ROUND_INTERVAL).await;
            let Some(shared) = shared.upgrade() else { return };
            self.holders.set_now_s(self.now_s());
            let due_upstreams = self.due_upstreams(&shared);
            let polls = due_upstreams.iter().map(|(upstream, after)| {
                shared
                    .fetch_cache_events(upstream, *after)
                    .map(move |response| (upstream, response))
            });
            for (upstream, response) in futures::future::join_all(polls).await {
                match response {
                    Ok(response) => self.apply(upstream, response),
                    Err(_) => shared.counters().count("cache_events.failed"),
                }
            }
        }
    }

    /// Selects the upstreams whose last poll is the longest ago, each with the last sequence number
    /// that this host has applied, and marks them as polled.
    fn due_upstreams(&mut self, shared: &Shared) -> Vec<(Arc<Upstream>, u64)> {
        let snapshot = shared.fleet.load();
        self.followed.retain(|id, _| snapshot.upstream(id).is_some());
        let upstreams = snapshot.upstreams();
        let engines = upstreams
            .filter(|upstream| !upstream.record.plain && upstream.record.region == self.region);
        let last_polled = |upstream: &Upstream| {
            self.followed
                .get(&upstream.record.upstream_id)
                .and_then(|followed| followed.last_polled)
        };
        let mut due_upstreams: Vec<_> = engines
            .map(|upstream| (last_polled(upstream), upstream))
            .filter(|(last_polled, _)| {
                last_polled.is_none_or(|last_polled| last_polled.elapsed() >= POLL_INTERVAL)
            })
            .collect();
        due_upstreams.sort_unstable_by_key(|(last_polled, _)| *last_polled);
        due_upstreams.truncate(POLLS_PER_ROUND);
        let due_upstreams = due_upstreams.into_iter().map(|(_, upstream)| upstream.clone());
        due_upstreams
            .map(|upstream| {
                let followed =
                    self.followed.entry(upstream.record.upstream_id.clone()).or_default();
                followed.last_polled = Some(Instant::now());
                let after = followed.tracker.last_sequence();
                (upstream, after)
            })
            .collect()
    }

    fn apply(&mut self, upstream: &Upstream, response: WireEvents) {
        let now_s = self.now_s();
        let Some(followed) = self.followed.get_mut(&upstream.record.upstream_id) else { return };
        let tracker = &mut followed.tracker;
        let number = upstream.prefixes.number();
        let restarted = tracker.track_incarnation(response.incarnation);
        // The poll used a sequence number of the old incarnation, so the response may lack the
        // first events of the new one.
        let events: Vec<_> = match restarted {
            true => Vec::new(),
            false => response.events.into_iter().filter_map(parse_event).collect(),
        };
        for event in events.iter().filter(|event| event.stored) {
            self.holders.record_stored(event.hash, number);
        }
        tracker.apply(&events, now_s);
        let any_expired = tracker.expire(now_s);
        if restarted || any_expired || !events.is_empty() || followed.published_to != number {
            upstream.prefixes.store(tracker.view());
            followed.published_to = number;
        }
    }

    fn now_s(&self) -> u64 {
        self.started.elapsed().as_secs()
    }
}

fn parse_event(wire: WireEvent) -> Option<CacheEvent> {
    let hash = u64::from_str_radix(&wire.hash, 16).ok()?;
    Some(CacheEvent { sequence: wire.sequence, hash, stored: wire.kind == "stored" })
}

impl Shared {
    async fn fetch_cache_events(
        &self,
        upstream: &Upstream,
        after: u64,
    ) -> Result<WireEvents, UpstreamError> {
        let path = format!("/v1/cache/events?after={after}");
        let call = UpstreamCall {
            address: &upstream.record.address,
            method: "GET",
            path: &path,
            headers: &[],
            body: &[],
            repeatable: true,
            timeout: POLL_TIMEOUT,
        };
        let read = async {
            let response = self.connector.open(call).await?;
            let mut body = Vec::new();
            let mut reader = response.body.take(RESPONSE_LIMIT_BYTES);
            let read = reader.read_to_end(&mut body).await;
            read.map_err(|error| UpstreamError::Lost(error.to_string()))?;
            let invalid = |error: serde_json::Error| UpstreamError::Invalid(error.to_string());
            serde_json::from_slice(&body).map_err(invalid)
        };
        let timed_out = |_| UpstreamError::Silent("no whole answer in time".to_owned());
        async_std::future::timeout(POLL_TIMEOUT, read).await.map_err(timed_out)?
    }
}
