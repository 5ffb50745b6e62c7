use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::tokens::BLOCK_TOKENS;

/// Events kept for readers; older ones are gone, which a reader sees as a gap.
const KEPT_EVENTS: usize = 65_536;

/// Prefix cache: blocks of prompt tokens by chained hash, the least recently used leave first.
pub(crate) struct KvCache {
    capacity_blocks: usize,
    blocks: HashMap<u64, Block>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<CacheEvent>,
    last_sequence: u64,
}

struct Block {
    parent: Option<u64>,
    last_use: u64,
}

struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    hash: u64,
    at: Instant,
}

impl KvCache {
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_blocks: capacity_tokens as usize / BLOCK_TOKENS,
            blocks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Tokens at the start of the chain that are cached; marks their blocks as used.
    pub(crate) fn cached_tokens(&mut self, chain: &[u64]) -> usize {
        let count = chain.iter().take_while(|hash| self.blocks.contains_key(hash)).count();
        self.touch(&chain[..count]);
        count * BLOCK_TOKENS
    }

    /// Stores every block of the chain, as far as the capacity allows.
    pub(crate) fn store(&mut self, chain: &[u64], now: Instant) {
        let chain = &chain[..chain.len().min(self.capacity_blocks)];
        let mut parent = None;
        for &hash in chain {
            if !self.blocks.contains_key(&hash) {
                self.insert(hash, parent, now);
            }
            parent = Some(hash);
        }
        self.touch(chain);
        while self.blocks.len() > self.capacity_blocks {
            self.evict_oldest(now);
        }
    }

    /// Hashes from the start of the prompt to `hash`, or `None` when one is not cached.
    pub(crate) fn chain_to(&self, hash: u64) -> Option<Vec<u64>> {
        let mut chain = vec![hash];
        let mut block = self.blocks.get(&hash)?;
        while let Some(parent) = block.parent {
            chain.push(parent);
            block = self.blocks.get(&parent)?;
        }
        chain.reverse();
        Some(chain)
    }

    /// Events after `after` that are older than `lag`, without every `drop_every`-th.
    pub(crate) fn events(&self, after: u64, lag: Duration, drop_every: u64, now: Instant) -> Value {
        let mut shown = Vec::new();
        for event in self.events.iter().filter(|event| event.sequence > after) {
            if event.at + lag > now {
                break;
            }
            if drop_every > 0 && event.sequence % drop_every == 0 {
                continue;
            }
            let hash = format!("{:016x}", event.hash);
            shown.push(json!({"sequence": event.sequence, "kind": event.kind, "hash": hash}));
        }
        Value::Array(shown)
    }

    fn insert(&mut self, hash: u64, parent: Option<u64>, now: Instant) {
        self.clock += 1;
        self.blocks.insert(hash, Block { parent, last_use: self.clock });
        self.by_last_use.insert(self.clock, hash);
        self.record("stored", hash, now);
    }

    /// Marks later blocks as older, so that a chain is evicted from its end.
    fn touch(&mut self, chain: &[u64]) {
        for hash in chain.iter().rev() {
            let Some(block) = self.blocks.get_mut(hash) else { continue };
            self.clock += 1;
            self.by_last_use.remove(&block.last_use);
            block.last_use = self.clock;
            self.by_last_use.insert(self.clock, *hash);
        }
    }

    fn evict_oldest(&mut self, now: Instant) {
        let Some((_, hash)) = self.by_last_use.pop_first() else { return };
        self.blocks.remove(&hash);
        self.record("evicted", hash, now);
    }

    fn record(&mut self, kind: &'static str, hash: u64, at: Instant) {
        self.last_sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.last_sequence, kind, hash, at });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
