use std::collections::HashMap;
use std::time::Instant;

use crate::schema::peer::{EntryHost, UpstreamUse};

/// Last report of an entry host, and the load that was last sent to it.
#[derive(Debug)]
pub(super) struct EntryHostState {
    pub(super) host: EntryHost,
    pub(super) last_report_at: Instant,
    uses: Vec<UpstreamUse>,
    /// Online and batch requests of the other hosts at each upstream, as last sent to this host.
    pub(super) sent_uses: HashMap<String, (u32, u32)>,
    /// Revision under which `sent_uses` was last sent.
    pub(super) sent_revision: u64,
}

/// Online requests of all entry hosts, as reported by the hosts.
#[derive(Debug, Default)]
pub(super) struct OnlineLoad {
    entries: HashMap<String, EntryHostState>,
    /// Online requests of all entry hosts at each upstream.
    totals: HashMap<String, u32>,
}

impl OnlineLoad {
    /// Records that an entry host has reported.
    pub(super) fn record_report(&mut self, host: &EntryHost, now: Instant) {
        let entry_host = self.entries.entry(host.host_id.clone());
        let entry = entry_host.or_insert_with(|| EntryHostState {
            host: host.clone(),
            last_report_at: now,
            uses: Vec::new(),
            sent_uses: HashMap::new(),
            sent_revision: 0,
        });
        entry.host.clone_from(host);
        entry.last_report_at = now;
    }

    /// Replaces the reported requests of an entry host. Returns the upstreams at which the host has
    /// more online requests than before.
    pub(super) fn replace_uses(&mut self, host_id: &str, uses: &[UpstreamUse]) -> Vec<String> {
        let Some(entry) = self.entries.get_mut(host_id) else { return Vec::new() };
        let previous: HashMap<&str, u32> =
            entry.uses.iter().map(|used| (used.upstream_id.as_str(), used.online)).collect();
        let increased = uses.iter().filter(|used| {
            used.online > previous.get(used.upstream_id.as_str()).copied().unwrap_or(0)
        });
        let increased = increased.map(|used| used.upstream_id.clone()).collect();
        subtract(&mut self.totals, &entry.uses);
        for used in uses.iter().filter(|used| used.online > 0) {
            *self.totals.entry(used.upstream_id.clone()).or_default() += used.online;
        }
        entry.uses = uses.to_vec();
        increased
    }

    /// Removes an entry host and its requests.
    pub(super) fn remove(&mut self, host_id: &str) {
        if let Some(entry) = self.entries.remove(host_id) {
            subtract(&mut self.totals, &entry.uses);
        }
    }

    pub(super) fn get(&self, host_id: &str) -> Option<&EntryHostState> {
        self.entries.get(host_id)
    }

    pub(super) fn get_mut(&mut self, host_id: &str) -> Option<&mut EntryHostState> {
        self.entries.get_mut(host_id)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &EntryHostState> {
        self.entries.values()
    }

    /// Online requests of all entry hosts at an upstream.
    pub(super) fn total(&self, upstream_id: &str) -> u32 {
        self.totals.get(upstream_id).copied().unwrap_or(0)
    }

    /// Online requests of one entry host at each upstream.
    pub(super) fn uses_of_host(&self, host_id: &str) -> HashMap<&str, u32> {
        let uses = self.entries.get(host_id).into_iter().flat_map(|entry| &entry.uses);
        uses.map(|used| (used.upstream_id.as_str(), used.online)).collect()
    }
}

fn subtract(totals: &mut HashMap<String, u32>, uses: &[UpstreamUse]) {
    for used in uses.iter().filter(|used| used.online > 0) {
        let Some(total) = totals.get_mut(&used.upstream_id) else { continue };
        *total = total.saturating_sub(used.online);
        if *total == 0 {
            totals.remove(&used.upstream_id);
        }
    }
}
