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
        Self { text: progress.text, tokens: progress.tokens, ..Self::default() }
    }

    /// The part of the answer for the next attempt; empty without a token.
    pub fn to_progress(&self) -> Vec<u8> {
        let progress = ItemProgress { text: self.text.clone(), tokens: self.tokens };
        progress.encode_to_vec()
    }

    /// Adds a piece.
    pub fn push(&mut self, chunk: &Chunk) {
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
