use std::collections::HashMap;
use std::io::{self, Read as _};
use std::sync::Mutex;

use bytes::Bytes;

use crate::state::{BodyRef, BodyStore, SegmentName};

/// Small, so that memory comes back soon after its bodies are given up.
const SEGMENT_BYTES: usize = 1 << 20;

/// Bodies in memory, for tests and for hosts that keep little.
#[derive(Default)]
pub struct MemoryBodies {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    segments: HashMap<u32, Segment>,
    imported: HashMap<u64, Vec<u8>>,
    open: u32,
}

struct Segment {
    nonce: u64,
    data: Vec<u8>,
    live: u64,
}

impl MemoryBodies {
    /// An empty store.
    pub fn open() -> Self {
        Self::default()
    }

    /// Bytes that the segments hold, with bodies given up in segments that are still in use.
    pub fn stored_bytes(&self) -> u64 {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner.segments.values().map(|segment| segment.data.len() as u64).sum()
    }
}

impl Inner {
    fn open_segment(&mut self, body_bytes: usize) -> (u32, &mut Segment) {
        let full = match self.segments.get(&self.open) {
            Some(segment) => segment.data.len() + body_bytes > SEGMENT_BYTES,
            None => true,
        };
        if full {
            self.open += 1;
        }
        let segment = self.segments.entry(self.open).or_insert_with(Segment::empty);
        (self.open, segment)
    }

    fn name(&self, segment: u32) -> Option<SegmentName> {
        let found = self.segments.get(&segment)?;
        Some(SegmentName { segment, nonce: found.nonce, len_bytes: found.data.len() as u64 })
    }
}

impl Segment {
    fn empty() -> Self {
        Self { nonce: rand::random(), data: Vec::new(), live: 0 }
    }
}

impl BodyStore for MemoryBodies {
    fn append(&self, body: &[u8]) -> BodyRef {
        if body.is_empty() {
            return BodyRef::EMPTY;
        }
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        let (number, segment) = inner.open_segment(body.len());
        let place = BodyRef {
            segment: number,
            offset_bytes: segment.data.len() as u32,
            len_bytes: body.len() as u32,
        };
        segment.data.extend_from_slice(body);
        segment.live += 1;
        place
    }

    fn read(&self, body: BodyRef) -> io::Result<Bytes> {
        if body.is_empty() {
            return Ok(Bytes::new());
        }
        let inner = self.inner.lock().expect("lock is not poisoned");
        let start = body.offset_bytes as usize;
        let data = inner.segments.get(&body.segment).map(|segment| &segment.data[..]);
        data.and_then(|data| data.get(start..start + body.len_bytes as usize))
            .map(Bytes::copy_from_slice)
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "body is not in the store"))
    }

    fn release(&self, body: BodyRef) {
        if body.is_empty() {
            return;
        }
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        let Some(segment) = inner.segments.get_mut(&body.segment) else {
            return;
        };
        segment.live = segment.live.saturating_sub(1);
        if segment.live == 0 && body.segment != inner.open {
            inner.segments.remove(&body.segment);
        }
    }

    fn seal(&self) -> io::Result<Vec<SegmentName>> {
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        inner.open += 1;
        let mut numbers: Vec<u32> = inner.segments.keys().copied().collect();
        numbers.sort_unstable();
        Ok(numbers.into_iter().filter_map(|number| inner.name(number)).collect())
    }

    fn export(&self, segment: &SegmentName, target: &mut dyn io::Write) -> io::Result<()> {
        let inner = self.inner.lock().expect("lock is not poisoned");
        let data = inner.segments.get(&segment.segment).map(|found| found.data.clone());
        drop(inner);
        target.write_all(&data.ok_or(io::ErrorKind::NotFound)?)
    }

    fn holds(&self, segment: &SegmentName) -> bool {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner.name(segment.segment) == Some(*segment)
    }

    fn import(&self, segment: &SegmentName, source: &mut dyn io::Read) -> io::Result<()> {
        let mut data = Vec::new();
        source.take(segment.len_bytes).read_to_end(&mut data)?;
        if data.len() as u64 != segment.len_bytes {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.inner.lock().expect("lock is not poisoned").imported.insert(segment.nonce, data);
        Ok(())
    }

    fn adopt(
        &self,
        segments: &[SegmentName],
        live: &mut dyn Iterator<Item = BodyRef>,
    ) -> io::Result<()> {
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        let mut kept = HashMap::new();
        for name in segments {
            let data = match inner.imported.remove(&name.nonce) {
                Some(data) => data,
                None => inner.segments.remove(&name.segment).ok_or(io::ErrorKind::NotFound)?.data,
            };
            kept.insert(name.segment, Segment { nonce: name.nonce, data, live: 0 });
        }
        for body in live {
            if let Some(segment) = kept.get_mut(&body.segment) {
                segment.live += 1;
            }
        }
        kept.retain(|_, segment| segment.live > 0);
        let newest = segments.iter().map(|name| name.segment).max().unwrap_or_default();
        *inner = Inner { segments: kept, imported: HashMap::new(), open: newest + 1 };
        Ok(())
    }
}
