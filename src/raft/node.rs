use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::raft::leader::Leader;
use crate::raft::{
    Action, Body, Entry, HardState, Log, Message, NodeConfig, ReplicaSet, SnapshotMeta, Standing,
};

/// The decisions of one replica: events and the time go in, [`Action`]s come out.
///
/// Times are milliseconds of any clock that does not go backwards.
pub struct RaftNode {
    pub(super) config: NodeConfig,
    pub(super) random: SmallRng,
    pub(super) log: Log,
    pub(super) hard_state: HardState,
    /// Term and vote on the disk.
    pub(super) saved: HardState,
    /// Last index that is synced.
    pub(super) durable_index: u64,
    pub(super) commit_index: u64,
    pub(super) standing: Standing,
    /// The driver was asked to record that the replica may vote.
    pub(super) settling: bool,
    pub(super) role: Role,
    pub(super) leader_id: Option<u64>,
    /// When the leader was last heard of.
    pub(super) leader_heard_ms: u64,
    pub(super) election_due_ms: u64,
    /// Newest snapshot on the disk.
    pub(super) snapshot: SnapshotMeta,
    pub(super) incoming: Option<Incoming>,
    pub(super) held: Vec<Message>,
    pub(super) actions: Vec<Action>,
    pub(super) fault: bool,
}

/// What a replica does.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won; holds who agreed.
    PreCandidate(BTreeSet<u64>),
    /// Asks for votes; holds who gave theirs.
    Candidate(BTreeSet<u64>),
    /// Leads.
    Leader(Leader),
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(super) struct Incoming {
    pub last_index: u64,
    pub last_term: u64,
    pub received_bytes: u64,
    /// A piece is being stored.
    pub storing: bool,
    pub from: u64,
}

/// What a replica finds on its disk when it starts.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// Whether it may vote.
    pub standing: Standing,
    /// Newest snapshot; for a new group, index 0 with the initial replicas.
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot, or some before it and all after it.
    pub log: Log,
}

impl RaftNode {
    /// A replica that starts with what it finds on its disk.
    pub fn new(config: NodeConfig, recovered: Recovered, now_ms: u64, seed: u64) -> Self {
        let Recovered { mut hard_state, standing, snapshot, log } = recovered;
        if log.last_term() > hard_state.term {
            hard_state = HardState { term: log.last_term(), vote: None };
        }
        let mut node = Self {
            random: SmallRng::seed_from_u64(seed ^ config.id.rotate_left(32)),
            config,
            durable_index: log.last_index(),
            commit_index: snapshot.last_index,
            log,
            hard_state,
            saved: hard_state,
            standing,
            settling: false,
            role: Role::Follower,
            leader_id: None,
            // A restarted replica may have promised its leader silence just before.
            leader_heard_ms: now_ms,
            election_due_ms: 0,
            snapshot,
            incoming: None,
            held: Vec::new(),
            actions: Vec::new(),
            fault: false,
        };
        node.reset_election(now_ms);
        node
    }

    /// Takes the actions that came up since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Time of the next call of [`RaftNode::tick`].
    pub fn due_ms(&self) -> Option<u64> {
        match &self.role {
            _ if self.fault => None,
            Role::Leader(leader) => Some(leader.due_ms()),
            _ if self.may_campaign() => Some(self.election_due_ms),
            _ => None,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        if self.fault {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now_ms);
            return;
        }
        if now_ms >= self.election_due_ms && self.may_campaign() {
            self.start_pre_vote(now_ms);
        }
    }

    /// Takes a message from another replica.
    pub fn step(&mut self, now_ms: u64, message: Message) {
        if self.fault || message.to != self.config.id || message.from == self.config.id {
            return;
        }
        let Message { from, term, body, .. } = message;
        match body {
            Body::VoteRequest { pre_vote, last_index, last_term, transfer } => {
                if !transfer && self.hears_leader(now_ms) {
                    return;
                }
                let log_is_new = (last_term, last_index) >= self.last();
                self.step_vote_request(now_ms, from, term, pre_vote, log_is_new);
            }
            Body::VoteReply { pre_vote: true, granted: true } => {
                if term == self.hard_state.term + 1 {
                    self.step_pre_vote(now_ms, from);
                }
            }
            _ if term < self.hard_state.term => self.answer_old_term(from, &body),
            body => {
                if term > self.hard_state.term {
                    self.follow(now_ms, term, None);
                }
                self.step_current(now_ms, from, body);
            }
        }
    }

    fn step_current(&mut self, now_ms: u64, from: u64, body: Body) {
        match body {
            Body::VoteReply { pre_vote: false, granted: true } => self.step_vote(now_ms, from),
            Body::AppendRequest(request) => {
                self.hear_leader(now_ms, from);
                self.step_append(from, request);
            }
            Body::SnapshotChunk(chunk) => {
                self.hear_leader(now_ms, from);
                self.step_chunk(from, chunk);
            }
            Body::AppendReply { accepted, index, round, settled } => {
                self.step_append_reply(now_ms, from, accepted, index, round, settled);
            }
            Body::SnapshotReply { last_index, received_bytes, done } => {
                self.step_snapshot_reply(now_ms, from, last_index, received_bytes, done);
            }
            Body::TimeoutNow => self.start_election(now_ms, true),
            Body::VoteReply { .. } | Body::VoteRequest { .. } => {}
        }
    }

    /// Tells a leader of the past about the newer term, so that it steps down.
    fn answer_old_term(&mut self, from: u64, body: &Body) {
        if matches!(body, Body::AppendRequest(_) | Body::SnapshotChunk(_)) {
            self.reply_append(from, false, self.durable_index, 0);
        }
    }

    /// The driver has stored and synced what it was given, up to these.
    pub fn persisted(
        &mut self,
        now_ms: u64,
        hard_state: Option<HardState>,
        last: Option<(u64, u64)>,
    ) {
        if let Some(saved) = hard_state {
            self.saved = saved;
        }
        if self.saved == self.hard_state {
            let held = std::mem::take(&mut self.held);
            self.actions.extend(held.into_iter().map(Action::Send));
            self.count_own_vote(now_ms);
        }
        let Some((index, term)) = last else { return };
        if self.log.term(index) != Some(term) || index <= self.durable_index {
            return;
        }
        self.durable_index = index;
        self.check_settled();
        if let Some(leader_id) = self.leader_id.filter(|&id| id != self.config.id) {
            self.reply_append(leader_id, true, self.durable_index, 0);
            return;
        }
        self.advance_commit(now_ms);
    }

    /// True if it leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader, if one is known.
    pub fn leader_id(&self) -> Option<u64> {
        self.leader_id
    }

    /// Term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Last index that is committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Last index that is synced here.
    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Whether it may vote.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The newest snapshot on the disk.
    pub fn snapshot(&self) -> &SnapshotMeta {
        &self.snapshot
    }

    /// The replicas in force.
    pub fn replicas(&self) -> &ReplicaSet {
        self.log.replicas().0
    }

    /// What a replica is doing.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// A snapshot up to `meta` is on the disk; entries up to `compact_index` are not needed.
    pub fn snapshot_saved(&mut self, meta: SnapshotMeta, compact_index: u64) {
        self.log.compact(compact_index.min(meta.last_index));
        self.snapshot = meta;
    }

    /// Drops applied entries from memory when there are too many.
    pub fn trim(&mut self, applied_index: u64) {
        self.log.trim_cache(applied_index.min(self.durable_index), self.config.cache_bytes);
    }

    pub(super) fn last(&self) -> (u64, u64) {
        (self.log.last_term(), self.log.last_index())
    }

    /// Waits for a leader: 1 to 1.5 times the election timeout.
    pub(super) fn reset_election(&mut self, now_ms: u64) {
        let timeout_ms = self.config.election_timeout_ms;
        self.election_due_ms = now_ms + timeout_ms + self.random.random_range(0..timeout_ms / 2);
    }

    /// Waits for answers in an election: a third to two thirds of the election timeout, so that two
    /// rounds with lost messages still end within 2 s.
    pub(super) fn retry_election(&mut self, now_ms: u64) {
        let third_ms = self.config.election_timeout_ms / 3;
        self.election_due_ms = now_ms + third_ms + self.random.random_range(0..third_ms);
    }

    /// Becomes a follower in `term`.
    pub(super) fn follow(&mut self, now_ms: u64, term: u64, leader_id: Option<u64>) {
        let was_leader = self.is_leader();
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.held.clear();
            self.persist(Vec::new());
        }
        self.role = Role::Follower;
        self.leader_id = leader_id;
        self.reset_election(now_ms);
        if was_leader {
            self.actions.push(Action::SteppedDown);
        }
    }

    /// Asks the driver to store new entries, and term and vote if they changed.
    pub(super) fn persist(&mut self, entries: Vec<Entry>) {
        let hard_state = Some(self.hard_state).filter(|state| *state != self.saved);
        self.actions.push(Action::Persist { hard_state, entries });
    }

    /// Sends a message, after term and vote are on the disk.
    pub(super) fn send(&mut self, to: u64, body: Body) {
        let message = Message { from: self.config.id, to, term: self.hard_state.term, body };
        if self.saved == self.hard_state {
            self.actions.push(Action::Send(message));
        } else {
            self.held.push(message);
        }
    }

    pub(super) fn reply_append(&mut self, to: u64, accepted: bool, index: u64, round: u64) {
        let settled = self.standing == Standing::Member;
        self.send(to, Body::AppendReply { accepted, index, round, settled });
    }
}
