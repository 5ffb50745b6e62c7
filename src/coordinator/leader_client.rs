use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::task;

use crate::peer::{CallError, PeerCaller, TrafficClass};
use crate::schema::ledger::{Answer, Command, Outcome, Query};
use crate::schema::peer::{call, reply, Call, FailureKind, Reply};

/// Timeout of one call to the leader: two round trips between regions, a commit and a busy host.
/// After it the call is retried on another control host.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the next control host is tried.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Time after its timeout at which a call is given up if the connection has not ended it. The connection
/// normally ends it in time, and then knows that it may be broken.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(100);

/// Locates the likely leader and the control hosts.
pub trait LeaderHint: Send + Sync {
    /// Peer address of the likely leader, if one is known.
    fn leader_address(&self) -> Option<String>;

    /// Peer addresses of all control hosts.
    fn control_addresses(&self) -> Vec<String>;
}

/// Error of a call to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderError {
    /// No control host accepted the call, so it had no effect and will have none.
    NotSubmitted(String),
    /// The call was sent, but it is unknown whether it took effect.
    Unknown(String),
}

impl fmt::Display for LeaderError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSubmitted(reason) => {
                write!(formatter, "no control host accepted the call: {reason}")
            }
            Self::Unknown(reason) => {
                write!(formatter, "the effect of the call is unknown: {reason}")
            }
        }
    }
}

impl std::error::Error for LeaderError {}

/// Client of the ledger's leader; finds the leader and retries calls on other control hosts. Every
/// call may be repeated, because commands carry the identity of what they change.
pub struct LeaderClient {
    caller: Arc<dyn PeerCaller>,
    hint: Arc<dyn LeaderHint>,
    /// Address of the leader that answered last, or that a replica named; may be newer than the
    /// hint.
    leader: ArcSwapOption<String>,
    round_robin: AtomicUsize,
}

impl LeaderClient {
    /// Creates a client that starts its search for the leader at `hint`.
    pub fn open(caller: Arc<dyn PeerCaller>, hint: Arc<dyn LeaderHint>) -> Self {
        Self { caller, hint, leader: ArcSwapOption::empty(), round_robin: AtomicUsize::new(0) }
    }

    /// Submits a command and waits for its outcome, with retries for up to `budget`.
    ///
    /// # Errors
    /// Fails with a [`LeaderError`] if no leader returned an outcome in time.
    pub async fn submit(&self, command: Command, budget: Duration) -> Result<Outcome, LeaderError> {
        let call = call::Call::LedgerCommand(command);
        match self.call(call, CALL_TIMEOUT, budget).await? {
            reply::Reply::LedgerOutcome(outcome) => Ok(outcome),
            _ => Err(LeaderError::Unknown("unexpected reply".to_owned())),
        }
    }

    /// Runs a linearizable read; the leader may wait up to `max_wait` before it answers.
    ///
    /// # Errors
    /// Fails if no leader answered within `budget`.
    pub async fn query(
        &self,
        query: Query,
        max_wait: Duration,
        budget: Duration,
    ) -> Result<Answer, LeaderError> {
        let call = call::Call::LedgerQuery(query);
        match self.call(call, max_wait + CALL_TIMEOUT, budget).await? {
            reply::Reply::LedgerAnswer(answer) => Ok(answer),
            _ => Err(LeaderError::Unknown("unexpected reply".to_owned())),
        }
    }

    /// Calls control hosts until a leader answers or `budget` is used up. Each call has its own
    /// `timeout`.
    ///
    /// # Errors
    /// Fails with a [`LeaderError`] if no leader answered in time.
    pub async fn call(
        &self,
        call: call::Call,
        timeout: Duration,
        budget: Duration,
    ) -> Result<reply::Reply, LeaderError> {
        let started = Instant::now();
        let mut unknown_effect = None;
        let mut is_redirected = false;
        let mut last = "no control host is known".to_owned();
        loop {
            let left = budget.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            let Some(address) = self.next_address() else {
                task::sleep(RETRY_DELAY).await;
                continue;
            };
            let message = Call { traceparent: String::new(), call: Some(call.clone()) };
            let class = TrafficClass::Bulk;
            let timeout = timeout.min(left);
            let called = self.caller.call(&address, class, message, timeout);
            let called = async_std::future::timeout(timeout + GIVE_UP_MARGIN, called).await;
            let was_redirected = std::mem::take(&mut is_redirected);
            match called.unwrap_or_else(|_| Err(CallError::Lost("no end of the call".to_owned()))) {
                Ok(Reply { reply: Some(reply::Reply::Failure(failure)) }) => {
                    let unknown = failure.kind() == FailureKind::CommitUnknown;
                    if unknown {
                        unknown_effect = Some(failure.message.clone());
                    }
                    let leader = Some(failure.leader_address).filter(|leader| !leader.is_empty());
                    // Hosts that name each other would be followed without end, so one redirect in a row is
                    // followed.
                    let is_new =
                        !was_redirected && leader.as_ref().is_some_and(|leader| *leader != address);
                    self.leader.store(leader.filter(|_| is_new).map(Arc::new));
                    last = failure.message;
                    if is_new && !unknown {
                        is_redirected = true;
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
                        unknown_effect = Some(format!("{address}: {reason}"));
                    }
                    last = error.to_string();
                    self.leader.store(None);
                }
            }
            task::sleep(RETRY_DELAY).await;
        }
        Err(match unknown_effect {
            Some(reason) => LeaderError::Unknown(reason),
            None => LeaderError::NotSubmitted(last),
        })
    }

    /// Address to call next: the known leader or, without one, alternately the hinted leader and
    /// the control hosts in round-robin order.
    fn next_address(&self) -> Option<String> {
        if let Some(leader) = self.leader.load_full() {
            return Some(leader.to_string());
        }
        let attempt = self.round_robin.fetch_add(1, Ordering::Relaxed);
        let hint = self.hint.leader_address();
        if let Some(leader) = hint.filter(|_| attempt.is_multiple_of(2)) {
            return Some(leader);
        }
        let addresses = self.hint.control_addresses();
        let index = (attempt / 2).checked_rem(addresses.len())?;
        addresses.get(index).cloned()
    }
}
