use std::collections::HashMap;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender};
use bytes::Bytes;

use crate::raft::callers::{Callers, ChangeReply, ReadReply};
use crate::raft::driver_status::Published;
use crate::raft::event::Event;
use crate::raft::formation::Formation;
use crate::raft::proposal_queue::{Proposal, ProposalQueue};
use crate::raft::recovery::Recovery;
use crate::raft::snapshot_file::{SnapshotFile, SnapshotFiles};
use crate::raft::space::Space;
use crate::raft::storage_thread::{StorageEvent, StorageJob};
use crate::raft::wire::message_to_wire;
use crate::raft::{
    Action, ChangeError, Entry, GroupOptions, GroupStatus, Identity, Message, Outbox, Payload,
    ProposeError, RaftNode, ReadError, ReplicaChange, Standing, StateMachine,
};
use crate::schema::peer;
use crate::schema::peer::raft_message::Body as WireBody;

/// Events that are handled before the actions that follow from them.
const EVENT_BATCH: usize = 1024;
/// Entries that are applied before further events are handled.
const APPLY_BATCH: usize = 1024;
/// Writes that may be under way; a second one lets the log grow while the first one is synced.
const WRITES_UNDER_WAY: usize = 2;
/// Longest wait without an event, for a replica that has nothing to do by itself.
const IDLE_MS: u64 = 10_000;

/// Drives one replica: the only owner of its node.
pub struct Driver {
    pub(super) links: Links,
    pub(super) options: GroupOptions,
    pub(super) node: RaftNode,
    pub(super) identity: Identity,
    /// Present until the group is formed.
    pub(super) formation: Option<Formation>,
    pub(super) formation_due_ms: u64,
    pub(super) fault: Option<String>,
    /// The replica takes no part any more.
    pub(super) is_stopped: bool,
    started: Instant,
    writes_under_way: usize,
    queue: ProposalQueue,
    callers: Callers,
    pub(super) applied_index: u64,
    pub(super) files: SnapshotFiles,
    pub(super) is_saving: bool,
    /// The machine has not fixed yet what it saves, so nothing may be applied.
    pub(super) is_fixing: bool,
    pub(super) bytes_since_snapshot: u64,
    /// Snapshot files that followers are being sent.
    pub(super) sent_files: HashMap<u64, Arc<SnapshotFile>>,
    /// Addresses of replicas that are not in the replica set, or not yet.
    addresses: HashMap<u64, String>,
    pub(super) published: Option<Published>,
}

/// What connects a driver to the rest of the process.
pub struct Links {
    /// The replicated state.
    pub machine: Arc<dyn StateMachine>,
    /// Takes messages for other replicas.
    pub outbox: Arc<dyn Outbox>,
    /// Events to handle.
    pub events: Receiver<Event>,
    /// Takes events of work that is done elsewhere.
    pub report: Sender<Event>,
    /// Takes work for the storage thread.
    pub jobs: mpsc::Sender<StorageJob>,
    /// How full the data folder is.
    pub space: Arc<Space>,
    /// What the replica publishes about itself.
    pub status: Arc<ArcSwap<GroupStatus>>,
}

impl Driver {
    /// A driver that starts with what was found on the disk.
    pub fn new(options: GroupOptions, recovery: Recovery, links: Links) -> Self {
        let Recovery { recovered, identity, fault, .. } = recovery;
        let is_forming = identity.standing == Standing::Forming;
        let initial = options.replicas.iter().map(|replica| replica.id);
        let formation = is_forming.then(|| Formation::new(&identity, initial));
        let addresses = options.replicas.iter().map(|it| (it.id, it.peer_address.clone()));
        let mut driver = Self {
            addresses: addresses.collect(),
            applied_index: recovered.snapshot.last_index,
            node: RaftNode::new(options.node_config(), recovered, 0, options.seed),
            files: SnapshotFiles::new(&options.data_folder),
            links,
            options,
            identity,
            formation,
            formation_due_ms: 0,
            fault,
            is_stopped: false,
            started: Instant::now(),
            writes_under_way: 0,
            queue: ProposalQueue::default(),
            callers: Callers::default(),
            is_saving: false,
            is_fixing: false,
            bytes_since_snapshot: 0,
            sent_files: HashMap::new(),
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
            let mut next = match self.links.events.try_recv() {
                Ok(event) => Some(event),
                Err(_) if wait_ms == 0 => None,
                Err(_) => async_std::future::timeout(wait, self.links.events.recv())
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
                    true => self.links.events.try_recv().ok(),
                    false => None,
                };
            }
            let now_ms = self.now_ms();
            self.tick_formation(now_ms);
            self.node.tick(now_ms);
            self.node.flush_reads(now_ms);
            self.write_proposals(now_ms);
            self.act();
            self.apply();
            self.save_snapshot();
            self.publish();
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn due_ms(&self) -> u64 {
        let may_apply = !self.is_stopped && !self.is_fixing;
        if may_apply && self.applied_index < self.node.commit_index() {
            return 0;
        }
        let formation_ms = self.formation.as_ref().map(|_| self.formation_due_ms);
        let idle_ms = self.now_ms() + IDLE_MS;
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
            Event::SnapshotFixed => self.is_fixing = false,
            Event::SnapshotSaved(meta, saved) => self.handle_saved(meta, saved),
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
        let id = self.callers.next_read_id();
        if self.is_stopped || !self.node.read(now_ms, id) {
            let leader_address = self.leader_address();
            let _ = reply.send(Err(ReadError::NotLeader { leader_address }));
            return;
        }
        self.callers.add_read(id, reply);
    }

    fn handle_change(&mut self, now_ms: u64, change: &ReplicaChange, reply: ChangeReply) {
        if self.is_stopped || !self.node.is_leader() {
            let leader_address = self.leader_address();
            let _ = reply.send(Err(ChangeError::NotLeader { leader_address }));
            return;
        }
        match self.node.change_replicas(now_ms, change) {
            Ok((index, term)) => {
                self.callers.add_change(index, term, reply);
            }
            Err(reason) => {
                let _ = reply.send(Err(ChangeError::Refused(reason)));
            }
        }
    }

    fn handle_storage(&mut self, now_ms: u64, event: StorageEvent) {
        match event {
            StorageEvent::Persisted { jobs, identity, last } => {
                self.writes_under_way -= jobs;
                if let Some(identity) = &identity {
                    self.note_standing(now_ms, identity.standing);
                }
                self.node.persisted(now_ms, identity.map(|it| it.hard_state), last);
            }
            StorageEvent::Fetched { to, entries } => self.node.fetched(now_ms, to, entries),
            StorageEvent::Failed(reason) => self.stop(format!("storage failed: {reason}")),
        }
    }

    /// Takes no part any more, for good.
    pub(super) fn stop(&mut self, reason: String) {
        log::error!("group {}: replica stopped: {reason}", self.options.group);
        self.fault = Some(reason);
        self.is_stopped = true;
        self.callers.fail_all();
    }

    /// Hands waiting commands to the node while few writes are under way, so that commands which
    /// arrive during a sync are written together and in the order of their priority.
    fn write_proposals(&mut self, now_ms: u64) {
        while self.writes_under_way < WRITES_UNDER_WAY && !self.is_stopped {
            let batch = self.queue.take_batch();
            if batch.is_empty() {
                break;
            }
            let commands = batch.iter().map(|it| Payload::Command(it.command.clone()));
            let Some((first_index, term)) = self.node.propose(commands.collect()) else {
                self.refuse(batch);
                continue;
            };
            for (index, proposal) in (first_index..).zip(batch) {
                self.callers.add_command(index, term, proposal.reply, proposal.permit);
            }
            self.node.replicate_all(now_ms);
            self.act();
        }
        if self.is_stopped || !self.node.is_leader() {
            let rest = self.queue.take_all();
            self.refuse(rest);
        }
    }

    fn refuse(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            let leader_address = self.leader_address();
            let _ = proposal.reply.send(Err(ProposeError::NotLeader { leader_address }));
        }
    }

    fn act(&mut self) {
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
                    self.callers.confirm_read(id, index, confirmed_ms);
                }
                Action::SteppedDown => self.callers.fail_all(),
                Action::Fetch { to, first_index } => {
                    let limit_bytes = self.options.node_config().append_bytes;
                    let job = StorageJob::Fetch { to, first_index, limit_bytes };
                    let _ = self.links.jobs.send(job);
                }
                Action::ReadChunk { to, last_index, offset_bytes } => {
                    self.read_chunk(to, last_index, offset_bytes);
                }
                Action::StoreChunk(chunk) => self.store_chunk(chunk),
                Action::Settled => self.settle(),
                Action::Fault(reason) => self.stop(reason),
            }
        }
    }

    pub(super) fn write(&mut self, identity: Option<Identity>, entries: Vec<Entry>) {
        if identity.is_none() && entries.is_empty() {
            return;
        }
        self.writes_under_way += 1;
        let _ = self.links.jobs.send(StorageJob::Write { identity, entries });
    }

    fn send(&mut self, message: &Message) {
        let Some(address) = self.address(message.to) else { return };
        let mut wire = message_to_wire(self.options.group, message);
        if let Some(own) = self.node.replicas().get(self.options.replica_id) {
            wire.from_address = own.peer_address.clone();
        }
        self.links.outbox.send(&address, wire);
    }

    pub(super) fn address(&self, id: u64) -> Option<String> {
        let known = self.node.replicas().get(id).map(|replica| replica.peer_address.clone());
        known.or_else(|| self.addresses.get(&id).cloned())
    }

    pub(super) fn leader_address(&self) -> Option<String> {
        self.address(self.node.leader_id()?)
    }

    fn apply(&mut self) {
        if self.is_stopped || self.is_fixing {
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
                Payload::Command(command) => self.links.machine.apply(index, command),
                Payload::Empty | Payload::Replicas(_) => Bytes::new(),
            };
            self.applied_index = index;
            self.callers.answer(index, term, outcome);
        }
        self.node.trim(self.applied_index);
        self.callers.answer_reads(self.applied_index, self.now_ms());
    }
}
