use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;

use crate::membership::{HostEntry, MembershipView, Status};

/// Selects up to `limit` entry hosts for a caller in `zone`: hosts of that zone first, then of its
/// region, then of other regions.
///
/// Only live entry hosts are selected. If they are in two or more zones and `limit` is over one,
/// the selection covers at least two zones. Hosts at the same distance are shuffled by `seed`.
pub fn select_entry_hosts<'a>(
    view: &'a MembershipView,
    zone: &str,
    seed: u64,
    limit: usize,
) -> Vec<&'a HostEntry> {
    let mut entries: Vec<_> = view.hosts.iter().filter(|host| is_serving(host)).collect();
    let region = region_of(view, zone).unwrap_or_default();
    let mut random = StdRng::seed_from_u64(seed);
    entries.shuffle(&mut random);
    entries.sort_by_key(|host| zone_distance(host, zone, region));
    let Some(first) = entries.first() else { return entries };
    let other_zone = entries.iter().position(|host| host.record.zone != first.record.zone);
    match other_zone {
        Some(other_zone) if other_zone >= limit && limit > 1 => entries.swap(limit - 1, other_zone),
        _ => {}
    }
    entries.truncate(limit);
    entries
}

fn is_serving(host: &HostEntry) -> bool {
    host.record.entry && host.status == Status::Alive
}

fn region_of<'a>(view: &'a MembershipView, zone: &str) -> Option<&'a str> {
    let host = view.hosts.iter().find(|host| host.record.zone == zone)?;
    Some(&host.record.region)
}

fn zone_distance(host: &HostEntry, zone: &str, region: &str) -> u8 {
    match &*host.record {
        record if record.zone == zone => 0,
        record if record.region == region => 1,
        _ => 2,
    }
}
