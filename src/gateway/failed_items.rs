use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::schema::peer::FailedItem;

/// Time after its last failure at which an item is forgotten, as it has been repeated or given up long since.
const RETENTION: Duration = Duration::from_secs(60);
/// Most items that are kept; bounds the size of a report.
const MAX_ITEMS: usize = 256;

/// Failed attempts of batch items that this host has seen. Leaders come and go, and each new one learns of them from here.
#[derive(Debug, Default)]
pub(super) struct FailedItems {
    items: HashMap<(String, u32), Failures>,
}

#[derive(Debug)]
struct Failures {
    attempts: u32,
    last_at: Instant,
}

impl FailedItems {
    /// Records a failed attempt after `known` ones, which may have been forgotten here; returns the number of those of the
    /// item.
    pub(super) fn record(&mut self, job_id: &str, item: u32, known: u32, now: Instant) -> u32 {
        let key = (job_id.to_owned(), item);
        if self.items.len() >= MAX_ITEMS && !self.items.contains_key(&key) {
            self.remove_oldest();
        }
        let failures = self.items.entry(key).or_insert(Failures { attempts: 0, last_at: now });
        failures.attempts = failures.attempts.max(known) + 1;
        failures.last_at = now;
        failures.attempts
    }

    /// The items that failed lately.
    pub(super) fn list(&mut self, now: Instant) -> Vec<FailedItem> {
        self.items.retain(|_, failures| now.duration_since(failures.last_at) < RETENTION);
        let items = self.items.iter().map(|((job_id, item), failures)| FailedItem {
            job_id: job_id.clone(),
            item: *item,
            attempts: failures.attempts,
        });
        items.collect()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.items.iter().min_by_key(|(_, failures)| failures.last_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.items.remove(&key);
        }
    }
}
