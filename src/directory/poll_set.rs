use std::collections::{HashMap, HashSet};

use crate::admission::rendezvous_rank;

/// Number of control hosts up to which an entry host polls all of them.
const POLL_ALL_LIMIT: usize = 4;
/// Control hosts of its own region that an entry host polls in a larger fleet.
const HOMES_IN_REGION: usize = 2;
/// Control hosts that it polls altogether; the others are in another region, so that a host whose region
/// is cut off still hears of the fleet, and the other way round.
const HOMES: usize = 3;
/// Control hosts added at once because no polled one reaches them, or because no polled one knows how current its
/// routes are. Each usually reaches the rest.
const MAX_ADDED: usize = 2;

/// Distance between an entry host and a control host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
    /// Another region, or unknown.
    Remote,
}

/// A control host that an entry host may poll.
#[derive(Clone, Copy, Debug)]
pub struct PollCandidate<'a> {
    /// Peer address.
    pub address: &'a str,
    /// Availability zone; empty if unknown.
    pub zone: &'a str,
    /// Distance from the entry host.
    pub distance: Distance,
    /// It is polled, and its last call failed.
    pub is_failing: bool,
    /// It is polled, and knows how current its routes are.
    pub is_current: bool,
    /// Control hosts whose state it passes on; `None` while it is not polled.
    pub reached: Option<&'a HashSet<String>>,
}

/// Chooses the control hosts that an entry host polls.
///
/// Control hosts exchange what they know, so a few of them suffice: two of the own region, one of
/// another and the leader. Calls then grow with the number of entry hosts, not with its product with the
/// number of control hosts. A control host that none of the chosen ones reaches, as when the control
/// hosts are cut apart, is polled as well, since heartbeats of upstreams may arrive only there.
pub fn choose_polled<'a>(
    candidates: &[PollCandidate<'a>],
    leader: Option<&str>,
    own_host_id: &str,
) -> Vec<&'a str> {
    if candidates.len() <= POLL_ALL_LIMIT {
        return candidates.iter().map(|candidate| candidate.address).collect();
    }
    let ordered = order(candidates, own_host_id);
    let mut chosen = choose_homes(&ordered);
    let leader = leader.and_then(|address| ordered.iter().find(|it| it.address == address));
    if let Some(leader) = leader.filter(|leader| !is_chosen(&chosen, leader)) {
        chosen.push(leader);
    }
    add_unreached(&ordered, &mut chosen);
    chosen.into_iter().map(|candidate| candidate.address).collect()
}

/// Adds control hosts to those that are polled, none of which knows which routes are the newest.
///
/// What holds them up may affect their whole zone or region, so the zones take turns, whatever their distance. Each
/// `round` adds other ones, until there is one that knows.
pub fn add_others<'a>(
    candidates: &[PollCandidate<'a>],
    own_host_id: &str,
    round: usize,
    chosen: &mut Vec<&'a str>,
) {
    let (polled, mut others): (Vec<&PollCandidate<'a>>, Vec<_>) =
        candidates.iter().partition(|candidate| chosen.contains(&candidate.address));
    let mut uses: HashMap<&str, usize> = HashMap::new();
    for candidate in polled {
        *uses.entry(candidate.zone).or_default() += 1;
    }
    others.sort_by_cached_key(|it| rendezvous_rank(own_host_id.as_bytes(), it.address));
    others.sort_by_cached_key(|it| {
        let turn = uses.entry(it.zone).or_default();
        *turn += 1;
        *turn
    });
    let count = others.len();
    match others.iter().any(|it| it.is_current) {
        true => others.retain(|it| it.is_current),
        false => others.rotate_left((round * MAX_ADDED).checked_rem(count).unwrap_or(0)),
    }
    chosen.extend(others.into_iter().take(MAX_ADDED).map(|it| it.address));
}

/// Control hosts in the order in which they are chosen.
fn order<'b, 'a>(
    candidates: &'b [PollCandidate<'a>],
    own_host_id: &str,
) -> Vec<&'b PollCandidate<'a>> {
    let mut ordered: Vec<&PollCandidate<'a>> = candidates.iter().collect();
    ordered.sort_by_cached_key(|candidate| {
        // The rank differs on each entry host, so that the load spreads.
        let rank = rendezvous_rank(own_host_id.as_bytes(), candidate.address);
        (candidate.is_failing, candidate.distance, rank)
    });
    ordered
}

/// Two control hosts of the region, in two zones if possible, and one of another region; if there are
/// too few that answer, others in order.
fn choose_homes<'b, 'a>(ordered: &[&'b PollCandidate<'a>]) -> Vec<&'b PollCandidate<'a>> {
    let mut homes: Vec<&PollCandidate<'a>> = Vec::new();
    let sound = || ordered.iter().copied().filter(|candidate| !candidate.is_failing);
    let nearby = || sound().filter(|candidate| candidate.distance < Distance::Remote);
    for candidate in nearby() {
        if homes.len() < HOMES_IN_REGION && homes.iter().all(|home| home.zone != candidate.zone) {
            homes.push(candidate);
        }
    }
    for candidate in nearby() {
        if homes.len() < HOMES_IN_REGION && !is_chosen(&homes, candidate) {
            homes.push(candidate);
        }
    }
    homes.extend(sound().find(|candidate| candidate.distance == Distance::Remote));
    for candidate in ordered {
        if homes.len() < HOMES && !is_chosen(&homes, candidate) {
            homes.push(candidate);
        }
    }
    homes
}

/// Adds control hosts that none of the chosen ones reaches.
fn add_unreached<'b, 'a>(
    ordered: &[&'b PollCandidate<'a>],
    chosen: &mut Vec<&'b PollCandidate<'a>>,
) {
    let mut covered: HashSet<&str> = HashSet::new();
    for candidate in chosen.iter() {
        cover(&mut covered, candidate);
    }
    // Nothing is known yet of what the chosen ones reach.
    if chosen.iter().all(|candidate| candidate.reached.is_none()) {
        return;
    }
    let mut added = 0;
    for candidate in ordered {
        if covered.contains(candidate.address) || is_chosen(chosen, candidate) {
            continue;
        }
        if candidate.reached.is_none() {
            if added == MAX_ADDED {
                continue;
            }
            added += 1;
        }
        chosen.push(candidate);
        cover(&mut covered, candidate);
    }
}

/// Marks a control host that answers, and those that it reaches, as covered.
fn cover<'a>(covered: &mut HashSet<&'a str>, candidate: &PollCandidate<'a>) {
    let Some(reached) = candidate.reached.filter(|_| !candidate.is_failing) else { return };
    covered.insert(candidate.address);
    covered.extend(reached.iter().map(String::as_str));
}

fn is_chosen(chosen: &[&PollCandidate<'_>], candidate: &PollCandidate<'_>) -> bool {
    chosen.iter().any(|it| it.address == candidate.address)
}
