use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read as _};
use std::sync::{Arc, Mutex};

use bytes::Bytes;

use crate::state::body_record;
use crate::state::{BodyRef, BodyStore, SegmentName, SegmentSnapshot};

/// Small, so that memory is freed soon after bodies are released.
const SEGMENT_BYTES: usize = 1 << 20;

/// Body store in memory, for tests and for hosts that store little data.
#[derive(Default)]
pub struct MemoryBodies {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    segments: BTreeMap<u32, Segment>,
    imported: HashMap<u64, Arc<Vec<u8>>>,
    open_number: u32,
}

struct Segment {
    nonce: u64,
    data: Arc<Vec<u8>>,
    live_bodies: u64,
}

impl MemoryBodies {
    /// Creates an empty store.
    pub fn open() -> Self {
        Self::default()
    }

    /// Total length of the segments, including released bodies in segments that are still in use.
    pub fn stored_bytes(&self) -> u64 {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner.segments.values().map(|segment| segment.data.len() as u64).sum()
    }
}

impl Inner {
    /// The segment that a record of this length is appended to.
    fn open_segment(&mut self, record_bytes: usize) -> (u32, &mut Segment) {
        if let Some(segment) = self.segments.get(&self.open_number) {
            if segment.data.len() + record_bytes > SEGMENT_BYTES {
                if segment.live_bodies == 0 {
                    self.segments.remove(&self.open_number);
                }
                self.open_number += 1;
            }
        }
        let segment = self.segments.entry(self.open_number).or_insert_with(Segment::empty);
        (self.open_number, segment)
    }

    fn name(&self, segment: u32) -> Option<SegmentName> {
        let found = self.segments.get(&segment)?;
        Some(SegmentName { segment, nonce: found.nonce, len_bytes: found.data.len() as u64 })
    }
}

impl Segment {
    fn empty() -> Self {
        Self { nonce: rand::random(), data: Arc::default(), live_bodies: 0 }
    }
}

impl BodyStore for MemoryBodies {
    fn append(&self, body: &[u8]) -> BodyRef {
        if body.is_empty() {
            return BodyRef::EMPTY;
        }
        let record = body_record::encode(body);
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        let (number, segment) = inner.open_segment(record.len());
        let body_ref = BodyRef {
            segment: number,
            offset_bytes: segment.data.len() as u32,
            len_bytes: body.len() as u32,
        };
        Arc::make_mut(&mut segment.data).extend_from_slice(&record);
        segment.live_bodies += 1;
        body_ref
    }

    fn read(&self, body: BodyRef) -> io::Result<Bytes> {
        if body.is_empty() {
            return Ok(Bytes::new());
        }
        let inner = self.inner.lock().expect("lock is not poisoned");
        let data = inner.segments.get(&body.segment).map(|segment| segment.data.clone());
        drop(inner);
        let data = data.ok_or(io::ErrorKind::NotFound)?;
        body_record::read(body, |buffer, offset| {
            let start = offset as usize;
            let found = data.get(start..start + buffer.len());
            buffer.copy_from_slice(found.ok_or(io::ErrorKind::UnexpectedEof)?);
            Ok(())
        })
    }

    fn release(&self, body: BodyRef) {
        if body.is_empty() {
            return;
        }
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        let Some(segment) = inner.segments.get_mut(&body.segment) else {
            return;
        };
        segment.live_bodies = segment.live_bodies.saturating_sub(1);
        if segment.live_bodies == 0 && body.segment != inner.open_number {
            inner.segments.remove(&body.segment);
        }
    }

    fn snapshot_segments(&self) -> Box<dyn SegmentSnapshot> {
        let inner = self.inner.lock().expect("lock is not poisoned");
        let numbers = inner.segments.keys();
        let names = numbers.filter_map(|number| inner.name(*number)).collect();
        let data = inner.segments.values().map(|segment| segment.data.clone()).collect();
        Box::new(MemorySegmentSnapshot { names, data })
    }

    fn has_segment(&self, segment: &SegmentName) -> bool {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner.name(segment.segment).is_some_and(|name| name.covers(segment))
    }

    fn import(&self, segment: &SegmentName, source: &mut dyn io::Read) -> io::Result<()> {
        let mut data = Vec::new();
        source.take(segment.len_bytes).read_to_end(&mut data)?;
        if data.len() as u64 != segment.len_bytes {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.inner
            .lock()
            .expect("lock is not poisoned")
            .imported
            .insert(segment.nonce, data.into());
        Ok(())
    }

    fn adopt(
        &self,
        segments: &[SegmentName],
        live: &mut dyn Iterator<Item = BodyRef>,
    ) -> io::Result<()> {
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        let mut kept = BTreeMap::new();
        for name in segments {
            let mut data = match inner.imported.remove(&name.nonce) {
                Some(data) => data,
                None => inner.segments.remove(&name.segment).ok_or(io::ErrorKind::NotFound)?.data,
            };
            Arc::make_mut(&mut data).truncate(name.len_bytes as usize);
            kept.insert(name.segment, Segment { nonce: name.nonce, data, live_bodies: 0 });
        }
        for body in live {
            if let Some(segment) = kept.get_mut(&body.segment) {
                segment.live_bodies += 1;
            }
        }
        kept.retain(|_, segment| segment.live_bodies > 0);
        let newest = segments.iter().map(|name| name.segment).max().unwrap_or_default();
        *inner = Inner { segments: kept, imported: HashMap::new(), open_number: newest + 1 };
        Ok(())
    }
}

struct MemorySegmentSnapshot {
    names: Vec<SegmentName>,
    data: Vec<Arc<Vec<u8>>>,
}

impl SegmentSnapshot for MemorySegmentSnapshot {
    fn names(&self) -> &[SegmentName] {
        &self.names
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }

    fn export(&self, index: usize, target: &mut dyn io::Write) -> io::Result<()> {
        target.write_all(&self.data[index])
    }
}
