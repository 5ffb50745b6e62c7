use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_std::channel::{Receiver, Sender};
use bytes::Bytes;
use futures::channel::oneshot;

use crate::raft::event::Event;
use crate::raft::formation::{Formation, FormationState};
use crate::raft::proposal_queue::{Proposal, ProposalQueue, QueuePermit};
use crate::raft::snapshot_file::{SnapshotFile, SnapshotFiles};
use crate::raft::space::Space;
use crate::raft::storage_thread::{StorageEvent, StorageJob};
use crate::raft::wire::message_to_wire;
use crate::raft::{
    Action, ChangeError, GroupOptions, GroupStatus, Identity, Message, Outbox, Payload,
    ProposeError, RaftNode, ReadError, ReadPoint, Recovered, ReplicaChange, Standing, StateMachine,
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
    pub(super) options: GroupOptions,
    pub(super) node: RaftNode,
    pub(super) identity: Identity,
    pub(super) formation: Option<Formation>,
    pub(super) formation_due_ms: u64,
    pub(super) machine: Arc<dyn StateMachine>,
    pub(super) outbox: Arc<dyn Outbox>,
    pub(super) events: Receiver<Event>,
    pub(super) report: Sender<Event>,
    pub(super) jobs: mpsc::Sender<StorageJob>,
    pub(super) space: Arc<Space>,
    pub(super) status: Arc<ArcSwap<GroupStatus>>,
    pub(super) fault: Option<String>,
    /// The replica takes no part any more.
    pub(super) is_stopped: bool,
    started: Instant,
    writes_under_way: usize,
    queue: ProposalQueue,
    waiting: BTreeMap<u64, Waiting>,
    reads: HashMap<u64, oneshot::Sender<Result<ReadPoint, ReadError>>>,
    /// Confirmed reads by the index that must be applied: id and time of the confirmation.
    confirmed_reads: BTreeMap<u64, Vec<(u64, u64)>>,
    next_read_id: u64,
    pub(super) applied_index: u64,
    pub(super) files: SnapshotFiles,
    pub(super) is_saving: bool,
    pub(super) bytes_since_snapshot: u64,
    /// Snapshot files that followers are being sent.
    pub(super) sent_files: HashMap<u64, Arc<SnapshotFile>>,
    /// Addresses of replicas that are not in the replica set, or not yet.
    addresses: HashMap<u64, String>,
    published: Published,
}

/// A proposal in the log.
enum Waiting {
    Command { term: u64, reply: oneshot::Sender<Result<Bytes, ProposeError>>, _permit: QueuePermit },
    Change { term: u64, reply: oneshot::Sender<Result<(), ChangeError>> },
}

/// Parts of the status whose change makes it worth publishing.
type Published = (u64, Option<u64>, u64, u64, bool, Standing, bool, u64);

impl Driver {
    /// A driver that starts with what was found on the disk.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        options: GroupOptions,
        recovered: Recovered,
        identity: Identity,
        fault: Option<String>,
        machine: Arc<dyn StateMachine>,
        outbox: Arc<dyn Outbox>,
        (report, events): (Sender<Event>, Receiver<Event>),
        jobs: mpsc::Sender<StorageJob>,
        space: Arc<Space>,
        status: Arc<ArcSwap<GroupStatus>>,
    ) -> Self {
        let is_forming = identity.standing == Standing::Forming;
        let initial = options.replicas.iter().map(|replica| replica.id);
        let formation = is_forming.then(|| Formation::new(&identity, initial));
        let addresses =
            options.replicas.iter().map(|it| (it.id, it.peer_address.clone())).collect();
        let applied_index = recovered.snapshot.last_index;
        let mut driver = Self {
            node: RaftNode::new(options.node_config(), recovered, 0, options.seed),
            files: SnapshotFiles::new(&options.data_folder),
            options,
            identity,
            formation,
            formation_due_ms: 0,
            machine,
            outbox,
            events,
            report,
            jobs,
            space,
            status,
            fault,
            is_stopped: false,
            started: Instant::now(),
            writes_under_way: 0,
            queue: ProposalQueue::default(),
            waiting: BTreeMap::new(),
            reads: HashMap::new(),
            confirmed_reads: BTreeMap::new(),
            next_read_id: 0,
            applied_index,
            is_saving: false,
            bytes_since_snapshot: 0,
            sent_files: HashMap::new(),
            addresses,
            published: (0, None, 0, 0, false, Standing::Joining, false, 0),
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
            let mut next = match self.events.try_recv() {
                Ok(event) => Some(event),
                Err(_) if wait_ms == 0 => None,
                Err(_) => async_std::future::timeout(wait, self.events.recv())
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
                    true => self.events.try_recv().ok(),
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
        if self.applied_index < self.node.commit_index() && !self.is_stopped {
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

    fn handle_read(&mut self, now_ms: u64, reply: oneshot::Sender<Result<ReadPoint, ReadError>>) {
        self.next_read_id += 1;
        if self.is_stopped || !self.node.read(now_ms, self.next_read_id) {
            let leader_address = self.leader_address();
            let _ = reply.send(Err(ReadError::NotLeader { leader_address }));
            return;
        }
        self.reads.insert(self.next_read_id, reply);
    }

    fn handle_change(
        &mut self,
        now_ms: u64,
        change: &ReplicaChange,
        reply: oneshot::Sender<Result<(), ChangeError>>,
    ) {
        if self.is_stopped || !self.node.is_leader() {
            let leader_address = self.leader_address();
            let _ = reply.send(Err(ChangeError::NotLeader { leader_address }));
            return;
        }
        match self.node.change_replicas(now_ms, change) {
            Ok((index, term)) => {
                self.waiting.insert(index, Waiting::Change { term, reply });
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
        self.fail_waiting();
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
                let Proposal { reply, _permit, .. } = proposal;
                self.waiting.insert(index, Waiting::Command { term, reply, _permit });
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
                    self.confirmed_reads.entry(index).or_default().push((id, confirmed_ms));
                }
                Action::SteppedDown => self.fail_waiting(),
                Action::Fetch { to, first_index } => {
                    let limit_bytes = self.options.node_config().append_bytes;
                    let job = StorageJob::Fetch { to, first_index, limit_bytes };
                    let _ = self.jobs.send(job);
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

    pub(super) fn write(&mut self, identity: Option<Identity>, entries: Vec<crate::raft::Entry>) {
        if identity.is_none() && entries.is_empty() {
            return;
        }
        self.writes_under_way += 1;
        let _ = self.jobs.send(StorageJob::Write { identity, entries });
    }

    fn send(&mut self, message: &Message) {
        let Some(address) = self.address(message.to) else { return };
        let mut wire = message_to_wire(self.options.group, message);
        if let Some(own) = self.node.replicas().get(self.options.replica_id) {
            wire.from_address = own.peer_address.clone();
        }
        self.outbox.send(&address, wire);
    }

    pub(super) fn address(&self, id: u64) -> Option<String> {
        let known = self.node.replicas().get(id).map(|replica| replica.peer_address.clone());
        known.or_else(|| self.addresses.get(&id).cloned())
    }

    pub(super) fn leader_address(&self) -> Option<String> {
        self.address(self.node.leader_id()?)
    }

    fn apply(&mut self) {
        if self.is_stopped {
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
                Payload::Command(command) => self.machine.apply(index, command),
                Payload::Empty | Payload::Replicas(_) => Bytes::new(),
            };
            self.applied_index = index;
            self.answer(index, term, outcome);
        }
        self.node.trim(self.applied_index);
        let now_ms = self.now_ms();
        while let Some(entry) = self.confirmed_reads.first_entry() {
            let index = *entry.key();
            if index > self.applied_index {
                break;
            }
            for (id, confirmed_ms) in entry.remove() {
                let Some(reply) = self.reads.remove(&id) else { continue };
                let confirmed_age_ms = now_ms.saturating_sub(confirmed_ms);
                let _ = reply.send(Ok(ReadPoint { index, confirmed_age_ms }));
            }
        }
    }

    /// Gives the outcome of an applied entry to the caller that proposed it.
    fn answer(&mut self, index: u64, applied_term: u64, outcome: Bytes) {
        match self.waiting.remove(&index) {
            None => {}
            Some(Waiting::Command { term, reply, .. }) => {
                let answer =
                    if term == applied_term { Ok(outcome) } else { Err(ProposeError::Unknown) };
                let _ = reply.send(answer);
            }
            Some(Waiting::Change { term, reply }) => {
                let answer = if term == applied_term { Ok(()) } else { Err(ChangeError::Unknown) };
                let _ = reply.send(answer);
            }
        }
    }

    /// Tells all callers that their fate is not known.
    fn fail_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            match waiting {
                Waiting::Command { reply, .. } => {
                    let _ = reply.send(Err(ProposeError::Unknown));
                }
                Waiting::Change { reply, .. } => {
                    let _ = reply.send(Err(ChangeError::Unknown));
                }
            }
        }
        self.confirmed_reads.clear();
        for reply in std::mem::take(&mut self.reads).into_values() {
            let _ = reply.send(Err(ReadError::NoQuorum));
        }
    }

    fn tick_formation(&mut self, now_ms: u64) {
        let Some(formation) = &self.formation else { return };
        if now_ms < self.formation_due_ms {
            return;
        }
        self.formation_due_ms = now_ms + 2 * self.options.heartbeat_interval_ms;
        for to in formation.peers().collect::<Vec<_>>() {
            self.send_formation(to);
        }
    }

    pub(super) fn send_formation(&mut self, to: u64) {
        let Some(address) = self.address(to) else { return };
        let founders = self.identity.founders.iter();
        let formation = peer::Formation {
            nonce: self.identity.nonce,
            formed: self.formation.is_none(),
            founders: founders
                .map(|&(replica_id, nonce)| peer::FoundingReplica { replica_id, nonce })
                .collect(),
        };
        let message = peer::RaftMessage {
            group: self.options.group,
            from: self.options.replica_id,
            to,
            body: Some(WireBody::Formation(formation)),
            ..Default::default()
        };
        self.outbox.send(&address, message);
    }

    fn handle_formation(&mut self, from: u64, message: peer::Formation) {
        let Some(formation) = &mut self.formation else {
            if !message.formed {
                self.send_formation(from);
            }
            return;
        };
        match message.formed {
            true => {
                let founders = message.founders.iter();
                let founders: Vec<_> = founders.map(|it| (it.replica_id, it.nonce)).collect();
                formation.hear_formed(&founders);
            }
            false => formation.hear_new(from, message.nonce),
        }
        self.check_formation();
    }

    fn check_formation(&mut self) {
        let Some(formation) = &self.formation else { return };
        match formation.state() {
            FormationState::Waiting => {}
            FormationState::Refused => {
                let reason = "the group exists and knows another identity of this replica; \
                              join it under a new replica id";
                if self.fault.is_none() {
                    log::error!("group {}: {reason}", self.options.group);
                }
                self.fault = Some(reason.into());
            }
            FormationState::Formed(founders) => {
                if self.identity.standing != Standing::Member {
                    self.identity = self.identity.formed(founders);
                    self.write(Some(self.identity.clone()), Vec::new());
                }
            }
        }
    }

    /// Records that the replica may vote.
    fn settle(&mut self) {
        log::info!("group {}: replica may vote", self.options.group);
        self.identity.standing = Standing::Member;
        self.write(Some(self.identity.clone()), Vec::new());
        let _ = self.jobs.send(StorageJob::DiscardDamaged);
        self.fault = None;
    }

    /// The identity on the disk has this standing.
    fn note_standing(&mut self, now_ms: u64, standing: Standing) {
        if standing != Standing::Member || self.node.standing() == Standing::Member {
            return;
        }
        self.node.become_member(now_ms);
        self.formation = None;
    }

    fn publish(&mut self) {
        let node = &self.node;
        let data_bytes = self.space.used_bytes();
        let current = (
            node.hard_state().term,
            node.leader_id(),
            node.commit_index(),
            self.applied_index,
            node.is_leader(),
            node.standing(),
            self.fault.is_some(),
            data_bytes,
        );
        if current == self.published {
            return;
        }
        self.published = current;
        let status = GroupStatus {
            group: self.options.group,
            replica_id: self.options.replica_id,
            is_leader: node.is_leader() && !self.is_stopped,
            leader_id: node.leader_id(),
            leader_address: self.leader_address(),
            term: node.hard_state().term,
            commit_index: node.commit_index(),
            applied_index: self.applied_index,
            first_index: node.log().first_index(),
            last_index: node.log().last_index(),
            snapshot_index: node.snapshot().last_index,
            replicas: node.replicas().clone(),
            may_vote: node.standing() == Standing::Member && !self.is_stopped,
            is_stopped: self.is_stopped,
            fault: self.fault.clone(),
            data_bytes,
            followers: node.followers(self.now_ms()),
        };
        self.status.store(Arc::new(status));
    }
}
