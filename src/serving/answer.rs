use prost::Message;
use serde_json::Value;

use crate::schema::state::ItemProgress;
use crate::upstream::Chunk;

/// An engine's answer, assembled from its chunks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Concatenated text of all chunks.
    pub text: String,
    /// Number of chunks that carry text.
    pub tokens: u32,
    /// Position of the next chunk, if the engine numbers its chunks.
    pub position: u64,
    /// True when the engine sends text without positions.
    pub not_numbered: bool,
    /// Finish reason that the engine reported; empty until then.
    pub finish_reason: String,
    /// Token counts that the engine reported, if any.
    pub usage: Option<Value>,
}

impl Answer {
    /// Restores the partial answer of an earlier attempt from its encoded [`ItemProgress`]. Returns
    /// an empty answer when there is none.
    pub fn from_progress(progress: &[u8]) -> Self {
        // Progress that can't be decoded only costs time: the answer is generated from the start.
        let progress = ItemProgress::decode(progress).unwrap_or_default();
        let (text, tokens, position) = (progress.text, progress.tokens, progress.position);
        Self { text, tokens, position, ..Self::default() }
    }

    /// Encodes the partial answer as [`ItemProgress`] for the next attempt. Empty when the answer
    /// can't be resumed because the engine does not number its chunks.
    pub fn to_progress(&self) -> Vec<u8> {
        if self.not_numbered {
            return Vec::new();
        }
        let (tokens, position) = (self.tokens, self.position);
        let progress = ItemProgress { text: self.text.clone(), tokens, position };
        progress.encode_to_vec()
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: &Chunk) {
        match chunk.position {
            Some(position) => self.position = position + 1,
            None => self.not_numbered |= !chunk.text.is_empty(),
        }
        if !chunk.text.is_empty() {
            self.text.push_str(&chunk.text);
            self.tokens += 1;
        }
        if let Some(reason) = &chunk.finish_reason {
            self.finish_reason.clone_from(reason);
        }
        if let Some(usage) = &chunk.usage {
            self.usage = Some(usage.clone());
        }
    }
}
