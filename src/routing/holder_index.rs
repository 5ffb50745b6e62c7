use std::sync::atomic::{AtomicU64, Ordering};

/// Holders kept for each bucket: one cache line.
const WAYS: usize = 8;
/// 2 MB of memory, within the 32 MB of a host for control.
const BUCKETS: usize = 1 << 15;
/// Time for which a prompt that was sent to an upstream counts as cached there without an event:
/// above the lag of cache events.
pub const SENT_AGE_S: u16 = 30;

const NUMBER_BITS: u32 = 24;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// A possible holder of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Number of the upstream.
    pub number: u32,
    /// This host sent a prompt with the block there lately.
    pub recently_sent: bool,
}

/// Upstreams that may hold a block, by its hash.
///
/// A lossy table of hints: an entry may be overwritten or out of date, so that a reader checks it
/// against the upstream's view. Entries are single words, written without a lock.
#[derive(Debug)]
pub struct HolderIndex {
    /// Each entry holds 24 bits of the hash, the upstream's number and the second of its note.
    buckets: Box<[Bucket]>,
    now_s: AtomicU64,
}

#[derive(Debug, Default)]
#[repr(align(64))]
struct Bucket([AtomicU64; WAYS]);

impl Default for HolderIndex {
    fn default() -> Self {
        let buckets = (0..BUCKETS).map(|_| Bucket::default()).collect();
        Self { buckets, now_s: AtomicU64::new(u64::from(SENT_AGE_S)) }
    }
}

impl HolderIndex {
    /// Sets the time by which notes age, in seconds.
    pub fn set_now_s(&self, now_s: u64) {
        self.now_s.store(now_s + u64::from(SENT_AGE_S), Ordering::Relaxed);
    }

    /// Notes that a prompt with this block was sent to an upstream.
    pub fn note_sent(&self, hash: u64, number: u32) {
        self.note(hash, number, self.now());
    }

    /// Notes that an upstream said it stored the block; its view says how long it stays.
    pub fn note_stored(&self, hash: u64, number: u32) {
        self.note(hash, number, self.now().wrapping_sub(SENT_AGE_S));
    }

    /// Possible holders of a block.
    pub fn holders(&self, hash: u64) -> impl Iterator<Item = Holder> + '_ {
        let now = self.now();
        let entries = self.bucket(hash).iter().map(|entry| entry.load(Ordering::Relaxed));
        let entries = entries.filter(move |entry| *entry != 0 && tag(*entry) == tag(hash));
        entries.map(move |entry| Holder {
            number: number(entry),
            recently_sent: now.wrapping_sub(second(entry)) < SENT_AGE_S,
        })
    }

    /// Overwrites the oldest entry of the bucket when there is no better place. Two threads may
    /// overwrite each other's note, which loses a hint.
    fn note(&self, hash: u64, holder: u32, at_s: u16) {
        let now = self.now();
        let age = |entry: u64| if entry == 0 { u16::MAX } else { now.wrapping_sub(second(entry)) };
        let mut oldest = (0, 0);
        for (way, entry) in self.bucket(hash).iter().enumerate() {
            let value = entry.load(Ordering::Relaxed);
            if value != 0 && tag(value) == tag(hash) && number(value) == holder {
                if now.wrapping_sub(at_s) < age(value) {
                    entry.store(pack(hash, holder, at_s), Ordering::Relaxed);
                }
                return;
            }
            oldest = oldest.max((age(value), way));
        }
        let entry = &self.bucket(hash)[oldest.1];
        entry.store(pack(hash, holder, at_s), Ordering::Relaxed);
    }

    fn bucket(&self, hash: u64) -> &[AtomicU64; WAYS] {
        &self.buckets[hash as usize & (BUCKETS - 1)].0
    }

    fn now(&self) -> u16 {
        self.now_s.load(Ordering::Relaxed) as u16
    }
}

fn pack(hash: u64, number: u32, at_s: u16) -> u64 {
    tag(hash) << 40 | (u64::from(number) & NUMBER_MASK) << 16 | u64::from(at_s)
}

fn tag(value: u64) -> u64 {
    value >> 40
}

fn number(entry: u64) -> u32 {
    (entry >> 16 & NUMBER_MASK) as u32
}

fn second(entry: u64) -> u16 {
    entry as u16
}
