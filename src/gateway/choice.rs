use std::sync::Arc;

use crate::gateway::Upstream;
use crate::schema::routes::Route;

/// Online requests that may queue at an upstream beyond its slots. A slot becomes free about every
/// 90 ms there, so the last one starts within its target.
const QUEUE_LIMIT: u32 = 3;
/// Cost of another availability zone, as a fraction of a fully used upstream: less than one slot, since
/// the distance costs a few milliseconds and little bandwidth.
const ZONE_COST: f32 = 0.05;
/// Cost of another region: about one and a half slots, since its round trip is an eighth of the time to
/// the first event and its link is narrow and metered.
const REGION_COST: f32 = 0.18;
/// Cost reduction for the upstream that probably has the shared prefix in its cache: less than one slot.
const PREFIX_BONUS: f32 = 0.08;
/// Cost of an upstream that names a limit of requests per second: what it still takes is kept for bursts
/// and for batch items while others have free slots.
const RATE_LIMIT_COST: f32 = 0.9;
/// Upper bound of the random cost, so that hosts with the same view do not all choose the same upstream.
const JITTER: f32 = 0.06;

/// Number of upstreams that are compared. Hosts report a few times a second, so if all upstreams were
/// compared, every host would choose the same least loaded ones; a small random sample spreads the
/// requests.
const SAMPLE_SIZE: usize = 4;

/// The inputs of a choice other than the upstreams.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Region of this host.
    pub region: &'a str,
    /// Hash of the shared prompt prefix, if the route has prefix affinity.
    pub prefix: Option<u64>,
    /// Ids of the upstreams that the request was already sent to.
    pub tried: &'a [String],
    /// Current time in milliseconds, on the clock of `monotonic_ms`.
    pub now_ms: u64,
    /// Whether an upstream with a full queue may be chosen.
    pub allow_full: bool,
}

/// Chooses the upstream with the lowest cost; `None` if every upstream of the service is full, was
/// already tried, has used up its named limit or accepts no new requests.
///
/// Paused upstreams are considered only if all other candidates are paused as well.
pub fn choose_upstream(
    upstreams: &[Arc<Upstream>],
    input: &ChoiceInput<'_>,
) -> Option<Arc<Upstream>> {
    let service = pick_service(input.route)?;
    let is_candidate = |upstream: &&Arc<Upstream>| {
        upstream.accepts_work
            && upstream.service == service
            && !input.tried.contains(&upstream.upstream_id)
            && upstream.has_rate_room()
    };
    let is_paused = |upstream: &&Arc<Upstream>| upstream.is_paused(input.now_ms);
    let all_paused =
        upstreams.iter().filter(is_candidate).all(|upstream| upstream.is_paused(input.now_ms));
    let usable =
        upstreams.iter().filter(is_candidate).filter(|upstream| all_paused || !is_paused(upstream));
    let with_room = usable.filter(|upstream| {
        input.allow_full || upstream.online_requests() < upstream.slots + QUEUE_LIMIT
    });
    let preferred = input.prefix.map(|prefix| highest_rendezvous_hash(upstreams, service, prefix));
    let mut candidates: Vec<&Arc<Upstream>> = with_room.collect();
    sample(&mut candidates, input);
    let costs = candidates.into_iter().map(|upstream| (cost(upstream, input, preferred), upstream));
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, upstream)| upstream.clone())
}

/// Keeps [`SAMPLE_SIZE`] random candidates: of this zone if it has that many with a free slot, else of
/// this region under the same condition, else of all.
fn sample(candidates: &mut Vec<&Arc<Upstream>>, input: &ChoiceInput<'_>) {
    if candidates.len() <= SAMPLE_SIZE {
        return;
    }
    let has_free_slot = |upstream: &Upstream| upstream.online_requests() < upstream.slots;
    let in_zone = |upstream: &Upstream| upstream.zone == input.zone && has_free_slot(upstream);
    let in_region =
        |upstream: &Upstream| upstream.region == input.region && has_free_slot(upstream);
    if candidates.iter().filter(|upstream| in_zone(upstream)).count() >= SAMPLE_SIZE {
        candidates.retain(|upstream| in_zone(upstream));
    } else if candidates.iter().filter(|upstream| in_region(upstream)).count() >= SAMPLE_SIZE {
        candidates.retain(|upstream| in_region(upstream));
    }
    for index in 0..SAMPLE_SIZE.min(candidates.len()) {
        let other = rand::random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    candidates.truncate(SAMPLE_SIZE);
}

fn cost(upstream: &Upstream, input: &ChoiceInput<'_>, preferred: Option<u64>) -> f32 {
    let load = upstream.in_use() as f32 / upstream.slots as f32;
    let distance = match (upstream.zone == input.zone, upstream.region == input.region) {
        (true, _) => 0.0,
        (false, true) => ZONE_COST,
        (false, false) => REGION_COST,
    };
    let is_preferred = preferred.is_some_and(|hash| {
        input.prefix.is_some_and(|prefix| rendezvous_hash(prefix, &upstream.upstream_id) == hash)
    });
    let bonus = if is_preferred { PREFIX_BONUS } else { 0.0 };
    let limit = if upstream.has_rate_limit() { RATE_LIMIT_COST } else { 0.0 };
    load + distance + limit - bonus + rand::random::<f32>() * JITTER
}

/// Picks a service of the route at random, by weight; `None` if no service has a weight.
fn pick_service(route: &Route) -> Option<&str> {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut drawn = rand::random_range(0..total.max(1));
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if drawn < weight {
            return Some(&share.service);
        }
        drawn -= weight;
    }
    None
}

/// The highest rendezvous hash of a prefix among the upstreams of a service. It is the same on each
/// host, so all hosts prefer the same upstream for a prefix.
fn highest_rendezvous_hash(upstreams: &[Arc<Upstream>], service: &str, prefix: u64) -> u64 {
    let of_service =
        upstreams.iter().filter(|upstream| upstream.accepts_work && upstream.service == service);
    of_service.map(|upstream| rendezvous_hash(prefix, &upstream.upstream_id)).max().unwrap_or(0)
}

fn rendezvous_hash(prefix: u64, upstream_id: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = fnv::FnvHasher::default();
    prefix.hash(&mut hasher);
    upstream_id.hash(&mut hasher);
    // FNV spreads the last bytes of its input poorly, so the result is mixed once more.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31)
}
