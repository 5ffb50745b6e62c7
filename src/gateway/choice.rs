use std::sync::Arc;

use crate::gateway::Upstream;
use crate::schema::routes::Route;

/// Online requests that may wait at an upstream beyond its slots. A slot gets free about every 90 ms
/// there, so the last one starts within its target.
const WAITING_LIMIT: u32 = 3;
/// Cost of another availability zone, in parts of a fully used upstream: less than one slot, since
/// distance costs a few milliseconds and some bytes.
const ZONE_COST: f32 = 0.05;
/// Cost of another region: about one and a half slots, since its round trip is an eighth of the time to the
/// first event and its link is narrow and paid for.
const REGION_COST: f32 = 0.18;
/// Worth of the shared prefix that an upstream probably has in its cache: less than one slot.
const PREFIX_WORTH: f32 = 0.08;
/// Spread of the random part, so that hosts with the same view do not all choose the same upstream.
const SPREAD: f32 = 0.06;

/// Upstreams that are compared. Hosts report a few times a second, so with all of them compared the
/// hosts would send to the same least loaded upstreams; a few random ones spread the requests.
const COMPARED: usize = 4;

/// What a choice depends on besides the upstreams.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Region of this host.
    pub region: &'a str,
    /// Identity of the shared prefix.
    pub prefix: Option<u64>,
    /// Upstreams that were tried already.
    pub tried: &'a [String],
    /// Time on the clock of pauses.
    pub now_ms: u64,
    /// Takes upstreams that are full as well.
    pub takes_full: bool,
}

/// Chooses the upstream with the lowest cost; `None` if each one is full, paused or was tried.
///
/// Upstreams that are paused are considered only if all of the service are.
pub fn choose(upstreams: &[Arc<Upstream>], input: &ChoiceInput<'_>) -> Option<Arc<Upstream>> {
    let service = draw_service(input.route)?;
    let fits = |it: &&Arc<Upstream>| {
        it.takes_work && it.service == service && !input.tried.contains(&it.upstream_id)
    };
    let is_paused = |it: &&Arc<Upstream>| it.is_paused(input.now_ms);
    let all_paused = upstreams.iter().filter(fits).all(|it| it.is_paused(input.now_ms));
    let usable = upstreams.iter().filter(fits).filter(|it| all_paused || !is_paused(it));
    let with_room = usable.filter(|it| input.takes_full || it.online() < it.slots + WAITING_LIMIT);
    let preferred = input.prefix.map(|prefix| preferred(upstreams, service, prefix));
    let mut candidates: Vec<&Arc<Upstream>> = with_room.collect();
    sample(&mut candidates, input);
    let costs = candidates.into_iter().map(|it| (cost(it, input, preferred), it));
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, it)| it.clone())
}

/// Keeps a few random candidates of the nearest place that has enough of them.
fn sample(candidates: &mut Vec<&Arc<Upstream>>, input: &ChoiceInput<'_>) {
    if candidates.len() <= COMPARED {
        return;
    }
    let free = |it: &Upstream| it.online() < it.slots;
    let in_zone = |it: &Upstream| it.zone == input.zone && free(it);
    let in_region = |it: &Upstream| it.region == input.region && free(it);
    if candidates.iter().filter(|it| in_zone(it)).count() >= COMPARED {
        candidates.retain(|it| in_zone(it));
    } else if candidates.iter().filter(|it| in_region(it)).count() >= COMPARED {
        candidates.retain(|it| in_region(it));
    }
    for place in 0..COMPARED.min(candidates.len()) {
        let other = rand::random_range(place..candidates.len());
        candidates.swap(place, other);
    }
    candidates.truncate(COMPARED);
}

fn cost(upstream: &Upstream, input: &ChoiceInput<'_>, preferred: Option<u64>) -> f32 {
    let load = upstream.in_use() as f32 / upstream.slots as f32;
    let distance = match (upstream.zone == input.zone, upstream.region == input.region) {
        (true, _) => 0.0,
        (false, true) => ZONE_COST,
        (false, false) => REGION_COST,
    };
    let is_preferred = preferred.is_some_and(|hash| {
        input.prefix.is_some_and(|prefix| place(prefix, &upstream.upstream_id) == hash)
    });
    let worth = if is_preferred { PREFIX_WORTH } else { 0.0 };
    load + distance - worth + rand::random::<f32>() * SPREAD
}

/// Service of the route, drawn by weight.
fn draw_service(route: &Route) -> Option<&str> {
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

/// The highest place of a prefix among the upstreams of a service: the same on each host.
fn preferred(upstreams: &[Arc<Upstream>], service: &str, prefix: u64) -> u64 {
    let of_service = upstreams.iter().filter(|it| it.takes_work && it.service == service);
    of_service.map(|it| place(prefix, &it.upstream_id)).max().unwrap_or(0)
}

fn place(prefix: u64, upstream_id: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = fnv::FnvHasher::default();
    prefix.hash(&mut hasher);
    upstream_id.hash(&mut hasher);
    // The last bytes alone change little in this hash, so it is mixed once more.
    hasher.finish().wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(31)
}
