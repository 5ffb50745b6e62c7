use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use prost::Message;

use crate::raft::sync_folder;
use crate::schema::routes::RouteTable;

const FILE: &str = "routes";
const NEW_FILE: &str = "routes.tmp";
const CHECKSUM_BYTES: usize = 4;

/// The newest routes that were in force, kept on the disk of a control host beside its replica.
///
/// A replica knows what is committed only once there is a leader. After a restart of the whole fleet, hosts
/// serve by these routes until then. They were in force, so that is no more than what a host does which is
/// cut off from the others.
#[derive(Debug)]
pub struct RouteFile {
    folder: PathBuf,
}

impl RouteFile {
    /// The file in the data folder of a host; it need not exist.
    pub fn open(folder: &Path) -> Self {
        Self { folder: folder.to_owned() }
    }

    /// The routes in the file; `None` if there is none.
    ///
    /// # Errors
    /// If the file can't be read or is damaged.
    pub fn read(&self) -> io::Result<Option<RouteTable>> {
        let content = match fs::read(self.folder.join(FILE)) {
            Ok(content) => content,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let damaged = || io::Error::new(io::ErrorKind::InvalidData, "the file is damaged");
        let (checksum, table) = content.split_at_checked(CHECKSUM_BYTES).ok_or_else(damaged)?;
        if checksum != crc32fast::hash(table).to_le_bytes() {
            return Err(damaged());
        }
        RouteTable::decode(table).map(Some).map_err(|_| damaged())
    }

    /// Replaces the file; blocks until the disk has it.
    ///
    /// # Errors
    /// If the disk refuses it. The file before is then still there.
    pub fn write(&self, table: &RouteTable) -> io::Result<()> {
        let table = table.encode_to_vec();
        let new_file = self.folder.join(NEW_FILE);
        let mut file = File::create(&new_file)?;
        file.write_all(&crc32fast::hash(&table).to_le_bytes())?;
        file.write_all(&table)?;
        file.sync_all()?;
        fs::rename(&new_file, self.folder.join(FILE))?;
        sync_folder(&self.folder)
    }
}
