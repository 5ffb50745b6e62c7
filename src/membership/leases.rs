use std::collections::BTreeMap;

use crate::membership::{Body, Key, Record};

/// Minimum lease of an upstream, five gossip rounds, so that an announcement with a wrong lease
/// does not flood the fleet with changes.
const MIN_LEASE_MS: u64 = 1_000;

/// Leases of upstreams, and deadlines of orphans: upstreams whose home host is gone.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    leases: BTreeMap<Key, Lease>,
    orphan_deadlines: BTreeMap<Key, u64>,
}

/// Lease that this host granted to an upstream.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Record of the upstream as this host last published it.
    pub record: Record,
    /// Sequence number of the last announcement.
    pub sequence: u64,
    expires_ms: u64,
}

impl Leases {
    /// Grants or renews a lease.
    pub fn grant(&mut self, now_ms: u64, key: &Key, record: &Record, sequence: u64) {
        let expires_ms = now_ms.saturating_add(Self::duration_ms(record));
        self.orphan_deadlines.remove(key);
        self.leases.insert(key.clone(), Lease { record: record.clone(), sequence, expires_ms });
    }

    /// Lease that this host granted to an upstream.
    pub fn get(&self, key: &Key) -> Option<&Lease> {
        self.leases.get(key)
    }

    /// Replaces the record of a lease without renewing it.
    pub fn update(&mut self, key: &Key, record: &Record) {
        if let Some(lease) = self.leases.get_mut(key) {
            lease.record = record.clone();
        }
    }

    /// Removes the lease of an upstream that is gone or has another home host.
    pub fn release(&mut self, key: &Key) {
        self.leases.remove(key);
    }

    /// Starts the time, one lease duration, in which an upstream without a home host can find a new
    /// one. A running timer continues.
    pub fn start_orphan_timer(&mut self, now_ms: u64, key: &Key, record: &Record) {
        let expires_ms = now_ms.saturating_add(Self::duration_ms(record));
        self.orphan_deadlines.entry(key.clone()).or_insert(expires_ms);
    }

    /// Cancels the timer of an upstream that has a home host or is gone.
    pub fn cancel_orphan_timer(&mut self, key: &Key) {
        self.orphan_deadlines.remove(key);
    }

    /// Removes and returns the upstreams whose lease expired.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Key> {
        let expired = self.leases.extract_if(.., |_, lease| lease.expires_ms <= now_ms);
        expired.map(|(key, _)| key).collect()
    }

    /// Removes and returns the upstreams that found no new home host in time.
    pub fn take_expired_orphans(&mut self, now_ms: u64) -> Vec<Key> {
        let expired = self.orphan_deadlines.extract_if(.., |_, expires_ms| *expires_ms <= now_ms);
        expired.map(|(key, _)| key).collect()
    }

    /// Duration of an upstream's lease, at least [`MIN_LEASE_MS`].
    pub fn duration_ms(record: &Record) -> u64 {
        match &record.body {
            Body::Upstream(upstream) => u64::from(upstream.lease_ms).max(MIN_LEASE_MS),
            _ => MIN_LEASE_MS,
        }
    }
}
