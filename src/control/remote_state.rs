use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::task;
use async_trait::async_trait;

use crate::control::CommandClass;
use crate::peer::{CallError, PeerCaller, TrafficClass};
use crate::schema::peer::{
    call, reply, Call, CallFailure, ChangeReplicas, ConfigurationNotice, FailureKind, Reply,
    WatchConfiguration,
};
use crate::schema::state::{command, query, Command, Outcome, Query, QueryAnswer};
use crate::state::{StateClient, StateError};

/// Longest time to keep trying to reach a leader.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Longest time to wait for the reply to a call that may not be repeated.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time to wait for the reply to a call that may be repeated: two round trips between regions,
/// a commit and a busy host. After it the next control host is asked, because the one that led may
/// have been cut off without a sign.
const REPEATABLE_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before the next control host is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Access to the replicated state through the control hosts, wherever their leader is.
pub struct RemoteState {
    caller: Arc<dyn PeerCaller>,
    addresses: Vec<String>,
    leader: ArcSwapOption<String>,
    next: AtomicUsize,
    host_id: String,
}

/// What one call to one control host brought.
enum CallResult {
    Reply(Box<reply::Reply>),
    /// Nothing happened; another host may do.
    Refused(String),
    /// Nothing happened, and no host will do it.
    Final(String),
    /// The command may have been proposed.
    Unknown(String),
}

impl RemoteState {
    /// Access through the control hosts at `addresses`.
    pub fn open(caller: Arc<dyn PeerCaller>, addresses: &[String], host_id: &str) -> Self {
        Self {
            caller,
            addresses: addresses.to_vec(),
            leader: ArcSwapOption::empty(),
            next: AtomicUsize::new(0),
            host_id: host_id.to_owned(),
        }
    }

    fn target(&self) -> Option<Arc<String>> {
        if let Some(leader) = self.leader.load_full() {
            return Some(leader);
        }
        if self.addresses.is_empty() {
            return None;
        }
        let next = self.next.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
        Some(Arc::new(self.addresses[next].clone()))
    }

    async fn call_once(
        &self,
        class: TrafficClass,
        call: call::Call,
        timeout: Duration,
    ) -> CallResult {
        let Some(address) = self.target() else {
            return CallResult::Refused("no control host is configured".to_owned());
        };
        let call = Call { traceparent: String::new(), call: Some(call) };
        let reply = match self.caller.call(&address, class, call, timeout).await {
            Ok(Reply { reply: Some(reply) }) => reply,
            Ok(Reply { reply: None }) => return CallResult::Refused("empty reply".to_owned()),
            Err(CallError::NotSent(reason)) => {
                self.forget_leader();
                return CallResult::Refused(reason);
            }
            Err(CallError::Lost(reason)) => {
                self.forget_leader();
                return CallResult::Unknown(reason);
            }
        };
        match reply {
            reply::Reply::Failure(failure) => self.on_failure(failure),
            reply => {
                self.leader.store(Some(address));
                CallResult::Reply(Box::new(reply))
            }
        }
    }

    fn on_failure(&self, failure: CallFailure) -> CallResult {
        self.forget_leader();
        if failure.kind() == FailureKind::CommitUnknown {
            return CallResult::Unknown(failure.message);
        }
        if failure.kind() == FailureKind::Refused {
            return CallResult::Final(failure.message);
        }
        if !failure.leader_address.is_empty() {
            self.leader.store(Some(Arc::new(failure.leader_address)));
        }
        CallResult::Refused(failure.message)
    }

    fn forget_leader(&self) {
        self.leader.store(None);
    }

    /// Tries until a leader answers. `repeatable` calls are sent again even after a lost reply.
    async fn call(
        &self,
        class: TrafficClass,
        call: call::Call,
        repeatable: bool,
    ) -> Result<reply::Reply, StateError> {
        let started = Instant::now();
        let mut lost: Option<String> = None;
        loop {
            let timeout = if repeatable { REPEATABLE_CALL_TIMEOUT } else { CALL_TIMEOUT };
            let reason = match self.call_once(class, call.clone(), timeout).await {
                CallResult::Reply(reply) => return Ok(*reply),
                CallResult::Refused(reason) => reason,
                CallResult::Final(reason) => return Err(StateError::NotSubmitted(reason)),
                CallResult::Unknown(reason) if repeatable => {
                    lost = Some(reason.clone());
                    reason
                }
                CallResult::Unknown(reason) => return Err(StateError::Unknown(reason)),
            };
            if started.elapsed() > TOTAL_TIMEOUT {
                return Err(match lost {
                    Some(reason) => StateError::Unknown(reason),
                    None => StateError::NotSubmitted(reason),
                });
            }
            task::sleep(RETRY_PAUSE).await;
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
            CallResult::Reply(reply) => match *reply {
                reply::Reply::Configuration(notice) => Ok(notice),
                _ => Err(StateError::Unknown("unexpected reply".to_owned())),
            },
            CallResult::Refused(reason) | CallResult::Final(reason) => {
                Err(StateError::NotSubmitted(reason))
            }
            CallResult::Unknown(reason) => Err(StateError::Unknown(reason)),
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

/// Commands whose second application changes nothing.
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
