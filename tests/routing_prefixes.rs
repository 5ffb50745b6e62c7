//! Tests of the views of prefix caches: prompt hashes, late and lost cache events, and restarts.

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use async_std::task;
use damaskhoist::routing::{
    CacheEvent, HolderIndex, PrefixTracker, PrefixView, PromptHasher, SENT_TTL_S, STALE_BLOCK_TTL_S,
};
use damaskhoist::serving::BlockHasher;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::json;
use standin::tokens::PromptHashes;
use support::{chat, wait_until, Cluster, ClusterOptions, MODEL};

/// Guards against hashes that differ from those of the engines, which would silently make every
/// view useless.
#[rstest]
#[case::prompt(json!({"prompt": words(40), "stream": true}), words(40))]
#[case::messages(chat(&words(70), 4, true), format!("user\n{}\n", words(70)))]
#[case::escaped(json!({"prompt": format!("é \"{}\n", words(33))}), format!("é \"{}\n", words(33)))]
fn hashes_match_the_engine(#[case] body: serde_json::Value, #[case] prompt: String) {
    let hashes = BlockHasher.prefix_hashes(MODEL, body.to_string().as_bytes());
    assert_eq!(hashes, PromptHashes::of(MODEL, &prompt).blocks);
    assert!(!hashes.is_empty());
    assert_eq!(
        BlockHasher.prefix_hashes(&format!("{MODEL}:adapter"), body.to_string().as_bytes()),
        hashes
    );
}

/// Guards against an unusual body that makes the host refuse the request or crash.
#[rstest]
#[case("")]
#[case("{\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"text\"}]}]}")]
#[case("{\"prompt\":7}")]
fn a_body_without_text_has_no_hashes(#[case] body: &str) {
    assert!(BlockHasher.prefix_hashes(MODEL, body.as_bytes()).is_empty());
}

/// Guards against a view that differs from the cache although every event arrived, some late or
/// twice.
#[rstest]
fn a_view_without_gaps_matches_the_cache(#[values(1, 2, 3)] seed: u64) {
    let mut engine = ModelEngine::new(seed);
    let mut tracker = PrefixTracker::default();
    tracker.track_incarnation(1);
    for second in 0..200 {
        engine.run_changes(20);
        let late = engine.random.random_range(0..30);
        let events = engine.visible_events(tracker.last_sequence().saturating_sub(5), late);
        tracker.apply(&events, second);
        assert!(!tracker.expire(second), "no gap occurred");
    }
    tracker.apply(&engine.visible_events(tracker.last_sequence(), 0), 200);
    let view = tracker.view();
    assert!(!view.may_be_stale());
    assert_eq!(cached_blocks(&view, &engine.seen_hashes), engine.cache);
}

/// Guards against a lost eviction event that leaves a view permanently wrong.
#[rstest]
fn a_view_recovers_after_lost_events(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0.05, 0.5)] loss: f64,
) {
    let mut engine = ModelEngine::new(seed);
    let mut tracker = PrefixTracker::default();
    tracker.track_incarnation(1);
    let mut was_stale = false;
    for second in 0..300 {
        engine.run_changes(20);
        let mut events = engine.visible_events(tracker.last_sequence(), 0);
        events.retain(|_| !engine.random.random_bool(loss));
        tracker.apply(&events, second);
        tracker.expire(second);
        was_stale |= tracker.view().may_be_stale();
    }
    assert!(was_stale);
    // The next event that is not lost reveals the last gap.
    for second in 300..300 + 2 * STALE_BLOCK_TTL_S + 1 {
        engine.run_changes(2);
        tracker.apply(&engine.visible_events(tracker.last_sequence(), 0), second);
        tracker.expire(second);
    }
    let view = tracker.view();
    assert!(!view.may_be_stale());
    let wrong: Vec<_> =
        cached_blocks(&view, &engine.seen_hashes).difference(&engine.cache).copied().collect();
    assert!(wrong.is_empty(), "{} blocks are not cached: {wrong:?}", wrong.len());
}

/// Guards against blocks of a terminated incarnation that attract requests to its successor, whose
/// cache is empty.
#[test]
fn a_new_incarnation_starts_empty() {
    let mut engine = ModelEngine::new(1);
    let mut tracker = PrefixTracker::default();
    tracker.track_incarnation(1);
    engine.run_changes(50);
    tracker.apply(&engine.visible_events(0, 0), 1);
    assert!(!cached_blocks(&tracker.view(), &engine.seen_hashes).is_empty());
    assert!(!tracker.track_incarnation(1));
    assert!(tracker.track_incarnation(2));
    assert_eq!(tracker.last_sequence(), 0);
    assert!(cached_blocks(&tracker.view(), &engine.seen_hashes).is_empty());
}

/// Guards against a sent prompt that counts as cached for too long after its cache events are due,
/// and against entries of a block that hide each other.
#[test]
fn a_sent_prompt_counts_as_cached_until_its_events_are_due() {
    let index = HolderIndex::default();
    index.set_now_s(1);
    index.record_sent(77, 1);
    index.record_stored(77, 2);
    let holders = || index.holders(77).map(|holder| (holder.number, holder.recently_sent));
    assert_eq!(holders().collect::<BTreeSet<_>>(), [(1, true), (2, false)].into());
    index.record_stored(77, 1);
    assert!(
        holders().any(|holder| holder == (1, true)),
        "a stored event does not end the entry of a sent prompt"
    );
    index.set_now_s(1 + u64::from(SENT_TTL_S));
    assert_eq!(holders().collect::<BTreeSet<_>>(), [(1, false), (2, false)].into());
    for number in 10..30 {
        index.record_sent(77, number);
    }
    assert!(holders().count() <= 8 && holders().all(|(number, _)| number >= 10));
}

/// Guards against a cache event feed that loses track of an engine after lost events or a restart.
#[test]
fn the_feed_tracks_an_engine_over_losses_and_a_restart() {
    task::block_on(async {
        let options = ClusterOptions::new(1, 1).with_engines(|engine| {
            engine.cache_event_lag_ms = 50;
            engine.cache_event_drop_every = 7;
            engine.restart_after_ms = Some(50);
        });
        let cluster = Cluster::open(options).await;
        let body = chat(&words(200), 2, true);
        let hashes = BlockHasher.prefix_hashes(MODEL, body.to_string().as_bytes());
        let view_state = || {
            let fleet = cluster.shared(0).dispatcher.fleet().load();
            let upstream = fleet.upstreams().next();
            upstream.map_or((0, false), |upstream| {
                let view = upstream.prefixes.load();
                let cached = hashes.iter().filter(|hash| view.contains(**hash)).count();
                (cached, view.may_be_stale())
            })
        };
        let answer = cluster.caller(0).post("/v1/chat/completions", &[], &body).await;
        assert_eq!(answer.expect("the host answers").status, 200);
        // Event 7 is dropped, and 12 blocks were stored.
        let expected = hashes.len() - 1;
        wait_until("the view has the blocks", Duration::from_secs(10), || {
            view_state() == (expected, true)
        })
        .await;
        cluster.engines[0].crash();
        wait_until("the view is empty", Duration::from_secs(10), || view_state() == (0, false))
            .await;
        cluster.close().await;
    });
}

fn words(count: usize) -> String {
    (0..count).map(|word| format!("word{word} ")).collect()
}

fn cached_blocks(view: &PrefixView, candidates: &BTreeSet<u64>) -> BTreeSet<u64> {
    candidates.iter().copied().filter(|hash| view.contains(*hash)).collect()
}

/// Model of an engine cache that stores and evicts random blocks and numbers its events.
struct ModelEngine {
    random: StdRng,
    cache: BTreeSet<u64>,
    seen_hashes: BTreeSet<u64>,
    events: VecDeque<CacheEvent>,
}

impl ModelEngine {
    fn new(seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self {
            random,
            cache: BTreeSet::new(),
            seen_hashes: BTreeSet::new(),
            events: VecDeque::new(),
        }
    }

    fn run_changes(&mut self, changes: usize) {
        for _ in 0..changes {
            // Few distinct hashes, so that evicted blocks are stored again.
            let hash = self.random.random_range(1..400_u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let stored = !self.cache.contains(&hash);
            match stored {
                true => self.cache.insert(hash),
                false => self.cache.remove(&hash),
            };
            self.seen_hashes.insert(hash);
            let sequence = self.events.len() as u64 + 1;
            self.events.push_back(CacheEvent { sequence, hash, stored });
        }
    }

    /// Events with sequence numbers above `after`, except for the newest `late` events.
    fn visible_events(&self, after: u64, late: usize) -> Vec<CacheEvent> {
        let visible = self.events.len().saturating_sub(late);
        self.events.iter().take(visible).filter(|event| event.sequence > after).copied().collect()
    }
}
