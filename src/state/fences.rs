use std::collections::BTreeMap;

use crate::state::outcome::Outcome;

/// Fencing numbers: one counter for all scopes, so that a number is never given twice.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fences {
    last: u64,
    scopes: BTreeMap<String, Fence>,
}

#[derive(Clone, Debug)]
pub(crate) struct Fence {
    pub(crate) number: u64,
    pub(crate) holder: String,
    pub(crate) expires_unix_ms: u64,
}

impl Fences {
    /// Gives the holder its number and extends its lease, or says who holds the scope.
    pub(crate) fn take(&mut self, scope: &str, holder: &str, lease_ms: u32, now: u64) -> Outcome {
        let expires_unix_ms = now.saturating_add(u64::from(lease_ms));
        if let Some(fence) = self.scopes.get_mut(scope) {
            let held = fence.expires_unix_ms > now;
            if held && fence.holder != holder {
                return Outcome::FenceTaken {
                    number: 0,
                    held_by: fence.holder.clone(),
                    held_for_ms: fence.expires_unix_ms - now,
                };
            }
            if held {
                fence.expires_unix_ms = fence.expires_unix_ms.max(expires_unix_ms);
                return taken(fence.number);
            }
        }
        self.last += 1;
        let fence = Fence { number: self.last, holder: holder.to_owned(), expires_unix_ms };
        self.scopes.insert(scope.to_owned(), fence);
        taken(self.last)
    }

    pub(crate) fn restored(last: u64) -> Self {
        Self { last, scopes: BTreeMap::new() }
    }

    pub(crate) fn insert(&mut self, scope: String, fence: Fence) {
        self.last = self.last.max(fence.number);
        self.scopes.insert(scope, fence);
    }

    /// The newest number of any scope.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &Fence)> {
        self.scopes.iter().map(|(scope, fence)| (scope.as_str(), fence))
    }
}

fn taken(number: u64) -> Outcome {
    Outcome::FenceTaken { number, held_by: String::new(), held_for_ms: 0 }
}
