use std::collections::BTreeMap;

use crate::state::outcome::Outcome;

/// Fencing numbers and the leases on their scopes.
///
/// One counter serves all scopes, so that no number is ever issued twice.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fences {
    last_number: u64,
    scopes: BTreeMap<String, Fence>,
}

/// The latest fencing number of a scope, with the lease of its holder.
#[derive(Clone, Debug)]
pub(crate) struct Fence {
    pub(crate) number: u64,
    pub(crate) holder: String,
    pub(crate) expires_unix_ms: u64,
}

impl Fences {
    /// Acquires the scope for the holder, or extends the lease that it has, and returns its number.
    /// If another holder has a valid lease, the outcome names it and the remaining time instead.
    pub(crate) fn acquire(
        &mut self,
        scope: &str,
        holder: &str,
        lease_ms: u32,
        now: u64,
    ) -> Outcome {
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
                return acquired(fence.number);
            }
        }
        self.last_number += 1;
        let fence = Fence { number: self.last_number, holder: holder.to_owned(), expires_unix_ms };
        self.scopes.insert(scope.to_owned(), fence);
        acquired(self.last_number)
    }

    pub(crate) fn restored(last_number: u64) -> Self {
        Self { last_number, scopes: BTreeMap::new() }
    }

    pub(crate) fn insert(&mut self, scope: String, fence: Fence) {
        self.last_number = self.last_number.max(fence.number);
        self.scopes.insert(scope, fence);
    }

    /// The latest number issued for any scope.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &Fence)> {
        self.scopes.iter().map(|(scope, fence)| (scope.as_str(), fence))
    }
}

fn acquired(number: u64) -> Outcome {
    Outcome::FenceTaken { number, held_by: String::new(), held_for_ms: 0 }
}
