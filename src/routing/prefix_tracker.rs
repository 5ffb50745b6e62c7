use std::collections::{HashMap, VecDeque};

use crate::routing::PrefixView;

/// Blocks kept of one upstream; the ones stored first leave first. At 280 upstreams of a region
/// the published tables take 18 MB.
const BLOCK_LIMIT: usize = 8_192;
/// Time after lost events for which older blocks still count. Hot prefixes are learned again from
/// the answers sent through this host, cold ones are worth little.
pub const DOUBT_S: u64 = 60;

/// A change of an upstream's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Grows by one with each change of an incarnation.
    pub sequence: u64,
    /// Hash of the prompt up to the end of the block.
    pub hash: u64,
    /// Stored rather than evicted.
    pub stored: bool,
}

/// Follows the cache events of one upstream, which come late and with gaps.
///
/// After a gap an eviction may have been missed, so that blocks stored before it are dropped
/// [`DOUBT_S`] later; until then the view is doubtful. A new incarnation starts empty.
#[derive(Debug, Default)]
pub struct PrefixTracker {
    incarnation: u64,
    last_sequence: u64,
    /// Hashes with the sequences of their events.
    blocks: HashMap<u64, u64>,
    /// In the order of their events; entries of blocks that were evicted since stay until their
    /// turn.
    order: VecDeque<(u64, u64)>,
    doubt: Option<Doubt>,
    /// Sequence after the newest gap since the doubt began.
    later_gap: Option<u64>,
}

/// Blocks that were stored before a gap, and when they are dropped.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    before_sequence: u64,
    ends_s: u64,
}

impl PrefixTracker {
    /// Sequence after which the next events are asked for.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Incarnation whose events were applied.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Follows an incarnation from its start; `false` when it is followed already.
    pub fn restart(&mut self, incarnation: u64) -> bool {
        if self.incarnation == incarnation {
            return false;
        }
        *self = Self { incarnation, ..Self::default() };
        true
    }

    /// Applies events in the order of their sequences. Ones that were seen already are skipped.
    pub fn apply(&mut self, events: &[CacheEvent], now_s: u64) {
        for event in events {
            if event.sequence <= self.last_sequence {
                continue;
            }
            if event.sequence != self.last_sequence + 1 {
                self.note_gap(event.sequence, now_s);
            }
            self.last_sequence = event.sequence;
            if !event.stored {
                self.blocks.remove(&event.hash);
                continue;
            }
            self.blocks.insert(event.hash, event.sequence);
            self.order.push_back((event.sequence, event.hash));
        }
        self.drop_excess();
    }

    /// Drops the blocks whose doubt has lasted for [`DOUBT_S`]; true when there were any.
    pub fn age(&mut self, now_s: u64) -> bool {
        let Some(doubt) = self.doubt.filter(|doubt| doubt.ends_s <= now_s) else { return false };
        self.doubt = None;
        while self.order.front().is_some_and(|(sequence, _)| *sequence < doubt.before_sequence) {
            self.drop_first();
        }
        if let Some(sequence) = self.later_gap.take() {
            self.note_gap(sequence, now_s);
        }
        true
    }

    /// The blocks to publish.
    pub fn view(&self) -> PrefixView {
        PrefixView::new(self.blocks.keys().copied(), self.doubt.is_some())
    }

    /// A gap during a doubt waits for its end, so that constant losses put nothing off: no block
    /// outlives a gap after it by more than twice [`DOUBT_S`].
    fn note_gap(&mut self, sequence: u64, now_s: u64) {
        if self.doubt.is_some() {
            self.later_gap = Some(sequence);
            return;
        }
        self.doubt = Some(Doubt { before_sequence: sequence, ends_s: now_s + DOUBT_S });
    }

    fn drop_excess(&mut self) {
        // The queue is bounded as well, as evicted blocks stay in it.
        while self.blocks.len() > BLOCK_LIMIT || self.order.len() > 2 * BLOCK_LIMIT {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((sequence, hash)) = self.order.pop_front() else { return };
        if self.blocks.get(&hash).is_some_and(|stored| *stored == sequence) {
            self.blocks.remove(&hash);
        }
    }
}
