use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::directory::{Phase, UpstreamRecord};
use crate::schema::peer::UpstreamEntry;
use crate::schema::routes::RouteTable;

/// Time for which the directory of a control host that no longer replies stays in use. The control
/// host may be partitioned from this host together with upstreams that still send their heartbeats
/// to it. Requests to upstreams that have in fact failed end quickly and are retried elsewhere.
const LOST_HOST_GRACE: Duration = Duration::from_secs(20);

/// Copy of the directory of one control host, kept by another host.
#[derive(Debug)]
pub struct DirectorySource {
    /// Epoch and revision of the copy.
    pub version: (u64, u64),
    records: HashMap<String, UpstreamRecord>,
    last_reply_at: Option<Instant>,
    /// Uptime of the control host at its last reply.
    uptime: Duration,
}

impl Default for DirectorySource {
    fn default() -> Self {
        Self {
            version: (0, 0),
            records: HashMap::new(),
            last_reply_at: None,
            uptime: Duration::ZERO,
        }
    }
}

impl DirectorySource {
    /// Applies the changes of a reply; true if there were any.
    pub fn update(
        &mut self,
        version: (u64, u64),
        changes: Vec<UpstreamEntry>,
        uptime: Duration,
        now: Instant,
    ) -> bool {
        let is_restart = version.0 != self.version.0;
        if is_restart {
            self.records.clear();
        }
        let changed = is_restart || !changes.is_empty();
        for change in changes {
            let mut record = UpstreamRecord::from(change);
            // Earlier builds mark upstreams that drain as silent once their heartbeats stop.
            if let Some(known) = self.records.get(&record.upstream_id) {
                let same_start = known.started_at_unix_ms == record.started_at_unix_ms;
                if same_start && record.phase == Phase::Silent {
                    record.phase = known.phase.without_heartbeats();
                }
            }
            self.records.insert(record.upstream_id.clone(), record);
        }
        self.version = version;
        self.last_reply_at = Some(now);
        self.uptime = uptime;
        changed
    }

    /// True if the control host replied less than `timeout` ago.
    pub fn replied_within(&self, timeout: Duration, now: Instant) -> bool {
        self.last_reply_at.is_some_and(|last_reply_at| now.duration_since(last_reply_at) < timeout)
    }

    /// True if the control host stopped replying and [`LOST_HOST_GRACE`] has not passed yet.
    fn is_recently_lost(&self, timeout: Duration, now: Instant) -> bool {
        !self.replied_within(timeout, now) && self.replied_within(LOST_HOST_GRACE, now)
    }

    /// True if the control host replies and has run long enough to receive a heartbeat of every
    /// live upstream that can reach it.
    fn is_complete(&self, timeout: Duration, now: Instant) -> bool {
        self.replied_within(timeout, now) && self.uptime > timeout
    }
}

/// The newest record of each upstream in the directories of all control hosts.
///
/// The directory of a control host that stopped replying is ignored after a grace period, provided
/// that another control host has a complete directory: by then, live upstreams have sent heartbeats
/// to that one. During the grace period, upstreams whose heartbeats to other control hosts stopped
/// count as ready, since they may send them to the unreachable control host.
pub fn newest_records<'a>(
    sources: impl Iterator<Item = &'a DirectorySource> + Clone,
    timeout: Duration,
    now: Instant,
) -> Vec<UpstreamRecord> {
    let has_complete = sources.clone().any(|source| source.is_complete(timeout, now));
    let mut newest: HashMap<&str, &UpstreamRecord> = HashMap::new();
    let has_lost = sources.clone().any(|source| source.is_recently_lost(timeout, now));
    for source in
        sources.filter(|source| !has_complete || source.replied_within(LOST_HOST_GRACE, now))
    {
        for (id, record) in &source.records {
            let known = newest.entry(id).or_insert(record);
            if validity(record) > validity(known) {
                *known = record;
            }
        }
    }
    let mut records: Vec<UpstreamRecord> = newest.into_values().cloned().collect();
    for record in records.iter_mut().filter(|record| has_lost && record.phase == Phase::Silent) {
        record.phase = Phase::Ready;
    }
    records
}

/// The live upstreams among the newest records, sorted by id. Once there are routes, a record of a service
/// that they do not name is left out: it may come from another writer, and must not take the place of an
/// upstream at the same address.
pub fn list_live(newest: &[UpstreamRecord], routes: &RouteTable) -> Vec<UpstreamRecord> {
    let services: HashSet<&str> =
        routes.services.iter().map(|service| service.name.as_str()).collect();
    let is_known = |service: &str| routes.version == 0 || services.contains(service);
    let mut by_address: HashMap<&str, &UpstreamRecord> = HashMap::new();
    let is_live = |record: &&UpstreamRecord| matches!(record.phase, Phase::Ready | Phase::Draining);
    for record in newest.iter().filter(is_live).filter(|record| is_known(&record.service)) {
        let known = by_address.entry(&record.address).or_insert(record);
        // The address may have been reassigned, so only the upstream that started last is
        // reachable.
        if record.started_at_unix_ms > known.started_at_unix_ms {
            *known = record;
        }
    }
    let mut live: Vec<UpstreamRecord> = by_address.into_values().cloned().collect();
    live.sort_by(|a, b| a.upstream_id.cmp(&b.upstream_id));
    live
}

/// Merges the directories of all control hosts into the list of live upstreams, sorted by id; see
/// [`newest_records`].
pub fn merge_directories<'a>(
    sources: impl Iterator<Item = &'a DirectorySource> + Clone,
    timeout: Duration,
    now: Instant,
) -> Vec<UpstreamRecord> {
    list_live(&newest_records(sources, timeout, now), &RouteTable::default())
}

/// Key by which records of the same upstream that different hosts hold are compared; the largest one holds.
///
/// An incarnation that leaves never becomes ready again, and a host may hold a later heartbeat without having heard of
/// that. Of two records of the same heartbeat, the one that is silent or gone holds.
fn validity(record: &UpstreamRecord) -> (u64, bool, u64, bool) {
    let leaves = matches!(record.phase, Phase::Draining | Phase::Gone);
    let has_ended = matches!(record.phase, Phase::Silent | Phase::Gone);
    (record.started_at_unix_ms, leaves, record.sequence, has_ended)
}
