use prost::Message;
use serde_json::Value;

use crate::schema::state::ItemProgress;
use crate::upstream::Chunk;

/// A whole answer, gathered from its pieces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Text of all pieces.
    pub text: String,
    /// Pieces with text.
    pub tokens: u32,
    /// Position of the next piece, where the engine numbers its pieces.
    pub position: u64,
    /// The engine does not number its pieces.
    pub not_numbered: bool,
    /// Why the answer ended.
    pub finish_reason: String,
    /// Tokens as the engine counted them, if it did.
    pub usage: Option<Value>,
}

impl Answer {
    /// The part of an answer that an earlier attempt left; an empty answer when it left none.
    pub fn from_progress(progress: &[u8]) -> Self {
        // A part that can't be read costs time only: the answer is produced from its start.
        let progress = ItemProgress::decode(progress).unwrap_or_default();
        let (text, tokens, position) = (progress.text, progress.tokens, progress.position);
        Self { text, tokens, position, ..Self::default() }
    }

    /// The part of the answer for the next attempt; empty when no other attempt can go on with it.
    pub fn to_progress(&self) -> Vec<u8> {
        if self.not_numbered {
            return Vec::new();
        }
        let (tokens, position) = (self.tokens, self.position);
        let progress = ItemProgress { text: self.text.clone(), tokens, position };
        progress.encode_to_vec()
    }

    /// Adds a piece.
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
