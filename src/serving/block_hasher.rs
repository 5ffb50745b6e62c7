use std::borrow::Cow;
use std::hash::Hasher;

use fnv::FnvHasher;
use serde::Deserialize;

use crate::routing::PromptHasher;

/// Prompt tokens per block of an engine's prefix cache.
const BLOCK_TOKENS: usize = 16;
/// Maximum number of blocks hashed per prompt. Routing doesn't need to distinguish longer prefixes.
const BLOCK_LIMIT: usize = 1_024;

/// Computes chained 64-bit FNV-1a hashes over the model and each whitespace-separated token.
#[derive(Debug, Default)]
pub struct BlockHasher;

#[derive(Deserialize)]
struct PromptBody<'a> {
    #[serde(borrow, default)]
    prompt: Cow<'a, str>,
    #[serde(borrow, default)]
    messages: Vec<PromptMessage<'a>>,
}

#[derive(Deserialize)]
struct PromptMessage<'a> {
    #[serde(borrow, default)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: Cow<'a, str>,
}

impl PromptHasher for BlockHasher {
    fn prefix_hashes(&self, model: &str, body: &[u8]) -> Vec<u64> {
        let Ok(body) = serde_json::from_slice::<PromptBody<'_>>(body) else { return Vec::new() };
        // The model may be `model:adapter`; engines hash blocks with the name of the base model
        // only.
        let model = model.split_once(':').map_or(model, |(model, _)| model);
        if body.messages.is_empty() {
            return hash_words(model, body.prompt.split_whitespace());
        }
        let messages = body.messages.iter();
        let texts = messages.flat_map(|message| [&*message.role, &*message.content]);
        hash_words(model, texts.flat_map(str::split_whitespace))
    }
}

fn hash_words<'a>(model: &str, words: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let mut hasher = FnvHasher::default();
    hasher.write(model.as_bytes());
    hasher.write(&[0]);
    let mut blocks = Vec::new();
    for (index, word) in words.take(BLOCK_LIMIT * BLOCK_TOKENS).enumerate() {
        hasher.write(word.as_bytes());
        hasher.write(b" ");
        if (index + 1) % BLOCK_TOKENS == 0 {
            blocks.push(hasher.finish());
        }
    }
    blocks
}
