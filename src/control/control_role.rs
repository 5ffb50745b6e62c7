use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use miette::{IntoDiagnostic, Result, WrapErr};
use prost::Message;

use crate::control::CommandClass;
use crate::peer::{PeerCaller, TrafficClass};
use crate::raft::{
    ChangeError, Group, GroupOptions, ProposeError, ReadError, Replica, ReplicaChange, Transport,
};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{
    call, raft_message, reply, CallFailure, ChangeReplicas, ConfigurationNotice, ControlStatus,
    FailureKind, RaftMessage, WatchConfiguration,
};
use crate::schema::state::{command, Command, Expire, Outcome, Query};
use crate::settings::{ControlSettings, HostSettings};
use crate::state::{DiskBodies, ReplicatedState};

/// Longest wait until a leadership transfer is complete.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which the progress of a leadership transfer is checked.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two commands that expire old state.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// The control role of a host: its replica of the Raft group and the replicated state.
#[derive(Clone)]
pub struct Control {
    shared: Arc<Shared>,
    expire_task: Arc<Mutex<Option<JoinHandle<()>>>>,
}

struct Shared {
    host_id: String,
    group: Group,
    state: Arc<ReplicatedState>,
}

/// Sends Raft messages over the peer connections.
pub(crate) struct PeerTransport {
    pub(crate) caller: Arc<dyn PeerCaller>,
}

impl Transport for PeerTransport {
    fn send(&self, to_address: &str, message: RaftMessage) {
        let class = match &message.body {
            Some(raft_message::Body::SnapshotChunk(_)) => TrafficClass::Bulk,
            Some(raft_message::Body::AppendRequest(request)) if !request.entries.is_empty() => {
                TrafficClass::Replication
            }
            _ => TrafficClass::Consensus,
        };
        self.caller.send(to_address, class, Body::Raft(message));
    }
}

impl Control {
    /// Opens the replica in the data folder and starts the task that expires old state.
    ///
    /// # Errors
    /// If the data folder can't be read or the replica can't be opened.
    pub fn open(settings: &HostSettings, caller: Arc<dyn PeerCaller>) -> Result<Self> {
        let folder = settings.control.data_folder.join("bodies");
        let bodies = DiskBodies::open(&folder)
            .into_diagnostic()
            .wrap_err_with(|| format!("opening {}", folder.display()))?;
        let state = Arc::new(ReplicatedState::open(Arc::new(bodies)));
        let transport = Arc::new(PeerTransport { caller });
        let options = group_options(&settings.control);
        let group = Group::open(options, state.clone(), transport)
            .into_diagnostic()
            .wrap_err("opening the replica of group 1")?;
        let shared = Arc::new(Shared { host_id: settings.host_id.clone(), group, state });
        let expire_task =
            Arc::new(Mutex::new(Some(task::spawn(expire_periodically(shared.clone())))));
        Ok(Self { shared, expire_task })
    }

    /// Delivers a message of another replica.
    pub fn receive(&self, message: RaftMessage) {
        self.shared.group.receive(message);
    }

    /// Executes a call to the control role; other calls fail as unsupported.
    pub async fn handle(&self, call: call::Call) -> reply::Reply {
        match call {
            call::Call::Command(command) => self.shared.submit(command).await,
            call::Call::Query(query) => self.shared.query(&query).await,
            call::Call::WatchConfiguration(watch) => self.shared.watch_configuration(&watch).await,
            call::Call::ControlStatus(_) => reply::Reply::ControlStatus(self.shared.status()),
            call::Call::ChangeReplicas(change) => self.shared.change_replicas(change).await,
            call::Call::TransferLeadership(transfer) => {
                self.shared.transfer_leadership(transfer.to).await
            }
            _ => failure(FailureKind::Unsupported, "not a call for a control host"),
        }
    }

    /// Status of the replica.
    pub fn status(&self) -> ControlStatus {
        self.shared.status()
    }

    /// Transfers leadership to the best follower, if this host is the leader and has a follower
    /// that can take over.
    pub async fn transfer_leadership(&self) {
        let group = &self.shared.group;
        if !group.status().is_leader || group.transfer_leadership(0).await.is_err() {
            return;
        }
        let started = Instant::now();
        while group.status().is_leader && started.elapsed() < TRANSFER_TIMEOUT {
            task::sleep(TRANSFER_POLL_INTERVAL).await;
        }
    }

    /// Transfers leadership to another host and stops the replica.
    pub async fn close(self) {
        self.transfer_leadership().await;
        let expire_task = self.expire_task.lock().expect("lock is not poisoned").take();
        if let Some(expire_task) = expire_task {
            expire_task.cancel().await;
        }
        self.shared.group.clone().close().await;
    }
}

impl Shared {
    async fn submit(&self, mut command: Command) -> reply::Reply {
        command.proposed_at_unix_ms = unix_ms();
        let priority = CommandClass::from(&command).into();
        let proposed = self.group.propose(command.encode_to_vec().into(), priority).await;
        match proposed.map(|outcome: Bytes| Outcome::decode(outcome)) {
            Ok(Ok(outcome)) => reply::Reply::Outcome(outcome),
            Ok(Err(error)) => failure(FailureKind::CommitUnknown, &error.to_string()),
            Err(error) => self.propose_failure(error),
        }
    }

    async fn query(&self, query: &Query) -> reply::Reply {
        match self.group.read_barrier().await {
            Ok(_) => reply::Reply::QueryAnswer(self.state.query(query)),
            Err(error) => self.read_failure(error),
        }
    }

    /// Replies as soon as the configuration is newer than the known version, or after `wait_ms`.
    /// The reply reflects a state that a quorum confirmed after the call arrived.
    async fn watch_configuration(&self, watch: &WatchConfiguration) -> reply::Reply {
        if self.state.configuration().version <= watch.known_version {
            let wait = Duration::from_millis(watch.wait_ms.into());
            let changed = self.state.configuration_changed(watch.known_version);
            let _ = async_std::future::timeout(wait, changed).await;
        }
        if let Err(error) = self.group.read_barrier().await {
            return self.read_failure(error);
        }
        let current = self.state.configuration();
        let configuration =
            (current.version > watch.known_version).then(|| current.as_ref().clone());
        reply::Reply::Configuration(ConfigurationNotice {
            configuration,
            version: current.version,
            confirmed_age_ms: 0,
        })
    }

    async fn transfer_leadership(&self, to: u64) -> reply::Reply {
        match self.group.transfer_leadership(to).await {
            Ok(_) => reply::Reply::Done(Default::default()),
            Err(error) => failure(FailureKind::NotLeader, &error.to_string()),
        }
    }

    async fn change_replicas(&self, change: ChangeReplicas) -> reply::Reply {
        let Some(change) = change.change else {
            return failure(FailureKind::Unsupported, "the change is empty");
        };
        match self.group.change_replicas(ReplicaChange::from(change)).await {
            Ok(()) => reply::Reply::Done(Default::default()),
            Err(ChangeError::NotLeader { .. }) => self.not_leader(),
            Err(ChangeError::Refused(reason)) => failure(FailureKind::Refused, &reason),
            Err(error @ ChangeError::Unknown) => {
                failure(FailureKind::CommitUnknown, &error.to_string())
            }
        }
    }

    fn status(&self) -> ControlStatus {
        let group = crate::schema::peer::GroupStatus::from(&*self.group.status());
        ControlStatus { groups: vec![group], host_id: self.host_id.clone() }
    }
}

/// Replies for calls that could not be served.
impl Shared {
    fn propose_failure(&self, error: ProposeError) -> reply::Reply {
        let message = error.to_string();
        match error {
            ProposeError::NotLeader { .. } => self.not_leader(),
            ProposeError::Unknown => failure(FailureKind::CommitUnknown, &message),
            ProposeError::Storage(_) => failure(FailureKind::Storage, &message),
            ProposeError::Overloaded => failure(FailureKind::Overloaded, &message),
        }
    }

    fn read_failure(&self, error: ReadError) -> reply::Reply {
        match error {
            ReadError::NotLeader { .. } => self.not_leader(),
            error => failure(FailureKind::NoQuorum, &error.to_string()),
        }
    }

    fn not_leader(&self) -> reply::Reply {
        let status = self.group.status();
        reply::Reply::Failure(CallFailure {
            kind: FailureKind::NotLeader.into(),
            message: "this replica does not lead".to_owned(),
            leader_address: status.leader_address.clone().unwrap_or_default(),
            leader_term: status.term,
        })
    }
}

/// Proposes a command that expires old state at a fixed interval while this replica is the leader.
async fn expire_periodically(shared: Arc<Shared>) {
    loop {
        task::sleep(EXPIRE_INTERVAL).await;
        if !shared.group.status().is_leader {
            continue;
        }
        let command =
            Command { command: Some(command::Command::Expire(Expire {})), ..Command::default() };
        let _ = shared.submit(command).await;
    }
}

/// Id of the Raft group that replicates the configuration and the ledger.
const GROUP: u32 = 1;

fn group_options(settings: &ControlSettings) -> GroupOptions {
    let replicas = settings.replicas.iter().map(|replica| Replica {
        id: replica.replica_id,
        peer_address: replica.peer_address.clone(),
        zone: replica.zone.clone(),
        voter: true,
    });
    let folder = settings.data_folder.join(format!("group-{GROUP}"));
    GroupOptions {
        heartbeat_interval_ms: settings.heartbeat_interval_ms,
        election_timeout_ms: settings.election_timeout_ms,
        segment_bytes: settings.segment_bytes,
        snapshot_interval_entries: settings.snapshot_interval_entries,
        data_limit_bytes: settings.data_limit_bytes,
        reserved_bytes: settings.reserved_bytes,
        transfer_bytes_per_s: settings.transfer_bytes_per_s,
        join_existing: settings.join_existing,
        seed: rand::random(),
        ..GroupOptions::new(GROUP, settings.replica_id, folder, replicas.collect())
    }
}

fn failure(kind: FailureKind, message: &str) -> reply::Reply {
    reply::Reply::Failure(CallFailure {
        kind: kind.into(),
        message: message.to_owned(),
        leader_address: String::new(),
        leader_term: 0,
    })
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("system clock is before 1970").as_millis() as u64
}
