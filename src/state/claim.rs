use std::sync::Arc;

use crate::state::command::Holder;
use crate::state::fingerprint::Fingerprint;
use crate::state::outcome::ClaimStatus;
use crate::state::BodyRef;

/// The claim of an online request on its idempotency key: running, answered, or of unknown outcome.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) customer: Arc<str>,
    /// Empty for none.
    pub(crate) key: Arc<str>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) request_id: Arc<str>,
    pub(crate) not_repeatable: bool,
    pub(crate) phase: ClaimPhase,
    /// Time at which the claim expires, which frees its key.
    pub(crate) expires_unix_ms: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum ClaimPhase {
    Held { holder: Holder, lease_expires_unix_ms: u64 },
    Unknown { holder: Holder },
    Answered(RecordedAnswer),
}

/// A recorded answer. Its body is in the body store.
#[derive(Clone, Debug)]
pub(crate) struct RecordedAnswer {
    pub(crate) status: u32,
    pub(crate) content_type: Arc<str>,
    pub(crate) recorded_at_unix_ms: u64,
    pub(crate) body: BodyRef,
}

impl Claim {
    /// The status that another request under the same key sees.
    pub(crate) fn status(&self, now: u64) -> ClaimStatus {
        match &self.phase {
            ClaimPhase::Answered(_) => ClaimStatus::Answered,
            ClaimPhase::Unknown { .. } => ClaimStatus::Unknown,
            ClaimPhase::Held { lease_expires_unix_ms, .. } if *lease_expires_unix_ms > now => {
                ClaimStatus::Running
            }
            ClaimPhase::Held { .. } if self.not_repeatable => ClaimStatus::Unknown,
            ClaimPhase::Held { .. } => ClaimStatus::Free,
        }
    }

    pub(crate) fn holder(&self) -> Option<&Holder> {
        match &self.phase {
            ClaimPhase::Held { holder, .. } | ClaimPhase::Unknown { holder } => Some(holder),
            ClaimPhase::Answered(_) => None,
        }
    }

    pub(crate) fn answer(&self) -> Option<&RecordedAnswer> {
        match &self.phase {
            ClaimPhase::Answered(answer) => Some(answer),
            _ => None,
        }
    }
}
