//! Views of prefix caches: hashes, late and lost events, restarts.

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use async_std::task;
use damaskhoist::routing::{
    CacheEvent, HolderIndex, PrefixTracker, PrefixView, PromptHasher, DOUBT_S, SENT_AGE_S,
};
use damaskhoist::serving::BlockHasher;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::json;
use standin::tokens::PromptHashes;
use support::{chat, wait_until, Cluster, ClusterOptions, MODEL};

/// Guards against hashes that differ from those of the engines, which would make every view
/// useless without a sign.
#[rstest]
#[case::prompt(json!({"prompt": words(40), "stream": true}), words(40))]
#[case::messages(chat(&words(70), 4, true), format!("user\n{}\n", words(70)))]
#[case::escaped(json!({"prompt": format!("é \"{}\n", words(33))}), format!("é \"{}\n", words(33)))]
fn hashes_are_those_of_the_engine(#[case] body: serde_json::Value, #[case] prompt: String) {
    let hashes = BlockHasher.prefix_hashes(MODEL, body.to_string().as_bytes());
    assert_eq!(hashes, PromptHashes::of(MODEL, &prompt).blocks);
    assert!(!hashes.is_empty());
    assert_eq!(
        BlockHasher.prefix_hashes(&format!("{MODEL}:adapter"), body.to_string().as_bytes()),
        hashes
    );
}

/// Guards against a request that is refused or crashes the host because of an unusual body.
#[rstest]
#[case("")]
#[case("{\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"text\"}]}]}")]
#[case("{\"prompt\":7}")]
fn a_body_without_text_has_no_hashes(#[case] body: &str) {
    assert!(BlockHasher.prefix_hashes(MODEL, body.as_bytes()).is_empty());
}

/// Guards against a view that differs from the cache although every event arrived, late or twice.
#[rstest]
fn a_view_without_gaps_is_the_cache(#[values(1, 2, 3)] seed: u64) {
    let mut engine = NaiveEngine::new(seed);
    let mut tracker = PrefixTracker::default();
    tracker.restart(1);
    for second in 0..200 {
        engine.run(20);
        let late = engine.random.random_range(0..30);
        let events = engine.visible(tracker.last_sequence().saturating_sub(5), late);
        tracker.apply(&events, second);
        assert!(!tracker.age(second), "there was no gap");
    }
    tracker.apply(&engine.visible(tracker.last_sequence(), 0), 200);
    let view = tracker.view();
    assert!(!view.is_doubtful());
    assert_eq!(cached(&view, &engine.known), engine.cache);
}

/// Guards against a lost eviction that makes a view wrong for good.
#[rstest]
fn a_view_is_right_again_after_lost_events(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(0.05, 0.5)] loss: f64,
) {
    let mut engine = NaiveEngine::new(seed);
    let mut tracker = PrefixTracker::default();
    tracker.restart(1);
    let mut was_doubtful = false;
    for second in 0..300 {
        engine.run(20);
        let mut events = engine.visible(tracker.last_sequence(), 0);
        events.retain(|_| !engine.random.random_bool(loss));
        tracker.apply(&events, second);
        tracker.age(second);
        was_doubtful |= tracker.view().is_doubtful();
    }
    assert!(was_doubtful);
    // One event without a loss closes the last gap.
    for second in 300..300 + 2 * DOUBT_S + 1 {
        engine.run(2);
        tracker.apply(&engine.visible(tracker.last_sequence(), 0), second);
        tracker.age(second);
    }
    let view = tracker.view();
    assert!(!view.is_doubtful());
    let wrong: Vec<_> = cached(&view, &engine.known).difference(&engine.cache).copied().collect();
    assert!(wrong.is_empty(), "{} blocks are not cached: {wrong:?}", wrong.len());
}

/// Guards against blocks of a dead incarnation that attract requests to its empty successor.
#[test]
fn a_new_incarnation_starts_empty() {
    let mut engine = NaiveEngine::new(1);
    let mut tracker = PrefixTracker::default();
    tracker.restart(1);
    engine.run(50);
    tracker.apply(&engine.visible(0, 0), 1);
    assert!(!cached(&tracker.view(), &engine.known).is_empty());
    assert!(!tracker.restart(1));
    assert!(tracker.restart(2));
    assert_eq!(tracker.last_sequence(), 0);
    assert!(cached(&tracker.view(), &engine.known).is_empty());
}

/// Guards against notes that count for longer than the lag of events, or that hide each other.
#[test]
fn a_sent_prompt_counts_until_its_events_are_due() {
    let index = HolderIndex::default();
    index.set_now_s(1);
    index.note_sent(77, 1);
    index.note_stored(77, 2);
    let holders = || index.holders(77).map(|holder| (holder.number, holder.recently_sent));
    assert_eq!(holders().collect::<BTreeSet<_>>(), [(1, true), (2, false)].into());
    index.note_stored(77, 1);
    assert!(holders().any(|holder| holder == (1, true)), "an event does not end the note");
    index.set_now_s(1 + u64::from(SENT_AGE_S));
    assert_eq!(holders().collect::<BTreeSet<_>>(), [(1, false), (2, false)].into());
    for number in 10..30 {
        index.note_sent(77, number);
    }
    assert!(holders().count() <= 8 && holders().all(|(number, _)| number >= 10));
}

/// Guards against a feed that does not follow an engine over lost events and a restart.
#[test]
fn the_feed_follows_an_engine() {
    task::block_on(async {
        let options = ClusterOptions::new(1, 1).with_engines(|engine| {
            engine.cache_event_lag_ms = 50;
            engine.cache_event_drop_every = 7;
            engine.restart_after_ms = Some(50);
        });
        let cluster = Cluster::open(options).await;
        let body = chat(&words(200), 2, true);
        let hashes = BlockHasher.prefix_hashes(MODEL, body.to_string().as_bytes());
        let known = || {
            let fleet = cluster.shared(0).dispatcher.fleet().load();
            let upstream = fleet.upstreams().next();
            upstream.map_or((0, false), |upstream| {
                let view = upstream.prefixes.load();
                let known = hashes.iter().filter(|hash| view.contains(**hash)).count();
                (known, view.is_doubtful())
            })
        };
        let answer = cluster.caller(0).post("/v1/chat/completions", &[], &body).await;
        assert_eq!(answer.expect("the host answers").status, 200);
        // Event 7 is never shown, and 12 blocks were stored.
        let expected = hashes.len() - 1;
        wait_until("the view has the blocks", Duration::from_secs(10), || {
            known() == (expected, true)
        })
        .await;
        cluster.engines[0].crash();
        wait_until("the view is empty", Duration::from_secs(10), || known() == (0, false)).await;
        cluster.close().await;
    });
}

fn words(count: usize) -> String {
    (0..count).map(|word| format!("word{word} ")).collect()
}

fn cached(view: &PrefixView, known: &BTreeSet<u64>) -> BTreeSet<u64> {
    known.iter().copied().filter(|hash| view.contains(*hash)).collect()
}

/// A cache that evicts blocks at random and numbers its events.
struct NaiveEngine {
    random: StdRng,
    cache: BTreeSet<u64>,
    known: BTreeSet<u64>,
    events: VecDeque<CacheEvent>,
}

impl NaiveEngine {
    fn new(seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { random, cache: BTreeSet::new(), known: BTreeSet::new(), events: VecDeque::new() }
    }

    fn run(&mut self, changes: usize) {
        for _ in 0..changes {
            // Few hashes, so that blocks come back after their eviction.
            let hash = self.random.random_range(1..400_u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let stored = !self.cache.contains(&hash);
            match stored {
                true => self.cache.insert(hash),
                false => self.cache.remove(&hash),
            };
            self.known.insert(hash);
            let sequence = self.events.len() as u64 + 1;
            self.events.push_back(CacheEvent { sequence, hash, stored });
        }
    }

    /// Events after `after`, without the newest `late` ones.
    fn visible(&self, after: u64, late: usize) -> Vec<CacheEvent> {
        let shown = self.events.len().saturating_sub(late);
        self.events.iter().take(shown).filter(|event| event.sequence > after).copied().collect()
    }
}
