use async_std::task;

use crate::admission::RunOutcome;
use crate::serving::{AnswerLedger, RequestIdentity};

/// Guards a claim that a request holds or has requested. If the guard is dropped before the claim
/// is settled, for example when the caller disconnects, a background task releases the claim, so
/// that no other request waits for one that has ended.
pub struct ClaimGuard {
    ledger: AnswerLedger,
    identity: Option<RequestIdentity>,
    /// Whether the request ran, as far as is known.
    pub progress: RunOutcome,
}

impl ClaimGuard {
    /// Creates a guard for a request that was not sent yet. Does nothing if the request needs no
    /// claim.
    pub fn new(ledger: &AnswerLedger, identity: &RequestIdentity) -> Self {
        let identity = identity.needs_claim().then(|| identity.clone());
        Self { ledger: ledger.clone(), identity, progress: RunOutcome::NotRun }
    }

    /// Disarms the guard, because a recorded answer settled the claim or another request holds it.
    pub fn settled(&mut self) {
        self.identity = None;
    }

    /// Releases the claim of a request that ended without a complete answer.
    pub async fn release(&mut self, progress: RunOutcome) {
        self.progress = progress;
        let Some(identity) = &self.identity else { return };
        self.ledger.release(identity, progress).await;
        self.identity = None;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let Some(identity) = self.identity.take() else { return };
        let (ledger, progress) = (self.ledger.clone(), self.progress);
        task::spawn(async move { ledger.release(&identity, progress).await });
    }
}
