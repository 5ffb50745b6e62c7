use std::collections::BTreeMap;

use crate::upstream::Chunk;

/// Maximum number of chunks buffered behind a missing one before the stream is considered broken.
const BUFFERED_CHUNK_LIMIT: usize = 256;
/// Maximum size of the text buffered behind a missing chunk before the stream is considered broken.
const BUFFERED_BYTES_LIMIT: usize = 1024 * 1024;
/// Finish reasons of complete answers. Any other reason, such as that of a cancelled answer, means
/// that text may be missing.
const COMPLETE_FINISH_REASONS: [&str; 5] =
    ["stop", "length", "tool_calls", "function_call", "content_filter"];

/// Error for a stream that can't yield a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamFault {
    /// The chunk at this position is missing, and the stream ended or the buffer is full.
    #[error("piece {0} of the stream is missing")]
    Missing(u64),
    /// The engine does not number its chunks, so their position in a resumed answer is unknown.
    #[error("the pieces of a resumed stream are not numbered")]
    NotNumbered,
    /// The stream ended regularly but carried no finish reason.
    #[error("the stream ended without a finish reason")]
    NoFinishReason,
    /// The engine stopped the answer before it was complete.
    #[error("the engine ended the answer as `{0}`")]
    Stopped(String),
    /// The engine reported more tokens than it sent.
    #[error("the engine counted {counted} tokens and sent {sent}")]
    Short {
        /// Number of tokens that the engine reported.
        counted: u64,
        /// Number of chunks received.
        sent: u64,
    },
}

/// Puts the chunks of one answer in order and drops duplicates.
#[derive(Debug, Default)]
pub struct StreamAssembler {
    next_position: u64,
    buffered: BTreeMap<u64, Chunk>,
    buffered_bytes: usize,
    not_numbered: bool,
    resumed: bool,
    finish_reason: Option<String>,
    usage: Option<serde_json::Value>,
}

impl StreamAssembler {
    /// Creates an assembler for the rest of an answer, starting at `position`.
    pub fn starting_at(position: u64) -> Self {
        Self { next_position: position, ..Self::default() }
    }

    /// Position of the next chunk that [`Self::pop`] returns.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// True when another upstream can resume the answer without a gap or a duplicate.
    pub fn can_resume(&self) -> bool {
        self.next_position == 0 || !self.not_numbered
    }

    /// Adds a chunk, in any order. Fails if the chunk can't be placed or too much is buffered.
    pub fn push(&mut self, mut chunk: Chunk) -> Result<(), StreamFault> {
        if let Some(reason) = chunk.finish_reason.take() {
            self.finish_reason = Some(reason);
        }
        if let Some(usage) = chunk.usage.take() {
            self.usage = Some(usage);
        }
        let position = match chunk.position {
            Some(position) => position,
            // The final chunk carries no text; it must not fill the position of a missing chunk.
            None if chunk.text.is_empty() => return Ok(()),
            None if self.resumed || !self.buffered.is_empty() => {
                return Err(StreamFault::NotNumbered)
            }
            None => {
                self.not_numbered = true;
                self.next_position
            }
        };
        if position < self.next_position || self.buffered.contains_key(&position) {
            return Ok(());
        }
        self.buffered_bytes += chunk.text.len();
        self.buffered.insert(position, chunk);
        let has_gap = !self.buffered.contains_key(&self.next_position);
        if has_gap
            && (self.buffered.len() > BUFFERED_CHUNK_LIMIT
                || self.buffered_bytes > BUFFERED_BYTES_LIMIT)
        {
            return Err(StreamFault::Missing(self.next_position));
        }
        Ok(())
    }

    /// Removes and returns the next chunk in order, if it has been received.
    pub fn pop(&mut self) -> Option<Chunk> {
        let chunk = self.buffered.remove(&self.next_position)?;
        self.buffered_bytes -= chunk.text.len();
        self.next_position += 1;
        Some(chunk)
    }

    /// Returns the final chunk, without text. To be called once the engine has marked the end of
    /// the stream; fails if the answer is incomplete.
    pub fn finish(&mut self) -> Result<Chunk, StreamFault> {
        if !self.buffered.is_empty() {
            return Err(StreamFault::Missing(self.next_position));
        }
        let Some(reason) = self.finish_reason.take() else {
            return Err(StreamFault::NoFinishReason);
        };
        if !COMPLETE_FINISH_REASONS.contains(&reason.as_str()) {
            return Err(StreamFault::Stopped(reason));
        }
        let counted = self.usage.as_ref().and_then(|usage| usage["completion_tokens"].as_u64());
        let counted = counted.filter(|_| !self.not_numbered).unwrap_or(0);
        if counted > self.next_position {
            return Err(StreamFault::Short { counted, sent: self.next_position });
        }
        Ok(Chunk { finish_reason: Some(reason), usage: self.usage.take(), ..Chunk::default() })
    }

    /// Discards everything that has not been popped, because another upstream resumes the answer.
    pub fn restart(&mut self) {
        self.buffered.clear();
        self.buffered_bytes = 0;
        self.finish_reason = None;
        self.usage = None;
        self.resumed = self.next_position > 0;
    }
}
