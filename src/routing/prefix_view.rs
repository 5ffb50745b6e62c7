/// Minimum table size per block. A load factor of at most one half keeps probe sequences short.
const CAPACITY_FACTOR: usize = 2;

/// Immutable set of the prompt blocks that an upstream probably has in its prefix cache.
#[derive(Debug, Default)]
pub struct PrefixView {
    /// Hash table with open addressing that stores 32 bits of each hash; 0 marks an empty entry. A
    /// collision in these bits only makes one estimate of the saved prefill wrong.
    table: Box<[u32]>,
    may_be_stale: bool,
}

impl PrefixView {
    /// Creates a view of the given block hashes. `may_be_stale` is true after lost cache events.
    pub fn new(hashes: impl ExactSizeIterator<Item = u64>, may_be_stale: bool) -> Self {
        if hashes.len() == 0 {
            return Self { table: Box::default(), may_be_stale };
        }
        let mut table = vec![0; (hashes.len() * CAPACITY_FACTOR).next_power_of_two()];
        for hash in hashes {
            let mut index = home_index(hash, table.len());
            while table[index] != 0 && table[index] != tag(hash) {
                index = (index + 1) % table.len();
            }
            table[index] = tag(hash);
        }
        Self { table: table.into_boxed_slice(), may_be_stale }
    }

    /// Returns true if evictions may have been missed.
    pub fn may_be_stale(&self) -> bool {
        self.may_be_stale
    }

    /// Returns true if the block is probably cached.
    pub fn contains(&self, hash: u64) -> bool {
        if self.table.is_empty() {
            return false;
        }
        let mut index = home_index(hash, self.table.len());
        while self.table[index] != 0 {
            if self.table[index] == tag(hash) {
                return true;
            }
            index = (index + 1) & (self.table.len() - 1);
        }
        false
    }

    /// Number of leading blocks of a prompt that are probably cached.
    ///
    /// Engines evict a chain of blocks from its end, so the last cached block is found by binary
    /// search.
    pub fn cached_blocks(&self, prefix_hashes: &[u64]) -> usize {
        if self.table.is_empty() {
            return 0;
        }
        prefix_hashes.partition_point(|hash| self.contains(*hash))
    }
}

fn tag(hash: u64) -> u32 {
    ((hash >> 32) as u32).max(1)
}

fn home_index(hash: u64, len: usize) -> usize {
    hash as usize & (len - 1)
}
