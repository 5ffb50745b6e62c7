use std::hash::Hasher;

use fnv::FnvHasher;

/// Region and availability zone as hashes, which are cheaper to compare than names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Hash of the region's name.
    pub region: u64,
    /// Hash of the zone's name.
    pub zone: u64,
}

impl Location {
    /// Creates the location of a zone in a region.
    pub fn new(zone: &str, region: &str) -> Self {
        Self { region: hash(region), zone: hash(zone) }
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
