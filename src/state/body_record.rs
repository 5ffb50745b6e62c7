//! Encoding of a body in a segment: a header with the length and checksum, then the payload, which
//! is compressed if that saves enough. All stores use it, so that a snapshot of one can be restored
//! into another.

use std::io;

use bytes::Bytes;

use crate::state::BodyRef;

/// Length of the payload with the compression flag in the top bit, then the CRC-32 of the payload.
const HEADER_BYTES: usize = 8;
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Smaller bodies are not compressed: they save too little for the time that it takes.
const COMPRESSION_THRESHOLD_BYTES: usize = 4 << 10;
/// A body is stored compressed only if that saves at least one part in this many, because every
/// read has to decompress it.
const MIN_SAVING_DIVISOR: usize = 8;
const ZSTD_LEVEL: i32 = 1;

struct Header {
    length_and_flag: u32,
    crc32: u32,
}

pub(crate) fn encode(body: &[u8]) -> Vec<u8> {
    match compress(body) {
        Some(compressed) => with_header(&compressed, COMPRESSED_FLAG),
        None => with_header(body, 0),
    }
}

/// Reads and decodes the record of a body. `read_exact_at` fills a buffer from an offset.
pub(crate) fn read(
    body: BodyRef,
    read_exact_at: impl Fn(&mut [u8], u64) -> io::Result<()>,
) -> io::Result<Bytes> {
    let offset = u64::from(body.offset_bytes);
    let mut header = [0; HEADER_BYTES];
    read_exact_at(&mut header, offset)?;
    let header = Header::parse(header);
    let mut payload = vec![0; header.payload_bytes(body.len_bytes)?];
    read_exact_at(&mut payload, offset + HEADER_BYTES as u64)?;
    header.decode(payload, body.len_bytes)
}

fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < COMPRESSION_THRESHOLD_BYTES {
        return None;
    }
    let compressed = zstd::bulk::compress(body, ZSTD_LEVEL).ok()?;
    (compressed.len() <= body.len() - body.len() / MIN_SAVING_DIVISOR).then_some(compressed)
}

fn with_header(payload: &[u8], flag: u32) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER_BYTES + payload.len());
    record.extend_from_slice(&(payload.len() as u32 | flag).to_le_bytes());
    record.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    record.extend_from_slice(payload);
    record
}

impl Header {
    fn parse(bytes: [u8; HEADER_BYTES]) -> Self {
        let [a, b, c, d, e, f, g, h] = bytes;
        Self {
            length_and_flag: u32::from_le_bytes([a, b, c, d]),
            crc32: u32::from_le_bytes([e, f, g, h]),
        }
    }

    /// Length of the payload. An error if it exceeds the length of the body.
    fn payload_bytes(&self, body_bytes: u32) -> io::Result<usize> {
        let payload_bytes = self.length_and_flag & !COMPRESSED_FLAG;
        if payload_bytes > body_bytes {
            return Err(corrupt());
        }
        Ok(payload_bytes as usize)
    }

    fn decode(&self, payload: Vec<u8>, body_bytes: u32) -> io::Result<Bytes> {
        if crc32fast::hash(&payload) != self.crc32 {
            return Err(corrupt());
        }
        let body = match self.length_and_flag & COMPRESSED_FLAG {
            0 => payload,
            _ => zstd::bulk::decompress(&payload, body_bytes as usize)?,
        };
        if body.len() != body_bytes as usize {
            return Err(corrupt());
        }
        Ok(body.into())
    }
}

fn corrupt() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "body does not match its checksum")
}
