use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::boot_instant::BootInstant;
use crate::configuration::Confirmation;
use crate::coordinator::Coordinator;
use crate::schema::peer::RoutesConfirmation;

/// Interval at which the leader confirms the routes. An entry host then knows the age of its routes to within
/// a second, with the long polls in between.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a replica checks whether it leads by now. Until the first confirmation of a fleet that starts,
/// entry hosts refuse what no route matches as not run.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Coordinator {
    /// The last confirmation that this host has, for the answer to a call that arrived at `arrived`.
    pub(super) fn routes_confirmation(&self, arrived: BootInstant) -> Option<RoutesConfirmation> {
        let confirmation = self.watch()?.routes_confirmation().load()?;
        Some(confirmation.passed_on(arrived))
    }

    /// Confirms the routes if this replica leads: whatever was acknowledged before is in its ledger once a
    /// quorum has confirmed that no other one leads.
    ///
    /// Returns false if it does not lead or no quorum confirmed it.
    async fn confirm_routes_once(&self) -> bool {
        let Some(replica) = self.replica().running() else { return false };
        if !replica.group.status().is_leader {
            return false;
        }
        let confirmed_at = BootInstant::now();
        if self.confirm_leadership(&replica.group).await.is_err() {
            return false;
        }
        let version = replica.machine.routes().version;
        let source = self.peer_address();
        if let Some(watch) = self.watch() {
            watch.routes_confirmation().record(Confirmation { version, confirmed_at, source });
        }
        true
    }
}

/// Confirms the routes while this replica leads. Other hosts hear of it in the answers to their sync calls, from
/// the leader or from a control host that polls it. No other host can tell: a replica that follows may be behind
/// a newer leader than the one it knows.
pub(super) async fn confirm_routes(coordinator: Arc<Coordinator>) {
    loop {
        let interval = match coordinator.confirm_routes_once().await {
            true => CONFIRM_INTERVAL,
            false => LEADERSHIP_CHECK_INTERVAL,
        };
        task::sleep(interval).await;
    }
}
