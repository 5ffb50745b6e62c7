const DEFAULT_ENTRIES: u32 = 100;
const ENTRIES_LIMIT: u32 = 1_000;
const DEFAULT_BYTES: u32 = 1 << 20;
const BYTES_LIMIT: u32 = 16 << 20;

/// Remaining room in one page of a query's result. A page holds at least one entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Page {
    entries_left: u32,
    bytes_left: u64,
    is_empty: bool,
}

impl Page {
    /// Creates a page of the requested size, within the limits; 0 requests the default.
    pub(crate) fn new(entries: u32, bytes: u32) -> Self {
        let or_default = |asked, default: u32| if asked == 0 { default } else { asked };
        Self {
            entries_left: or_default(entries, DEFAULT_ENTRIES).min(ENTRIES_LIMIT),
            bytes_left: or_default(bytes, DEFAULT_BYTES).min(BYTES_LIMIT).into(),
            is_empty: true,
        }
    }

    /// Reserves room for an entry with a body of `body_bytes`. Returns false if the page is full.
    pub(crate) fn try_add(&mut self, body_bytes: u64) -> bool {
        let fits = self.entries_left > 0 && (self.is_empty || body_bytes <= self.bytes_left);
        if fits {
            self.entries_left -= 1;
            self.bytes_left = self.bytes_left.saturating_sub(body_bytes);
            self.is_empty = false;
        }
        fits
    }
}
