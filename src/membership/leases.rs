use std::collections::BTreeMap;

use crate::membership::{Body, Key, Record};

/// Shortest lease of an upstream, five gossip rounds, so that a mistake in an announcement does
/// not flood the fleet with changes.
const SHORTEST_LEASE_MS: u64 = 1_000;

/// Times after which upstreams count as dead.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    held: BTreeMap<Key, Lease>,
    orphans: BTreeMap<Key, u64>,
}

/// Lease of an upstream that announces itself to this host.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The record that this host published last.
    pub record: Record,
    /// Number of the last announcement.
    pub sequence: u64,
    ends_ms: u64,
}

impl Leases {
    /// Starts or renews a lease of this host.
    pub fn hold(&mut self, now_ms: u64, key: &Key, record: &Record, sequence: u64) {
        let ends_ms = now_ms.saturating_add(Self::length_ms(record));
        self.orphans.remove(key);
        self.held.insert(key.clone(), Lease { record: record.clone(), sequence, ends_ms });
    }

    /// The lease of an upstream that announces itself to this host.
    pub fn held(&self, key: &Key) -> Option<&Lease> {
        self.held.get(key)
    }

    /// Replaces the record of a lease without renewing it.
    pub fn update(&mut self, key: &Key, record: &Record) {
        if let Some(lease) = self.held.get_mut(key) {
            lease.record = record.clone();
        }
    }

    /// Ends the lease of an upstream, because it is gone or announces itself elsewhere.
    pub fn release(&mut self, key: &Key) {
        self.held.remove(key);
    }

    /// Starts the time in which an upstream without a home host can find a new one.
    pub fn orphan(&mut self, now_ms: u64, key: &Key, record: &Record) {
        let ends_ms = now_ms.saturating_add(Self::length_ms(record));
        self.orphans.entry(key.clone()).or_insert(ends_ms);
    }

    /// Ends that time, because the upstream has a home host or is gone.
    pub fn adopt(&mut self, key: &Key) {
        self.orphans.remove(key);
    }

    /// Takes the upstreams whose lease of this host ran out.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Key> {
        let expired = self.held.extract_if(.., |_, lease| lease.ends_ms <= now_ms);
        expired.map(|(key, _)| key).collect()
    }

    /// Takes the upstreams that found no new home host in time.
    pub fn take_lost(&mut self, now_ms: u64) -> Vec<Key> {
        let lost = self.orphans.extract_if(.., |_, ends_ms| *ends_ms <= now_ms);
        lost.map(|(key, _)| key).collect()
    }

    /// Length of an upstream's lease, with the lower bound applied.
    pub fn length_ms(record: &Record) -> u64 {
        match &record.body {
            Body::Upstream(upstream) => u64::from(upstream.lease_ms).max(SHORTEST_LEASE_MS),
            _ => SHORTEST_LEASE_MS,
        }
    }
}
