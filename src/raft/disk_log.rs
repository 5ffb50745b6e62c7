use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::raft::disk_log_reader::DiskLogReader;
use crate::raft::frame::{encode_frame, find_highest_index, FrameHeader};
use crate::raft::frame_index::{Frame, FrameIndex};
use crate::raft::identity::sync_folder;
use crate::raft::{Entry, Identity, LogReader, LogStorage};

/// Name of the last segment while it is written again.
const REWRITTEN_FILE: &str = "segment.tmp";

/// The log of one replica, stored in a folder as a sequence of segment files.
///
/// Each write is one checksummed frame that is synced before the next one is written. An invalid
/// frame is therefore a torn write if no valid frame follows it, and damage otherwise.
pub struct DiskLog {
    folder: PathBuf,
    segment_bytes: u64,
    compress: bool,
    segments: VecDeque<Segment>,
    frames: Arc<FrameIndex>,
    /// The last segment, open for appending.
    file: Option<File>,
}

/// A segment file.
#[derive(Clone, Copy, Debug)]
struct Segment {
    sequence: u64,
    bytes: u64,
    last_index: u64,
}

/// Result of reading a log in [`DiskLog::open`].
#[derive(Debug, Default)]
pub struct LogScan {
    /// Entries in order, up to the end of the log or the first damaged record.
    pub entries: Vec<Entry>,
    /// Size of a torn write that was truncated from the end.
    pub torn_bytes: u64,
    /// Damage that is not a torn write.
    pub damage: Option<Damage>,
}

/// Damage before the end of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// File and offset of the damage, or what is missing.
    pub place: String,
    /// Highest index that may be lost, as found in the records after the damage.
    pub through: u64,
}

impl DiskLog {
    /// Opens and reads the log in `folder`. A torn write at the end is cut off. Other damage is
    /// left as it is; [`DiskLog::quarantine_damaged`] must then be called before the first write.
    ///
    /// All entries that are returned are durable. A write that an earlier process, or an earlier
    /// opening, could not sync may be read back from the page cache and still be lost with the
    /// power, so the last segment, which holds it, is written again as a new file.
    pub fn open(folder: &Path, segment_bytes: u64, compress: bool) -> io::Result<(Self, LogScan)> {
        let mut log = Self {
            folder: folder.to_owned(),
            segment_bytes,
            compress,
            segments: VecDeque::new(),
            frames: Arc::default(),
            file: None,
        };
        let sequences = list_segments(folder)?;
        let mut scan = LogScan::default();
        let mut last_content = Vec::new();
        for (position, &sequence) in sequences.iter().enumerate() {
            if let Some(expected) = log.segments.back().map(|segment| segment.sequence + 1) {
                if sequence != expected {
                    let through = log.find_last_index(&sequences[position..], 0)?.unwrap_or(0);
                    let place = format!("{} is missing", file_name(expected));
                    scan.damage = Some(Damage { place, through });
                    return Ok((log, scan));
                }
            }
            let mut content = fs::read(log.path(sequence))?;
            let end = log.scan_segment(sequence, &content, &mut scan.entries);
            if end == content.len() {
                last_content = content;
                continue;
            }
            if let Some(through) = log.find_last_index(&sequences[position..], end + 1)? {
                let place = format!("{} at byte {end}", file_name(sequence));
                scan.damage = Some(Damage { place, through });
                return Ok((log, scan));
            }
            scan.torn_bytes = (content.len() - end) as u64;
            content.truncate(end);
            last_content = content;
            for &later in &sequences[position + 1..] {
                fs::remove_file(log.path(later))?;
            }
            break;
        }
        log.rewrite_last_segment(&last_content)?;
        log.open_last_segment()?;
        Ok((log, scan))
    }

    /// Keeps the valid records before the damage, and renames the damaged and the later segment
    /// files so that they are no longer part of the log.
    pub fn quarantine_damaged(&mut self) -> io::Result<()> {
        let last_valid = self.segments.back().copied();
        let last_valid_sequence = last_valid.map_or(0, |segment| segment.sequence);
        let sequences = list_segments(&self.folder)?;
        for &sequence in sequences.iter().rev().filter(|&&sequence| sequence >= last_valid_sequence)
        {
            let quarantined = self.folder.join(format!("damaged-{}", file_name(sequence)));
            fs::rename(self.path(sequence), quarantined)?;
        }
        if let Some(segment) = last_valid {
            let quarantined = self.folder.join(format!("damaged-{}", file_name(segment.sequence)));
            let content = fs::read(quarantined)?;
            let mut file = File::create(self.path(segment.sequence))?;
            file.write_all(&content[..segment.bytes as usize])?;
            file.sync_all()?;
        }
        sync_folder(&self.folder)?;
        self.open_last_segment()
    }

    fn path(&self, sequence: u64) -> PathBuf {
        self.folder.join(file_name(sequence))
    }

    /// Reads the valid frames at the start of a segment; returns the offset after the last of them.
    fn scan_segment(&mut self, sequence: u64, content: &[u8], entries: &mut Vec<Entry>) -> usize {
        let mut offset = 0;
        self.segments.push_back(Segment { sequence, bytes: 0, last_index: 0 });
        while offset < content.len() {
            let rest = &content[offset..];
            let Some(header) = FrameHeader::decode(rest) else { break };
            let Some(payload) = header.payload(rest) else { break };
            let Some(decoded) = header.entries(payload) else { break };
            let next_index = entries.last().map_or(header.first_index, |entry| entry.index + 1);
            if header.first_index > next_index {
                break;
            }
            entries.truncate(entries.partition_point(|entry| entry.index < header.first_index));
            entries.extend(decoded);
            self.record_frame(sequence, offset as u64, &header);
            offset += header.frame_bytes() as usize;
        }
        offset
    }

    /// Highest index in the valid frames of these segments, after `skip` bytes of the first one.
    fn find_last_index(&self, sequences: &[u64], skip: usize) -> io::Result<Option<u64>> {
        let mut last_index = None;
        for (position, &sequence) in sequences.iter().enumerate() {
            let content = fs::read(self.path(sequence))?;
            let skip = if position == 0 { skip.min(content.len()) } else { 0 };
            last_index = last_index.max(find_highest_index(&content[skip..]));
        }
        Ok(last_index)
    }

    /// Adds a frame of the last segment to the index. It replaces entries of earlier frames.
    fn record_frame(&mut self, sequence: u64, offset: u64, header: &FrameHeader) {
        let FrameHeader { first_index, last_index, .. } = *header;
        let bytes = header.frame_bytes();
        self.frames.push(Frame { sequence, offset, bytes, first_index, last_index });
        let segment = self.segments.back_mut().expect("the frame is in the last segment");
        segment.bytes = offset + bytes;
        segment.last_index = segment.last_index.max(last_index);
    }

    /// Replaces the last segment by a new, synced file with this content.
    fn rewrite_last_segment(&self, content: &[u8]) -> io::Result<()> {
        let Some(segment) = self.segments.back() else { return Ok(()) };
        let temporary = self.folder.join(REWRITTEN_FILE);
        let mut file = File::create(&temporary)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(&temporary, self.path(segment.sequence))?;
        sync_folder(&self.folder)
    }

    fn open_last_segment(&mut self) -> io::Result<()> {
        let Some(segment) = self.segments.back() else { return Ok(()) };
        self.file = Some(OpenOptions::new().append(true).open(self.path(segment.sequence))?);
        Ok(())
    }

    fn start_segment(&mut self) -> io::Result<()> {
        let sequence = self.segments.back().map_or(1, |segment| segment.sequence + 1);
        let options = OpenOptions::new().append(true).create_new(true).clone();
        self.file = Some(options.open(self.path(sequence))?);
        self.segments.push_back(Segment { sequence, bytes: 0, last_index: 0 });
        sync_folder(&self.folder)
    }
}

impl LogStorage for DiskLog {
    fn save_identity(&mut self, identity: &Identity) -> io::Result<()> {
        identity.write(&self.folder)
    }

    fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        let is_full =
            self.segments.back().is_none_or(|segment| segment.bytes >= self.segment_bytes);
        if is_full {
            self.start_segment()?;
        }
        let encoded = encode_frame(entries, self.compress);
        let header = FrameHeader::decode(&encoded).expect("the frame was just encoded");
        let segment = *self.segments.back().expect("a segment was started");
        let file = self.file.as_mut().ok_or_else(|| io::Error::other("the log is not open"))?;
        file.write_all(&encoded)?;
        self.record_frame(segment.sequence, segment.bytes, &header);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.as_ref().map_or(Ok(()), File::sync_data)
    }

    fn reader(&self) -> Arc<dyn LogReader> {
        Arc::new(DiskLogReader { folder: self.folder.clone(), frames: self.frames.clone() })
    }

    fn compact(&mut self, index: u64) -> io::Result<()> {
        // Deletes only from the front, because a later segment may replace entries of an earlier
        // one.
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let sequence = self.segments[0].sequence;
            // First, so that a reader meets a file that is gone only if it found the frame before.
            self.frames.remove_segment(sequence);
            fs::remove_file(self.path(sequence))?;
            self.segments.pop_front();
        }
        Ok(())
    }

    fn clear(&mut self) -> io::Result<()> {
        self.file = None;
        let next_sequence = self.segments.back().map_or(1, |segment| segment.sequence + 1);
        self.frames.clear();
        // Deletes from the end, so that a crash leaves a valid but shorter log.
        while let Some(segment) = self.segments.pop_back() {
            fs::remove_file(self.path(segment.sequence))?;
            sync_folder(&self.folder)?;
        }
        self.segments.push_back(Segment { sequence: next_sequence, bytes: 0, last_index: 0 });
        File::create(self.path(next_sequence))?;
        sync_folder(&self.folder)?;
        self.open_last_segment()
    }

    fn discard_quarantined(&mut self) -> io::Result<()> {
        for file in fs::read_dir(&self.folder)? {
            let file = file?;
            if file.file_name().to_string_lossy().starts_with("damaged-") {
                fs::remove_file(file.path())?;
            }
        }
        Ok(())
    }

    fn data_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }
}

pub(super) fn file_name(sequence: u64) -> String {
    format!("log-{sequence:010}")
}

/// Sequence numbers of the segment files, in order.
fn list_segments(folder: &Path) -> io::Result<Vec<u64>> {
    let mut sequences = Vec::new();
    for file in fs::read_dir(folder)? {
        let name = file?.file_name();
        let Some(digits) = name.to_str().and_then(|name| name.strip_prefix("log-")) else {
            continue;
        };
        sequences.extend(digits.parse::<u64>());
    }
    sequences.sort_unstable();
    Ok(sequences)
}
