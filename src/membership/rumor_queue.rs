use std::collections::BTreeMap;

use crate::membership::Key;

/// Records that are still being gossiped, with the number of remaining sends of each.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    sends_left: BTreeMap<Key, u32>,
}

impl RumorQueue {
    /// Queues a record, or resets its send count after a change. `hosts` is the size of the fleet.
    pub fn push(&mut self, key: Key, hosts: usize) {
        self.sends_left.insert(key, Self::send_count(hosts));
    }

    /// True if no record is being gossiped.
    pub fn is_empty(&self) -> bool {
        self.sends_left.is_empty()
    }

    /// Selects up to `limit` records for one message, those with the most remaining sends first,
    /// and counts them as sent.
    pub fn take(&mut self, limit: usize) -> Vec<Key> {
        let mut order: Vec<_> = self.sends_left.iter().map(|(key, left)| (*left, key)).collect();
        order.sort_by(|left, right| right.cmp(left));
        order.truncate(limit);
        let chosen: Vec<Key> = order.into_iter().map(|(_, key)| key.clone()).collect();
        for key in &chosen {
            let Some(left) = self.sends_left.get_mut(key) else { continue };
            *left -= 1;
            if *left == 0 {
                self.sends_left.remove(key);
            }
        }
        chosen
    }

    /// Number of times that each host sends a record, 3 log10 n. With k random sends a change
    /// misses an expected share of e^-k of the hosts, which the repair then covers.
    fn send_count(hosts: usize) -> u32 {
        3 * ((hosts + 1) as f64).log10().ceil().max(1.0) as u32
    }
}
