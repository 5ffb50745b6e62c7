use std::fs::{self, File};
use std::io::{self, Write};
use std::marker::PhantomData;
use std::path::{Path, PathBuf};

use prost::Message;

use crate::raft::sync_folder;

const CHECKSUM_BYTES: usize = 4;

/// A message on the disk of a control host, beside its replica, that is replaced as a whole.
///
/// Holds what hosts go on with after a restart of the whole fleet until they know better: a replica knows what
/// is committed only once there is a leader, and upstreams announce themselves again one by one.
#[derive(Debug)]
pub struct StateFile<M> {
    folder: PathBuf,
    name: &'static str,
    message: PhantomData<fn() -> M>,
}

impl<M: Message + Default> StateFile<M> {
    /// The file with this name in the data folder of a host; it need not exist.
    pub fn open(folder: &Path, name: &'static str) -> Self {
        Self { folder: folder.to_owned(), name, message: PhantomData }
    }

    /// The message in the file; `None` if there is none.
    ///
    /// # Errors
    /// If the file can't be read or is damaged.
    pub fn read(&self) -> io::Result<Option<M>> {
        let content = match fs::read(self.folder.join(self.name)) {
            Ok(content) => content,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let damaged = || io::Error::new(io::ErrorKind::InvalidData, "the file is damaged");
        let (checksum, message) = content.split_at_checked(CHECKSUM_BYTES).ok_or_else(damaged)?;
        if checksum != crc32fast::hash(message).to_le_bytes() {
            return Err(damaged());
        }
        M::decode(message).map(Some).map_err(|_| damaged())
    }

    /// As [`StateFile::read`]; logs why a file can't be used, and goes on without it.
    pub fn read_if_usable(&self) -> Option<M> {
        self.read().unwrap_or_else(|error| {
            log::warn!(event = "stored_state_unusable", file = self.name; "{error}");
            None
        })
    }

    /// Replaces the file; blocks until the disk has it.
    ///
    /// # Errors
    /// If the disk refuses it. The file before is then still there.
    pub fn write(&self, message: &M) -> io::Result<()> {
        let message = message.encode_to_vec();
        // The folder of a host that has no replica yet may not exist.
        fs::create_dir_all(&self.folder)?;
        let new_file = self.folder.join(format!("{}.tmp", self.name));
        let mut file = File::create(&new_file)?;
        file.write_all(&crc32fast::hash(&message).to_le_bytes())?;
        file.write_all(&message)?;
        file.sync_all()?;
        fs::rename(&new_file, self.folder.join(self.name))?;
        sync_folder(&self.folder)
    }
}
