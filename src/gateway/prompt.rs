/// The parts of a prompt, which upstreams keep in their prefix caches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Identity and tokens of each part, in order. The last part belongs to the request alone.
    pub parts: Vec<(u64, u32)>,
}

impl Prompt {
    /// Identity of the longest prefix that other requests share; `None` if there is none.
    pub fn shared_key(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1)?;
        self.parts[..shared].last().map(|part| part.0)
    }
}
