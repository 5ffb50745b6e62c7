/// Share of the table that is used at most, so that probes stay short.
const TABLE_FACTOR: usize = 2;

/// Prompt blocks that an upstream probably holds in its prefix cache. Never changed once published.
#[derive(Debug, Default)]
pub struct PrefixView {
    /// Open addressing over 32 bits of each hash; 0 marks an empty place. Two hashes that agree
    /// in these bits only make one estimate of a saved prefill wrong.
    table: Box<[u32]>,
    doubtful: bool,
}

impl PrefixView {
    /// A view of the given block hashes. `doubtful` after lost events.
    pub fn new(hashes: impl ExactSizeIterator<Item = u64>, doubtful: bool) -> Self {
        if hashes.len() == 0 {
            return Self { table: Box::default(), doubtful };
        }
        let mut table = vec![0; (hashes.len() * TABLE_FACTOR).next_power_of_two()];
        for hash in hashes {
            let mut place = place(hash, table.len());
            while table[place] != 0 && table[place] != mark(hash) {
                place = (place + 1) % table.len();
            }
            table[place] = mark(hash);
        }
        Self { table: table.into_boxed_slice(), doubtful }
    }

    /// True while evictions may have been missed.
    pub fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// True when the block is probably cached.
    pub fn contains(&self, hash: u64) -> bool {
        if self.table.is_empty() {
            return false;
        }
        let mut place = place(hash, self.table.len());
        while self.table[place] != 0 {
            if self.table[place] == mark(hash) {
                return true;
            }
            place = (place + 1) & (self.table.len() - 1);
        }
        false
    }

    /// Blocks at the start of a prompt that are probably cached.
    ///
    /// Engines evict a chain from its end, so the last cached block is found by bisection.
    pub fn cached_blocks(&self, prefix_hashes: &[u64]) -> usize {
        if self.table.is_empty() {
            return 0;
        }
        prefix_hashes.partition_point(|hash| self.contains(*hash))
    }
}

fn mark(hash: u64) -> u32 {
    ((hash >> 32) as u32).max(1)
}

fn place(hash: u64, len: usize) -> usize {
    hash as usize & (len - 1)
}
