use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender};
use async_std::task;
use bytes::Bytes;

use crate::raft::catch_up_log::CatchUpLog;
use crate::raft::disk_quota::DiskQuota;
use crate::raft::driver_delays::DriverDelays;
use crate::raft::driver_status::PublishedFields;
use crate::raft::driver_storage::Activity;
use crate::raft::event::Event;
use crate::raft::formation::Formation;
use crate::raft::pending_replies::{ChangeReply, PendingReplies, ReadReply};
use crate::raft::proposal_queue::{Proposal, ProposalQueue};
use crate::raft::recovery::RecoveredReplica;
use crate::raft::snapshot_file::{SnapshotFile, SnapshotFiles};
use crate::raft::storage_opener::{OpenedStorage, RunningStorage, StorageOpener};
use crate::raft::storage_thread::StorageJob;
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
/// Time after which further events are handled before more entries are applied; far below a heartbeat
/// interval.
const MAX_APPLY_MS: u64 = 10;
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
    pub(super) activity: Activity,
    /// Opens the storage again after a failure.
    pub(super) opener: Arc<StorageOpener>,
    /// The storage thread; `None` while failed storage is opened again.
    pub(super) storage: Option<RunningStorage>,
    /// Number of the last opening of the storage. Events of the threads of earlier ones are ignored.
    pub(super) opening: u64,
    /// Number of failures of the storage.
    pub(super) storage_failures: u64,
    /// Number of blocking tasks that use files of the replica.
    pub(super) file_tasks: usize,
    started: Instant,
    pub(super) inflight_writes: usize,
    queue: ProposalQueue,
    pub(super) pending_replies: PendingReplies,
    pub(super) applied_index: u64,
    pub(super) files: SnapshotFiles,
    pub(super) is_saving: bool,
    /// Earliest time of the next snapshot, after one that could not be saved.
    pub(super) snapshot_retry_ms: u64,
    /// A follower needs a snapshot, and there is none that can be read.
    pub(super) is_snapshot_missing: bool,
    /// Followers that get the next snapshot, because there is none or the newest one is outdated.
    pub(super) awaiting_snapshot: BTreeSet<u64>,
    /// The state machine is capturing the state for a snapshot; nothing may be applied meanwhile.
    pub(super) is_capturing: bool,
    /// A saved snapshot is replacing the current one; no other one may do so meanwhile.
    pub(super) is_committing: bool,
    /// A received snapshot is replacing the state; nothing may be applied, captured or received meanwhile.
    pub(super) is_installing: bool,
    pub(super) bytes_since_snapshot: u64,
    /// Open files of snapshots that are being sent, by follower id.
    pub(super) outgoing_snapshots: HashMap<u64, Arc<SnapshotFile>>,
    /// Last known peer addresses by replica id, used for replicas outside the replica set.
    addresses: HashMap<u64, String>,
    /// Values at the last publication of the status.
    pub(super) published: Option<PublishedFields>,
    pub(super) delays: DriverDelays,
    pub(super) catch_up_log: CatchUpLog,
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
    /// Usage and limit of the data folder.
    pub disk_quota: Arc<DiskQuota>,
    /// The published status of the replica.
    pub status: Arc<ArcSwap<GroupStatus>>,
    /// Notified when further entries are applied.
    pub applied: Arc<Signal>,
}

impl Driver {
    /// Creates a driver from the state read from the disk.
    pub fn new(
        options: GroupOptions,
        opener: Arc<StorageOpener>,
        opened: OpenedStorage,
        context: DriverContext,
    ) -> Self {
        let OpenedStorage { replica, storage } = opened;
        let RecoveredReplica { recovered, identity, state_bytes, fault } = replica;
        let is_forming = identity.standing == Standing::Forming;
        let initial = options.replicas.iter().map(|replica| replica.id);
        let formation = is_forming.then(|| Formation::new(&identity, initial));
        let addresses =
            options.replicas.iter().map(|replica| (replica.id, replica.peer_address.clone()));
        let mut driver = Self {
            addresses: addresses.collect(),
            catch_up_log: CatchUpLog::new(options.group, options.replica_id),
            applied_index: recovered.snapshot.last_index,
            node: RaftNode::new(options.node_config(), recovered, 0, options.seed),
            files: SnapshotFiles::new(&options.data_folder),
            context,
            options,
            identity,
            formation,
            formation_due_ms: 0,
            fault,
            activity: Activity::Active,
            opener,
            storage: Some(storage),
            opening: 0,
            storage_failures: 0,
            file_tasks: 0,
            started: Instant::now(),
            inflight_writes: 0,
            queue: ProposalQueue::default(),
            pending_replies: PendingReplies::default(),
            is_saving: false,
            snapshot_retry_ms: 0,
            is_snapshot_missing: false,
            awaiting_snapshot: BTreeSet::new(),
            is_capturing: false,
            is_committing: false,
            is_installing: false,
            bytes_since_snapshot: 0,
            outgoing_snapshots: HashMap::new(),
            published: None,
            delays: DriverDelays::default(),
        };
        driver.record_restored_size(state_bytes);
        driver.publish();
        driver
    }

    /// Runs until the group is closed. Returns once nothing uses the files of the replica any more.
    pub async fn run(mut self) {
        self.check_formation();
        loop {
            let due_ms = self.due_ms();
            let wait_ms = due_ms.saturating_sub(self.now_ms());
            let wait = Duration::from_millis(wait_ms);
            if wait_ms == 0 {
                // Other groups and the connections run on the same threads.
                task::yield_now().await;
            }
            let mut next = match self.context.events.try_recv() {
                Ok(event) => Some(event),
                Err(_) if wait_ms == 0 => None,
                Err(_) => async_std::future::timeout(wait, self.context.events.recv())
                    .await
                    .ok()
                    .and_then(Result::ok),
            };
            let started_ms = self.now_ms();
            let mut handled = 0;
            while let Some(event) = next {
                if matches!(event, Event::Close) {
                    self.close().await;
                    return;
                }
                self.handle(event);
                handled += 1;
                next = match handled < EVENT_BATCH {
                    true => self.context.events.try_recv().ok(),
                    false => None,
                };
            }
            let now_ms = self.now_ms();
            self.tick_storage(now_ms);
            if !self.is_stopped() {
                self.tick_formation(now_ms);
                self.node.tick(now_ms);
                self.node.flush_reads(now_ms);
            }
            self.submit_proposals(now_ms);
            self.perform_actions();
            self.apply();
            self.save_snapshot();
            self.publish();
            // A pass that is due at once follows another one and is not late.
            let due_ms = if wait_ms == 0 { started_ms } else { due_ms };
            self.delays.record(due_ms, started_ms, self.now_ms());
        }
    }

    /// Waits for the tasks that use files, and for the last write.
    async fn close(mut self) {
        while self.file_tasks > 0 {
            let Ok(event) = self.context.events.recv().await else { break };
            self.file_tasks -= usize::from(event.ends_file_task());
            if let Event::StorageReopened(opened) = event {
                self.storage = opened.ok().map(|opened| opened.storage);
            }
        }
        if let Some(storage) = self.storage.take() {
            storage.close().await;
        }
    }

    /// True while the replica takes no part in the group.
    pub(super) fn is_stopped(&self) -> bool {
        self.activity != Activity::Active
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Time at which the loop must run next, even without an event.
    fn due_ms(&self) -> u64 {
        if self.may_apply() && self.applied_index < self.node.commit_index() {
            return 0;
        }
        let formation_ms = self.formation.as_ref().map(|_| self.formation_due_ms);
        let idle_ms = self.now_ms() + MAX_IDLE_WAIT_MS;
        let reopen_ms = match self.activity {
            Activity::Suspended { reopen_at_ms } if self.file_tasks == 0 => Some(reopen_at_ms),
            _ => None,
        };
        let active_ms = [self.node.due_ms(), formation_ms];
        let active_ms = active_ms.map(|due_ms| due_ms.filter(|_| !self.is_stopped()));
        let due = active_ms.into_iter().chain([reopen_ms]);
        due.flatten().fold(idle_ms, u64::min)
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.now_ms();
        self.file_tasks -= usize::from(event.ends_file_task());
        match event {
            Event::Message(message) => self.handle_message(now_ms, message),
            Event::Propose(proposal) => self.queue.push(proposal),
            Event::Read(reply) => self.handle_read(now_ms, reply),
            Event::Position(reply) => {
                let position = self.node.position(self.applied_index);
                let _ = reply.send(position.filter(|_| !self.is_stopped()));
            }
            Event::Change(change, reply) => self.handle_change(now_ms, &change, reply),
            Event::Transfer(to, reply) => {
                let answer = match self.node.is_leader() {
                    true => self.node.transfer_leadership(now_ms, to).map_err(ChangeError::Refused),
                    false => Err(ChangeError::NotLeader { leader_address: self.leader_address() }),
                };
                let _ = reply.send(answer);
            }
            Event::Storage(opening, event) => self.handle_storage(now_ms, opening, event),
            Event::StorageReopened(opened) => self.handle_reopened(*opened),
            Event::SnapshotCaptured => self.is_capturing = false,
            Event::SnapshotSaved(meta, saved) => self.handle_snapshot_saved(meta, saved),
            Event::SnapshotCommitted(meta, committed) => {
                self.handle_snapshot_committed(meta, committed);
            }
            Event::SnapshotInstalled(meta, installed) => {
                self.handle_snapshot_installed(meta, installed);
            }
            Event::ChunkStored(stored) => self.handle_chunk_stored(stored),
            Event::ChunkRead(to, read) => self.handle_chunk_read(now_ms, to, read),
            Event::EntriesRead(to, read) => self.handle_entries_read(now_ms, to, read),
            Event::Close => {}
        }
    }

    fn handle_message(&mut self, now_ms: u64, message: peer::RaftMessage) {
        if message.group != self.options.group || self.is_stopped() {
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
        if self.is_stopped() || !self.node.read(now_ms, id) {
            let leader_address = self.leader_address();
            let _ = reply.send(Err(ReadError::NotLeader { leader_address }));
            return;
        }
        self.pending_replies.add_read(id, reply);
    }

    fn handle_change(&mut self, now_ms: u64, change: &ReplicaChange, reply: ChangeReply) {
        if self.is_stopped() || !self.node.is_leader() {
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

    /// Stops the replica permanently after a violated invariant, and fails the pending calls.
    pub(super) fn stop(&mut self, reason: String) {
        log::error!("group {}: replica stopped: {reason}", self.options.group);
        self.fault = Some(reason);
        self.activity = Activity::Stopped;
        self.pending_replies.fail_all();
    }

    /// Proposes queued commands while fewer than [`MAX_INFLIGHT_WRITES`] writes are in flight, so
    /// that commands that arrive during a sync are written together and in the order of their
    /// priority.
    fn submit_proposals(&mut self, now_ms: u64) {
        while self.inflight_writes < MAX_INFLIGHT_WRITES && !self.is_stopped() {
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
        if self.is_stopped() || !self.node.is_leader() {
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
            if self.is_stopped() {
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
                Action::Report(election) => self.log_election(&election),
                Action::Fetch { to, first_index } => self.read_entries(to, first_index),
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
        self.send_job(StorageJob::Write { identity, entries });
    }

    /// Sends a message, unless the address of the receiver is unknown.
    fn send(&mut self, message: &Message) {
        let Some(address) = self.address(message.to) else { return };
        self.catch_up_log.record_sent(message);
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

    /// Peer address of the leader. A replica that takes no part in the group knows none.
    pub(super) fn leader_address(&self) -> Option<String> {
        self.address(self.node.leader_id().filter(|_| !self.is_stopped())?)
    }

    fn may_apply(&self) -> bool {
        !self.is_stopped() && !self.is_capturing && !self.is_installing
    }

    /// Applies a batch of committed entries and answers the calls that waited for them.
    fn apply(&mut self) {
        if !self.may_apply() {
            return;
        }
        let started_ms = self.now_ms();
        while self.applied_index < self.node.commit_index() {
            if self.now_ms() >= started_ms + MAX_APPLY_MS {
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
        self.node.record_applied(self.applied_index);
        self.pending_replies.answer_reads(self.applied_index, self.now_ms());
    }
}
