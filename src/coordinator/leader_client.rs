use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::task;

use crate::coordinator::{FailedCall, FailureReason};
use crate::peer::{CallError, PeerCaller, TrafficClass};
use crate::raft::{LeaderBelief, LeaderTracker};
use crate::schema::ledger::{Answer, Command, Outcome, Query};
use crate::schema::peer::{call, reply, Call, CallFailure, FailureKind, Reply};

/// Timeout of one call to the leader: two round trips between regions, a commit and a busy host.
/// After it the call is retried on another control host.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the next control host is tried; doubled with each failure.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Longest such delay. Calls that wait for an election then ask some ten times in their second.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Part of its budget after which a call is given up that a host refuses as overloaded, so that its caller is refused
/// early.
const OVERLOADED_DIVISOR: u32 = 2;
/// Time that an attempt gets at least, if it is left: two round trips between regions and a commit.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// Age up to which what a leader said itself counts as fresh: about an election timeout.
const FRESH_STATEMENT_AGE: Duration = Duration::from_millis(500);

/// Time after its timeout at which a call is given up if the connection has not ended it. The connection
/// normally ends it in time, and then knows that it may be broken.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(100);

/// Locates the likely leader and the control hosts.
pub trait LeaderHint: Send + Sync {
    /// The likely leader, if one is known.
    fn leader(&self) -> Option<Arc<LeaderBelief>>;

    /// Peer addresses of the control hosts that are known to run a replica.
    fn replica_addresses(&self) -> Vec<String>;

    /// Peer addresses of all control hosts.
    fn control_addresses(&self) -> Vec<String>;
}

/// Error of a call to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderError {
    /// No control host accepted the call, so it had no effect and will have none.
    NotSubmitted(Box<FailedCall>),
    /// The call was sent, but it is unknown whether it took effect.
    Unknown(Box<FailedCall>),
}

impl LeaderError {
    /// A call that was not sent to any host.
    pub fn not_tried(message: &str) -> Self {
        Self::NotSubmitted(Box::new(FailedCall::not_tried(message)))
    }

    pub(super) fn unexpected_reply() -> Self {
        let failed = FailedCall::not_tried("unexpected reply");
        Self::Unknown(Box::new(FailedCall { reason: FailureReason::Other, ..failed }))
    }

    /// How the call failed.
    pub fn failed_call(&self) -> &FailedCall {
        match self {
            Self::NotSubmitted(failed) | Self::Unknown(failed) => failed,
        }
    }
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
    /// What the hint, the replies and the failures say; may be newer than the hint.
    tracker: ArcSwap<LeaderTracker>,
    round_robin: AtomicUsize,
    is_for_operators: bool,
}

impl LeaderClient {
    /// Creates a client that starts its search for the leader at `hint`.
    pub fn open(caller: Arc<dyn PeerCaller>, hint: Arc<dyn LeaderHint>) -> Self {
        let (tracker, round_robin) = (ArcSwap::default(), AtomicUsize::new(0));
        Self { caller, hint, tracker, round_robin, is_for_operators: false }
    }

    /// Creates a client whose calls go before those of entry hosts.
    pub fn open_for_operators(caller: Arc<dyn PeerCaller>, hint: Arc<dyn LeaderHint>) -> Self {
        Self { is_for_operators: true, ..Self::open(caller, hint) }
    }

    /// Submits a command and waits for its outcome, with retries for up to `budget`.
    ///
    /// # Errors
    /// Fails with a [`LeaderError`] if no leader returned an outcome in time.
    pub async fn submit(&self, command: Command, budget: Duration) -> Result<Outcome, LeaderError> {
        let call = call::Call::LedgerCommand(command);
        match self.call(call, Duration::ZERO, budget).await? {
            reply::Reply::LedgerOutcome(outcome) => Ok(outcome),
            _ => Err(LeaderError::unexpected_reply()),
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
        match self.call(call, max_wait, budget).await? {
            reply::Reply::LedgerAnswer(answer) => Ok(answer),
            _ => Err(LeaderError::unexpected_reply()),
        }
    }

    /// Calls control hosts until a leader answers or `budget` is used up. The leader may wait up to `wait` before it
    /// answers; each attempt has no more than half of what is left beyond that, so that no host uses up the budget. A
    /// commit has a whole attempt at a leader that spoke lately, because its effect is unknown if it is cut off.
    ///
    /// # Errors
    /// Fails with a [`LeaderError`] if no leader answered in time.
    pub async fn call(
        &self,
        call: call::Call,
        wait: Duration,
        budget: Duration,
    ) -> Result<reply::Reply, LeaderError> {
        let started = Instant::now();
        let mut is_redirected = false;
        let mut attempts = 0;
        let mut retry_delay = RETRY_DELAY;
        let mut failed = FailedCall::not_tried("no control host is known");
        // Reason of an attempt that may have taken effect.
        let mut unknown_effect = None;
        loop {
            let left = budget.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            let Some(address) = self.next_address(attempts) else {
                task::sleep(RETRY_DELAY).await;
                continue;
            };
            attempts += 1;
            let asked = Instant::now();
            let mut timeout = attempt_timeout(wait, left);
            let is_whole_attempt = is_commit(&call) || self.is_for_operators;
            if is_whole_attempt && self.spoke_lately(&address) {
                timeout = timeout.max(commit_timeout(left));
            }
            let attempt = match self.attempt(&address, call.clone(), timeout).await {
                Ok(reply) => return Ok(reply),
                Err(attempt) => attempt,
            };
            // Hosts that name each other would be followed without end, so one redirect in a row is
            // followed without a pause.
            is_redirected = attempt.is_redirect && !is_redirected;
            failed.record(&address, attempt.reason, &attempt.message, asked.elapsed().as_millis());
            if attempt.is_unknown {
                unknown_effect = Some((failed.message.clone(), attempt.reason));
            }
            match attempt.reason {
                FailureReason::Overloaded if started.elapsed() >= budget / OVERLOADED_DIVISOR => {
                    break;
                }
                // Calls that were refused together must not come back together.
                FailureReason::Overloaded => {
                    let delay = MAX_RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5));
                    task::sleep(delay).await;
                }
                _ if is_redirected => {}
                _ => {
                    task::sleep(retry_delay).await;
                    retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
                }
            }
        }
        failed.leader = self.tracker.load().leader().cloned();
        Err(match unknown_effect {
            Some((message, reason)) => {
                LeaderError::Unknown(Box::new(FailedCall { message, reason, ..failed }))
            }
            None => LeaderError::NotSubmitted(Box::new(failed)),
        })
    }

    /// Calls the leader once, and once more if that host names another one. For calls that only the leader serves and
    /// whose callers repeat them.
    ///
    /// # Errors
    /// Fails with a [`LeaderError`] if no leader is known or it did not answer within `timeout`.
    pub async fn call_leader(
        &self,
        call: call::Call,
        timeout: Duration,
    ) -> Result<reply::Reply, LeaderError> {
        let mut failed = FailedCall::not_tried("no control host is known");
        let Some(mut address) = self.next_address(0) else {
            return Err(LeaderError::NotSubmitted(Box::new(failed)));
        };
        let asked = Instant::now();
        let mut called = self.attempt(&address, call.clone(), timeout).await;
        let left = timeout.saturating_sub(asked.elapsed());
        if let Err(FailedAttempt { is_redirect: true, reason, message, .. }) = &called {
            failed.record(&address, *reason, message, asked.elapsed().as_millis());
            if let Some(named) = self.next_address(1) {
                called = self.attempt(&named, call, left).await;
                address = named;
            }
        }
        called.map_err(|attempt| {
            let time_ms = asked.elapsed().as_millis();
            failed.record(&address, attempt.reason, &attempt.message, time_ms);
            failed.leader = self.tracker.load().leader().cloned();
            match attempt.is_unknown {
                true => LeaderError::Unknown(Box::new(failed)),
                false => LeaderError::NotSubmitted(Box::new(failed)),
            }
        })
    }

    /// One call to one control host, whose end tells something of the leader.
    async fn attempt(
        &self,
        address: &str,
        call: call::Call,
        timeout: Duration,
    ) -> Result<reply::Reply, FailedAttempt> {
        let asked = Instant::now();
        match self.call_host(address, call, timeout).await {
            Ok(Reply { reply: Some(reply::Reply::Failure(failure)) }) => {
                let time = asked.elapsed();
                let names_leader = self
                    .update(|tracker, now| tracker.record_failure(address, &failure, time, now));
                let is_unknown = failure.kind() == FailureKind::CommitUnknown;
                Err(FailedAttempt {
                    reason: FailureReason::from(failure.kind()),
                    message: failure.message,
                    is_unknown,
                    is_redirect: names_leader && !is_unknown,
                })
            }
            Ok(Reply { reply: Some(reply) }) => {
                self.record_answer(address, &reply, asked);
                Ok(reply)
            }
            Ok(Reply { reply: None }) => Err(FailedAttempt {
                reason: FailureReason::Other,
                message: "empty reply".to_owned(),
                is_unknown: false,
                is_redirect: false,
            }),
            Err(error @ CallError::Overloaded) => Err(FailedAttempt {
                reason: FailureReason::from(&error),
                message: error.to_string(),
                is_unknown: false,
                is_redirect: false,
            }),
            Err(error) => {
                // A caller that had less time than an answer takes tells nothing of the host.
                let is_cut_short = timeout < MIN_ATTEMPT_TIMEOUT && asked.elapsed() >= timeout;
                if !is_cut_short {
                    self.update(|tracker, now| tracker.record_no_answer(address, asked, now));
                }
                Err(FailedAttempt {
                    reason: FailureReason::from(&error),
                    message: error.to_string(),
                    is_unknown: matches!(error, CallError::Lost(_)),
                    is_redirect: false,
                })
            }
        }
    }

    /// True if the host said itself, not long ago, that it leads.
    fn spoke_lately(&self, address: &str) -> bool {
        let tracker = self.tracker.load();
        let leader = tracker.leader().filter(|leader| leader.address == address);
        leader.is_some_and(|leader| {
            leader.is_direct() && leader.heard_at.elapsed() < FRESH_STATEMENT_AGE
        })
    }

    /// Takes note of a failure that a control host answered to another call after `time`.
    pub fn hear_failure(&self, address: &str, failure: &CallFailure, time: Duration) {
        self.update(|tracker, now| tracker.record_failure(address, failure, time, now));
    }

    /// One call to one control host.
    async fn call_host(
        &self,
        address: &str,
        call: call::Call,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let is_for_operator = self.is_for_operators;
        let message = Call { call: Some(call), is_for_operator, ..Call::default() };
        let called = self.caller.call(address, TrafficClass::Bulk, message, timeout);
        let called = async_std::future::timeout(timeout + GIVE_UP_MARGIN, called).await;
        called.unwrap_or_else(|_| Err(CallError::Lost("no end of the call".to_owned())))
    }

    /// Applies a change to what is known of the leader; returns its result.
    fn update<T: Default>(&self, change: impl Fn(&mut LeaderTracker, Instant) -> T) -> T {
        let (now, mut changed) = (Instant::now(), T::default());
        self.tracker.rcu(|tracker| {
            let mut next = LeaderTracker::clone(tracker);
            changed = change(&mut next, now);
            next
        });
        changed
    }

    /// Records that a control host served a call. One that answered a read may be a follower.
    fn record_answer(&self, address: &str, reply: &reply::Reply, asked: Instant) {
        let tracker = self.tracker.load();
        let is_known = tracker.leader().is_some_and(|leader| leader.address == address);
        if is_known || !matches!(reply, reply::Reply::LedgerAnswer(_)) {
            let hint = self.hint.leader().filter(|leader| leader.address == address);
            let term = hint.map_or(0, |leader| leader.term);
            self.update(|tracker, now| tracker.record_answer(address, term, asked, now));
        }
    }

    /// Address for the next attempt of a call: the leader or, while none can be called, the replicas in turn. A call
    /// that has failed as often as there are replicas goes to any control host, as the list of replicas may be old.
    fn next_address(&self, attempts: usize) -> Option<String> {
        if let Some(hint) = self.hint.leader() {
            self.update(|tracker, now| tracker.hear(&hint, now));
        }
        let turn = self.round_robin.fetch_add(1, Ordering::Relaxed);
        let mut replicas = self.hint.replica_addresses();
        if attempts >= replicas.len() {
            replicas.clear();
        }
        let hosts = self.hint.control_addresses();
        self.tracker.load().target(&replicas, &hosts, turn, Instant::now())
    }
}

/// An attempt of a call that failed.
struct FailedAttempt {
    reason: FailureReason,
    message: String,
    /// The call may have taken effect.
    is_unknown: bool,
    /// It names a leader that can be called at once.
    is_redirect: bool,
}

/// Time for one attempt of a call that has `left`. The leader's wait for news is not shortened.
fn attempt_timeout(wait: Duration, left: Duration) -> Duration {
    let share = left.saturating_sub(wait) / 2;
    let timeout = share.max(MIN_ATTEMPT_TIMEOUT).min(CALL_TIMEOUT);
    left.min(wait + timeout)
}

/// True for calls that end with a commit. If one is cut off, its effect is unknown.
fn is_commit(call: &call::Call) -> bool {
    matches!(call, call::Call::LedgerCommand(_) | call::Call::RetireHost(_))
}

/// Time for a commit at a leader that is known to answer: that of a usual call, if an attempt elsewhere can follow.
fn commit_timeout(left: Duration) -> Duration {
    CALL_TIMEOUT.min(left.saturating_sub(MIN_ATTEMPT_TIMEOUT))
}
