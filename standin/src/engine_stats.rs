use std::collections::BTreeMap;

/// What an upstream has done since it was bound, over all its incarnations.
///
/// Requests are named by `x-request-id`; each name comes with the number of its calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Requests that were admitted.
    pub started: BTreeMap<String, u64>,
    /// Requests that were answered in full.
    pub finished: BTreeMap<String, u64>,
    /// Requests that were cancelled, by order or by a closed connection.
    pub cancelled: BTreeMap<String, u64>,
    /// Requests that ended with a crash.
    pub lost: BTreeMap<String, u64>,
    /// Requests that run now.
    pub running: u64,
    /// Most requests that ran at once.
    pub max_running: u64,
    /// By how much `max_running` exceeded the slots.
    pub max_overshoot: u64,
    /// Blocks of prompts that were found in the prefix cache.
    pub prefix_hit_blocks: u64,
    /// Blocks of prompts that were not found in the prefix cache.
    pub prefix_miss_blocks: u64,
    /// Tokens that were produced.
    pub tokens_produced: u64,
    /// Orders that were accepted, repeats not counted.
    pub orders_taken: u64,
    /// Orders that were refused.
    pub orders_refused: u64,
    /// Announcements that an entry host accepted.
    pub announcements: u64,
    /// Starts of the upstream.
    pub starts: u64,
}
