/// Computes the block hashes of prompts in the same way as the engines of the fleet.
pub trait PromptHasher: Send + Sync {
    /// Returns the hashes of the prompt in a request body up to the end of each block, shortest
    /// prefix first. Empty if the body has no prompt that the engine would cache.
    fn prefix_hashes(&self, model: &str, body: &[u8]) -> Vec<u64>;
}
