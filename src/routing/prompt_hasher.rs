/// Hashes prompts as the engines of the fleet do.
pub trait PromptHasher: Send + Sync {
    /// Hash of the prompt in a request's body up to the end of each block, the shortest prefix
    /// first. Empty when the body holds no prompt that the engine would cache.
    fn prefix_hashes(&self, model: &str, body: &[u8]) -> Vec<u64>;
}
