use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use bytes::Bytes;

use crate::state::body_record;
use crate::state::segment::{self, Segment, Storage};
use crate::state::{BodyRef, BodyStore, SegmentName, SegmentSnapshot};

/// Large, because each segment keeps a file open. Space is reclaimed by deleting whole segments.
const SEGMENT_BYTES: u64 = 256 << 20;

/// Body store on disk: append-only segment files in one folder, with a checksum for each body.
pub struct DiskBodies {
    folder: PathBuf,
    segment_bytes: u64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    segments: BTreeMap<u32, Segment>,
    /// Number of the segment that receives appends. The next append creates it if it does not
    /// exist.
    open_number: u32,
    /// Segments on disk that no restore has adopted yet.
    unadopted: Vec<SegmentName>,
    fault: Option<String>,
}

impl DiskBodies {
    /// Opens a store in `folder`, which is created if it does not exist. Existing segments are kept
    /// for a restore whose snapshot lists them; the first append without a restore deletes them.
    pub fn open(folder: &Path) -> io::Result<Self> {
        Self::open_with(folder, SEGMENT_BYTES)
    }

    /// Variant of [`DiskBodies::open`] with segments of about `segment_bytes`, which must be below
    /// 4 GiB.
    pub fn open_with(folder: &Path, segment_bytes: u64) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let unadopted = segment::list(folder)?;
        let open_number = unadopted.iter().map(|name| name.segment).max().unwrap_or_default() + 1;
        let inner = Inner { open_number, unadopted, ..Inner::default() };
        Ok(Self { folder: folder.to_owned(), segment_bytes, inner: Mutex::new(inner) })
    }

    /// Total length of the segments, including released bodies in segments that are still in use.
    pub fn stored_bytes(&self) -> u64 {
        let inner = self.inner.lock().expect("lock is not poisoned");
        inner.segments.values().map(|segment| segment.len_bytes).sum()
    }

    fn delete_unadopted(&self, inner: &mut Inner) {
        for name in std::mem::take(&mut inner.unadopted) {
            segment::delete_file(&segment::path_of(&self.folder, name.segment, name.nonce));
        }
    }

    fn append_record(&self, inner: &mut Inner, record: &[u8]) -> io::Result<(u32, u32)> {
        let open = inner.segments.get(&inner.open_number);
        if open.is_some_and(|open| open.len_bytes + record.len() as u64 > self.segment_bytes) {
            close_open_segment(inner);
        }
        let number = inner.open_number;
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
        self.delete_unadopted(&mut inner);
        let (segment, offset_bytes) =
            self.append_record(&mut inner, &record).unwrap_or_else(|error| {
                log::error!(
                    "cannot write bodies to {}; keeping new bodies in memory: {error}",
                    self.folder.display()
                );
                inner.fault = Some(error.to_string());
                close_open_segment(&mut inner);
                self.append_record(&mut inner, &record)
                    .expect("appending to a segment in memory succeeds")
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
        segment.live_bodies = segment.live_bodies.saturating_sub(1);
        if segment.live_bodies > 0 || body.segment == inner.open_number {
            return;
        }
        if let Some(segment) = inner.segments.remove(&body.segment) {
            segment.delete();
        }
    }

    fn snapshot_segments(&self) -> Box<dyn SegmentSnapshot> {
        let inner = self.inner.lock().expect("lock is not poisoned");
        let names = inner.segments.iter().map(|(number, segment)| segment.name(*number)).collect();
        let storages = inner.segments.values().map(|segment| segment.storage.clone()).collect();
        Box::new(DiskSegmentSnapshot { folder: self.folder.clone(), names, storages })
    }

    fn has_segment(&self, segment: &SegmentName) -> bool {
        let inner = self.inner.lock().expect("lock is not poisoned");
        let existing = inner.segments.get(&segment.segment);
        existing.is_some_and(|existing| existing.name(segment.segment).covers(segment))
            || inner.unadopted.iter().any(|found| found.covers(segment))
    }

    fn import(&self, segment: &SegmentName, source: &mut dyn io::Read) -> io::Result<()> {
        segment::import(&self.folder, segment, source)?;
        self.inner.lock().expect("lock is not poisoned").unadopted.push(*segment);
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
                mismatched => {
                    inner
                        .unadopted
                        .extend(mismatched.map(|mismatched| mismatched.name(name.segment)));
                    Segment::reopen(&self.folder, name)?
                }
            };
            // Beyond the listed length lie bodies of commands that are not part of the restored
            // state.
            let segment = Segment { live_bodies: 0, len_bytes: name.len_bytes, ..segment };
            kept.insert(name.segment, segment);
        }
        for body in live {
            if let Some(segment) = kept.get_mut(&body.segment) {
                segment.live_bodies += 1;
            }
        }
        let replaced = std::mem::take(&mut inner.segments);
        for (number, segment) in replaced {
            inner.open_number = inner.open_number.max(number + 1);
            segment.delete();
        }
        inner.unadopted.retain(|found| !segments.iter().any(|name| found.covers(name)));
        self.delete_unadopted(&mut inner);
        let newest = segments.iter().map(|name| name.segment).max().unwrap_or_default();
        inner.open_number = inner.open_number.max(newest + 1);
        inner.segments = kept;
        delete_unused_segments(&mut inner);
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

/// Closes the open segment, so that the next append starts a new one.
fn close_open_segment(inner: &mut Inner) {
    if inner.segments.contains_key(&inner.open_number) {
        inner.open_number += 1;
    }
    delete_unused_segments(inner);
}

fn delete_unused_segments(inner: &mut Inner) {
    let unused: Vec<u32> = inner
        .segments
        .iter()
        .filter(|(number, segment)| segment.live_bodies == 0 && **number != inner.open_number)
        .map(|(number, _)| *number)
        .collect();
    for number in unused {
        if let Some(segment) = inner.segments.remove(&number) {
            segment.delete();
        }
    }
}

struct DiskSegmentSnapshot {
    folder: PathBuf,
    names: Vec<SegmentName>,
    storages: Vec<Storage>,
}

impl SegmentSnapshot for DiskSegmentSnapshot {
    fn names(&self) -> &[SegmentName] {
        &self.names
    }

    fn sync(&self) -> io::Result<()> {
        for storage in &self.storages {
            storage.sync()?;
        }
        File::open(&self.folder)?.sync_all()
    }

    fn export(&self, index: usize, target: &mut dyn io::Write) -> io::Result<()> {
        self.storages[index].export(self.names[index].len_bytes, target)
    }
}
