use std::sync::Arc;

use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;

use crate::admission::rendezvous_rank;
use crate::gateway::stall_limit::stall_limit;
use crate::gateway::{ChoiceInput, Exclusion, Upstream, ZoneLoads, ZoneShares};

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

/// Upstreams that are drawn to find one with an idle connection. New connections are dear, and a host before many
/// upstreams uses each too seldom to keep connections to all of them; more draws would send its requests to a few.
const CONNECTION_DRAWS: usize = 3;
/// Factor for an upstream that a request found silent within the stall limit of the route. It still takes what the
/// others have no room for, as a paused one would not.
const SILENT_FACTOR: f32 = 0.02;

/// Where a request of one service may go now, and why. Used for requests and streams that are taken up, and to explain what
/// would become of a request.
pub struct Placement<'a> {
    /// The upstreams of the service, with their weights in the draw or why they are left out.
    pub candidates: Vec<(&'a Arc<Upstream>, Result<f32, Exclusion>)>,
    /// Loads of the upstreams that take requests, by their distance.
    pub loads: ZoneLoads,
    /// Weights of a free slot by its distance.
    pub shares: ZoneShares,
}

impl<'a> Placement<'a> {
    /// Weighs the upstreams of a service: by their free slots, and less the farther away they are.
    ///
    /// A host knows the requests of the others from a report that is some hundred milliseconds old in a large fleet. If
    /// each host chose the least loaded upstream, or the least loaded one of a few, all would send their requests to the
    /// same ones until the next report, and these requests would queue there while other slots are free. Slow upstreams
    /// need no weight of their own: their slots are free less often.
    ///
    /// Paused upstreams take part only if all others that may run the request are paused as well.
    pub fn of(upstreams: &'a [Arc<Upstream>], service: &str, input: &ChoiceInput<'_>) -> Self {
        let of_service = upstreams.iter().filter(|upstream| upstream.service == service);
        let mut candidates: Vec<(&Arc<Upstream>, Result<f32, Exclusion>)> = of_service
            .map(|upstream| (upstream, exclusion(upstream, input).map_or(Ok(0.0), Err)))
            .collect();
        let is_usable = |verdict: &Result<f32, Exclusion>| verdict.is_ok();
        let all_paused = candidates
            .iter()
            .filter(|(_, verdict)| is_usable(verdict))
            .all(|(upstream, _)| upstream.is_paused(input.now_ms));
        let mut loads = ZoneLoads::default();
        for (upstream, verdict) in candidates.iter_mut().filter(|(_, verdict)| verdict.is_ok()) {
            if !all_paused && upstream.is_paused(input.now_ms) {
                *verdict = Err(Exclusion::Paused);
                continue;
            }
            let load = loads.of_mut(input.distance(upstream));
            load.slots += upstream.slots as f32;
            load.online += upstream.online_requests() as f32;
            if !input.allow_full && !has_room(upstream) {
                *verdict = Err(Exclusion::QueueFull);
            }
        }
        let shares = match input.adaptive {
            Some(_) => ZoneShares::of(&loads),
            None => ZoneShares { zone: 1.0, region: ZONE_FACTOR, remote: REGION_FACTOR },
        };
        let preferred = preferred_rank(upstreams, service, input);
        for (upstream, verdict) in candidates.iter_mut().filter(|(_, verdict)| verdict.is_ok()) {
            *verdict = Ok(weight(upstream, input, &shares, preferred));
        }
        Self { candidates, loads, shares }
    }

    /// Draws an upstream in proportion to its weight; `None` if all are left out.
    pub fn draw(&self, input: &ChoiceInput<'_>) -> Option<&'a Arc<Upstream>> {
        let usable: Vec<(&Arc<Upstream>, f32)> = self
            .candidates
            .iter()
            .filter_map(|(upstream, verdict)| Some((*upstream, *verdict.as_ref().ok()?)))
            .collect();
        let weights = WeightedIndex::new(usable.iter().map(|(_, weight)| weight)).ok()?;
        let mut random = rand::rng();
        let first = usable[weights.sample(&mut random)].0;
        let Some(has_connection) = input.adaptive else { return Some(first) };
        let further = (1..CONNECTION_DRAWS).map(|_| usable[weights.sample(&mut random)].0);
        let mut drawn = std::iter::once(first).chain(further);
        Some(drawn.find(|upstream| has_connection(&upstream.upstream_id)).unwrap_or(first))
    }
}

/// Why an upstream can't run the request at all; `None` if it can.
fn exclusion(upstream: &Upstream, input: &ChoiceInput<'_>) -> Option<Exclusion> {
    if !upstream.accepts_work {
        return Some(Exclusion::AcceptsNoWork);
    }
    if !upstream.may_continue(input.origin) {
        return Some(Exclusion::OtherVersion);
    }
    if input.tried.contains(&upstream.upstream_id) {
        return Some(Exclusion::Tried);
    }
    (!upstream.has_rate_room()).then_some(Exclusion::RateLimit)
}

/// True if a request that is sent now starts in time. A slot of a slow upstream becomes free less often.
fn has_room(upstream: &Upstream) -> bool {
    let queue_limit = (QUEUE_LIMIT as f32 / upstream.slowdown()).round() as u32;
    upstream.online_requests() < upstream.slots + queue_limit
}

fn weight(
    upstream: &Upstream,
    input: &ChoiceInput<'_>,
    shares: &ZoneShares,
    preferred: Option<u64>,
) -> f32 {
    let (online, in_use) = (upstream.online_requests(), upstream.in_use());
    let free = upstream.slots.saturating_sub(in_use) as f32;
    let held_by_batch = upstream.slots.saturating_sub(online) as f32 - free;
    let slots = (free + held_by_batch * BATCH_SLOT_WEIGHT).max(FULL_WEIGHT);
    let distance = shares.of_distance(input.distance(upstream));
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

/// Rank of the upstream that probably has the prefix of the request in its cache; among those of the zone if requests mostly
/// stay there.
fn preferred_rank(
    upstreams: &[Arc<Upstream>],
    service: &str,
    input: &ChoiceInput<'_>,
) -> Option<u64> {
    let prefix = input.prefix?;
    let near = upstreams.iter().filter(|upstream| upstream.zone == input.zone);
    let near = near.filter(|_| input.adaptive.is_some());
    Some(match highest_rendezvous_rank(near, service, prefix) {
        0 => highest_rendezvous_rank(upstreams.iter(), service, prefix),
        rank => rank,
    })
}

/// The highest rendezvous rank of a prefix among the upstreams of a service. It is the same on each
/// host, so all hosts prefer the same upstream for a prefix.
fn highest_rendezvous_rank<'a>(
    upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
    service: &str,
    prefix: u64,
) -> u64 {
    let of_service =
        upstreams.filter(|upstream| upstream.accepts_work && upstream.service == service);
    of_service
        .map(|upstream| rendezvous_rank(&prefix.to_be_bytes(), &upstream.upstream_id))
        .max()
        .unwrap_or(0)
}
