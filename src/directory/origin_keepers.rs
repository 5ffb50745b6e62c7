use std::collections::BTreeSet;

use crate::admission::rendezvous_rank;

/// Control hosts that an entry host sends the origin of a stream to: one may restart meanwhile.
const KEEPERS: usize = 2;
/// Control hosts of each region that are asked for an origin. One more than [`KEEPERS`], since the host that
/// sent the origin may have passed over one that it could not reach.
const ASKED_IN_REGION: usize = 3;

/// A control host that may keep origins of streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginKeeper {
    /// Peer address.
    pub address: String,
    /// Region; empty if unknown.
    pub region: String,
    /// A control host that answers this host reaches it, or this host does.
    pub is_reached: bool,
}

/// The control hosts that keep the origins of streams that begin in `region`. Those of other regions follow
/// where the region has too few.
pub fn choose_keepers<'a>(
    keepers: &'a [OriginKeeper],
    region: &str,
    request_hash: u64,
) -> Vec<&'a str> {
    let reached = || keepers.iter().filter(|keeper| keeper.is_reached);
    let ordered = in_order(reached(), region, request_hash);
    ordered.into_iter().take(KEEPERS).collect()
}

/// The control hosts that may know the origin of a stream, wherever it began.
pub fn choose_asked(keepers: &[OriginKeeper], request_hash: u64) -> BTreeSet<&str> {
    let regions: BTreeSet<&str> = keepers.iter().map(|keeper| keeper.region.as_str()).collect();
    let asked = regions.into_iter().flat_map(|region| {
        in_order(keepers.iter(), region, request_hash).into_iter().take(ASKED_IN_REGION)
    });
    asked.collect()
}

fn in_order<'a>(
    keepers: impl Iterator<Item = &'a OriginKeeper>,
    region: &str,
    request_hash: u64,
) -> Vec<&'a str> {
    let mut ordered: Vec<(bool, u64, &str)> = keepers
        .map(|keeper| {
            let rank = rendezvous_rank(&request_hash.to_be_bytes(), &keeper.address);
            (keeper.region != region, rank, keeper.address.as_str())
        })
        .collect();
    ordered.sort_unstable();
    ordered.into_iter().map(|(_, _, address)| address).collect()
}
