use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::task;

use crate::peer::{CallError, PeerCaller, TrafficClass};
use crate::schema::ledger::{Answer, Command, Outcome, Query};
use crate::schema::peer::{call, reply, Call, FailureKind, Reply};

/// Time for one answer of the leader: two round trips between regions, a commit and a busy host. A
/// question without an answer goes to another control host.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before the next control host is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Where the leader may be found.
pub trait LeaderHint: Send + Sync {
    /// Peer address of the leader, as far as known.
    fn leader_address(&self) -> Option<String>;

    /// Peer addresses of all control hosts.
    fn control_addresses(&self) -> Vec<String>;
}

/// Why the leader did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderError {
    /// No control host took the call, so it had no effect and will have none.
    NotSubmitted(String),
    /// It was sent; whether it took effect is not known.
    Unknown(String),
}

impl fmt::Display for LeaderError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSubmitted(reason) => write!(formatter, "no control host took it: {reason}"),
            Self::Unknown(reason) => write!(formatter, "its effect is not known: {reason}"),
        }
    }
}

impl std::error::Error for LeaderError {}

/// Calls the leader of the ledger's group, wherever it is. All calls may be repeated: commands carry
/// the identity of what they change.
pub struct LeaderClient {
    caller: Arc<dyn PeerCaller>,
    hint: Arc<dyn LeaderHint>,
    /// The leader that answered last, which may be newer than the hint.
    leader: ArcSwapOption<String>,
    next: AtomicUsize,
}

impl LeaderClient {
    /// A client that looks for the leader where `hint` says.
    pub fn open(caller: Arc<dyn PeerCaller>, hint: Arc<dyn LeaderHint>) -> Self {
        Self { caller, hint, leader: ArcSwapOption::empty(), next: AtomicUsize::new(0) }
    }

    /// Submits a command and waits for its outcome until `budget` is used up.
    ///
    /// # Errors
    /// As [`LeaderError`] says.
    pub async fn submit(&self, command: Command, budget: Duration) -> Result<Outcome, LeaderError> {
        let call = call::Call::LedgerCommand(command);
        match self.call(call, CALL_TIMEOUT, budget).await? {
            reply::Reply::LedgerOutcome(outcome) => Ok(outcome),
            _ => Err(LeaderError::Unknown("unexpected reply".to_owned())),
        }
    }

    /// Asks for a read that is current; `hold` is how long the leader may wait before it answers.
    ///
    /// # Errors
    /// If no leader answered in time.
    pub async fn query(
        &self,
        query: Query,
        hold: Duration,
        budget: Duration,
    ) -> Result<Answer, LeaderError> {
        let call = call::Call::LedgerQuery(query);
        match self.call(call, hold + CALL_TIMEOUT, budget).await? {
            reply::Reply::LedgerAnswer(answer) => Ok(answer),
            _ => Err(LeaderError::Unknown("unexpected reply".to_owned())),
        }
    }

    /// Calls until a leader answers or the budget is used up.
    ///
    /// # Errors
    /// As [`LeaderError`] says.
    pub async fn call(
        &self,
        call: call::Call,
        timeout: Duration,
        budget: Duration,
    ) -> Result<reply::Reply, LeaderError> {
        let started = Instant::now();
        let mut lost = None;
        let mut last = "no control host is known".to_owned();
        loop {
            let left = budget.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            let Some(address) = self.target() else {
                task::sleep(RETRY_PAUSE).await;
                continue;
            };
            let message = Call { traceparent: String::new(), call: Some(call.clone()) };
            let class = TrafficClass::Bulk;
            match self.caller.call(&address, class, message, timeout.min(left)).await {
                Ok(Reply { reply: Some(reply::Reply::Failure(failure)) }) => {
                    let unknown = failure.kind() == FailureKind::CommitUnknown;
                    if unknown {
                        lost = Some(failure.message.clone());
                    }
                    let leader = Some(failure.leader_address).filter(|it| !it.is_empty());
                    let is_new = leader.as_ref().is_some_and(|leader| *leader != address);
                    self.leader.store(leader.filter(|_| is_new).map(Arc::new));
                    last = failure.message;
                    if is_new && !unknown {
                        continue;
                    }
                }
                Ok(Reply { reply: Some(reply) }) => {
                    self.leader.store(Some(Arc::new(address)));
                    return Ok(reply);
                }
                Ok(Reply { reply: None }) => last = "empty reply".to_owned(),
                Err(error) => {
                    if let CallError::Lost(reason) = &error {
                        lost = Some(format!("{address}: {reason}"));
                    }
                    last = error.to_string();
                    self.leader.store(None);
                }
            }
            task::sleep(RETRY_PAUSE).await;
        }
        Err(match lost {
            Some(reason) => LeaderError::Unknown(reason),
            None => LeaderError::NotSubmitted(last),
        })
    }

    /// The leader that answered last, then the one of the hint, then each control host in turn.
    fn target(&self) -> Option<String> {
        if let Some(leader) = self.leader.load_full() {
            return Some(leader.to_string());
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let hint = self.hint.leader_address();
        if let Some(leader) = hint.filter(|_| turn.is_multiple_of(2)) {
            return Some(leader);
        }
        let addresses = self.hint.control_addresses();
        let place = (turn / 2).checked_rem(addresses.len())?;
        addresses.get(place).cloned()
    }
}
