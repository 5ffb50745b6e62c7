use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;

use crate::raft::disk_log::file_name;
use crate::raft::frame::FrameHeader;
use crate::raft::frame_index::{Frame, FrameIndex};
use crate::raft::{Entry, LogReader};

/// Reads the frames of a [`DiskLog`](crate::raft::DiskLog).
#[derive(Debug)]
pub(super) struct DiskLogReader {
    pub(super) folder: PathBuf,
    pub(super) frames: Arc<FrameIndex>,
}

impl DiskLogReader {
    fn content(&self, frame: &Frame) -> io::Result<Vec<u8>> {
        let mut content = vec![0; frame.bytes as usize];
        let file = File::open(self.folder.join(file_name(frame.sequence)))?;
        file.read_exact_at(&mut content, frame.offset)?;
        Ok(content)
    }
}

impl LogReader for DiskLogReader {
    fn read(&self, first_index: u64, limit_bytes: usize) -> io::Result<Vec<Entry>> {
        let (mut entries, mut bytes, mut next_index) = (Vec::new(), 0, first_index);
        while bytes < limit_bytes {
            let Some(frame) = self.frames.find(next_index) else { break };
            let content = match self.content(&frame) {
                // The segment was compacted meanwhile.
                Err(error) if error.kind() == io::ErrorKind::NotFound => break,
                content => content?,
            };
            let damaged = || io::Error::new(io::ErrorKind::InvalidData, "damaged record");
            let header = FrameHeader::decode(&content).ok_or_else(damaged)?;
            let payload = header.payload(&content).ok_or_else(damaged)?;
            for entry in header.entries(payload).ok_or_else(damaged)? {
                if entry.index < next_index || entry.index > frame.last_index {
                    continue;
                }
                if bytes >= limit_bytes {
                    break;
                }
                next_index = entry.index + 1;
                bytes += entry.size_bytes();
                entries.push(entry);
            }
        }
        Ok(entries)
    }
}
