use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use futures::future::{select, Either, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};

use crate::coordinator::shared_question::SharedQuestion;
use crate::ledger::Ledger;
use crate::peer::{PeerCaller, TrafficClass};
use crate::raft::{Group, LogPosition, QuorumRead, Replica};
use crate::replication::ReplicaManager;
use crate::schema::peer::{call, reply, Call, LogPositionCall, Reply};

/// Time limit of a question: almost three round trips between regions. A caller has 1.2 s and other hosts to ask, and an
/// election that goes on lasts longer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time for which a question waits for the answer to the one before it, so that a host sends at most twenty a
/// second to each voter while they are not answered.
const MAX_JOIN_TIME: Duration = Duration::from_millis(50);

/// Why a quorum did not confirm a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuorumReadError {
    /// This host has no replica that takes part in the group.
    NoReplica,
    /// Too few voters answered, or they have entries that this replica has not applied.
    NotConfirmed,
}

impl fmt::Display for QuorumReadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoReplica => "this host has no replica that takes part in the group",
            Self::NotConfirmed => "no quorum confirmed that this replica is up to date",
        })
    }
}

/// Asks the voters of the group whether this replica has applied all that was committed, for reads that no leader
/// confirms.
pub(super) struct SharedQuorumRead {
    question: SharedQuestion<Result<u64, QuorumReadError>>,
}

impl SharedQuorumRead {
    /// Creates one that asks for the replica of this host.
    pub(super) fn open(replica: Arc<ReplicaManager<Ledger>>, caller: Arc<dyn PeerCaller>) -> Self {
        let asker = Box::new(move || {
            let (group, caller) = (replica.group(), caller.clone());
            let asked = async move {
                let group = group.ok_or(QuorumReadError::NoReplica)?;
                ask_voters(&group, caller.as_ref()).await
            };
            asked.boxed()
        });
        Self { question: SharedQuestion::open(asker, MAX_JOIN_TIME) }
    }

    /// Index up to which the log was applied here, with all that was committed at the time of this call.
    ///
    /// # Errors
    /// If no quorum confirmed it in time.
    pub(super) async fn ask(&self) -> Result<u64, QuorumReadError> {
        self.question.ask().await
    }
}

async fn ask_voters(group: &Group, caller: &dyn PeerCaller) -> Result<u64, QuorumReadError> {
    let started = Instant::now();
    let mut own = group.position().await.ok_or(QuorumReadError::NoReplica)?;
    let mut read = QuorumRead::begin(&own);
    let voters: Vec<Replica> = read.asked().cloned().collect();
    let mut answers: FuturesUnordered<_> =
        voters.iter().map(|voter| ask_voter(voter, caller)).collect();
    loop {
        if read.is_current(&own) {
            return Ok(own.applied.index);
        }
        let left = QUESTION_TIMEOUT.saturating_sub(started.elapsed());
        let answered = async {
            match answers.next().await {
                Some(answer) => answer,
                // All have answered; entries that they have may still be applied here.
                None => futures::future::pending().await,
            }
        };
        let applied = group.wait_until_applied(own.applied.index + 1);
        let next = select(answered.boxed(), applied.boxed());
        match timeout(left, next).await {
            Ok(Either::Left((Some((id, stored)), _))) => read.record(id, stored),
            Ok(Either::Left((None, _))) => {}
            Ok(Either::Right(_)) => {
                own = group.position().await.ok_or(QuorumReadError::NoReplica)?;
            }
            Err(_) => return Err(QuorumReadError::NotConfirmed),
        }
    }
}

/// The last entry of a voter, if the host at its address still has this replica.
async fn ask_voter(voter: &Replica, caller: &dyn PeerCaller) -> Option<(u64, LogPosition)> {
    let call = call::Call::LogPosition(LogPositionCall {});
    let message = Call { call: Some(call), ..Call::default() };
    let asked = caller.call(&voter.peer_address, TrafficClass::Bulk, message, QUESTION_TIMEOUT);
    let Ok(Reply { reply: Some(reply::Reply::LogPosition(answer)) }) = asked.await else {
        return None;
    };
    let stored = LogPosition { term: answer.term, index: answer.index };
    (answer.replica_id == voter.id).then_some((voter.id, stored))
}
