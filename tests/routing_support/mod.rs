//! Test fleets of upstreams that consist of records only, without processes.

#![allow(dead_code)]

use std::sync::Arc;

use damaskhoist::membership::{UpstreamModel, UpstreamRecord};
use damaskhoist::routing::{Fleet, PrefixView, RequestView, SlotWatcher, Upstream, WorkClass};

pub const MODEL: &str = "engraver-llm";
pub const REGIONS: [&str; 3] = ["r0", "r1", "r2"];
pub const SLOTS: u32 = 8;

/// Zone of the upstream with an index; there are seven zones in three regions.
pub fn zone(index: usize) -> String {
    let zones = [3, 2, 2];
    format!("r{}-z{}", index % 3, index / 3 % zones[index % 3])
}

/// Creates a fleet of upstreams that serve [`MODEL`], spread over three regions and seven zones.
pub fn fleet(upstreams: usize) -> Fleet {
    fleet_of((0..upstreams).map(record).collect())
}

/// Creates a fleet whose slots are all leased to this host.
pub fn fleet_of(records: Vec<UpstreamRecord>) -> Fleet {
    let fleet = Fleet::open(Arc::new(NoWaiters));
    let records: Vec<_> = records.into_iter().map(Arc::new).collect();
    fleet.replace(records.iter().map(|record| (record, 1)));
    for upstream in fleet.load().upstreams() {
        upstream.set_limits(upstream.record.slots, upstream.record.slots);
    }
    fleet
}

/// Slot watcher without waiting requests.
#[derive(Debug)]
struct NoWaiters;

impl SlotWatcher for NoWaiters {
    fn slot_freed(&self, _upstream: &Arc<Upstream>) {}
}

pub fn record(index: usize) -> UpstreamRecord {
    UpstreamRecord {
        upstream_id: format!("upstream-{index}"),
        service: "engraving".to_owned(),
        address: format!("127.0.0.1:{}", 10_000 + index),
        zone: zone(index),
        region: REGIONS[index % 3].to_owned(),
        models: vec![UpstreamModel { name: MODEL.to_owned(), ..Default::default() }],
        slots: SLOTS,
        lease_ms: 2_000,
        ..UpstreamRecord::default()
    }
}

/// Block hashes of a prompt of `len` blocks: the first `shared` ones are common to all prompts with
/// the same `prefix`, the others depend on `own`.
pub fn prompt_hashes(prefix: u64, shared: usize, own: u64, len: usize) -> Vec<u64> {
    let block = |index: usize| {
        let seed = if index < shared { prefix << 8 } else { (own | 1 << 40) << 8 };
        mix_bits(seed + index as u64)
    };
    (0..len).map(block).collect()
}

pub fn mix_bits(value: u64) -> u64 {
    let value = value.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    value ^ (value >> 32)
}

pub fn request<'a>(prefix_hashes: &'a [u64], excluded: &'a [String]) -> RequestView<'a> {
    RequestView { service: "", model: MODEL, class: WorkClass::Online, prefix_hashes, excluded }
}

/// Publishes a view in which the upstream has the given blocks cached.
pub fn publish_cached_blocks(upstream: &Upstream, blocks: &[u64]) {
    upstream.prefixes.store(PrefixView::new(blocks.iter().copied(), false));
}
