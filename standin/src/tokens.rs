//! Prompt hashes and the tokens of an answer.

use std::hash::Hasher;

use fnv::FnvHasher;

/// Prompt tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// A prompt reduced to hashes.
pub struct PromptHashes {
    /// Hash of the whole prompt.
    pub prompt: u64,
    /// Hash of the prompt up to the end of each whole block.
    pub blocks: Vec<u64>,
    /// Whitespace-separated words of the prompt.
    pub token_count: usize,
}

impl PromptHashes {
    /// Hashes the model name, a zero byte, and each word with a space after it (FNV-1a, 64 bits).
    pub fn of(model: &str, prompt: &str) -> Self {
        let mut hasher = FnvHasher::default();
        hasher.write(model.as_bytes());
        hasher.write(&[0]);
        let mut blocks = Vec::new();
        let mut token_count = 0;
        for word in prompt.split_whitespace() {
            hasher.write(word.as_bytes());
            hasher.write(b" ");
            token_count += 1;
            if token_count % BLOCK_TOKENS == 0 {
                blocks.push(hasher.finish());
            }
        }
        Self { prompt: hasher.finish(), blocks, token_count }
    }
}

/// Text of the token at `position` of the answer to a prompt.
pub fn token_text(prompt_hash: u64, position: u64) -> String {
    let mut hasher = FnvHasher::with_key(prompt_hash);
    hasher.write(&position.to_le_bytes());
    format!("{:04x} ", hasher.finish() >> 48)
}
