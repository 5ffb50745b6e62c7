use std::collections::{HashMap, HashSet};

use crate::schema::peer::EntryHost;

/// A run of the process of an entry host, by its host id and the time of its start.
type Incarnation = (String, u64);

/// Failed attempts of batch items, by item, as their entry hosts count them.
///
/// The counts are those of the hosts, so that a repeated report counts once, and a new leader learns of the attempts
/// under the leaders before it.
#[derive(Debug, Default)]
pub(super) struct FailedAttempts {
    by_item: HashMap<(String, u32), HashMap<Incarnation, u32>>,
}

impl FailedAttempts {
    /// Records that an entry host has seen `attempts` failures of an item.
    pub(super) fn record(&mut self, host: &EntryHost, job_id: &str, item: u32, attempts: u32) {
        let known = self.of_host(host, job_id, item);
        *known = attempts.max(*known);
    }

    /// Records one more failure that an entry host of an earlier build has seen, which does not count them.
    pub(super) fn record_uncounted(&mut self, host: &EntryHost, job_id: &str, item: u32) {
        *self.of_host(host, job_id, item) += 1;
    }

    /// Failures of an item at one entry host.
    pub(super) fn at_host(&self, host: &EntryHost, job_id: &str, item: u32) -> u32 {
        let hosts = self.by_item.get(&(job_id.to_owned(), item));
        let incarnation = (host.host_id.clone(), host.started_at_unix_ms);
        hosts.and_then(|hosts| hosts.get(&incarnation)).copied().unwrap_or(0)
    }

    fn of_host(&mut self, host: &EntryHost, job_id: &str, item: u32) -> &mut u32 {
        let incarnation = (host.host_id.clone(), host.started_at_unix_ms);
        let hosts = self.by_item.entry((job_id.to_owned(), item)).or_default();
        hosts.entry(incarnation).or_default()
    }

    /// Failures of an item at all entry hosts.
    pub(super) fn total(&self, job_id: &str, item: u32) -> u32 {
        let hosts = self.by_item.get(&(job_id.to_owned(), item));
        hosts.map_or(0, |hosts| hosts.values().sum())
    }

    /// Forgets an item that has a result.
    pub(super) fn remove(&mut self, job_id: &str, item: u32) {
        self.by_item.remove(&(job_id.to_owned(), item));
    }

    /// Forgets the items of jobs that are not in `open`.
    pub(super) fn retain_jobs(&mut self, open: &HashSet<&str>) {
        self.by_item.retain(|(job_id, _), _| open.contains(job_id.as_str()));
    }
}
