//! The form of a body in a segment: length and checksum, then the body, compressed if it pays. It
//! is the same in all stores, so that a snapshot of one can be restored into another.

use std::io;

use bytes::Bytes;

use crate::state::BodyRef;

/// Length of the payload with the compression flag, then its CRC-32.
const HEAD_BYTES: usize = 8;
const COMPRESSED: u32 = 1 << 31;
/// Smaller bodies gain too little for the time that compression takes.
const COMPRESS_FROM_BYTES: usize = 4 << 10;
/// Compression has to save one part in this many, since each read pays for it.
const WORTHWHILE_PART: usize = 8;
const LEVEL: i32 = 1;

struct Head {
    length_and_flag: u32,
    crc32: u32,
}

pub(crate) fn encode(body: &[u8]) -> Vec<u8> {
    match compress(body) {
        Some(compressed) => with_head(&compressed, COMPRESSED),
        None => with_head(body, 0),
    }
}

/// Reads a body's record through `read_exact_at`, which fills a buffer from an offset.
pub(crate) fn read(
    body: BodyRef,
    read_exact_at: impl Fn(&mut [u8], u64) -> io::Result<()>,
) -> io::Result<Bytes> {
    let offset = u64::from(body.offset_bytes);
    let mut head = [0; HEAD_BYTES];
    read_exact_at(&mut head, offset)?;
    let head = Head::parse(head);
    let mut payload = vec![0; head.payload_bytes(body.len_bytes)?];
    read_exact_at(&mut payload, offset + HEAD_BYTES as u64)?;
    head.decode(payload, body.len_bytes)
}

fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < COMPRESS_FROM_BYTES {
        return None;
    }
    let compressed = zstd::bulk::compress(body, LEVEL).ok()?;
    (compressed.len() <= body.len() - body.len() / WORTHWHILE_PART).then_some(compressed)
}

fn with_head(payload: &[u8], flag: u32) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEAD_BYTES + payload.len());
    record.extend_from_slice(&(payload.len() as u32 | flag).to_le_bytes());
    record.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    record.extend_from_slice(payload);
    record
}

impl Head {
    fn parse(bytes: [u8; HEAD_BYTES]) -> Self {
        let [a, b, c, d, e, f, g, h] = bytes;
        Self {
            length_and_flag: u32::from_le_bytes([a, b, c, d]),
            crc32: u32::from_le_bytes([e, f, g, h]),
        }
    }

    /// Length of the payload, which is never above that of the body.
    fn payload_bytes(&self, body_bytes: u32) -> io::Result<usize> {
        let payload_bytes = self.length_and_flag & !COMPRESSED;
        if payload_bytes > body_bytes {
            return Err(damaged());
        }
        Ok(payload_bytes as usize)
    }

    fn decode(&self, payload: Vec<u8>, body_bytes: u32) -> io::Result<Bytes> {
        if crc32fast::hash(&payload) != self.crc32 {
            return Err(damaged());
        }
        let body = match self.length_and_flag & COMPRESSED {
            0 => payload,
            _ => zstd::bulk::decompress(&payload, body_bytes as usize)?,
        };
        if body.len() != body_bytes as usize {
            return Err(damaged());
        }
        Ok(body.into())
    }
}

fn damaged() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "body does not match its checksum")
}
