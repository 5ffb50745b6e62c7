use std::collections::BTreeMap;

use crate::upstream::Chunk;

/// Pieces that may wait for an earlier one before the stream counts as broken.
const HELD_LIMIT: usize = 256;
/// Text that may wait for an earlier piece before the stream counts as broken.
const HELD_LIMIT_BYTES: usize = 1024 * 1024;
/// Reasons that an engine gives for the end of a whole answer. Any other one, as for a cancelled
/// answer, means that text may be missing.
const WHOLE_REASONS: [&str; 5] =
    ["stop", "length", "tool_calls", "function_call", "content_filter"];

/// Why a stream cannot become a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamFault {
    /// Too much waits for a piece that did not come.
    #[error("piece {0} of the stream is missing")]
    Missing(u64),
    /// The engine does not number its pieces, so their place in a resumed answer is unknown.
    #[error("the pieces of a resumed stream are not numbered")]
    NotNumbered,
    /// The stream said that it is whole without a reason for the end of the answer.
    #[error("the stream ended without a finish reason")]
    NoFinishReason,
    /// The engine stopped the answer before its end.
    #[error("the engine ended the answer as `{0}`")]
    Stopped(String),
    /// The engine counted more pieces than came.
    #[error("the engine counted {counted} tokens and sent {sent}")]
    Short {
        /// Tokens in the engine's report.
        counted: u64,
        /// Pieces that came.
        sent: u64,
    },
}

/// Puts the pieces of one answer in order, each of them once.
#[derive(Debug, Default)]
pub struct StreamAssembler {
    next_position: u64,
    held: BTreeMap<u64, Chunk>,
    held_bytes: usize,
    not_numbered: bool,
    resumed: bool,
    finish_reason: Option<String>,
    usage: Option<serde_json::Value>,
}

impl StreamAssembler {
    /// An assembler for the rest of an answer from `position` on.
    pub fn starting_at(position: u64) -> Self {
        Self { next_position: position, ..Self::default() }
    }

    /// Position that the next piece must have.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// True when another upstream can continue the answer without a gap or a repeat.
    pub fn can_resume(&self) -> bool {
        self.next_position == 0 || !self.not_numbered
    }

    /// Takes a piece as it came.
    pub fn push(&mut self, mut chunk: Chunk) -> Result<(), StreamFault> {
        if let Some(reason) = chunk.finish_reason.take() {
            self.finish_reason = Some(reason);
        }
        if let Some(usage) = chunk.usage.take() {
            self.usage = Some(usage);
        }
        let position = match chunk.position {
            Some(position) => position,
            // The last piece carries no text; it must not take the place of a missing one.
            None if chunk.text.is_empty() => return Ok(()),
            None if self.resumed || !self.held.is_empty() => return Err(StreamFault::NotNumbered),
            None => {
                self.not_numbered = true;
                self.next_position
            }
        };
        if position < self.next_position || self.held.contains_key(&position) {
            return Ok(());
        }
        self.held_bytes += chunk.text.len();
        self.held.insert(position, chunk);
        let waits = !self.held.contains_key(&self.next_position);
        if waits && (self.held.len() > HELD_LIMIT || self.held_bytes > HELD_LIMIT_BYTES) {
            return Err(StreamFault::Missing(self.next_position));
        }
        Ok(())
    }

    /// Gives the next piece in order, if it came.
    pub fn pop(&mut self) -> Option<Chunk> {
        let chunk = self.held.remove(&self.next_position)?;
        self.held_bytes -= chunk.text.len();
        self.next_position += 1;
        Some(chunk)
    }

    /// The last piece, without text, once the engine said that the answer is whole.
    pub fn finish(&mut self) -> Result<Chunk, StreamFault> {
        if !self.held.is_empty() {
            return Err(StreamFault::Missing(self.next_position));
        }
        let Some(reason) = self.finish_reason.take() else {
            return Err(StreamFault::NoFinishReason);
        };
        if !WHOLE_REASONS.contains(&reason.as_str()) {
            return Err(StreamFault::Stopped(reason));
        }
        let counted = self.usage.as_ref().and_then(|usage| usage["completion_tokens"].as_u64());
        let counted = counted.filter(|_| !self.not_numbered).unwrap_or(0);
        if counted > self.next_position {
            return Err(StreamFault::Short { counted, sent: self.next_position });
        }
        Ok(Chunk { finish_reason: Some(reason), usage: self.usage.take(), ..Chunk::default() })
    }

    /// Forgets what is not handed on, as another upstream continues the answer.
    pub fn restart(&mut self) {
        self.held.clear();
        self.held_bytes = 0;
        self.finish_reason = None;
        self.usage = None;
        self.resumed = self.next_position > 0;
    }
}
