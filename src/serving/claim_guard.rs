use async_std::task;

use crate::admission::RunOutcome;
use crate::serving::{AnswerLedger, RequestIdentity};

/// A claim that a request holds or asks for. Dropped before it is settled, as when the caller goes
/// away, it is given back beside the caller, so that nobody waits for a request that has ended.
pub struct ClaimGuard {
    ledger: AnswerLedger,
    identity: Option<RequestIdentity>,
    /// What is known of the request.
    pub progress: RunOutcome,
}

impl ClaimGuard {
    /// Guards the claim of a request that was not sent yet; none if the request needs no claim.
    pub fn new(ledger: &AnswerLedger, identity: &RequestIdentity) -> Self {
        let identity = identity.needs_claim().then(|| identity.clone());
        Self { ledger: ledger.clone(), identity, progress: RunOutcome::NotRun }
    }

    /// The claim was settled by a recorded answer, or belongs to another request.
    pub fn settled(&mut self) {
        self.identity = None;
    }

    /// Gives the claim back after a request without a whole answer.
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
