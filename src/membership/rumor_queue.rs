use std::collections::BTreeMap;

use crate::membership::Key;

/// Records that are still being spread, with the number of messages that will carry each.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    sends_left: BTreeMap<Key, u32>,
}

impl RumorQueue {
    /// Starts to spread a record, or starts again after it changed.
    pub fn push(&mut self, key: Key, hosts: usize) {
        self.sends_left.insert(key, Self::sends(hosts));
    }

    /// True when nothing is being spread.
    pub fn is_empty(&self) -> bool {
        self.sends_left.is_empty()
    }

    /// Takes up to `limit` records for one message, those sent the fewest times first.
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

    /// Sends of each record by each host, 3 log10 n: with k random sends the expected share of
    /// hosts that a change misses is e^-k, and the repair finds those.
    fn sends(hosts: usize) -> u32 {
        3 * ((hosts + 1) as f64).log10().ceil().max(1.0) as u32
    }
}
