use serde_json::Value;

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
