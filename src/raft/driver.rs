use std::collections::HashMap;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender};
use bytes::Bytes;

use crate::raft::disk_quota::DiskQuota;
use crate::raft::driver_status::PublishedFields;
use crate::raft::event::Event;
use crate::raft::formation::Formation;
use crate::raft::pending_replies::{ChangeReply, PendingReplies, ReadReply};
use crate::raft::proposal_queue::{Proposal, ProposalQueue};
use crate::raft::recovery::RecoveredReplica;
use crate::raft::snapshot_file::{SnapshotFile, SnapshotFiles};
use crate::raft::storage_thread::{StorageEvent, StorageJob};
use crate::raft::wire::message_to_wire;
use crate::raft::{
    Action, ChangeError, Entry, GroupOptions, GroupStatus, Identity, Message, Payload,
    ProposeError, RaftNode, ReadError, ReplicaChange, Standing, StateMachine, Transport,
};
use crate::schema::peer;
use crate::schema::peer::raft_message::Body as WireBody;
use crate::signal::Signal;

/// Maximum number of events that are handled before the resulting actions are performed.
const EVENT_BATCH: usize = 1024;
/// Maximum number of entries that are applied before further events are handled.
const APPLY_BATCH: usize = 1024;
/// Maximum number of writes in flight; the second one collects entries while the first one is
/// synced.
const MAX_INFLIGHT_WRITES: usize = 2;
/// Maximum wait for an event when no timer is running.
const MAX_IDLE_WAIT_MS: u64 = 10_000;

/// Event loop of one replica, and the only owner of its [`RaftNode`].
///
/// Feeds events and the time to the node, performs the resulting actions and applies committed
/// entries.
pub struct Driver {
    pub(super) context: DriverContext,
    pub(super) options: GroupOptions,
    pub(super) node: RaftNode,
    pub(super) identity: Identity,
    /// Formation of a new group; `None` once the group is formed.
    pub(super) formation: Option<Formation>,
    pub(super) formation_due_ms: u64,
    /// Problem reported in the status.
    pub(super) fault: Option<String>,
    /// The replica has failed and no longer takes part in the group.
    pub(super) is_stopped: bool,
    started: Instant,
    inflight_writes: usize,
    queue: ProposalQueue,
    pending_replies: PendingReplies,
    pub(super) applied_index: u64,
    pub(super) files: SnapshotFiles,
    pub(super) is_saving: bool,
    /// The state machine is capturing the state for a snapshot; nothing may be applied meanwhile.
    pub(super) is_capturing: bool,
    pub(super) bytes_since_snapshot: u64,
    /// Open files of snapshots that are being sent, by follower id.
    pub(super) outgoing_snapshots: HashMap<u64, Arc<SnapshotFile>>,
    /// Last known peer addresses by replica id, used for replicas outside the replica set.
    addresses: HashMap<u64, String>,
    /// Values at the last publication of the status.
    pub(super) published: Option<PublishedFields>,
}

/// Connections of a driver to the rest of the process.
pub struct DriverContext {
    /// The replicated state machine.
    pub machine: Arc<dyn StateMachine>,
    /// Transport for messages to other replicas.
    pub transport: Arc<dyn Transport>,
    /// Receives the events to handle.
    pub events: Receiver<Event>,
    /// Sends completion events of work that runs on other threads.
    pub event_sender: Sender<Event>,
    /// Sends jobs to the storage thread.
    pub jobs: mpsc::Sender<StorageJob>,
    /// Usage and limit of the data folder.
    pub disk_quota: Arc<DiskQuota>,
    /// The published status of the replica.
    pub status: Arc<ArcSwap<GroupStatus>>,
    /// Notified when further entries are applied.
    pub applied: Arc<Signal>,
}

impl Driver {
    /// Creates a driver from the state read from the disk.
    pub fn new(options: GroupOptions, recovery: RecoveredReplica, context: DriverContext) -> Self {
        let RecoveredReplica { recovered, identity, fault, .. } = recovery;
        let is_forming = identity.standing == Standing::Forming;
        let initial = options.replicas.iter().map(|replica| replica.id);
        let formation = is_forming.then(|| Formation::new(&identity, initial));
        let addresses =
            options.replicas.iter().map(|replica| (replica.id, replica.peer_address.clone()));
        let mut driver = Self {
            addresses: addresses.collect(),
            applied_index: recovered.snapshot.last_index,
            node: RaftNode::new(options.node_config(), recovered, 0, options.seed),
            files: SnapshotFiles::new(&options.data_folder),
            context,
            options,
            identity,
            formation,
            formation_due_ms: 0,
            fault,
            is_stopped: false,
            started: Instant::now(),
            inflight_writes: 0,
            queue: ProposalQueue::default(),
            pending_replies: PendingReplies::default(),
            is_saving: false,
            is_capturing: false,
            bytes_since_snapshot: 0,
            outgoing_snapshots: HashMap::new(),
            published: None,
        };
        driver.publish();
        driver
    }

    /// Runs until the group is closed.
    pub async fn run(mut self) {
        self.check_formation();
        loop {
            let wait_ms = self.due_ms().saturating_sub(self.now_ms());
            let wait = Duration::from_millis(wait_ms);
            let mut next = match self.context.events.try_recv() {
                Ok(event) => Some(event),
                Err(_) if wait_ms == 0 => None,
                Err(_) => async_std::future::timeout(wait, self.context.events.recv())
                    .await
                    .ok()
                    .and_then(Result::ok),
            };
            let mut handled = 0;
            while let Some(event) = next {
                if matches!(event, Event::Close) {
                    return;
                }
                self.handle(event).await;
                handled += 1;
                next = match handled < EVENT_BATCH {
                    true => self.context.events.try_recv().ok(),
                    false => None,
                };
            }
            let now_ms = self.now_ms();
            self.tick_formation(now_ms);
            self.node.tick(now_ms);
            self.node.flush_reads(now_ms);
            self.submit_proposals(now_ms);
            self.perform_actions();
            self.apply();
            self.save_snapshot();
            self.publish();
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Time at which the loop must run next, even without an event.
    fn due_ms(&self) -> u64 {
        let may_apply = !self.is_stopped && !self.is_capturing;
        if may_apply && self.applied_index < self.node.commit_index() {
            return 0;
        }
        let formation_ms = self.formation.as_ref().map(|_| self.formation_due_ms);
        let idle_ms = self.now_ms() + MAX_IDLE_WAIT_MS;
        let due = [self.node.due_ms().filter(|_| !self.is_stopped), formation_ms];
        due.into_iter().flatten().fold(idle_ms, u64::min)
    }

    async fn handle(&mut self, event: Event) {
        let now_ms = self.now_ms();
        match event {
            Event::Message(message) => self.handle_message(now_ms, message),
            Event::Propose(proposal) => self.queue.push(proposal),
            Event::Read(reply) => self.handle_read(now_ms, reply),
            Event::Change(change, reply) => self.handle_change(now_ms, &change, reply),
            Event::Transfer(to, reply) => {
                let answer = match self.node.is_leader() {
                    true => self.node.transfer_leadership(now_ms, to).map_err(ChangeError::Refused),
                    false => Err(ChangeError::NotLeader { leader_address: self.leader_address() }),
                };
                let _ = reply.send(answer);
            }
            Event::Storage(event) => self.handle_storage(now_ms, event),
            Event::SnapshotCaptured => self.is_capturing = false,
            Event::SnapshotSaved(meta, saved) => self.handle_snapshot_saved(meta, saved),
            Event::ChunkStored(stored) => self.handle_chunk_stored(stored).await,
            Event::ChunkRead(to, read) => self.handle_chunk_read(now_ms, to, read),
            Event::Close => {}
        }
    }

    fn handle_message(&mut self, now_ms: u64, message: peer::RaftMessage) {
        if message.group != self.options.group || self.is_stopped {
            return;
        }
        if !message.from_address.is_empty() {
            self.addresses.insert(message.from, message.from_address.clone());
        }
        if let Some(WireBody::Formation(formation)) = message.body {
            self.handle_formation(message.from, formation);
            return;
        }
        if self.formation.is_some() {
            return;
        }
        match Message::try_from(message) {
            Ok(message) => self.node.step(now_ms, message),
            Err(error) => log::warn!("group {}: {error}", self.options.group),
        }
    }

    fn handle_read(&mut self, now_ms: u64, reply: ReadReply) {
        let id = self.pending_replies.next_read_id();
        if self.is_stopped || !self.node.read(now_ms, id) {
            let leader_address = self.leader_address();
            let _ = reply.send(Err(ReadError::NotLeader { leader_address }));
            return;
        }
        self.pending_replies.add_read(id, reply);
    }

    fn handle_change(&mut self, now_ms: u64, change: &ReplicaChange, reply: ChangeReply) {
        if self.is_stopped || !self.node.is_leader() {
            let leader_address = self.leader_address();
            let _ = reply.send(Err(ChangeError::NotLeader { leader_address }));
            return;
        }
        match self.node.change_replicas(now_ms, change) {
            Ok((index, term)) => {
                self.pending_replies.add_change(index, term, reply);
            }
            Err(reason) => {
                let _ = reply.send(Err(ChangeError::Refused(reason)));
            }
        }
    }

    fn handle_storage(&mut self, now_ms: u64, event: StorageEvent) {
        match event {
            StorageEvent::Persisted { jobs, identity, last } => {
                self.inflight_writes -= jobs;
                if let Some(identity) = &identity {
                    self.standing_persisted(now_ms, identity.standing);
                }
                self.node.persisted(now_ms, identity.map(|identity| identity.hard_state), last);
            }
            StorageEvent::Fetched { to, entries } => self.node.fetched(now_ms, to, entries),
            StorageEvent::Failed(reason) => self.stop(format!("storage failed: {reason}")),
        }
    }

    /// Stops the replica permanently and fails the pending calls.
    pub(super) fn stop(&mut self, reason: String) {
        log::error!("group {}: replica stopped: {reason}", self.options.group);
        self.fault = Some(reason);
        self.is_stopped = true;
        self.pending_replies.fail_all();
    }

    /// Proposes queued commands while fewer than [`MAX_INFLIGHT_WRITES`] writes are in flight, so
    /// that commands that arrive during a sync are written together and in the order of their
    /// priority.
    fn submit_proposals(&mut self, now_ms: u64) {
        while self.inflight_writes < MAX_INFLIGHT_WRITES && !self.is_stopped {
            let batch = self.queue.next_batch();
            if batch.is_empty() {
                break;
            }
            let commands = batch.iter().map(|proposal| Payload::Command(proposal.command.clone()));
            let Some((first_index, term)) = self.node.propose(commands.collect()) else {
                self.reject_proposals(batch);
                continue;
            };
            for (index, proposal) in (first_index..).zip(batch) {
                self.pending_replies.add_command(index, term, proposal.reply, proposal.permit);
            }
            self.node.replicate_all(now_ms);
            self.perform_actions();
        }
        if self.is_stopped || !self.node.is_leader() {
            let remaining = self.queue.drain();
            self.reject_proposals(remaining);
        }
    }

    /// Fails proposals, which were not appended to the log, because this replica is not the leader.
    fn reject_proposals(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            let leader_address = self.leader_address();
            let _ = proposal.reply.send(Err(ProposeError::NotLeader { leader_address }));
        }
    }

    /// Performs the actions queued by the node.
    fn perform_actions(&mut self) {
        for action in self.node.take_actions() {
            if self.is_stopped {
                return;
            }
            match action {
                Action::Persist { hard_state, entries } => {
                    let identity = hard_state.map(|hard_state| {
                        self.identity.hard_state = hard_state;
                        self.identity.clone()
                    });
                    self.write(identity, entries);
                }
                Action::Send(message) => self.send(&message),
                Action::ReadConfirmed { id, index, confirmed_ms } => {
                    self.pending_replies.confirm_read(id, index, confirmed_ms);
                }
                Action::SteppedDown => self.pending_replies.fail_all(),
                Action::Fetch { to, first_index } => {
                    let limit_bytes = self.options.node_config().append_bytes;
                    let job = StorageJob::Fetch { to, first_index, limit_bytes };
                    let _ = self.context.jobs.send(job);
                }
                Action::ReadChunk { to, last_index, offset_bytes } => {
                    self.read_chunk(to, last_index, offset_bytes);
                }
                Action::StoreChunk(chunk) => self.store_chunk(chunk),
                Action::RecordMembership => self.record_membership(),
                Action::Fault(reason) => self.stop(reason),
            }
        }
    }

    /// Sends a write to the storage thread, unless there is nothing to write.
    pub(super) fn write(&mut self, identity: Option<Identity>, entries: Vec<Entry>) {
        if identity.is_none() && entries.is_empty() {
            return;
        }
        self.inflight_writes += 1;
        let _ = self.context.jobs.send(StorageJob::Write { identity, entries });
    }

    /// Sends a message, unless the address of the receiver is unknown.
    fn send(&mut self, message: &Message) {
        let Some(address) = self.address(message.to) else { return };
        let mut wire = message_to_wire(self.options.group, message);
        if let Some(own) = self.node.replicas().get(self.options.replica_id) {
            wire.from_address = own.peer_address.clone();
        }
        self.context.transport.send(&address, wire);
    }

    /// Peer address of a replica: from the replica set, else the last known one.
    pub(super) fn address(&self, id: u64) -> Option<String> {
        let known = self.node.replicas().get(id).map(|replica| replica.peer_address.clone());
        known.or_else(|| self.addresses.get(&id).cloned())
    }

    pub(super) fn leader_address(&self) -> Option<String> {
        self.address(self.node.leader_id()?)
    }

    /// Applies a batch of committed entries and answers the calls that waited for them.
    fn apply(&mut self) {
        if self.is_stopped || self.is_capturing {
            return;
        }
        for _ in 0..APPLY_BATCH {
            if self.applied_index >= self.node.commit_index() {
                break;
            }
            let index = self.applied_index + 1;
            let Some(entry) = self.node.log().get(index) else {
                self.stop(format!("committed entry {index} is not in memory"));
                return;
            };
            let term = entry.term;
            self.bytes_since_snapshot += entry.size_bytes() as u64;
            let outcome = match &entry.payload {
                Payload::Command(command) => self.context.machine.apply(index, command),
                Payload::Empty | Payload::Replicas(_) => Bytes::new(),
            };
            self.applied_index = index;
            self.pending_replies.answer(index, term, outcome);
        }
        self.node.trim_log_cache(self.applied_index);
        self.pending_replies.answer_reads(self.applied_index, self.now_ms());
    }
}
