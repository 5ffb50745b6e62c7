use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::coordinator::{LeaderClient, LeaderError};
use crate::directory::FleetWatch;
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::ledger::{query, Answer, Query};
use crate::schema::peer::{call, reply, Call, CallFailure, Reply};
use crate::telemetry::Counters;

/// Time for a replica to answer, in addition to its wait for a result. What is left of the budget then
/// suffices for the leader.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a replica that did not answer is passed over.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Reads batch jobs at a replica of this region, or at the leader if that fails. The results of a job then
/// cross the link between regions in the log only, and not with each read.
pub struct JobReader {
    caller: Arc<dyn PeerCaller>,
    leader: Arc<LeaderClient>,
    watch: Arc<FleetWatch>,
    counters: Counters,
    /// Replicas that failed, and until when each is passed over. No longer than the list of near replicas.
    avoided: ArcSwap<Vec<(String, Instant)>>,
}

impl JobReader {
    /// Creates a reader that looks for replicas in the view of `watch`.
    pub fn open(
        caller: Arc<dyn PeerCaller>,
        leader: Arc<LeaderClient>,
        watch: Arc<FleetWatch>,
        counters: Counters,
    ) -> Self {
        Self { caller, leader, watch, counters, avoided: ArcSwap::default() }
    }

    /// Runs a linearizable read of a job; the replica may wait up to `max_wait` before it answers.
    ///
    /// # Errors
    /// If neither a replica nor the leader answered within `budget`.
    pub async fn query(
        &self,
        query: Query,
        max_wait: Duration,
        budget: Duration,
    ) -> Result<Answer, LeaderError> {
        let answered = self.read(query, max_wait, budget).await;
        if let Err(error) = &answered {
            self.counters.count(error.failed_call().reason.read_counter());
        }
        answered
    }

    async fn read(
        &self,
        query: Query,
        max_wait: Duration,
        budget: Duration,
    ) -> Result<Answer, LeaderError> {
        let started = Instant::now();
        let Some(address) = self.near_replica() else {
            return self.leader.query(query, max_wait, budget).await;
        };
        let message =
            Call { call: Some(call::Call::LedgerQuery(query.clone())), ..Call::default() };
        let timeout = (max_wait + REPLICA_TIMEOUT).min(budget);
        let answer = self.caller.call(&address, TrafficClass::Bulk, message, timeout).await;
        let failure = match answer {
            Ok(Reply { reply: Some(reply::Reply::LedgerAnswer(answer)) }) => return Ok(answer),
            Ok(Reply { reply: Some(reply::Reply::Failure(failure)) }) => {
                self.leader.hear_failure(&address, &failure, started.elapsed());
                failure
            }
            Ok(_) => {
                CallFailure { message: "unexpected reply".to_owned(), ..CallFailure::default() }
            }
            Err(error) => CallFailure { message: error.to_string(), ..CallFailure::default() },
        };
        log::warn!(event = "replica_avoided", address = address.as_str(),
            leader = failure.leader_address.as_str(), leader_term = failure.leader_term,
            time_ms = started.elapsed().as_millis() as u64; "{}", failure.message);
        self.avoid(&address);
        let left = budget.saturating_sub(started.elapsed());
        self.leader.query(without_wait(query), Duration::ZERO, left).await
    }

    fn avoid(&self, address: &str) {
        let now = Instant::now();
        self.avoided.rcu(|avoided| {
            let others = avoided.iter().filter(|(other, until)| other != address && now < *until);
            let mut next: Vec<(String, Instant)> = others.cloned().collect();
            next.push((address.to_owned(), now + AVOID_TIME));
            next
        });
    }

    fn near_replica(&self) -> Option<String> {
        let (avoided, now) = (self.avoided.load(), Instant::now());
        let is_avoided = |address: &String| {
            avoided.iter().any(|(other, until)| other == address && now < *until)
        };
        let view = self.watch.view();
        view.near_replicas.iter().find(|address| !is_avoided(address)).cloned()
    }
}

/// The same read without a wait for new results.
fn without_wait(mut query: Query) -> Query {
    if let Some(query::Query::ReadResults(read)) = &mut query.query {
        read.wait_ms = 0;
    }
    query
}
