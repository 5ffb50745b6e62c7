use bytes::Bytes;
use prost::Message as _;

use crate::raft::Entry;
use crate::schema::peer;

/// Magic number at the start of a frame.
const MAGIC: [u8; 3] = *b"DHL";
/// Flag: the payload is compressed.
const ZSTD: u8 = 1;
/// Payloads smaller than this don't benefit from compression.
const COMPRESS_FROM_BYTES: usize = 512;
/// Size of a header: magic number, flags, payload length, first and last index, checksum of the
/// payload, checksum of the header.
pub const HEADER_BYTES: usize = 32;
const HEADER_CHECKSUM_OFFSET: usize = HEADER_BYTES - 4;

/// Header of a frame, which holds entries that were written and synced together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    flags: u8,
    /// Length of the payload.
    pub payload_bytes: u32,
    /// Index of the first entry.
    pub first_index: u64,
    /// Index of the last entry.
    pub last_index: u64,
    payload_checksum: u32,
}

impl FrameHeader {
    /// Decodes the header at the start of `bytes`; `None` if it is incomplete or damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let header = bytes.first_chunk::<HEADER_BYTES>()?;
        let (content, checksum) = header.split_at(HEADER_CHECKSUM_OFFSET);
        if content[..3] != MAGIC || crc32fast::hash(content).to_le_bytes() != checksum {
            return None;
        }
        let u32_at =
            |offset: usize| u32::from_le_bytes(*content[offset..].first_chunk().expect("in range"));
        let u64_at =
            |offset: usize| u64::from_le_bytes(*content[offset..].first_chunk().expect("in range"));
        Some(Self {
            flags: content[3],
            payload_bytes: u32_at(4),
            first_index: u64_at(8),
            last_index: u64_at(16),
            payload_checksum: u32_at(24),
        })
    }

    /// Size of the header and the payload.
    pub fn frame_bytes(&self) -> u64 {
        HEADER_BYTES as u64 + u64::from(self.payload_bytes)
    }

    /// The payload of the frame at the start of `bytes`; `None` if it is incomplete or damaged.
    pub fn payload<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + self.payload_bytes as usize)?;
        (crc32fast::hash(payload) == self.payload_checksum).then_some(payload)
    }

    /// Decodes the entries of a payload; `None` if they are malformed.
    pub fn entries(&self, payload: &[u8]) -> Option<Vec<Entry>> {
        let payload = match self.flags & ZSTD {
            0 => Bytes::copy_from_slice(payload),
            _ => zstd::decode_all(payload).ok()?.into(),
        };
        let frame = peer::LogFrame::decode(payload).ok()?;
        frame.entries.into_iter().map(|entry| entry.try_into().ok()).collect()
    }
}

/// Encodes entries as one frame.
pub fn encode_frame(entries: &[Entry], compress: bool) -> Vec<u8> {
    let frame = peer::LogFrame { entries: entries.iter().map(Into::into).collect() };
    let mut payload = frame.encode_to_vec();
    let mut flags = 0;
    if compress && payload.len() >= COMPRESS_FROM_BYTES {
        if let Ok(compressed) = zstd::bulk::compress(&payload, 1) {
            (payload, flags) = (compressed, ZSTD);
        }
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.push(flags);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&entries.first().map_or(0, |entry| entry.index).to_le_bytes());
    bytes.extend_from_slice(&entries.last().map_or(0, |entry| entry.index).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// The highest last index of the valid frames in `bytes`, at whatever offset they start.
pub fn find_highest_index(bytes: &[u8]) -> Option<u64> {
    let mut last_index = None;
    let mut offset = 0;
    while offset + HEADER_BYTES <= bytes.len() {
        let header = FrameHeader::decode(&bytes[offset..]);
        let valid = header.filter(|header| header.payload(&bytes[offset..]).is_some());
        match valid {
            Some(header) => {
                last_index = last_index.max(Some(header.last_index));
                offset += header.frame_bytes() as usize;
            }
            None => offset += 1,
        }
    }
    last_index
}
