use std::fs::{self, File};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use prost::Message as _;

use crate::raft::identity::sync_folder;
use crate::raft::{SnapshotMeta, StateMachine};
use crate::schema::peer;

/// Magic number at the start of a file.
const MAGIC: &[u8; 8] = b"DHSNAP1\n";
/// Size of the trailer, a checksum of everything before it.
const TRAILER_BYTES: u64 = 4;
const BUFFER_BYTES: usize = 64 * 1024;

/// Name of the newest snapshot file.
const CURRENT: &str = "snapshot";
/// Name of a snapshot file that is being saved.
const SAVING: &str = "snapshot.tmp";
/// Name of a snapshot file that is being received.
const RECEIVING: &str = "snapshot.part";

/// The snapshot files in the data folder of a replica.
///
/// A file consists of a magic number, the length of the header, the header, the compressed state
/// and a checksum.
#[derive(Clone, Debug)]
pub struct SnapshotFiles {
    folder: PathBuf,
}

impl SnapshotFiles {
    /// The files in `folder`.
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.to_owned() }
    }

    /// Opens the newest snapshot and verifies its checksum; `None` if there is none.
    pub fn open_current(&self) -> io::Result<Option<SnapshotFile>> {
        match File::open(self.folder.join(CURRENT)) {
            Ok(file) => SnapshotFile::verify(file).map(Some),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes and syncs a snapshot under a temporary name; returns the size of the state before compression. Calls
    /// `on_captured` at the state machine's first write or flush, before the disk is used.
    pub fn save(
        &self,
        meta: &SnapshotMeta,
        machine: &dyn StateMachine,
        on_captured: &dyn Fn(),
    ) -> io::Result<u64> {
        let header = peer::SnapshotHeader {
            last_index: meta.last_index,
            last_term: meta.last_term,
            replicas: Some((&meta.replicas).into()),
        };
        let header = header.encode_to_vec();
        let file = LazyFile { path: self.folder.join(SAVING), file: None };
        let mut target = ChecksumWriter { inner: BufWriter::new(file), hasher: Default::default() };
        target.write_all(MAGIC)?;
        target.write_all(&(header.len() as u32).to_le_bytes())?;
        target.write_all(&header)?;
        let mut compressed = zstd::Encoder::new(&mut target, 1)?;
        let mut state =
            StateWriter { inner: &mut compressed, on_captured: Some(on_captured), state_bytes: 0 };
        machine.save(&mut state)?;
        let state_bytes = state.state_bytes;
        compressed.finish()?;
        let checksum = target.hasher.finalize();
        let mut file = target.inner;
        file.write_all(&checksum.to_le_bytes())?;
        file.into_inner().map_err(io::IntoInnerError::into_error)?.open()?.sync_all()?;
        Ok(state_bytes)
    }

    /// Replaces the newest snapshot with the saved one.
    pub fn commit_saved(&self) -> io::Result<()> {
        fs::rename(self.folder.join(SAVING), self.folder.join(CURRENT))?;
        sync_folder(&self.folder)
    }

    /// Size of the newest snapshot; `None` if there is none.
    pub fn current_bytes(&self) -> Option<u64> {
        fs::metadata(self.folder.join(CURRENT)).ok().map(|metadata| metadata.len())
    }

    /// Deletes a saved snapshot that was superseded before it was committed.
    pub fn discard_saved(&self) -> io::Result<()> {
        fs::remove_file(self.folder.join(SAVING))
    }

    /// Deletes files that an earlier run, or an earlier opening of the storage, left unfinished.
    pub fn discard_unfinished(&self) {
        for name in [SAVING, RECEIVING] {
            // A file that remains is overwritten later.
            let _ = fs::remove_file(self.folder.join(name));
        }
    }

    /// Writes a chunk of a snapshot that is being received. Offset 0 starts a new file.
    pub fn store_chunk(&self, offset_bytes: u64, data: &[u8]) -> io::Result<()> {
        let path = self.folder.join(RECEIVING);
        let mut options = File::options();
        options.write(true).create(true).truncate(offset_bytes == 0);
        options.open(path)?.write_all_at(data, offset_bytes)
    }

    /// Syncs the received snapshot and verifies its checksum.
    pub fn verify_received(&self) -> io::Result<SnapshotFile> {
        let file = File::open(self.folder.join(RECEIVING))?;
        file.sync_all()?;
        SnapshotFile::verify(file)
    }

    /// Replaces the newest snapshot with the received one.
    pub fn commit_received(&self) -> io::Result<()> {
        fs::rename(self.folder.join(RECEIVING), self.folder.join(CURRENT))?;
        sync_folder(&self.folder)
    }

    /// Renames a damaged snapshot so that it is no longer opened.
    pub fn quarantine_damaged(&self) -> io::Result<()> {
        fs::rename(self.folder.join(CURRENT), self.folder.join("damaged-snapshot"))?;
        sync_folder(&self.folder)
    }

    /// Total size of the snapshot files.
    pub fn data_bytes(&self) -> u64 {
        let names = [CURRENT, SAVING, RECEIVING];
        let sizes = names.iter().filter_map(|name| fs::metadata(self.folder.join(name)).ok());
        sizes.map(|metadata| metadata.len()).sum()
    }
}

/// A snapshot file whose checksum was verified.
#[derive(Debug)]
pub struct SnapshotFile {
    file: File,
    meta: SnapshotMeta,
    state_offset: u64,
    bytes: u64,
}

impl SnapshotFile {
    /// Verifies the checksum and reads the header.
    fn verify(file: File) -> io::Result<Self> {
        let damaged = || io::Error::new(io::ErrorKind::InvalidData, "snapshot file is damaged");
        let bytes = file.metadata()?.len();
        let content_bytes = bytes.checked_sub(TRAILER_BYTES).ok_or_else(damaged)?;
        let mut hasher = crc32fast::Hasher::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut offset = 0;
        while offset < content_bytes {
            let wanted = buffer.len().min((content_bytes - offset) as usize);
            file.read_exact_at(&mut buffer[..wanted], offset)?;
            hasher.update(&buffer[..wanted]);
            offset += wanted as u64;
        }
        let mut checksum = [0; TRAILER_BYTES as usize];
        file.read_exact_at(&mut checksum, content_bytes)?;
        if hasher.finalize() != u32::from_le_bytes(checksum) {
            return Err(damaged());
        }
        let mut start = [0; 12];
        file.read_exact_at(&mut start, 0)?;
        let (magic, header_bytes) = start.split_at(8);
        if magic != MAGIC {
            return Err(damaged());
        }
        let header_bytes =
            u32::from_le_bytes(header_bytes.try_into().expect("the length field has four bytes"));
        let mut header = vec![0; header_bytes as usize];
        file.read_exact_at(&mut header, 12)?;
        let header = peer::SnapshotHeader::decode(&header[..]).map_err(|_| damaged())?;
        let meta = SnapshotMeta {
            last_index: header.last_index,
            last_term: header.last_term,
            replicas: header.replicas.unwrap_or_default().into(),
        };
        Ok(Self { file, meta, state_offset: 12 + u64::from(header_bytes), bytes })
    }

    /// Log position and replica set of the snapshot.
    pub fn meta(&self) -> &SnapshotMeta {
        &self.meta
    }

    /// Restores the state into the state machine; returns its size before compression.
    pub fn restore(&self, machine: &dyn StateMachine) -> io::Result<u64> {
        let end = self.bytes - TRAILER_BYTES;
        let reader = FileReader { file: &self.file, offset: self.state_offset, end };
        let decoder = zstd::Decoder::new(BufReader::new(reader))?;
        let mut state = StateReader { inner: decoder, state_bytes: 0 };
        machine.restore(&mut state)?;
        Ok(state.state_bytes)
    }

    /// Reads a chunk of the file; the flag is true for the last chunk.
    pub fn read(&self, offset_bytes: u64, limit_bytes: u64) -> io::Result<(Vec<u8>, bool)> {
        let offset_bytes = offset_bytes.min(self.bytes);
        let wanted = limit_bytes.min(self.bytes - offset_bytes);
        let mut data = vec![0; wanted as usize];
        self.file.read_exact_at(&mut data, offset_bytes)?;
        Ok((data, offset_bytes + wanted == self.bytes))
    }
}

/// Reads a file from `offset` up to `end`.
struct FileReader<'a> {
    file: &'a File,
    offset: u64,
    end: u64,
}

impl Read for FileReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let wanted = buffer.len().min((self.end - self.offset) as usize);
        let read = self.file.read_at(&mut buffer[..wanted], self.offset)?;
        self.offset += read as u64;
        Ok(read)
    }
}

/// Counts the bytes that are read.
struct StateReader<R> {
    inner: R,
    state_bytes: u64,
}

impl<R: Read> Read for StateReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.inner.read(buffer)?;
        self.state_bytes += read as u64;
        Ok(read)
    }
}

/// Computes a checksum of everything that is written.
struct ChecksumWriter<W> {
    inner: W,
    hasher: crc32fast::Hasher,
}

impl<W: Write> Write for ChecksumWriter<W> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        let written = self.inner.write(buffer)?;
        self.hasher.update(&buffer[..written]);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

/// A file that is created when it is first written to.
struct LazyFile {
    path: PathBuf,
    file: Option<File>,
}

impl LazyFile {
    fn open(&mut self) -> io::Result<&mut File> {
        let file = match self.file.take() {
            Some(file) => file,
            None => File::create(&self.path)?,
        };
        Ok(self.file.insert(file))
    }
}

impl Write for LazyFile {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.open()?.write(buffer)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.open()?.flush()
    }
}

/// Calls `on_captured` before the first write or flush, and counts the bytes.
struct StateWriter<'a> {
    inner: &'a mut dyn Write,
    on_captured: Option<&'a dyn Fn()>,
    state_bytes: u64,
}

impl StateWriter<'_> {
    fn notify(&mut self) {
        if let Some(on_captured) = self.on_captured.take() {
            on_captured();
        }
    }
}

impl Write for StateWriter<'_> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.notify();
        let written = self.inner.write(buffer)?;
        self.state_bytes += written as u64;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.notify();
        self.inner.flush()
    }
}
