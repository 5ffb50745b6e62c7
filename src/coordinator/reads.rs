use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use futures::future::{select, Either, FutureExt};

use crate::coordinator::Coordinator;
use crate::ledger::Ledger;
use crate::raft::{Group, LogPosition, ReadError};
use crate::replication::ReplicatedMachine;
use crate::schema::ledger::{
    answer, query, Answer, NotFound, Query, ReadResults, ResultPage, RetirementState,
};
use crate::schema::peer::{self, reply, FailureKind, ReadIndex};
use crate::signal::Signal;

/// Time limit of a read barrier. Operators and callers retry on another host after a second.
const READ_BARRIER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the leader to confirm a read before the voters are asked: two round trips between regions and more.
const LEADER_TIME: Duration = Duration::from_millis(150);
/// Maximum time that a read of results waits for the next result.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(1_000);

/// Reads of the ledger. Each replica answers those of batch jobs, so that results do not all leave from the
/// leader and cross the link between regions only once, in the log, and those of routes. It first asks the leader how
/// far it must have applied the log, which makes its answer as current as the leader's. If the leader does not confirm
/// that in time, the voters are asked how far they have the log. Results of a job that has all of them never change, so
/// they need no confirmation.
impl Coordinator {
    /// Answers a read of the ledger.
    pub(super) async fn query(&self, query: Query) -> reply::Reply {
        let is_read_of_ledger = matches!(
            query.query,
            Some(
                query::Query::ReadResults(_)
                    | query::Query::ReadItemBody(_)
                    | query::Query::ReadRoutes(_)
            )
        );
        // The ledger of the replica that confirms the read, also if the host gets another replica
        // meanwhile.
        let Some(replica) = self.replica().running() else { return self.not_leader_failure() };
        if let Some(page) = final_results(replica.machine.as_ref(), &query) {
            let answer = Some(answer::Answer::Results(page));
            return reply::Reply::LedgerAnswer(Answer { answer });
        }
        let current = match is_read_of_ledger {
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
                let job = ledger.job_of_team(&read.job_id, &read.team);
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

    /// Tells another replica how far this one has the log.
    pub(super) async fn log_position(&self) -> reply::Reply {
        let Some(group) = self.replica().group() else { return self.not_leader_failure() };
        let Some(position) = group.position().await else {
            let message = "this replica takes no part in the group";
            return self.call_failure(FailureKind::NoQuorum, message);
        };
        let LogPosition { term, index } = position.stored;
        let replica_id = position.replica_id;
        reply::Reply::LogPosition(peer::LogPosition { replica_id, term, index })
    }

    /// Waits until this replica has applied all that was committed when the read began.
    async fn catch_up(&self, group: &Group) -> Result<(), reply::Reply> {
        let started = Instant::now();
        let index = self.index_to_apply(group).await?;
        let left = READ_BARRIER_TIMEOUT.saturating_sub(started.elapsed());
        let applied = timeout(left, group.wait_until_applied(index)).await;
        applied.map_err(|_| {
            self.call_failure(FailureKind::NoQuorum, "this replica is behind the leader")
        })
    }

    /// Index up to which this replica must have applied the log to answer a read that begins now: from the leader
    /// or, if it does not confirm the read soon, from a quorum of the voters.
    async fn index_to_apply(&self, group: &Group) -> Result<u64, reply::Reply> {
        let by_leader = self.index_by_leader(group).boxed();
        let by_leader = match select(by_leader, task::sleep(LEADER_TIME).boxed()).await {
            Either::Left((Ok(index), _)) => return Ok(index),
            Either::Left((Err(refusal), _)) => {
                return self.quorum_read.ask().await.map_err(|_| refusal);
            }
            Either::Right(((), by_leader)) => by_leader,
        };
        match select(by_leader, self.quorum_read.ask().boxed()).await {
            Either::Left((Err(refusal), by_quorum)) => by_quorum.await.map_err(|_| refusal),
            Either::Right((Err(_), by_leader)) => by_leader.await,
            Either::Left((Ok(index), _)) | Either::Right((Ok(index), _)) => Ok(index),
        }
    }

    /// Index up to which the log was committed when the read began, from the leader.
    async fn index_by_leader(&self, group: &Group) -> Result<u64, reply::Reply> {
        let status = group.status();
        if status.is_leader {
            return self.confirm_leadership(group).await;
        }
        if status.leader_address.is_none() {
            return Err(self.call_failure(FailureKind::NotLeader, "this replica knows no leader"));
        }
        self.read_index.ask().await.map_err(|error| {
            let message = format!("no leader confirmed the read: {error}");
            self.call_failure(FailureKind::NoQuorum, &message)
        })
    }
}

/// A page of results that can't change any more; `None` for other reads.
fn final_results(ledger: &Ledger, query: &Query) -> Option<ResultPage> {
    let Some(query::Query::ReadResults(read)) = &query.query else { return None };
    ledger.job(&read.job_id).filter(|job| job.has_all_results())?;
    ledger.results(&read.job_id, &read.team, read.after)
}

/// Reads a page of results. Waits up to `wait_ms` for the first result on the page.
async fn wait_for_results(ledger: &Ledger, read: &ReadResults) -> Option<ResultPage> {
    let wait = Duration::from_millis(read.wait_ms.into()).min(MAX_RESULT_WAIT);
    let until = Instant::now() + wait;
    loop {
        let changed = ledger.listen_for_results(&read.job_id);
        let page = ledger.results(&read.job_id, &read.team, read.after)?;
        let left = until.saturating_duration_since(Instant::now());
        let is_last = read.after >= page.total;
        if !page.results.is_empty() || left.is_zero() || is_last {
            return Some(page);
        }
        Signal::wait(changed, left).await;
    }
}
