use std::sync::Arc;

use crate::routing::{Balancer, HolderIndex, RequestView, Upstream};

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
/// upstream, which takes its share of the next requests.
const SPREAD_USE: f32 = 0.75;
/// Candidates up to which all are scored.
const SCAN_LIMIT: usize = 16;
/// Upstreams drawn at random among many candidates. Two give most of the balance; further ones
/// find an upstream in the same zone.
const DRAWS: usize = 6;
/// Draws at most, as those in other regions don't count.
const DRAW_LIMIT: usize = 24;
/// Holders of the longest known prefix that are scored.
const HOLDERS: usize = 4;

/// Scores upstreams by use, distance, failures and the prefill that their prefix cache saves, and
/// takes the best one.
///
/// Among many candidates it scores a few drawn at random and the likely holders of the prompt's
/// prefix, so that the cost of a choice does not grow with the fleet; it scans all only when none
/// of these can take the request.
#[derive(Debug)]
pub struct WeightedScore {
    zone: String,
    region: String,
    holders: Arc<HolderIndex>,
}

/// The best candidate so far.
#[derive(Default)]
struct Best {
    cost: f32,
    index: Option<usize>,
}

/// An upstream to which this host sent a prefix so lately that its events may not show it.
#[derive(Clone, Copy, Default)]
struct PrefixHolder {
    index: usize,
    sent_blocks: usize,
}

impl WeightedScore {
    /// A policy for a host in `zone` of `region`. `holders` is filled by the feed of cache events.
    pub fn new(zone: &str, region: &str, holders: Arc<HolderIndex>) -> Self {
        Self { zone: zone.to_owned(), region: region.to_owned(), holders }
    }

    /// Cost of an upstream for a request, in parts of a fully used upstream.
    fn cost(&self, request: &RequestView<'_>, upstream: &Upstream, sent_blocks: usize) -> f32 {
        let record = &upstream.record;
        let used = upstream.estimated_load() as f32 / record.slots.max(1) as f32;
        let distance = match (record.region == self.region, record.zone == self.zone) {
            (true, true) => 0.0,
            (true, false) => OTHER_ZONE_COST,
            (false, _) => OTHER_REGION_COST,
        };
        let failures = FAILURE_COST * upstream.health.failures().min(8) as f32;
        let saved = if used > SPREAD_USE || request.prefix_hashes.is_empty() {
            0.0
        } else {
            prefix_worth(request, upstream, sent_blocks)
        };
        used + distance + failures - saved
    }

    fn consider(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        holder: PrefixHolder,
        best: &mut Best,
    ) {
        let upstream = &candidates[holder.index];
        if !can_take(request, upstream) {
            return;
        }
        let cost = self.cost(request, upstream, holder.sent_blocks);
        if best.index.is_none() || cost < best.cost {
            *best = Best { cost, index: Some(holder.index) };
        }
    }

    /// Candidates that probably hold the longest known prefix, the best ones last.
    ///
    /// Each block of a cached prefix has its own note, so bisection finds the longest one; a note
    /// that was overwritten only makes it shorter.
    fn prefix_holders(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
    ) -> ([PrefixHolder; HOLDERS], usize) {
        let mut found = [PrefixHolder::default(); HOLDERS];
        let (mut count, mut next) = (0, 0);
        let (mut low, mut high) = (0, request.prefix_hashes.len());
        while low < high {
            let middle = (low + high) / 2;
            let mut any = false;
            for holder in self.holders.holders(request.prefix_hashes[middle]) {
                let index = candidates
                    .binary_search_by_key(&holder.number, |upstream| upstream.prefixes.number());
                let Ok(index) = index else { continue };
                any = true;
                let sent_blocks = if holder.recently_sent { middle + 1 } else { 0 };
                // Deeper holders replace earlier ones.
                if let Some(known) = found[..count].iter_mut().find(|known| known.index == index) {
                    known.sent_blocks = known.sent_blocks.max(sent_blocks);
                    continue;
                }
                found[next] = PrefixHolder { index, sent_blocks };
                next = (next + 1) % HOLDERS;
                count = HOLDERS.min(count + 1);
            }
            if any {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        (found, count)
    }

    fn scan(&self, request: &RequestView<'_>, candidates: &[Arc<Upstream>], random: u64) -> Best {
        let mut best = Best::default();
        let start = random as usize % candidates.len().max(1);
        for step in 0..candidates.len() {
            let index = (start + step) % candidates.len();
            let sent_blocks = self.sent_blocks(request, &candidates[index]);
            self.consider(request, candidates, PrefixHolder { index, sent_blocks }, &mut best);
        }
        best
    }

    fn sent_blocks(&self, request: &RequestView<'_>, upstream: &Upstream) -> usize {
        let number = upstream.prefixes.number();
        request.prefix_hashes.partition_point(|hash| {
            let mut holders = self.holders.holders(*hash);
            holders.any(|holder| holder.number == number && holder.recently_sent)
        })
    }

    fn sample(&self, request: &RequestView<'_>, candidates: &[Arc<Upstream>], random: u64) -> Best {
        let mut best = Best::default();
        let (holders, count) = self.prefix_holders(request, candidates);
        for holder in &holders[..count] {
            self.consider(request, candidates, *holder, &mut best);
        }
        let mut state = random;
        let mut drawn = 0;
        for _ in 0..DRAW_LIMIT {
            state = split_mix(state);
            let index = ((u128::from(state) * candidates.len() as u128) >> 64) as usize;
            if candidates[index].record.region != self.region {
                continue;
            }
            self.consider(request, candidates, PrefixHolder { index, sent_blocks: 0 }, &mut best);
            drawn += 1;
            if drawn == DRAWS {
                break;
            }
        }
        best
    }
}

impl Balancer for WeightedScore {
    fn choose(
        &self,
        request: &RequestView<'_>,
        candidates: &[Arc<Upstream>],
        random: u64,
    ) -> Option<usize> {
        if candidates.len() <= SCAN_LIMIT {
            return self.scan(request, candidates, random).index;
        }
        let sampled = self.sample(request, candidates, random).index;
        sampled.or_else(|| self.scan(request, candidates, random).index)
    }

    fn note_sent(&self, request: &RequestView<'_>, upstream: &Upstream) {
        for hash in request.prefix_hashes {
            self.holders.note_sent(*hash, upstream.prefixes.number());
        }
    }
}

fn can_take(request: &RequestView<'_>, upstream: &Upstream) -> bool {
    upstream.free_slots() > 0
        && upstream.health.takes_requests()
        && !request.excluded.contains(&upstream.record.upstream_id)
}

fn prefix_worth(request: &RequestView<'_>, upstream: &Upstream, sent_blocks: usize) -> f32 {
    let view = upstream.prefixes.load();
    let seen = view.cached_blocks(request.prefix_hashes) as f32;
    let seen = if view.is_doubtful() { seen * DOUBTFUL_PART } else { seen };
    (BLOCK_WORTH * seen.max(sent_blocks as f32)).min(PREFIX_WORTH_LIMIT)
}

/// The next number of the SplitMix64 sequence.
fn split_mix(state: u64) -> u64 {
    let mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
