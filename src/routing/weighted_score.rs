use std::ops::Range;
use std::sync::Arc;

use crate::routing::{Balancer, HolderIndex, Location, RequestView, Upstream};

/// Cost of an upstream in another zone of the region. A fully utilized upstream costs 1.
const OTHER_ZONE_COST: f32 = 0.1;
/// Cost of an upstream in another region, to which traffic is billed by volume.
const OTHER_REGION_COST: f32 = 4.0;
/// Cost of each consecutive failure of the upstream.
const FAILURE_COST: f32 = 0.5;
/// Saving of a cached block: 16 tokens of prefill at 100 us each, on a scale where a fully
/// utilized upstream costs 100 ms.
const BLOCK_SAVING: f32 = 0.016;
/// Maximum saving of a cached prefix, so that it never outweighs the cost of another region.
const MAX_PREFIX_SAVING: f32 = 2.0;
/// Factor on the saving of a prefix if the view may be stale after lost cache events.
const STALE_VIEW_FACTOR: f32 = 0.5;
/// Utilization above which a cached prefix saves nothing. A hot prefix is then computed at a second
/// upstream, which shares the following requests. At three quarters, holders came so close to full
/// utilization that the random sample often contained nothing better.
const SPREAD_UTILIZATION: f32 = 0.5;
/// Maximum number of candidates for which all are scored.
const MAX_FULL_SCAN: usize = 16;
/// Number of upstreams of the region that are sampled at random from many candidates. Two give most
/// of the balance; further ones make it likely that one is in the same zone.
const SAMPLE_COUNT: usize = 4;
/// Maximum number of holders of the longest known prefix that are scored.
const MAX_SCORED_HOLDERS: usize = 8;
/// Maximum number of bisection steps over the blocks of a prompt, plus one for its first block.
const MAX_DEPTHS: usize = usize::BITS as usize + 1;

/// Scores upstreams by utilization, distance, failures and the prefill that their prefix caches
/// save, and selects the one with the lowest cost.
///
/// Of many candidates it scores a random sample and the likely holders of the prompt's prefix, so
/// that the time of a selection does not grow with the fleet. It scores all candidates only if none
/// of these can accept the request.
#[derive(Debug)]
pub struct WeightedScore {
    location: Location,
    holders: Arc<HolderIndex>,
}

/// The candidate with the lowest cost so far.
#[derive(Default)]
struct BestCandidate {
    cost: f32,
    index: Option<usize>,
}

/// Block indexes of a prompt for which the index has some holder, ascending.
struct HolderDepths {
    depths: [usize; MAX_DEPTHS],
    count: usize,
}

impl WeightedScore {
    /// Creates a policy for a host in `zone` of `region`. The cache event feed fills `holders`.
    pub fn new(zone: &str, region: &str, holders: Arc<HolderIndex>) -> Self {
        Self { location: Location::new(zone, region), holders }
    }

    /// Replaces the best candidate if this one can accept the request at a lower cost.
    fn score_candidate(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        index: usize,
        prefix_saving: f32,
        best: &mut BestCandidate,
    ) {
        let upstream = &candidates[index];
        if !can_accept(request, upstream) {
            return;
        }
        let cost = self.cost(upstream, prefix_saving);
        if best.index.is_none() || cost < best.cost {
            *best = BestCandidate { cost, index: Some(index) };
        }
    }

    /// Cost of an upstream, where a fully utilized one costs 1.
    fn cost(&self, upstream: &Upstream, prefix_saving: f32) -> f32 {
        let utilization = utilization(upstream);
        let same_region = upstream.location.region == self.location.region;
        let distance = match (same_region, upstream.location == self.location) {
            (true, true) => 0.0,
            (true, false) => OTHER_ZONE_COST,
            (false, _) => OTHER_REGION_COST,
        };
        let failures = FAILURE_COST * upstream.health.consecutive_failures().min(8) as f32;
        let saving = if utilization > SPREAD_UTILIZATION { 0.0 } else { prefix_saving };
        utilization + distance + failures - saving
    }

    /// Scores the likely holders of the longest known prefixes within `range` of the candidates.
    fn score_holders(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        range: &Range<usize>,
        best: &mut BestCandidate,
    ) {
        let found = self.holder_depths(request.prefix_hashes);
        let depths = &found.depths[..found.count];
        let Some(&deepest_depth) = depths.last() else { return };
        let known_blocks = &request.prefix_hashes[..=deepest_depth];
        let mut scored = [usize::MAX; MAX_SCORED_HOLDERS];
        let mut count = 0;
        for &depth in depths.iter().rev() {
            for holder in self.holders.holders(known_blocks[depth]) {
                let Some(offset) = index_of_number(&candidates[range.clone()], holder.number)
                else {
                    continue;
                };
                let index = range.start + offset;
                if scored[..count].contains(&index) {
                    continue;
                }
                let sent_blocks = if holder.recently_sent { depth + 1 } else { 0 };
                let saving = prefix_saving(&candidates[index], known_blocks, depth, sent_blocks);
                self.score_candidate(request, candidates, index, saving, best);
                scored[count] = index;
                count += 1;
                if count == MAX_SCORED_HOLDERS {
                    return;
                }
            }
        }
    }

    /// Bisects for the longest prefix with a known holder. Each block of a cached prefix has its
    /// own index entry; an overwritten entry only makes the prefix appear shorter.
    fn holder_depths(&self, prefix_hashes: &[u64]) -> HolderDepths {
        let mut found = HolderDepths { depths: [0; MAX_DEPTHS], count: 0 };
        let (mut low, mut high) = (0, prefix_hashes.len());
        while low < high {
            let middle = (low + high) / 2;
            if self.holders.holders(prefix_hashes[middle]).next().is_none() {
                high = middle;
                continue;
            }
            if found.count == 0 && middle > 0 {
                // Includes block 0 for upstreams with shorter prefixes than the first probed depth.
                found.count = 1;
            }
            found.depths[found.count] = middle;
            found.count += 1;
            low = middle + 1;
        }
        found
    }

    /// Scores all candidates, starting at a random one so that ties are spread.
    fn score_all(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
        best: &mut BestCandidate,
    ) {
        let start = random as usize % candidates.len().max(1);
        for index in (start..candidates.len()).chain(0..start) {
            self.score_candidate(request, candidates, index, 0.0, best);
        }
    }

    /// Scores a random sample of the candidates in `range`.
    fn score_sample(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        range: &Range<usize>,
        random: u64,
        best: &mut BestCandidate,
    ) {
        let mut state = random;
        for _ in 0..SAMPLE_COUNT.min(range.len()) {
            state = split_mix64(state);
            let offset = (u128::from(state) * range.len() as u128) >> 64;
            self.score_candidate(request, candidates, range.start + offset as usize, 0.0, best);
        }
    }

    /// Index range of the candidates in this host's region; candidates are sorted by region.
    fn regional_range(&self, candidates: &[Arc<Upstream>]) -> Range<usize> {
        let region = self.location.region;
        let start = candidates.partition_point(|upstream| upstream.location.region < region);
        let end = candidates.partition_point(|upstream| upstream.location.region <= region);
        start..end
    }
}

impl Balancer for WeightedScore {
    fn choose(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
    ) -> Option<usize> {
        let mut best = BestCandidate::default();
        let is_small = candidates.len() <= MAX_FULL_SCAN;
        let range = if is_small { 0..candidates.len() } else { self.regional_range(candidates) };
        self.score_holders(request, candidates, &range, &mut best);
        if !is_small {
            self.score_sample(request, candidates, &range, random, &mut best);
        }
        if is_small || best.index.is_none() {
            self.score_all(request, candidates, random, &mut best);
        }
        best.index
    }

    fn record_sent(&self, request: &RequestView<'_>, upstream: &Upstream) {
        for hash in request.prefix_hashes {
            self.holders.record_sent(*hash, upstream.prefixes.number());
        }
    }
}

/// Returns true if the upstream has a free slot, is available and has not failed the request.
fn can_accept(request: &RequestView<'_>, upstream: &Upstream) -> bool {
    upstream.free_slots(request.class) > 0
        && upstream.health.is_available()
        && !request.excluded.contains(&upstream.record.upstream_id)
}

/// Utilization of an upstream: the higher of its total load and this host's use of its leased
/// slots, since only one host receives the load reports of an upstream.
fn utilization(upstream: &Upstream) -> f32 {
    let slots = upstream.slots();
    let own_utilization = f32::from(slots.in_use()) / f32::from(slots.slots.max(1));
    own_utilization.max(upstream.estimated_load() as f32 / upstream.record.slots.max(1) as f32)
}

/// Saving of the prefix that an upstream probably has cached. The index lists the upstream as a
/// holder of the block at `depth`, and `sent_blocks` blocks were recently sent to it.
fn prefix_saving(
    upstream: &Upstream,
    known_blocks: &[u64],
    depth: usize,
    sent_blocks: usize,
) -> f32 {
    let view = upstream.prefixes.load();
    let cached = match view.contains(known_blocks[depth]) {
        true => depth + 1 + view.cached_blocks(&known_blocks[depth + 1..]),
        false => view.cached_blocks(&known_blocks[..depth]),
    };
    let cached =
        if view.may_be_stale() { cached as f32 * STALE_VIEW_FACTOR } else { cached as f32 };
    (BLOCK_SAVING * cached.max(sent_blocks as f32)).min(MAX_PREFIX_SAVING)
}

/// Index of the upstream with a number. A list longer than [`MAX_FULL_SCAN`] is of one region and
/// sorted by number; numbers are assigned in sequence, so interpolation mostly finds the index at
/// once.
fn index_of_number(upstreams: &[Arc<Upstream>], number: u32) -> Option<usize> {
    let number_at = |index: usize| upstreams[index].prefixes.number();
    if upstreams.len() <= MAX_FULL_SCAN {
        return (0..upstreams.len()).find(|index| number_at(*index) == number);
    }
    let (first, last) = (number_at(0), number_at(upstreams.len() - 1));
    if number < first || number > last {
        return None;
    }
    let guess = (number - first) as usize * (upstreams.len() - 1) / (last - first) as usize;
    if number_at(guess) == number {
        return Some(guess);
    }
    upstreams.binary_search_by_key(&number, |upstream| upstream.prefixes.number()).ok()
}

/// Returns the next number of the SplitMix64 sequence.
fn split_mix64(state: u64) -> u64 {
    let mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
