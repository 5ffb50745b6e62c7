use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use bytes::Bytes;

use crate::state::body_record;
use crate::state::segment::{self, Segment, Storage};
use crate::state::{BodyRef, BodyStore, SealedBodies, SegmentName};

/// Large, because every segment keeps a file open; a segment is deleted as a whole.
const SEGMENT_BYTES: u64 = 256 << 20;

/// Bodies in append-only segment files of one folder, each body with a checksum.
pub struct DiskBodies {
    folder: PathBuf,
    segment_bytes: u64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    segments: BTreeMap<u32, Segment>,
    /// Segment that takes appends, if it exists.
    open: u32,
    /// Segments on disk that no restore has adopted yet.
    found: Vec<SegmentName>,
    fault: Option<String>,
}

impl DiskBodies {
    /// Opens a folder, which is created if needed. Segments in it are kept for a restore that names
    /// them; an append without a restore deletes them.
    pub fn open(folder: &Path) -> io::Result<Self> {
        Self::open_with(folder, SEGMENT_BYTES)
    }

    /// As [`DiskBodies::open`], with segments of about `segment_bytes`, below 4 GiB.
    pub fn open_with(folder: &Path, segment_bytes: u64) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let found = segment::list(folder)?;
        let open = found.iter().map(|name| name.segment).max().unwrap_or_default() + 1;
        let inner = Inner { open, found, ..Inner::default() };
        Ok(Self { folder: folder.to_owned(), segment_bytes, inner: Mutex::new(inner) })
    }

    /// Bytes that the segments hold, with bodies given up in segments that are still in use.
    pub fn stored_bytes(&self) -> u64 {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner.segments.values().map(|segment| segment.len_bytes).sum()
    }

    fn delete_found(&self, inner: &mut Inner) {
        for name in std::mem::take(&mut inner.found) {
            segment::delete_file(&segment::path_of(&self.folder, name.segment, name.nonce));
        }
    }

    fn append_record(&self, inner: &mut Inner, record: &[u8]) -> io::Result<(u32, u32)> {
        let open = inner.segments.get(&inner.open);
        if open.is_some_and(|open| open.len_bytes + record.len() as u64 > self.segment_bytes) {
            end_segment(inner);
        }
        let number = inner.open;
        if !inner.segments.contains_key(&number) {
            let segment = match inner.fault {
                Some(_) => Segment::in_memory(),
                None => Segment::create(&self.folder, number)?,
            };
            inner.segments.insert(number, segment);
        }
        let segment = inner.segments.get_mut(&number).expect("the open segment exists");
        Ok((number, segment.append(record)?))
    }
}

impl BodyStore for DiskBodies {
    fn append(&self, body: &[u8]) -> BodyRef {
        if body.is_empty() {
            return BodyRef::EMPTY;
        }
        let record = body_record::encode(body);
        let mut inner = self.inner.lock().expect("lock is not poisoned");
        self.delete_found(&mut inner);
        let (segment, offset_bytes) =
            self.append_record(&mut inner, &record).unwrap_or_else(|error| {
                log::error!("bodies stay in memory: {}: {error}", self.folder.display());
                inner.fault = Some(error.to_string());
                end_segment(&mut inner);
                self.append_record(&mut inner, &record).expect("memory takes the record")
            });
        BodyRef { segment, offset_bytes, len_bytes: body.len() as u32 }
    }

    fn read(&self, body: BodyRef) -> io::Result<Bytes> {
        if body.is_empty() {
            return Ok(Bytes::new());
        }
        let storage = self.storage(body.segment)?;
        body_record::read(body, |buffer, offset| storage.read_exact_at(buffer, offset))
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
        if segment.live > 0 || body.segment == inner.open {
            return;
        }
        if let Some(segment) = inner.segments.remove(&body.segment) {
            segment.delete();
        }
    }

    fn seal(&self) -> Box<dyn SealedBodies> {
        let inner = self.inner.lock().expect("lock is not poisoned");
        let names = inner.segments.iter().map(|(number, segment)| segment.name(*number)).collect();
        let storages = inner.segments.values().map(|segment| segment.storage.clone()).collect();
        Box::new(SealedSegments { folder: self.folder.clone(), names, storages })
    }

    fn holds(&self, segment: &SegmentName) -> bool {
        let inner = self.inner.lock().expect("lock is not poisoned");
        let here = inner.segments.get(&segment.segment);
        here.is_some_and(|here| here.name(segment.segment).holds(segment))
            || inner.found.iter().any(|found| found.holds(segment))
    }

    fn import(&self, segment: &SegmentName, source: &mut dyn io::Read) -> io::Result<()> {
        segment::import(&self.folder, segment, source)?;
        self.inner.lock().expect("lock is not poisoned").found.push(*segment);
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
            let segment = match inner.segments.remove(&name.segment) {
                Some(segment) if segment.nonce == name.nonce => segment,
                other => {
                    inner.found.extend(other.map(|other| other.name(name.segment)));
                    Segment::reopen(&self.folder, name)?
                }
            };
            // A longer segment has bodies of commands that the restored state does not know.
            let segment = Segment { live: 0, len_bytes: name.len_bytes, ..segment };
            kept.insert(name.segment, segment);
        }
        for body in live {
            if let Some(segment) = kept.get_mut(&body.segment) {
                segment.live += 1;
            }
        }
        let replaced = std::mem::take(&mut inner.segments);
        for (number, segment) in replaced {
            inner.open = inner.open.max(number + 1);
            segment.delete();
        }
        inner.found.retain(|found| !segments.iter().any(|name| found.holds(name)));
        self.delete_found(&mut inner);
        let newest = segments.iter().map(|name| name.segment).max().unwrap_or_default();
        inner.open = inner.open.max(newest + 1);
        inner.segments = kept;
        delete_unused(&mut inner);
        Ok(())
    }

    fn fault(&self) -> Option<String> {
        self.inner.lock().expect("lock is not poisoned").fault.clone()
    }
}

impl DiskBodies {
    fn storage(&self, segment: u32) -> io::Result<Storage> {
        let inner = self.inner.lock().expect("lock is not poisoned");
        let found = inner.segments.get(&segment).map(|segment| segment.storage.clone());
        found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "segment is not in the store"))
    }
}

/// Ends the open segment.
fn end_segment(inner: &mut Inner) {
    if inner.segments.contains_key(&inner.open) {
        inner.open += 1;
    }
    delete_unused(inner);
}

fn delete_unused(inner: &mut Inner) {
    let unused: Vec<u32> = inner
        .segments
        .iter()
        .filter(|(number, segment)| segment.live == 0 && **number != inner.open)
        .map(|(number, _)| *number)
        .collect();
    for number in unused {
        if let Some(segment) = inner.segments.remove(&number) {
            segment.delete();
        }
    }
}

struct SealedSegments {
    folder: PathBuf,
    names: Vec<SegmentName>,
    storages: Vec<Storage>,
}

impl SealedBodies for SealedSegments {
    fn names(&self) -> &[SegmentName] {
        &self.names
    }

    fn sync(&self) -> io::Result<()> {
        for storage in &self.storages {
            storage.sync()?;
        }
        File::open(&self.folder)?.sync_all()
    }

    fn export(&self, place: usize, target: &mut dyn io::Write) -> io::Result<()> {
        self.storages[place].export(self.names[place].len_bytes, target)
    }
}
