use std::sync::Arc;

use crate::admission::rendezvous_rank;
use crate::schema::peer::EntryHost;

/// Fewest hosts that a caller is told of if there are others farther away: with a single one, its callers
/// have nowhere to go when it stops.
const MIN_HOSTS: usize = 2;

/// The ready entry hosts for a caller, at most `limit`: those in its availability zone if there are at least
/// two, else those in its region if there are at least two, else all. Where there are more than `limit`, each
/// `caller` is told of others, so that all of them get callers, and always of the same ones at any host, since
/// callers leave hosts that a new answer does not name.
pub fn choose_entries<'a>(
    entries: &'a [Arc<EntryHost>],
    zone: &str,
    region: &str,
    caller: &str,
    limit: usize,
) -> Vec<&'a EntryHost> {
    let ready: Vec<&EntryHost> =
        entries.iter().map(|entry| &**entry).filter(|entry| entry.ready).collect();
    let linked: Vec<&EntryHost> = ready.iter().copied().filter(|entry| !entry.links_lost).collect();
    // Hosts that have lost their links serve callers through the others, which is slower.
    let ready = if linked.is_empty() { ready } else { linked };
    let in_zone: Vec<_> = ready.iter().copied().filter(|entry| entry.zone == zone).collect();
    let in_region: Vec<_> = ready.iter().copied().filter(|entry| entry.region == region).collect();
    let near = [in_zone, in_region].into_iter().find(|near| near.len() >= MIN_HOSTS);
    let mut chosen = near.unwrap_or(ready);
    if chosen.len() > limit {
        chosen.sort_by_cached_key(|entry| rendezvous_rank(caller.as_bytes(), &entry.host_id));
        chosen.truncate(limit);
    }
    chosen
}
