use std::fmt;

/// The parts of a prompt, as upstreams keep them in their prefix caches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Identity and number of tokens of each part, in order. The last part belongs to this request alone.
    pub parts: Vec<(u64, u32)>,
}

impl Prompt {
    /// Identities of the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> + '_ {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.0)
    }

    /// Identity of the last part of the longest prefix that other requests may share; `None` if there
    /// is no such prefix.
    pub fn shared_key(&self) -> Option<u64> {
        self.shared_parts().last()
    }
}

/// Identities of the parts in hexadecimal, joined by commas.
impl fmt::Display for Prompt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (id, _)) in self.parts.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{id:x}")?;
        }
        Ok(())
    }
}
