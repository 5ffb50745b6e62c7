use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;

use crate::configuration::Confirmation;
use crate::coordinator::Coordinator;
use crate::schema::peer::RoutesConfirmation;

/// Interval at which the leader confirms the routes. An entry host then knows the age of its routes to within
/// a second, with the long polls in between.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);

impl Coordinator {
    /// The last confirmation that this host has, for the answer to a call that arrived at `arrived`.
    pub(super) fn routes_confirmation(&self, arrived: Instant) -> Option<RoutesConfirmation> {
        let confirmation = self.watch()?.routes_confirmation().load()?;
        Some(RoutesConfirmation {
            version: confirmation.version,
            age_ms: confirmation.confirmed_at.elapsed().as_millis() as u64 + 1,
            held_ms: arrived.elapsed().as_millis() as u64,
        })
    }

    /// Confirms the routes if this replica leads: whatever was acknowledged before is in its ledger once a
    /// quorum has confirmed that no other one leads.
    async fn confirm_routes_once(&self) {
        let Some(replica) = self.replica().running() else { return };
        if !replica.group.status().is_leader {
            return;
        }
        let confirmed_at = Instant::now();
        if self.confirm_leadership(&replica.group).await.is_err() {
            return;
        }
        let version = replica.machine.routes().version;
        let source = self.peer_address();
        if let Some(watch) = self.watch() {
            watch.routes_confirmation().record(Confirmation { version, confirmed_at, source });
        }
    }
}

/// Confirms the routes while this replica leads. Other hosts hear of it in the answers to their sync calls, from
/// the leader or from a control host that polls it. No other host can tell: a replica that follows may be behind
/// a newer leader than the one it knows.
pub(super) async fn confirm_routes(coordinator: Arc<Coordinator>) {
    loop {
        coordinator.confirm_routes_once().await;
        task::sleep(CONFIRM_INTERVAL).await;
    }
}
