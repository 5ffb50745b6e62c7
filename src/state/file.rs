use std::sync::Arc;

use bytes::Bytes;

use crate::state::bodies::Bodies;
use crate::state::BodyRef;

/// Approximate size of the chunks that lines are stored in: large enough to compress well, small
/// enough to be read for a single line.
const TARGET_CHUNK_BYTES: usize = 16 << 10;

/// An uploaded file, stored as lines.
#[derive(Clone, Debug)]
pub(crate) struct File {
    pub(crate) customer: Arc<str>,
    pub(crate) name: String,
    pub(crate) purpose: String,
    pub(crate) size_bytes: u64,
    pub(crate) lines: u32,
    pub(crate) complete: bool,
    /// Deleted files are hidden from their customer, and kept while jobs read them.
    pub(crate) deleted: bool,
    pub(crate) created_at_unix_ms: u64,
    /// Time at which the file expires if no job reads it.
    pub(crate) expires_unix_ms: u64,
    /// Number of jobs that read the file.
    pub(crate) reader_count: u32,
    pub(crate) chunks: Vec<LineChunk>,
}

/// Consecutive lines, stored as one body.
#[derive(Clone, Debug)]
pub(crate) struct LineChunk {
    pub(crate) first_line: u32,
    /// Offset of the end of each line within the body.
    pub(crate) ends: Box<[u32]>,
    pub(crate) body: BodyRef,
}

impl File {
    pub(crate) fn append(&mut self, lines: &[Bytes], bodies: &Bodies) {
        let mut rest = lines;
        while !rest.is_empty() {
            let count = next_chunk_lines(rest);
            let (chunk, remaining) = rest.split_at(count);
            self.append_chunk(chunk, bodies);
            rest = remaining;
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

    /// The body that holds a line, and the range of the line within it.
    pub(crate) fn locate_line(&self, line: u32) -> Option<(BodyRef, std::ops::Range<usize>)> {
        let chunk_index =
            self.chunks.partition_point(|chunk| chunk.first_line <= line).checked_sub(1)?;
        let chunk = &self.chunks[chunk_index];
        let index = (line - chunk.first_line) as usize;
        let end = *chunk.ends.get(index)?;
        let start = index.checked_sub(1).map_or(0, |previous| chunk.ends[previous]);
        Some((chunk.body, start as usize..end as usize))
    }

    pub(crate) fn release_bodies(&self, bodies: &Bodies) {
        for chunk in &self.chunks {
            bodies.release(chunk.body);
        }
    }
}

/// Number of lines in the next chunk, at least one.
fn next_chunk_lines(lines: &[Bytes]) -> usize {
    let mut bytes = 0;
    for (count, line) in lines.iter().enumerate() {
        bytes += line.len();
        if bytes > TARGET_CHUNK_BYTES {
            return count.max(1);
        }
    }
    lines.len()
}
