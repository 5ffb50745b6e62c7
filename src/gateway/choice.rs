use std::sync::Arc;

use rand::seq::IndexedRandom;

use crate::admission::rendezvous_rank;
use crate::directory::StreamOrigin;
use crate::gateway::stall_limit::stall_limit;
use crate::gateway::Upstream;
use crate::schema::routes::Route;

/// Online requests that may queue at an upstream beyond its slots. A slot becomes free about every
/// 90 ms there, so the last one starts within its target.
const QUEUE_LIMIT: u32 = 3;
/// Weight of a slot that a batch item holds, in comparison with a free one. Items yield their slots, but only
/// after some milliseconds.
const BATCH_SLOT_WEIGHT: f32 = 0.2;
/// Weight of an upstream without a free slot, so that it can be chosen when all others are full as well.
const FULL_WEIGHT: f32 = 0.1;
/// Factor for another availability zone of the region. The distance costs a few milliseconds and little
/// bandwidth.
const ZONE_FACTOR: f32 = 0.3;
/// Factor for another region. Its round trip is an eighth of the time to the first event, and its link is
/// narrow and metered.
const REGION_FACTOR: f32 = 0.03;
/// Factor for the upstream that probably has the shared prefix in its cache.
const PREFIX_FACTOR: f32 = 1.5;
/// Factor for an upstream that names a limit of requests per second: what it still takes is kept for bursts
/// and for batch items while others have free slots.
const RATE_LIMIT_FACTOR: f32 = 0.02;

/// Factor for an upstream that a request found silent within the stall limit of the route. It still takes what the
/// others have no room for, as a paused one would not.
const SILENT_FACTOR: f32 = 0.02;

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
    /// Where the stream began, if the caller has events of it.
    pub origin: Option<&'a StreamOrigin>,
    /// Ids of the upstreams that the request was already sent to.
    pub tried: &'a [String],
    /// Current time in milliseconds, on the clock of `monotonic_ms`.
    pub now_ms: u64,
    /// Whether an upstream with a full queue may be chosen.
    pub allow_full: bool,
}

/// Chooses an upstream at random, in proportion to its free slots and less often the farther away it is; `None`
/// if every upstream of the service is full, was already tried, has used up its named limit or accepts no new
/// requests.
///
/// A host knows the requests of the others from a report that is some hundred milliseconds old in a large fleet.
/// If each host chose the least loaded upstream, or the least loaded one of a few, all would send their requests to
/// the same ones until the next report, and these requests would queue there while other slots are free.
///
/// Paused upstreams are considered only if all other candidates are paused as well.
pub fn choose_upstream(
    upstreams: &[Arc<Upstream>],
    input: &ChoiceInput<'_>,
) -> Option<Arc<Upstream>> {
    let service = match input.origin {
        Some(origin) => routed_service(input.route, &origin.service)?,
        None => pick_service(input.route)?,
    };
    let is_candidate = |upstream: &&Arc<Upstream>| {
        upstream.accepts_work
            && upstream.service == service
            && upstream.may_continue(input.origin)
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
    let preferred = input.prefix.map(|prefix| highest_rendezvous_rank(upstreams, service, prefix));
    let candidates: Vec<&Arc<Upstream>> = with_room.collect();
    let chosen = candidates
        .choose_weighted(&mut rand::rng(), |upstream| weight(upstream, input, preferred))
        .ok()?;
    Some(Arc::clone(chosen))
}

fn weight(upstream: &Upstream, input: &ChoiceInput<'_>, preferred: Option<u64>) -> f32 {
    let (online, in_use) = (upstream.online_requests(), upstream.in_use());
    let free = upstream.slots.saturating_sub(in_use) as f32;
    let held_by_batch = upstream.slots.saturating_sub(online) as f32 - free;
    let slots = (free + held_by_batch * BATCH_SLOT_WEIGHT).max(FULL_WEIGHT);
    let distance = match (upstream.zone == input.zone, upstream.region == input.region) {
        (true, _) => 1.0,
        (false, true) => ZONE_FACTOR,
        (false, false) => REGION_FACTOR,
    };
    let is_preferred = preferred.is_some_and(|rank| {
        input.prefix.is_some_and(|prefix| {
            rendezvous_rank(&prefix.to_be_bytes(), &upstream.upstream_id) == rank
        })
    });
    let prefix = if is_preferred { PREFIX_FACTOR } else { 1.0 };
    let limit = if upstream.has_rate_limit() { RATE_LIMIT_FACTOR } else { 1.0 };
    let is_silent =
        upstream.answer_times().is_silent(stall_limit(input.route, false), input.now_ms);
    let silence = if is_silent { SILENT_FACTOR } else { 1.0 };
    slots * distance * prefix * limit * silence
}

/// The service of this name, if the route still sends requests to it.
fn routed_service<'a>(route: &'a Route, service: &str) -> Option<&'a str> {
    let mut shares = route.shares.iter().filter(|share| share.weight > 0);
    shares.find(|share| share.service == service).map(|share| share.service.as_str())
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

/// The highest rendezvous rank of a prefix among the upstreams of a service. It is the same on each
/// host, so all hosts prefer the same upstream for a prefix.
fn highest_rendezvous_rank(upstreams: &[Arc<Upstream>], service: &str, prefix: u64) -> u64 {
    let of_service =
        upstreams.iter().filter(|upstream| upstream.accepts_work && upstream.service == service);
    of_service
        .map(|upstream| rendezvous_rank(&prefix.to_be_bytes(), &upstream.upstream_id))
        .max()
        .unwrap_or(0)
}
