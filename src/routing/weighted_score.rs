use std::ops::Range;
use std::sync::Arc;

use crate::routing::{Balancer, HolderIndex, Place, RequestView, Upstream};

/// Cost of an upstream in another zone of the region, in parts of a fully used upstream.
const OTHER_ZONE_COST: f32 = 0.1;
/// Cost of an upstream in another region, whose traffic is paid by volume.
const OTHER_REGION_COST: f32 = 4.0;
/// Cost of each attempt in a row that the upstream failed.
const FAILURE_COST: f32 = 0.5;
/// Worth of a cached block: 16 tokens of prefill at 100 us, where a fully used upstream costs
/// 100 ms.
const BLOCK_WORTH: f32 = 0.016;
/// Most that a cached prefix is worth, so that it never outweighs another region's link.
const PREFIX_WORTH_LIMIT: f32 = 2.0;
/// Part of a prefix's worth where lost events make the view doubtful.
const DOUBTFUL_PART: f32 = 0.5;
/// Use above which a cached prefix counts for nothing: a hot prefix is then computed at a second
/// upstream, which takes its share of the next requests. At three quarters, holders came so close
/// to full that a few random draws often found nothing better.
const SPREAD_USE: f32 = 0.5;
/// Candidates up to which all are scored.
const SCAN_LIMIT: usize = 16;
/// Upstreams of the region drawn at random among many candidates. Two give most of the balance;
/// further ones find an upstream in the same zone.
const DRAWS: usize = 4;
/// Holders of the longest known prefix that are scored.
const HOLDERS: usize = 8;
/// Steps of a bisection over the blocks of a prompt, and its first block.
const DEPTHS: usize = usize::BITS as usize + 1;

/// Scores upstreams by use, distance, failures and the prefill that their prefix cache saves, and
/// takes the best one.
///
/// Among many candidates it scores a few drawn at random and the likely holders of the prompt's
/// prefix, so that the cost of a choice does not grow with the fleet; it scans all only when none
/// of these can take the request.
#[derive(Debug)]
pub struct WeightedScore {
    place: Place,
    holders: Arc<HolderIndex>,
}

/// The best candidate so far.
#[derive(Default)]
struct Best {
    cost: f32,
    index: Option<usize>,
}

/// Depths of a prompt at which some upstream is noted as a holder, ascending.
struct NotedDepths {
    depths: [usize; DEPTHS],
    count: usize,
}

impl WeightedScore {
    /// A policy for a host in `zone` of `region`. `holders` is filled by the feed of cache events.
    pub fn new(zone: &str, region: &str, holders: Arc<HolderIndex>) -> Self {
        Self { place: Place::new(zone, region), holders }
    }

    /// Takes the candidate when it can serve and costs less than the best so far.
    fn consider(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        index: usize,
        prefix_worth: f32,
        best: &mut Best,
    ) {
        let upstream = &candidates[index];
        if !can_take(request, upstream) {
            return;
        }
        let cost = self.cost(upstream, prefix_worth);
        if best.index.is_none() || cost < best.cost {
            *best = Best { cost, index: Some(index) };
        }
    }

    /// Cost of an upstream, in parts of a fully used one.
    fn cost(&self, upstream: &Upstream, prefix_worth: f32) -> f32 {
        let used = used_part(upstream);
        let same_region = upstream.place.region == self.place.region;
        let distance = match (same_region, upstream.place == self.place) {
            (true, true) => 0.0,
            (true, false) => OTHER_ZONE_COST,
            (false, _) => OTHER_REGION_COST,
        };
        let failures = FAILURE_COST * upstream.health.failures().min(8) as f32;
        let saved = if used > SPREAD_USE { 0.0 } else { prefix_worth };
        used + distance + failures - saved
    }

    /// Scores the likely holders of the longest known prefixes that are in `local`.
    fn consider_holders(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        local: &Range<usize>,
        best: &mut Best,
    ) {
        let noted = self.noted_depths(request.prefix_hashes);
        let depths = &noted.depths[..noted.count];
        let Some(&deepest) = depths.last() else { return };
        let known = &request.prefix_hashes[..=deepest];
        let mut seen = [usize::MAX; HOLDERS];
        let mut count = 0;
        for &depth in depths.iter().rev() {
            for holder in self.holders.holders(known[depth]) {
                let Some(offset) = position(&candidates[local.clone()], holder.number) else {
                    continue;
                };
                let index = local.start + offset;
                if seen[..count].contains(&index) {
                    continue;
                }
                let sent_blocks = if holder.recently_sent { depth + 1 } else { 0 };
                let worth = prefix_worth(&candidates[index], known, depth, sent_blocks);
                self.consider(request, candidates, index, worth, best);
                seen[count] = index;
                count += 1;
                if count == HOLDERS {
                    return;
                }
            }
        }
    }

    /// Bisects for the longest prefix with a known holder. Each block of a cached prefix has its
    /// own note; one that was overwritten only makes the prefix look shorter.
    fn noted_depths(&self, prefix_hashes: &[u64]) -> NotedDepths {
        let mut noted = NotedDepths { depths: [0; DEPTHS], count: 0 };
        let (mut low, mut high) = (0, prefix_hashes.len());
        while low < high {
            let middle = (low + high) / 2;
            if self.holders.holders(prefix_hashes[middle]).next().is_none() {
                high = middle;
                continue;
            }
            if noted.count == 0 && middle > 0 {
                // Upstreams that hold less than the first depth looked at.
                noted.count = 1;
            }
            noted.depths[noted.count] = middle;
            noted.count += 1;
            low = middle + 1;
        }
        noted
    }

    fn scan(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
        best: &mut Best,
    ) {
        let start = random as usize % candidates.len().max(1);
        for index in (start..candidates.len()).chain(0..start) {
            self.consider(request, candidates, index, 0.0, best);
        }
    }

    /// Scores a few upstreams of the region.
    fn draw(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        local: &Range<usize>,
        random: u64,
        best: &mut Best,
    ) {
        let mut state = random;
        for _ in 0..DRAWS.min(local.len()) {
            state = split_mix(state);
            let offset = (u128::from(state) * local.len() as u128) >> 64;
            self.consider(request, candidates, local.start + offset as usize, 0.0, best);
        }
    }

    /// The candidates of this host's region, as they are ordered by region.
    fn local(&self, candidates: &[Arc<Upstream>]) -> Range<usize> {
        let region = self.place.region;
        let start = candidates.partition_point(|upstream| upstream.place.region < region);
        let end = candidates.partition_point(|upstream| upstream.place.region <= region);
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
        let mut best = Best::default();
        let is_small = candidates.len() <= SCAN_LIMIT;
        let local = if is_small { 0..candidates.len() } else { self.local(candidates) };
        self.consider_holders(request, candidates, &local, &mut best);
        if !is_small {
            self.draw(request, candidates, &local, random, &mut best);
        }
        if is_small || best.index.is_none() {
            self.scan(request, candidates, random, &mut best);
        }
        best.index
    }

    fn note_sent(&self, request: &RequestView<'_>, upstream: &Upstream) {
        for hash in request.prefix_hashes {
            self.holders.note_sent(*hash, upstream.prefixes.number());
        }
    }
}

fn can_take(request: &RequestView<'_>, upstream: &Upstream) -> bool {
    upstream.free_slots(request.class) > 0
        && upstream.health.takes_requests()
        && !request.excluded.contains(&upstream.record.upstream_id)
}

/// Use by all hosts, or by this host of the slots lent to it, whichever is higher: only one host
/// gets the load reports of an upstream.
fn used_part(upstream: &Upstream) -> f32 {
    let lent = upstream.slots();
    let own = f32::from(lent.in_use()) / f32::from(lent.slots.max(1));
    own.max(upstream.estimated_load() as f32 / upstream.record.slots.max(1) as f32)
}

/// Worth of the prefix that an upstream probably holds; it is noted as a holder at `depth`.
fn prefix_worth(upstream: &Upstream, known: &[u64], depth: usize, sent_blocks: usize) -> f32 {
    let view = upstream.prefixes.load();
    let seen = match view.contains(known[depth]) {
        true => depth + 1 + view.cached_blocks(&known[depth + 1..]),
        false => view.cached_blocks(&known[..depth]),
    };
    let seen = if view.is_doubtful() { seen as f32 * DOUBTFUL_PART } else { seen as f32 };
    (BLOCK_WORTH * seen.max(sent_blocks as f32)).min(PREFIX_WORTH_LIMIT)
}

/// Index of the upstream with a number. A list above [`SCAN_LIMIT`] is of one region and ordered by
/// number; numbers are given in order, so that a guess from its ends is mostly right.
fn position(list: &[Arc<Upstream>], number: u32) -> Option<usize> {
    let number_at = |index: usize| list[index].prefixes.number();
    if list.len() <= SCAN_LIMIT {
        return (0..list.len()).find(|index| number_at(*index) == number);
    }
    let (first, last) = (number_at(0), number_at(list.len() - 1));
    if number < first || number > last {
        return None;
    }
    let guess = (number - first) as usize * (list.len() - 1) / (last - first) as usize;
    if number_at(guess) == number {
        return Some(guess);
    }
    list.binary_search_by_key(&number, |upstream| upstream.prefixes.number()).ok()
}

/// The next number of the SplitMix64 sequence.
fn split_mix(state: u64) -> u64 {
    let mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
