use std::collections::HashMap;
use std::time::Instant;

use crate::schema::peer::{EntryHost, UpstreamUse};

/// An entry host as it last reported.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) host: EntryHost,
    pub(super) heard: Instant,
    uses: Vec<UpstreamUse>,
    /// Requests of the others at each upstream that the host was told, and under which revision.
    pub(super) told: HashMap<String, (u32, u32)>,
    pub(super) told_revision: u64,
}

/// Online requests of all entry hosts, as they report them.
#[derive(Debug, Default)]
pub(super) struct OnlineLoad {
    entries: HashMap<String, Entry>,
    totals: HashMap<String, u32>,
}

impl OnlineLoad {
    /// Takes what an entry host says of itself.
    pub(super) fn hear(&mut self, host: &EntryHost, now: Instant) {
        let known = self.entries.entry(host.host_id.clone());
        let entry = known.or_insert_with(|| Entry {
            host: host.clone(),
            heard: now,
            uses: Vec::new(),
            told: HashMap::new(),
            told_revision: 0,
        });
        entry.host.clone_from(host);
        entry.heard = now;
    }

    /// Replaces the requests of an entry host; gives the upstreams that have more of them now.
    pub(super) fn replace(&mut self, host_id: &str, uses: &[UpstreamUse]) -> Vec<String> {
        let Some(entry) = self.entries.get_mut(host_id) else { return Vec::new() };
        let before: HashMap<&str, u32> =
            entry.uses.iter().map(|it| (it.upstream_id.as_str(), it.online)).collect();
        let grown = uses
            .iter()
            .filter(|it| it.online > before.get(it.upstream_id.as_str()).copied().unwrap_or(0));
        let grown = grown.map(|it| it.upstream_id.clone()).collect();
        subtract(&mut self.totals, &entry.uses);
        for used in uses.iter().filter(|it| it.online > 0) {
            *self.totals.entry(used.upstream_id.clone()).or_default() += used.online;
        }
        entry.uses = uses.to_vec();
        grown
    }

    /// Forgets an entry host.
    pub(super) fn remove(&mut self, host_id: &str) {
        if let Some(entry) = self.entries.remove(host_id) {
            subtract(&mut self.totals, &entry.uses);
        }
    }

    pub(super) fn get(&self, host_id: &str) -> Option<&Entry> {
        self.entries.get(host_id)
    }

    pub(super) fn get_mut(&mut self, host_id: &str) -> Option<&mut Entry> {
        self.entries.get_mut(host_id)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Online requests of all hosts at an upstream.
    pub(super) fn total(&self, upstream_id: &str) -> u32 {
        self.totals.get(upstream_id).copied().unwrap_or(0)
    }

    /// Online requests of one host at each upstream.
    pub(super) fn of_host(&self, host_id: &str) -> HashMap<&str, u32> {
        let uses = self.entries.get(host_id).into_iter().flat_map(|entry| &entry.uses);
        uses.map(|it| (it.upstream_id.as_str(), it.online)).collect()
    }
}

fn subtract(totals: &mut HashMap<String, u32>, uses: &[UpstreamUse]) {
    for used in uses.iter().filter(|it| it.online > 0) {
        let Some(total) = totals.get_mut(&used.upstream_id) else { continue };
        *total = total.saturating_sub(used.online);
        if *total == 0 {
            totals.remove(&used.upstream_id);
        }
    }
}
