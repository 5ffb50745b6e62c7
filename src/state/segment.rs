use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::state::SegmentName;

const COPY_BUFFER_BYTES: usize = 256 << 10;

/// An append-only sequence of records, in a file or, after a write to disk has failed, in memory.
pub(crate) struct Segment {
    pub(crate) nonce: u64,
    pub(crate) len_bytes: u64,
    /// Number of bodies in use.
    pub(crate) live_bodies: u64,
    pub(crate) storage: Storage,
}

#[derive(Clone)]
pub(crate) enum Storage {
    File { file: Arc<File>, path: Arc<Path> },
    Memory(Arc<Vec<u8>>),
}

impl Segment {
    pub(crate) fn create(folder: &Path, number: u32) -> io::Result<Self> {
        let nonce = rand::random();
        let path = path_of(folder, number, nonce);
        let file = File::options().read(true).write(true).create_new(true).open(&path)?;
        let storage = Storage::File { file: Arc::new(file), path: path.into() };
        Ok(Self { nonce, len_bytes: 0, live_bodies: 0, storage })
    }

    pub(crate) fn in_memory() -> Self {
        let storage = Storage::Memory(Arc::default());
        Self { nonce: rand::random(), len_bytes: 0, live_bodies: 0, storage }
    }

    /// Opens an existing segment file, whose length must not be below that in `name`.
    pub(crate) fn reopen(folder: &Path, name: &SegmentName) -> io::Result<Self> {
        let path = path_of(folder, name.segment, name.nonce);
        let file = File::open(&path)?;
        let storage = Storage::File { file: Arc::new(file), path: path.into() };
        Ok(Self { nonce: name.nonce, len_bytes: name.len_bytes, live_bodies: 0, storage })
    }

    /// Appends a record and returns its offset. After an error, the segment is unchanged.
    pub(crate) fn append(&mut self, record: &[u8]) -> io::Result<u32> {
        let offset = self.len_bytes;
        match &mut self.storage {
            Storage::File { file, .. } => file.write_all_at(record, offset)?,
            Storage::Memory(data) => Arc::make_mut(data).extend_from_slice(record),
        }
        self.len_bytes += record.len() as u64;
        self.live_bodies += 1;
        Ok(offset as u32)
    }

    pub(crate) fn name(&self, number: u32) -> SegmentName {
        SegmentName { segment: number, nonce: self.nonce, len_bytes: self.len_bytes }
    }

    /// Deletes the file of the segment, if it has one.
    pub(crate) fn delete(self) {
        if let Storage::File { path, .. } = &self.storage {
            delete_file(path);
        }
    }
}

impl Storage {
    pub(crate) fn read_exact_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()> {
        match self {
            Self::File { file, .. } => file.read_exact_at(buffer, offset),
            Self::Memory(data) => {
                let start = offset as usize;
                let found = data.get(start..start + buffer.len());
                buffer.copy_from_slice(found.ok_or(io::ErrorKind::UnexpectedEof)?);
                Ok(())
            }
        }
    }

    pub(crate) fn export(&self, len_bytes: u64, target: &mut dyn io::Write) -> io::Result<()> {
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        let mut offset = 0;
        while offset < len_bytes {
            let chunk_bytes = (len_bytes - offset).min(COPY_BUFFER_BYTES as u64) as usize;
            self.read_exact_at(&mut buffer[..chunk_bytes], offset)?;
            target.write_all(&buffer[..chunk_bytes])?;
            offset += chunk_bytes as u64;
        }
        Ok(())
    }

    pub(crate) fn sync(&self) -> io::Result<()> {
        match self {
            Self::File { file, .. } => file.sync_data(),
            Self::Memory(_) => Ok(()),
        }
    }
}

/// Writes a segment that another store exported.
pub(crate) fn import(
    folder: &Path,
    name: &SegmentName,
    source: &mut dyn io::Read,
) -> io::Result<()> {
    let mut file = File::create(path_of(folder, name.segment, name.nonce))?;
    let mut source = io::Read::take(source, name.len_bytes);
    if io::copy(&mut source, &mut file)? < name.len_bytes {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    // Without the sync, a crash could leave a file of the right length without its content, and the
    // next restore would mistake it for the segment.
    file.sync_all()
}

pub(crate) fn path_of(folder: &Path, number: u32, nonce: u64) -> PathBuf {
    folder.join(format!("{number:08x}-{nonce:016x}.bodies"))
}

/// The segments in a folder.
pub(crate) fn list(folder: &Path) -> io::Result<Vec<SegmentName>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let file_name = entry.file_name();
        let Some((segment, nonce)) = file_name.to_str().and_then(parse_name) else {
            continue;
        };
        names.push(SegmentName { segment, nonce, len_bytes: entry.metadata()?.len() });
    }
    Ok(names)
}

fn parse_name(file_name: &str) -> Option<(u32, u64)> {
    let (number, nonce) = file_name.strip_suffix(".bodies")?.split_once('-')?;
    Some((u32::from_str_radix(number, 16).ok()?, u64::from_str_radix(nonce, 16).ok()?))
}

pub(crate) fn delete_file(path: &Path) {
    if let Err(error) = fs::remove_file(path) {
        log::warn!("cannot delete {}: {error}", path.display());
    }
}
