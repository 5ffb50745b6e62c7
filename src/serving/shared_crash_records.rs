use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::admission::{CrashRecord, CrashRecords, Fingerprint, TrialClaim, TrialLeases};
use crate::membership::{CrashEntry, Membership};
use crate::schema::state::{command, outcome, ClaimStatus, Command, SettleClaim, TakeClaim};
use crate::state::StateClient;

/// Reserved customer name for the claims of trials; no caller can have it.
const TRIAL_CUSTOMER: &str = "damaskhoist/trials";
/// Longest time to wait for the commit of a trial's claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Shares crash records through the gossip table and trials as claims in the replicated state.
pub struct SharedCrashRecords {
    membership: Membership,
    state: Arc<dyn StateClient>,
    host_id: String,
    incarnation: u64,
}

impl SharedCrashRecords {
    /// Creates the shared records; trials are claimed in the name of this host.
    pub fn open(
        membership: Membership,
        state: Arc<dyn StateClient>,
        host_id: &str,
        incarnation: u64,
    ) -> Self {
        Self { membership, state, host_id: host_id.to_owned(), incarnation }
    }

    async fn submit(&self, command: command::Command) -> Option<outcome::Outcome> {
        let command_id = format!("trial-{:x}", rand::random::<u128>());
        let command = Command { command_id, proposed_at_unix_ms: 0, command: Some(command) };
        let submitted = async_std::future::timeout(CLAIM_TIMEOUT, self.state.submit(command));
        submitted.await.ok()?.ok()?.outcome
    }
}

impl CrashRecords for SharedCrashRecords {
    fn find(&self, fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>> {
        let view = self.membership.view();
        let key =
            |entry: &CrashEntry| entry.record.fingerprint.as_slice().cmp(fingerprint.as_bytes());
        let index = view.crashes.binary_search_by(key).ok()?;
        Some(view.crashes[index].record.clone())
    }

    fn all(&self) -> Vec<Arc<CrashRecord>> {
        self.membership.view().crashes.iter().map(|entry| entry.record.clone()).collect()
    }

    fn publish(&self, record: CrashRecord) {
        self.membership.publish_crash_record(record);
    }
}

#[async_trait]
impl TrialLeases for SharedCrashRecords {
    async fn claim_trial(&self, upstream_id: &str, trial_id: &str, lease: Duration) -> TrialClaim {
        let claim = TakeClaim {
            customer: TRIAL_CUSTOMER.to_owned(),
            key: upstream_id.to_owned(),
            request_id: trial_id.to_owned(),
            holder: self.host_id.clone(),
            holder_incarnation: self.incarnation,
            lease_ms: u32::try_from(lease.as_millis()).unwrap_or(u32::MAX),
            ..TakeClaim::default()
        };
        let outcome = self.submit(command::Command::TakeClaim(claim)).await;
        let Some(outcome::Outcome::ClaimTaken(taken)) = outcome else {
            return TrialClaim::Unknown;
        };
        if taken.status() == ClaimStatus::Held {
            return TrialClaim::Granted;
        }
        TrialClaim::HeldElsewhere
    }

    async fn release_trial(&self, upstream_id: &str, trial_id: &str) {
        let settle = SettleClaim {
            customer: TRIAL_CUSTOMER.to_owned(),
            key: upstream_id.to_owned(),
            request_id: trial_id.to_owned(),
            not_run: true,
        };
        self.submit(command::Command::SettleClaim(settle)).await;
    }
}
