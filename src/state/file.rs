use std::sync::Arc;

use bytes::Bytes;

use crate::state::bodies::Bodies;
use crate::state::BodyRef;

/// Lines are stored in chunks of about this size: large enough to compress, small enough to read
/// for one line.
const CHUNK_BYTES: usize = 16 << 10;

/// An uploaded file of lines.
#[derive(Clone, Debug)]
pub(crate) struct File {
    pub(crate) customer: Arc<str>,
    pub(crate) name: String,
    pub(crate) purpose: String,
    pub(crate) size_bytes: u64,
    pub(crate) lines: u32,
    pub(crate) complete: bool,
    /// Hidden from its customer and kept for the jobs that read it.
    pub(crate) deleted: bool,
    pub(crate) created_at_unix_ms: u64,
    /// End of the file while no job reads it.
    pub(crate) expires_unix_ms: u64,
    /// Jobs that read the file.
    pub(crate) jobs: u32,
    pub(crate) chunks: Vec<LineChunk>,
}

/// Consecutive lines in one body.
#[derive(Clone, Debug)]
pub(crate) struct LineChunk {
    pub(crate) first_line: u32,
    /// End of each line in the body.
    pub(crate) ends: Box<[u32]>,
    pub(crate) body: BodyRef,
}

impl File {
    pub(crate) fn append(&mut self, lines: &[Bytes], bodies: &Bodies) {
        let mut rest = lines;
        while !rest.is_empty() {
            let count = chunk_lines(rest);
            let (chunk, later) = rest.split_at(count);
            self.append_chunk(chunk, bodies);
            rest = later;
        }
    }

    fn append_chunk(&mut self, lines: &[Bytes], bodies: &Bodies) {
        let mut text = Vec::with_capacity(lines.iter().map(Bytes::len).sum());
        let mut ends = Vec::with_capacity(lines.len());
        for line in lines {
            text.extend_from_slice(line);
            ends.push(text.len() as u32);
        }
        let body = bodies.append(&text);
        self.chunks.push(LineChunk { first_line: self.lines, ends: ends.into(), body });
        self.lines += lines.len() as u32;
        self.size_bytes += text.len() as u64 + lines.len() as u64;
    }

    /// Body that holds a line, and where the line is in it.
    pub(crate) fn line(&self, line: u32) -> Option<(BodyRef, std::ops::Range<usize>)> {
        let place = self.chunks.partition_point(|chunk| chunk.first_line <= line).checked_sub(1)?;
        let chunk = &self.chunks[place];
        let index = (line - chunk.first_line) as usize;
        let end = *chunk.ends.get(index)?;
        let start = index.checked_sub(1).map_or(0, |before| chunk.ends[before]);
        Some((chunk.body, start as usize..end as usize))
    }

    pub(crate) fn release(&self, bodies: &Bodies) {
        for chunk in &self.chunks {
            bodies.release(chunk.body);
        }
    }
}

/// Lines that make up the next chunk, at least one.
fn chunk_lines(lines: &[Bytes]) -> usize {
    let mut bytes = 0;
    for (count, line) in lines.iter().enumerate() {
        bytes += line.len();
        if bytes > CHUNK_BYTES {
            return count.max(1);
        }
    }
    lines.len()
}
