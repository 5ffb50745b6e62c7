use std::sync::atomic::{AtomicU64, Ordering};

/// Entries per bucket: one cache line.
const WAYS: usize = 8;
/// Number of buckets: 2 MB of memory, within the 32 MB that a host has for control.
const BUCKETS: usize = 1 << 15;
/// Time for which a prompt that was sent to an upstream is assumed to be cached there without a
/// cache event. Longer than the lag of cache events.
pub const SENT_TTL_S: u16 = 30;

/// Low bits of the upstream number that an entry stores.
const NUMBER_BITS: u32 = 24;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// An upstream that may have a block in its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Number of the upstream.
    pub number: u32,
    /// True if this host sent the upstream a prompt with the block less than [`SENT_TTL_S`] ago.
    pub recently_sent: bool,
}

/// Index from block hashes to the upstreams that may have the block in their prefix caches.
///
/// The index is lossy: an entry may be overwritten or out of date, so readers check it against the
/// upstream's [`PrefixView`](crate::routing::PrefixView). Each entry is a single word that is
/// written without a lock.
#[derive(Debug)]
pub struct HolderIndex {
    /// Each entry packs 24 bits of the hash, the upstream's number and the time at which it was
    /// recorded, in seconds; 0 marks an empty entry.
    buckets: Box<[Bucket]>,
    now_s: AtomicU64,
}

#[derive(Debug, Default)]
#[repr(align(64))]
struct Bucket([AtomicU64; WAYS]);

impl Default for HolderIndex {
    fn default() -> Self {
        let buckets = (0..BUCKETS).map(|_| Bucket::default()).collect();
        Self { buckets, now_s: AtomicU64::new(u64::from(SENT_TTL_S)) }
    }
}

impl HolderIndex {
    /// Sets the current time by which entries age, in seconds.
    pub fn set_now_s(&self, now_s: u64) {
        self.now_s.store(now_s + u64::from(SENT_TTL_S), Ordering::Relaxed);
    }

    /// Records that a prompt with this block was sent to an upstream.
    pub fn record_sent(&self, hash: u64, number: u32) {
        self.record(hash, number, self.clock_s());
    }

    /// Records that an upstream reported the block as stored. Whether the block is still cached
    /// follows from the upstream's view, so the entry does not count as recently sent.
    pub fn record_stored(&self, hash: u64, number: u32) {
        self.record(hash, number, self.clock_s().wrapping_sub(SENT_TTL_S));
    }

    /// Returns the upstreams that may have the block cached.
    pub fn holders(&self, hash: u64) -> impl Iterator<Item = Holder> + '_ {
        let now_s = self.clock_s();
        let entries = self.bucket(hash).iter().map(|entry| entry.load(Ordering::Relaxed));
        let entries = entries.filter(move |entry| *entry != 0 && tag(*entry) == tag(hash));
        entries.map(move |entry| Holder {
            number: number(entry),
            recently_sent: now_s.wrapping_sub(entry_time_s(entry)) < SENT_TTL_S,
        })
    }

    /// Updates the holder's entry if there is one, otherwise overwrites the oldest entry of the
    /// bucket. Concurrent writers may overwrite each other's entries, which only loses a hint.
    fn record(&self, hash: u64, holder: u32, recorded_s: u16) {
        let now_s = self.clock_s();
        let age = |entry: u64| {
            if entry == 0 {
                u16::MAX
            } else {
                now_s.wrapping_sub(entry_time_s(entry))
            }
        };
        let mut oldest = (0, 0);
        for (way, entry) in self.bucket(hash).iter().enumerate() {
            let value = entry.load(Ordering::Relaxed);
            if value != 0 && tag(value) == tag(hash) && number(value) == holder {
                if now_s.wrapping_sub(recorded_s) < age(value) {
                    entry.store(pack_entry(hash, holder, recorded_s), Ordering::Relaxed);
                }
                return;
            }
            oldest = oldest.max((age(value), way));
        }
        let entry = &self.bucket(hash)[oldest.1];
        entry.store(pack_entry(hash, holder, recorded_s), Ordering::Relaxed);
    }

    fn bucket(&self, hash: u64) -> &[AtomicU64; WAYS] {
        &self.buckets[hash as usize & (BUCKETS - 1)].0
    }

    /// Current time in seconds, truncated to the width of an entry's time.
    fn clock_s(&self) -> u16 {
        self.now_s.load(Ordering::Relaxed) as u16
    }
}

fn pack_entry(hash: u64, number: u32, recorded_s: u16) -> u64 {
    tag(hash) << 40 | (u64::from(number) & NUMBER_MASK) << 16 | u64::from(recorded_s)
}

fn tag(value: u64) -> u64 {
    value >> 40
}

fn number(entry: u64) -> u32 {
    (entry >> 16 & NUMBER_MASK) as u32
}

fn entry_time_s(entry: u64) -> u16 {
    entry as u16
}
