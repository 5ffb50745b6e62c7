use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::task;
use async_trait::async_trait;

use crate::control::CommandClass;
use crate::peer::{CallError, PeerCaller, TrafficClass};
use crate::raft::LeaderTracker;
use crate::schema::peer::{
    call, reply, Call, ChangeReplicas, ConfigurationNotice, FailureKind, Reply, WatchConfiguration,
};
use crate::schema::state::{command, query, Command, Outcome, Query, QueryAnswer};
use crate::state::{StateClient, StateError};

/// Total time after which a call fails if no leader replied.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Timeout of a call that must not be sent twice.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of one attempt of a call that may be sent again. It covers two round trips between
/// regions, a commit and a busy host. After it, the call is sent to the next control host, because
/// the previous leader may be partitioned although its connection looks open.
const REPEATABLE_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before a call is sent to the next control host.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Client of the replicated state: sends each call to the control host that is the leader, and
/// finds the leader by trying the control hosts in turn.
pub struct RemoteState {
    caller: Arc<dyn PeerCaller>,
    addresses: Vec<String>,
    /// What replies and failures say of the leader.
    tracker: ArcSwap<LeaderTracker>,
    /// Counter that selects the next address to try while no leader is known.
    next: AtomicUsize,
    host_id: String,
}

/// Result of one attempt of a call.
enum AttemptResult {
    Reply(Box<reply::Reply>),
    /// The call had no effect and may be sent to another host.
    Retryable(String),
    /// The call had no effect, and every host would reject it.
    Rejected(String),
    /// The call may have taken effect, for example as a proposed command.
    Unknown(String),
}

impl RemoteState {
    /// Creates a client of the control hosts at the peer addresses `addresses`.
    pub fn open(caller: Arc<dyn PeerCaller>, addresses: &[String], host_id: &str) -> Self {
        Self {
            caller,
            addresses: addresses.to_vec(),
            tracker: ArcSwap::default(),
            next: AtomicUsize::new(0),
            host_id: host_id.to_owned(),
        }
    }

    /// Address of the leader or, while none can be called, of the next control host in turn.
    fn target_address(&self) -> Option<String> {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.tracker.load().target(&[], &self.addresses, turn, Instant::now())
    }

    async fn call_once(
        &self,
        class: TrafficClass,
        call: call::Call,
        timeout: Duration,
    ) -> AttemptResult {
        let Some(address) = self.target_address() else {
            return AttemptResult::Retryable("no control host is configured".to_owned());
        };
        let call = Call { call: Some(call), ..Call::default() };
        let asked = Instant::now();
        let reply = match self.caller.call(&address, class, call, timeout).await {
            Ok(Reply { reply: Some(reply) }) => reply,
            Ok(Reply { reply: None }) => return AttemptResult::Retryable("empty reply".to_owned()),
            Err(CallError::Overloaded) => {
                return AttemptResult::Retryable(CallError::Overloaded.to_string());
            }
            Err(error) => {
                self.update(|tracker, now| tracker.record_no_answer(&address, asked, now));
                return match error {
                    CallError::Lost(reason) => AttemptResult::Unknown(reason),
                    error => AttemptResult::Retryable(error.to_string()),
                };
            }
        };
        match reply {
            reply::Reply::Failure(failure) => {
                let time = asked.elapsed();
                self.update(|tracker, now| {
                    tracker.record_failure(&address, &failure, time, now);
                });
                match failure.kind() {
                    FailureKind::CommitUnknown => AttemptResult::Unknown(failure.message),
                    FailureKind::Refused => AttemptResult::Rejected(failure.message),
                    _ => AttemptResult::Retryable(failure.message),
                }
            }
            reply => {
                self.update(|tracker, now| tracker.record_answer(&address, 0, asked, now));
                AttemptResult::Reply(Box::new(reply))
            }
        }
    }

    /// Applies a change to what is known of the leader.
    fn update(&self, change: impl Fn(&mut LeaderTracker, Instant)) {
        let now = Instant::now();
        self.tracker.rcu(|tracker| {
            let mut next = LeaderTracker::clone(tracker);
            change(&mut next, now);
            next
        });
    }

    /// Repeats a call until a leader replies. `repeatable` calls are sent again even if the reply
    /// to an earlier attempt was lost.
    async fn call(
        &self,
        class: TrafficClass,
        call: call::Call,
        repeatable: bool,
    ) -> Result<reply::Reply, StateError> {
        let started = Instant::now();
        let mut lost_reply: Option<String> = None;
        loop {
            let timeout = if repeatable { REPEATABLE_CALL_TIMEOUT } else { CALL_TIMEOUT };
            let reason = match self.call_once(class, call.clone(), timeout).await {
                AttemptResult::Reply(reply) => return Ok(*reply),
                AttemptResult::Retryable(reason) => reason,
                AttemptResult::Rejected(reason) => return Err(StateError::NotSubmitted(reason)),
                AttemptResult::Unknown(reason) if repeatable => {
                    lost_reply = Some(reason.clone());
                    reason
                }
                AttemptResult::Unknown(reason) => return Err(StateError::Unknown(reason)),
            };
            if started.elapsed() > TOTAL_TIMEOUT {
                return Err(match lost_reply {
                    Some(reason) => StateError::Unknown(reason),
                    None => StateError::NotSubmitted(reason),
                });
            }
            task::sleep(RETRY_DELAY).await;
        }
    }
}

#[async_trait]
impl StateClient for RemoteState {
    async fn submit(&self, command: Command) -> Result<Outcome, StateError> {
        let class = CommandClass::from(&command).into();
        let repeatable = !command.command_id.is_empty() || is_idempotent(&command);
        match self.call(class, call::Call::Command(command), repeatable).await? {
            reply::Reply::Outcome(outcome) => Ok(outcome),
            _ => Err(StateError::Unknown("unexpected reply".to_owned())),
        }
    }

    async fn query(&self, query: Query) -> Result<QueryAnswer, StateError> {
        let class = match query.query {
            Some(query::Query::ListItems(_) | query::Query::ReadFile(_)) => TrafficClass::Bulk,
            _ => TrafficClass::Online,
        };
        match self.call(class, call::Call::Query(query), true).await? {
            reply::Reply::QueryAnswer(answer) => Ok(answer),
            _ => Err(StateError::Unknown("unexpected reply".to_owned())),
        }
    }

    async fn watch_configuration(
        &self,
        known_version: u64,
        wait: Duration,
    ) -> Result<ConfigurationNotice, StateError> {
        let watch = WatchConfiguration {
            known_version,
            wait_ms: wait.as_millis() as u32,
            host_id: self.host_id.clone(),
        };
        let timeout = wait + REPEATABLE_CALL_TIMEOUT;
        let call = call::Call::WatchConfiguration(watch);
        match self.call_once(TrafficClass::Online, call, timeout).await {
            AttemptResult::Reply(reply) => match *reply {
                reply::Reply::Configuration(notice) => Ok(notice),
                _ => Err(StateError::Unknown("unexpected reply".to_owned())),
            },
            AttemptResult::Retryable(reason) | AttemptResult::Rejected(reason) => {
                Err(StateError::NotSubmitted(reason))
            }
            AttemptResult::Unknown(reason) => Err(StateError::Unknown(reason)),
        }
    }

    async fn change_replicas(&self, change: ChangeReplicas) -> Result<(), StateError> {
        let call = call::Call::ChangeReplicas(change);
        match self.call(TrafficClass::Online, call, false).await? {
            reply::Reply::Done(_) => Ok(()),
            _ => Err(StateError::Unknown("unexpected reply".to_owned())),
        }
    }
}

/// True for commands that have no further effect when they are applied a second time.
fn is_idempotent(command: &Command) -> bool {
    matches!(
        command.command,
        Some(
            command::Command::FinishItems(_)
                | command::Command::RenewItems(_)
                | command::Command::CancelJob(_)
                | command::Command::SettleClaim(_)
        )
    )
}
