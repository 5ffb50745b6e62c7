use std::time::{Duration, Instant};

use async_std::future::timeout;

use crate::coordinator::Coordinator;
use crate::ledger::Ledger;
use crate::raft::{Group, ReadError};
use crate::replication::ReplicatedMachine;
use crate::schema::ledger::{
    answer, query, Answer, NotFound, Query, ReadResults, ResultPage, RetirementState,
};
use crate::schema::peer::{reply, FailureKind, ReadIndex};
use crate::signal::Signal;

/// Time limit of a read barrier. Operators and callers retry on another host after a second.
const READ_BARRIER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that a read of results waits for the next result.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(1_000);

/// Reads of the ledger. Each replica answers those of batch jobs, so that results do not all leave from the
/// leader and cross the link between regions only once, in the log. A follower first asks the leader how
/// far it must have applied the log, which makes its answer as current as the leader's.
impl Coordinator {
    /// Answers a read of the ledger.
    pub(super) async fn query(&self, query: Query) -> reply::Reply {
        let is_read_of_job = matches!(
            query.query,
            Some(query::Query::ReadResults(_) | query::Query::ReadItemBody(_))
        );
        // The ledger of the replica that confirms the read, also if the host gets another replica
        // meanwhile.
        let Some(replica) = self.replica().running() else { return self.not_leader_failure() };
        let current = match is_read_of_job && !replica.group.status().is_leader {
            true => self.catch_up(&replica.group).await,
            false => self.confirm_leadership(&replica.group).await.map(|_| ()),
        };
        if let Err(refusal) = current {
            return refusal;
        }
        let ledger = replica.machine.as_ref();
        let not_found = || answer::Answer::NotFound(NotFound {});
        let answer = match query.query {
            Some(query::Query::ReadResults(read)) => wait_for_results(ledger, &read)
                .await
                .map_or_else(not_found, answer::Answer::Results),
            Some(query::Query::ReadItemBody(read)) => {
                let job = ledger.job(&read.job_id);
                let body = job.and_then(|job| job.unfinished_item_body(&read.item_id));
                body.map_or_else(not_found, answer::Answer::ItemBody)
            }
            Some(query::Query::ReadRoutes(_)) => {
                ledger.document().map_or_else(not_found, answer::Answer::Document)
            }
            Some(query::Query::ReadRetirement(read)) => match ledger.is_retired(&read.host_id) {
                true => {
                    let completed = self.replica().hosts_no_replica(&read.host_id);
                    answer::Answer::Retirement(RetirementState { completed })
                }
                false => not_found(),
            },
            None => not_found(),
        };
        reply::Reply::LedgerAnswer(Answer { answer: Some(answer) })
    }

    /// Waits until a quorum has confirmed that this replica is the leader and its state is current. Returns
    /// the index up to which the log is applied.
    pub(super) async fn confirm_leadership(&self, group: &Group) -> Result<u64, reply::Reply> {
        match timeout(READ_BARRIER_TIMEOUT, group.read_barrier()).await {
            Ok(Ok(point)) => Ok(point.index),
            Ok(Err(ReadError::NotLeader { .. })) => Err(self.not_leader_failure()),
            Ok(Err(error)) => Err(self.call_failure(FailureKind::NoQuorum, &error.to_string())),
            Err(_) => Err(self.call_failure(FailureKind::NoQuorum, "no quorum confirmed the read")),
        }
    }

    /// True once a quorum has confirmed that the replica of this host is the leader.
    pub(super) async fn is_confirmed_leader(&self) -> bool {
        let Some(group) = self.replica().group() else { return false };
        self.confirm_leadership(&group).await.is_ok()
    }

    /// Tells a follower up to which entry it must have applied the log to answer a read.
    pub(super) async fn read_index(&self) -> reply::Reply {
        let Some(group) = self.replica().group() else { return self.not_leader_failure() };
        match self.confirm_leadership(&group).await {
            Ok(index) => reply::Reply::ReadIndex(ReadIndex { index }),
            Err(refusal) => refusal,
        }
    }

    /// Waits until this follower has applied all that was committed when the read began.
    async fn catch_up(&self, group: &Group) -> Result<(), reply::Reply> {
        let failure = |message: &str| self.call_failure(FailureKind::NoQuorum, message);
        if group.status().leader_address.is_none() {
            // The caller has other hosts to ask, and an election that goes on lasts longer than a short wait.
            return Err(self.call_failure(FailureKind::NotLeader, "this replica knows no leader"));
        }
        let started = Instant::now();
        let asked = self.read_index.ask().await;
        let index =
            asked.map_err(|error| failure(&format!("no leader confirmed the read: {error}")))?;
        let left = READ_BARRIER_TIMEOUT.saturating_sub(started.elapsed());
        let applied = timeout(left, group.wait_until_applied(index)).await;
        applied.map_err(|_| failure("this replica is behind the leader"))
    }
}

/// Reads a page of results. Waits up to `wait_ms` for the first result on the page.
async fn wait_for_results(ledger: &Ledger, read: &ReadResults) -> Option<ResultPage> {
    let wait = Duration::from_millis(read.wait_ms.into()).min(MAX_RESULT_WAIT);
    let until = Instant::now() + wait;
    loop {
        let changed = ledger.listen_for_results(&read.job_id);
        let page = ledger.results(&read.job_id, read.after)?;
        let left = until.saturating_duration_since(Instant::now());
        let is_last = read.after >= page.total;
        if !page.results.is_empty() || left.is_zero() || is_last {
            return Some(page);
        }
        Signal::wait(changed, left).await;
    }
}
