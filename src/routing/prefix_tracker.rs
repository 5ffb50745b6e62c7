use std::collections::{HashMap, VecDeque};

use crate::routing::PrefixView;

/// Maximum number of blocks tracked per upstream; the oldest are evicted first. At 280 upstreams
/// in a region the published tables take 18 MB.
const MAX_BLOCKS: usize = 8_192;
/// Time for which blocks that were stored before lost events still count as cached. Hot prefixes
/// are learned again from the requests sent through this host, and cold ones save little.
pub const STALE_BLOCK_TTL_S: u64 = 60;

/// A change of an upstream's prefix cache, as the upstream reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the event; increases by one with each change within an incarnation.
    pub sequence: u64,
    /// Hash of the prompt up to the end of the block.
    pub hash: u64,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// Tracks the prefix cache of one upstream from its cache events, which arrive late and with gaps.
///
/// A gap may hide evictions, so the blocks stored before it are dropped [`STALE_BLOCK_TTL_S`]
/// later; until then the view may be stale. A new incarnation starts with an empty cache.
#[derive(Debug, Default)]
pub struct PrefixTracker {
    incarnation: u64,
    last_sequence: u64,
    /// Hash of each cached block, with the sequence number of the event that stored it.
    blocks: HashMap<u64, u64>,
    /// Sequence numbers and hashes of the stored blocks, oldest first. Entries of blocks that have
    /// been evicted since are removed only when they reach the front.
    insertion_order: VecDeque<(u64, u64)>,
    expiry: Option<GapExpiry>,
    /// First sequence number after the latest gap detected while an expiry is pending.
    next_gap: Option<u64>,
}

/// Expiry of the blocks that were stored before a gap.
#[derive(Clone, Copy, Debug)]
struct GapExpiry {
    before_sequence: u64,
    expires_s: u64,
}

impl PrefixTracker {
    /// Sequence number of the last applied event; later events are requested next.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Incarnation of the upstream whose events are tracked.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Starts to track an incarnation with an empty cache. Returns false without any change if it
    /// is already tracked.
    pub fn track_incarnation(&mut self, incarnation: u64) -> bool {
        if self.incarnation == incarnation {
            return false;
        }
        *self = Self { incarnation, ..Self::default() };
        true
    }

    /// Applies events, which must be ordered by sequence number. Events that were applied before
    /// are skipped.
    pub fn apply(&mut self, events: &[CacheEvent], now_s: u64) {
        for event in events {
            if event.sequence <= self.last_sequence {
                continue;
            }
            if event.sequence != self.last_sequence + 1 {
                self.handle_gap(event.sequence, now_s);
            }
            self.last_sequence = event.sequence;
            if !event.stored {
                self.blocks.remove(&event.hash);
                continue;
            }
            self.blocks.insert(event.hash, event.sequence);
            self.insertion_order.push_back((event.sequence, event.hash));
        }
        self.evict_excess();
    }

    /// Drops the blocks stored before a gap once [`STALE_BLOCK_TTL_S`] have passed since the gap
    /// was handled. Returns true if an expiry was due.
    pub fn expire(&mut self, now_s: u64) -> bool {
        let Some(gap) = self.expiry.filter(|gap| gap.expires_s <= now_s) else { return false };
        self.expiry = None;
        while self
            .insertion_order
            .front()
            .is_some_and(|(sequence, _)| *sequence < gap.before_sequence)
        {
            self.evict_oldest();
        }
        if let Some(sequence) = self.next_gap.take() {
            self.handle_gap(sequence, now_s);
        }
        true
    }

    /// Builds the view to publish.
    pub fn view(&self) -> PrefixView {
        PrefixView::new(self.blocks.keys().copied(), self.expiry.is_some())
    }

    /// Schedules the expiry of the blocks stored before a gap. A gap that is detected while an
    /// expiry is pending is deferred until then, so that continuous losses cannot postpone the
    /// expiry: no block outlives a later gap by more than twice [`STALE_BLOCK_TTL_S`].
    fn handle_gap(&mut self, sequence: u64, now_s: u64) {
        if self.expiry.is_some() {
            self.next_gap = Some(sequence);
            return;
        }
        self.expiry =
            Some(GapExpiry { before_sequence: sequence, expires_s: now_s + STALE_BLOCK_TTL_S });
    }

    fn evict_excess(&mut self) {
        // The queue is bounded as well, since it keeps the entries of evicted blocks.
        while self.blocks.len() > MAX_BLOCKS || self.insertion_order.len() > 2 * MAX_BLOCKS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((sequence, hash)) = self.insertion_order.pop_front() else { return };
        if self.blocks.get(&hash).is_some_and(|stored| *stored == sequence) {
            self.blocks.remove(&hash);
        }
    }
}
