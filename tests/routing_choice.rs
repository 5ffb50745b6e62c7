//! Tests of upstream selection: comparison with exhaustive scoring, spread of hot prefixes, load
//! estimates and adapters.

mod routing_support;

use std::sync::Arc;

use damaskhoist::routing::{
    Balancer, HolderIndex, SlotPermit, Upstream, WeightedScore, WorkClass, SENT_TTL_S,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing_support::{
    fleet, prompt_hashes, publish_cached_blocks, request, zone, MODEL, REGIONS, SLOTS,
};
use rstest::rstest;

const ROUNDS: usize = 300;
const BLOCKS: usize = 24;

/// A fleet in a random state, with the data for scoring it exhaustively.
struct Scenario {
    candidates: Vec<Arc<Upstream>>,
    holders: Arc<HolderIndex>,
    balancer: WeightedScore,
    /// Number of leading blocks of the prompt that each candidate has cached.
    cached: Vec<usize>,
    prompt: Vec<u64>,
    excluded: Vec<String>,
    _permits: Vec<SlotPermit>,
}

impl Scenario {
    fn new(upstreams: usize, holder_count: usize, random: &mut StdRng) -> Self {
        let fleet = fleet(upstreams);
        let snapshot = fleet.load();
        let prompt = prompt_hashes(random.random(), BLOCKS, 0, BLOCKS);
        let candidates = snapshot.candidates(&request(&prompt, &[])).to_vec();
        let holders = Arc::new(HolderIndex::default());
        holders.set_now_s(u64::from(SENT_TTL_S));
        let balancer = WeightedScore::new(&zone(0), REGIONS[0], holders.clone());
        let mut permits = Vec::new();
        for upstream in &candidates {
            let used = random.random_range(0..=SLOTS);
            permits.extend((0..used).filter_map(|_| upstream.acquire(WorkClass::Online)));
            if random.random_bool(0.5) {
                upstream.record_load(random.random_range(0..SLOTS), random.random_range(0..3));
            }
        }
        let mut cached = vec![0; candidates.len()];
        for _ in 0..holder_count {
            let index = random.random_range(0..candidates.len());
            cached[index] = random.random_range(1..=BLOCKS);
            publish_cached_blocks(&candidates[index], &prompt[..cached[index]]);
            for hash in &prompt[..cached[index]] {
                holders.record_stored(*hash, candidates[index].prefixes.number());
            }
        }
        let excluded = candidates.iter().filter(|_| random.random_bool(0.1));
        let excluded = excluded.map(|upstream| upstream.record.upstream_id.clone()).collect();
        Self { candidates, holders, balancer, cached, prompt, excluded, _permits: permits }
    }

    fn choose(&self, random: u64) -> Option<usize> {
        let request = request(&self.prompt, &self.excluded);
        self.balancer.choose(&request, &self.candidates, random)
    }

    fn can_accept(&self, index: usize) -> bool {
        let upstream = &self.candidates[index];
        upstream.in_use() < SLOTS && !self.excluded.contains(&upstream.record.upstream_id)
    }

    /// The cost as specified by the design, computed independently of the implementation.
    fn cost(&self, index: usize) -> f64 {
        let upstream = &self.candidates[index];
        let utilization = f64::from(upstream.estimated_load()) / f64::from(SLOTS);
        let same_region = upstream.record.region == REGIONS[0];
        let same_zone = upstream.record.zone == zone(0);
        let distance = if !same_region {
            4.0
        } else if same_zone {
            0.0
        } else {
            0.1
        };
        let saving = if utilization > 0.5 { 0.0 } else { 0.016 * self.cached[index] as f64 };
        utilization + distance - saving
    }

    fn lowest_cost(&self, indexes: impl Iterator<Item = usize>) -> Option<f64> {
        let costs = indexes.filter(|index| self.can_accept(*index)).map(|index| self.cost(index));
        costs.min_by(f64::total_cmp)
    }
}

/// Guards against selecting a candidate without the lowest cost when all candidates are scored.
#[rstest]
fn few_candidates_are_scored_exhaustively(#[values(1, 2, 3)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    for round in 0..ROUNDS {
        let scenario = Scenario::new(1 + round % 16, 3, &mut random);
        let best = scenario.lowest_cost(0..scenario.candidates.len());
        let chosen = scenario.choose(random.random());
        assert_eq!(chosen.is_some(), best.is_some(), "round {round}");
        let (Some(chosen), Some(best)) = (chosen, best) else { continue };
        assert!(scenario.can_accept(chosen));
        let cost = scenario.cost(chosen);
        assert!(cost <= best + 1e-4, "round {round}: cost {cost}, best {best}");
    }
}

/// Guards against sampling that selects an unusable upstream, misses the holders of a prefix, leaves
/// the region without need, or finds no upstream although one is free.
#[rstest]
fn sampling_many_candidates_finds_a_usable_upstream(
    #[values(17, 250, 830)] upstreams: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    for round in 0..30 {
        let scenario = Scenario::new(upstreams, 4, &mut random);
        let all = 0..scenario.candidates.len();
        let chosen = scenario.choose(random.random());
        let Some(best) = scenario.lowest_cost(all.clone()) else {
            assert_eq!(chosen, None, "round {round}");
            continue;
        };
        let chosen = chosen.expect("an upstream is free");
        assert!(scenario.can_accept(chosen));
        assert!(scenario.cost(chosen) >= best - 1e-4);
        let longest = all.clone().max_by_key(|index| scenario.cached[*index]).filter(|index| {
            let holders = scenario.holders.holders(scenario.prompt[scenario.cached[*index] - 1]);
            holders.count() <= 4
        });
        if let Some(best) = scenario.lowest_cost(longest.into_iter()) {
            assert!(scenario.cost(chosen) <= best + 1e-4, "round {round}: a holder was missed");
        }
    }
}

/// Guards against a hot prefix that fills one upstream while others are idle.
#[rstest]
fn a_hot_prefix_spreads_over_upstreams(#[values(10, 250)] upstreams: usize) {
    let fleet = fleet(upstreams);
    let snapshot = fleet.load();
    let prompt = prompt_hashes(7, 200, 0, 200);
    let request = request(&prompt, &[]);
    let candidates = snapshot.candidates(&request);
    let balancer = WeightedScore::new(&zone(0), REGIONS[0], Arc::default());
    let mut random = StdRng::seed_from_u64(1);
    let mut permits = Vec::new();
    let local = candidates.iter().filter(|upstream| upstream.record.region == REGIONS[0]).count();
    // Uses two thirds of the region's slots, so that the requests can spread.
    for _ in 0..local * SLOTS as usize * 2 / 3 {
        let index = balancer.choose(&request, candidates, random.random()).expect("slots are free");
        permits.push(candidates[index].acquire(WorkClass::Online).expect("the slot is free"));
        balancer.record_sent(&request, &candidates[index]);
        let in_use = candidates[index].in_use();
        assert!(in_use < SLOTS, "an upstream is full while others are idle");
    }
    assert!(candidates
        .iter()
        .all(|upstream| { upstream.record.region == REGIONS[0] || upstream.in_use() == 0 }));
}

/// Guards against a burst of requests to one upstream whose load report does not count them yet.
#[test]
fn load_estimate_adds_requests_since_the_report() {
    let fleet = fleet(1);
    let snapshot = fleet.load();
    let upstream = snapshot.upstream("upstream-0").expect("the fleet has it");
    let mut permits = vec![upstream.acquire(WorkClass::Online), upstream.acquire(WorkClass::Batch)];
    upstream.record_load(5, 1);
    assert_eq!(upstream.estimated_load(), 6);
    permits.push(upstream.acquire(WorkClass::Online));
    assert_eq!(upstream.estimated_load(), 7);
    permits.clear();
    assert_eq!(upstream.estimated_load(), 4);
}

/// Guards against routing a request for an adapter to an upstream without it.
#[test]
fn candidates_have_the_requested_adapter() {
    let mut records: Vec<_> = (0..2).map(routing_support::record).collect();
    records[1].models[0].adapters = vec!["parish".to_owned()];
    let fleet = routing_support::fleet_of(records);
    let snapshot = fleet.load();
    let adapter_model = format!("{MODEL}:parish");
    let mut request_view = request(&[], &[]);
    assert_eq!(snapshot.candidates(&request_view).len(), 2);
    request_view.model = &adapter_model;
    let candidates = snapshot.candidates(&request_view);
    let ids: Vec<_> = candidates.iter().map(|upstream| &*upstream.record.upstream_id).collect();
    assert_eq!(ids, ["upstream-1"]);
}
