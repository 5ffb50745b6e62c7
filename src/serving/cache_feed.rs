use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use async_std::task;
use futures::{AsyncReadExt, FutureExt};
use serde::Deserialize;

use crate::routing::{CacheEvent, HolderIndex, PrefixTracker, Upstream};
use crate::serving::dispatcher::Shared;
use crate::upstream::{UpstreamCall, UpstreamError};

/// Time between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Upstreams asked in a round, which bounds what a host spends at any size of the fleet.
const ROUND_QUESTIONS: usize = 4;
/// Time between two questions to the same upstream.
const QUESTION_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for an answer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer that is read; a longer one is malformed.
const ANSWER_LIMIT: u64 = 8 << 20;

/// Keeps the views of the upstreams' prefix caches up to date until the dispatcher is gone.
///
/// Only upstreams of this host's region are asked, so that events don't use the link between
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
    followed: HashMap<String, Followed>,
}

#[derive(Default)]
struct Followed {
    tracker: PrefixTracker,
    /// Number of the cell that holds the newest view.
    published_to: u32,
    asked: Option<Instant>,
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
            task::sleep(ROUND_INTERVAL).await;
            let Some(shared) = shared.upgrade() else { return };
            self.holders.set_now_s(self.now_s());
            let due = self.due(&shared);
            let questions = due.iter().map(|(upstream, after)| {
                shared.cache_events(upstream, *after).map(move |answer| (upstream, answer))
            });
            for (upstream, answer) in futures::future::join_all(questions).await {
                match answer {
                    Ok(answer) => self.apply(upstream, answer),
                    Err(_) => shared.counters().count("cache_events.failed"),
                }
            }
        }
    }

    /// The upstreams that were not asked for longest, with the sequences that they are asked after.
    fn due(&mut self, shared: &Shared) -> Vec<(Arc<Upstream>, u64)> {
        let snapshot = shared.fleet.load();
        self.followed.retain(|id, _| snapshot.upstream(id).is_some());
        let upstreams = snapshot.upstreams();
        let engines = upstreams
            .filter(|upstream| !upstream.record.plain && upstream.record.region == self.region);
        let asked = |upstream: &Upstream| {
            self.followed.get(&upstream.record.upstream_id).and_then(|followed| followed.asked)
        };
        let mut due: Vec<_> = engines
            .map(|upstream| (asked(upstream), upstream))
            .filter(|(asked, _)| asked.is_none_or(|asked| asked.elapsed() >= QUESTION_INTERVAL))
            .collect();
        due.sort_unstable_by_key(|(asked, _)| *asked);
        due.truncate(ROUND_QUESTIONS);
        let due = due.into_iter().map(|(_, upstream)| upstream.clone());
        due.map(|upstream| {
            let followed = self.followed.entry(upstream.record.upstream_id.clone()).or_default();
            followed.asked = Some(Instant::now());
            let after = followed.tracker.last_sequence();
            (upstream, after)
        })
        .collect()
    }

    fn apply(&mut self, upstream: &Upstream, answer: WireEvents) {
        let now_s = self.now_s();
        let Some(followed) = self.followed.get_mut(&upstream.record.upstream_id) else { return };
        let tracker = &mut followed.tracker;
        let number = upstream.prefixes.number();
        let restarted = tracker.restart(answer.incarnation);
        // The answer to a question about the old incarnation lacks the first events of the new one.
        let events: Vec<_> = match restarted {
            true => Vec::new(),
            false => answer.events.into_iter().filter_map(event).collect(),
        };
        for event in events.iter().filter(|event| event.stored) {
            self.holders.note_stored(event.hash, number);
        }
        tracker.apply(&events, now_s);
        let aged = tracker.age(now_s);
        if restarted || aged || !events.is_empty() || followed.published_to != number {
            upstream.prefixes.store(tracker.view());
            followed.published_to = number;
        }
    }

    fn now_s(&self) -> u64 {
        self.started.elapsed().as_secs()
    }
}

fn event(wire: WireEvent) -> Option<CacheEvent> {
    let hash = u64::from_str_radix(&wire.hash, 16).ok()?;
    Some(CacheEvent { sequence: wire.sequence, hash, stored: wire.kind == "stored" })
}

impl Shared {
    async fn cache_events(
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
            timeout: QUESTION_TIMEOUT,
        };
        let read = async {
            let response = self.connector.open(call).await?;
            let mut body = Vec::new();
            let mut reader = response.body.take(ANSWER_LIMIT);
            let read = reader.read_to_end(&mut body).await;
            read.map_err(|error| UpstreamError::Lost(error.to_string()))?;
            let invalid = |error: serde_json::Error| UpstreamError::Invalid(error.to_string());
            serde_json::from_slice(&body).map_err(invalid)
        };
        let late = |_| UpstreamError::Silent("no whole answer in time".to_owned());
        async_std::future::timeout(QUESTION_TIMEOUT, read).await.map_err(late)?
    }
}
