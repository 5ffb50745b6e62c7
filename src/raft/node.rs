use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::raft::campaign::Campaign;
use crate::raft::leader::Leader;
use crate::raft::run_delay::RunDelay;
use crate::raft::stall_clock::StallClock;
use crate::raft::{
    Action, Body, Entry, HardState, LeadershipEnd, Log, Message, NodeConfig, ReplicaPosition,
    ReplicaSet, SnapshotMeta, SnapshotSize, Stall, Standing, VoteRefusal,
};

/// Raft protocol state of one replica. Its methods take events and the current time and queue
/// [`Action`]s for the driver; it does no I/O.
///
/// Times are milliseconds of any monotonic clock.
pub struct RaftNode {
    pub(super) config: NodeConfig,
    pub(super) random: SmallRng,
    pub(super) log: Log,
    pub(super) hard_state: HardState,
    /// Term and vote that are durable on the disk.
    pub(super) durable_hard_state: HardState,
    /// Age of a write of term and vote.
    pub(super) vote_clock: StallClock,
    /// Age of entries that are not durable here.
    pub(super) write_clock: StallClock,
    /// Age of committed entries that are not durable here.
    pub(super) lag_clock: StallClock,
    /// Age of committed entries that are not applied.
    pub(super) apply_clock: StallClock,
    /// How late this replica itself runs.
    pub(super) run_delay: RunDelay,
    /// What stands still at present.
    pub(super) stall: Option<Stall>,
    /// Last index that the driver has applied.
    pub(super) applied_index: u64,
    /// Last index that is synced to the disk.
    pub(super) durable_index: u64,
    /// Last index up to which the log is known to be that of the leader of the current term.
    pub(super) matched_index: u64,
    pub(super) commit_index: u64,
    pub(super) standing: Standing,
    /// Term, and the first commit index known in it that is an entry of its leader. A joining or repairing replica
    /// becomes a member once it has that entry.
    pub(super) catch_up_goal: Option<(u64, u64)>,
    /// [`Action::RecordMembership`] was issued and [`RaftNode::become_member`] not called yet.
    pub(super) membership_pending: bool,
    pub(super) role: Role,
    /// The campaign in the current term while a pre-vote for the next one runs; `None` if there is
    /// no such campaign. A vote may take longer to be written than the campaign waits.
    pub(super) earlier_campaign: Option<Campaign>,
    /// When the newest vote for another replica was durable and sent.
    pub(super) vote_sent_ms: Option<u64>,
    pub(super) leader_id: Option<u64>,
    /// Time of the last message from a leader.
    pub(super) last_leader_contact_ms: u64,
    /// Term and heartbeat round of the newest message from a leader.
    pub(super) leader_round: (u64, u64),
    /// When the election timer expires.
    pub(super) election_due_ms: u64,
    /// The election timer was extended since the last contact to a leader, because this replica
    /// stood still.
    pub(super) is_election_extended: bool,
    /// Newest snapshot on the disk.
    pub(super) snapshot: SnapshotMeta,
    /// Its size; `None` if there is none, or none that can be read.
    pub(super) snapshot_size: Option<SnapshotSize>,
    /// Snapshot that is being received.
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Messages to send once the current term and vote are durable.
    pub(super) held: Vec<Message>,
    pub(super) actions: Vec<Action>,
    /// Earliest time of the next report of a pre-vote and of a refused vote.
    pub(super) next_reports_ms: (u64, u64),
    /// An invariant was violated; ticks and messages are ignored from then on.
    pub(super) fault: bool,
}

/// The role of a replica.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Runs a pre-vote; holds the ids of the voters that granted it.
    PreCandidate(BTreeSet<u64>),
    /// Campaigns in an election.
    Candidate(Campaign),
    /// Is the leader of the current term.
    Leader(Leader),
}

/// Progress of a snapshot that is being received.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    pub last_index: u64,
    pub last_term: u64,
    pub received_bytes: u64,
    /// The driver is writing a chunk.
    pub storing: bool,
    /// Id of the leader that sends the snapshot.
    pub from: u64,
}

/// State of a replica that was read from its disk at the start.
#[derive(Clone, Debug)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Whether the replica may vote.
    pub standing: Standing,
    /// Newest snapshot; for a new group, index 0 with the initial replicas.
    pub snapshot: SnapshotMeta,
    /// The entries after the snapshot; may also hold some of those before it.
    pub log: Log,
}

impl RaftNode {
    /// Creates a replica from the state on its disk. `seed` seeds the random election timeouts.
    pub fn new(config: NodeConfig, recovered: RecoveredState, now_ms: u64, seed: u64) -> Self {
        let RecoveredState { mut hard_state, standing, snapshot, log } = recovered;
        if log.last_term() > hard_state.term {
            hard_state = HardState { term: log.last_term(), vote: None };
        }
        let mut node = Self {
            random: SmallRng::seed_from_u64(seed ^ config.id.rotate_left(32)),
            config,
            durable_index: log.last_index(),
            matched_index: 0,
            commit_index: snapshot.last_index,
            log,
            hard_state,
            durable_hard_state: hard_state,
            vote_clock: StallClock::default(),
            write_clock: StallClock::default(),
            lag_clock: StallClock::default(),
            apply_clock: StallClock::default(),
            run_delay: RunDelay::default(),
            stall: None,
            applied_index: snapshot.last_index,
            standing,
            catch_up_goal: None,
            membership_pending: false,
            role: Role::Follower,
            earlier_campaign: None,
            vote_sent_ms: None,
            leader_id: None,
            // The replica may have been in contact with a leader just before it restarted, so it
            // grants no votes for one election timeout.
            last_leader_contact_ms: now_ms,
            leader_round: (0, 0),
            election_due_ms: 0,
            is_election_extended: false,
            snapshot,
            snapshot_size: None,
            incoming: None,
            held: Vec::new(),
            actions: Vec::new(),
            next_reports_ms: (0, 0),
            fault: false,
        };
        node.reset_election(now_ms);
        node
    }

    /// Returns the actions queued since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Time at which [`RaftNode::tick`] must be called next; `None` if no timer is running.
    pub fn due_ms(&self) -> Option<u64> {
        match &self.role {
            _ if self.fault => None,
            Role::Leader(leader) => Some(leader.due_ms(self.read_interval_ms())),
            _ if self.may_campaign() => Some(self.election_due_ms),
            _ if self.is_member_voter() => None,
            _ => self.leader_id.map(|_| self.leader_forgotten_ms()),
        }
    }

    /// Handles expired timers: heartbeats, lost quorums, snapshot retries and elections.
    pub fn tick(&mut self, now_ms: u64) {
        if self.fault {
            return;
        }
        self.record_run_delay(now_ms);
        self.observe_progress(now_ms);
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now_ms);
        } else if now_ms >= self.election_due_ms
            && self.may_campaign()
            && !self.extend_late_election(now_ms)
        {
            self.start_pre_vote(now_ms);
        } else if now_ms >= self.leader_forgotten_ms() && !self.is_member_voter() {
            self.leader_id = None;
        }
        self.observe_progress(now_ms);
    }

    /// True if the current term and vote are on the disk.
    pub(super) fn is_vote_durable(&self) -> bool {
        self.durable_hard_state == self.hard_state
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now_ms: u64, message: Message) {
        if self.fault || message.to != self.config.id || message.from == self.config.id {
            return;
        }
        self.record_run_delay(now_ms);
        self.observe_progress(now_ms);
        self.step_unchecked(now_ms, message);
        self.observe_progress(now_ms);
    }

    fn step_unchecked(&mut self, now_ms: u64, message: Message) {
        let Message { from, term, body, .. } = message;
        match body {
            Body::VoteRequest { pre_vote, last_index, last_term, transfer } => {
                if !transfer && self.has_recent_leader(now_ms) {
                    self.report_refusal(now_ms, from, term, VoteRefusal::RecentLeader);
                    return;
                }
                let log_is_up_to_date = (last_term, last_index) >= self.last_term_and_index();
                self.step_vote_request(now_ms, from, term, pre_vote, log_is_up_to_date);
            }
            Body::VoteReply { pre_vote: true, granted: true } => {
                if term == self.hard_state.term + 1 {
                    self.step_pre_vote(now_ms, from);
                }
            }
            _ if term < self.hard_state.term => self.reply_to_stale_term(from, &body),
            body => {
                if term > self.hard_state.term {
                    self.become_follower(now_ms, term, None);
                }
                self.step_current(now_ms, from, body);
            }
        }
    }

    fn step_current(&mut self, now_ms: u64, from: u64, body: Body) {
        match body {
            Body::VoteReply { pre_vote: false, granted: true } => self.step_vote(now_ms, from),
            Body::AppendRequest(request) => {
                self.record_leader_contact(now_ms, from, Some(request.round));
                self.step_append(from, request);
            }
            Body::SnapshotChunk(chunk) => {
                self.record_leader_contact(now_ms, from, None);
                self.step_chunk(from, chunk);
            }
            Body::AppendReply { accepted, index, round, settled } => {
                self.step_append_reply(now_ms, from, accepted, index, round, settled);
            }
            Body::SnapshotReply { last_index, received_bytes, done } => {
                self.step_snapshot_reply(now_ms, from, last_index, received_bytes, done);
            }
            Body::VoteReply { pre_vote, granted: false } => self.step_refusal(from, pre_vote),
            Body::TimeoutNow => self.start_election(now_ms, true),
            Body::VoteReply { .. } | Body::VoteRequest { .. } => {}
        }
    }

    /// Replies to a leader of an older term with the current term, so that it steps down.
    fn reply_to_stale_term(&mut self, from: u64, body: &Body) {
        if matches!(body, Body::AppendRequest(_) | Body::SnapshotChunk(_)) {
            self.reply_append(from, false, self.durable_index, 0);
        }
    }

    /// Handles the completion of a write: `hard_state` and all entries up to `last` (index and
    /// term) are durable.
    pub fn persisted(
        &mut self,
        now_ms: u64,
        hard_state: Option<HardState>,
        last: Option<(u64, u64)>,
    ) {
        if let Some(durable) = hard_state {
            self.durable_hard_state = durable;
        }
        if self.is_vote_durable() {
            if hard_state.is_some() {
                self.vote_persisted(now_ms);
            }
            let held = std::mem::take(&mut self.held);
            self.actions.extend(held.into_iter().map(Action::Send));
            self.count_own_vote(now_ms);
        }
        if let Some((index, term)) = last {
            self.entries_persisted(now_ms, index, term);
        }
        self.observe_progress(now_ms);
    }

    fn entries_persisted(&mut self, now_ms: u64, index: u64, term: u64) {
        if self.log.term(index) != Some(term) || index <= self.durable_index {
            return;
        }
        self.durable_index = index;
        self.try_become_member();
        if let Some(leader_id) = self.leader_id.filter(|&id| id != self.config.id) {
            // The entries may be of an earlier leader. Acknowledging them would let the leader count
            // entries of its own that this replica does not have.
            let matched_index = self.matched_index.max(self.commit_index);
            self.reply_append(leader_id, true, self.durable_index.min(matched_index), 0);
            return;
        }
        self.advance_commit(now_ms);
    }

    /// True if this replica is the leader.
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

    /// Last index that is synced to the disk of this replica.
    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Whether this replica may vote.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// How far this replica has the log and has applied it; `None` unless it has every entry that it ever
    /// acknowledged.
    pub fn position(&self, applied_index: u64) -> Option<ReplicaPosition> {
        if self.standing != Standing::Member || self.fault {
            return None;
        }
        Some(ReplicaPosition {
            replica_id: self.config.id,
            stored: self.log.last_position_with_content(),
            applied: self.log.position(applied_index)?,
            replicas: self.log.replicas_at(applied_index).clone(),
        })
    }

    /// The newest snapshot on the disk.
    pub fn snapshot(&self) -> &SnapshotMeta {
        &self.snapshot
    }

    /// Size of the newest snapshot; `None` if there is none, or none that can be read.
    pub fn snapshot_size(&self) -> Option<SnapshotSize> {
        self.snapshot_size
    }

    /// Records the size of the newest snapshot.
    pub fn record_snapshot_size(&mut self, size: Option<SnapshotSize>) {
        self.snapshot_size = size;
    }

    /// The replica set in force.
    pub fn replicas(&self) -> &ReplicaSet {
        self.log.replicas().0
    }

    /// The role of this replica.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Handles a saved snapshot: `meta` is durable, and entries up to `compact_index` are dropped.
    pub fn snapshot_saved(&mut self, meta: SnapshotMeta, compact_index: u64) {
        self.log.compact(compact_index.min(meta.last_index));
        self.snapshot = meta;
    }

    /// Records the last applied entry, and drops applied entries from memory while the cache exceeds
    /// its size limit.
    pub fn record_applied(&mut self, applied_index: u64) {
        self.applied_index = applied_index;
        self.log.trim_cache(applied_index.min(self.durable_index), self.config.cache_bytes);
    }

    /// Term and index of the last log entry, in the order in which logs are compared.
    pub(super) fn last_term_and_index(&self) -> (u64, u64) {
        (self.log.last_term(), self.log.last_index())
    }

    /// Restarts the election timer with 1 to 1.5 times the election timeout.
    pub(super) fn reset_election(&mut self, now_ms: u64) {
        let timeout_ms = self.config.election_timeout_ms;
        self.election_due_ms = now_ms + timeout_ms + self.random.random_range(0..timeout_ms / 2);
    }

    /// Becomes a follower in `term`.
    pub(super) fn become_follower(&mut self, now_ms: u64, term: u64, leader_id: Option<u64>) {
        let was_leader = self.is_leader();
        if term > self.hard_state.term {
            self.report_leadership_end(now_ms, LeadershipEnd::NewerTerm(term));
            self.hard_state = HardState { term, vote: None };
            self.matched_index = 0;
            self.held.clear();
            self.persist(Vec::new());
        }
        self.role = Role::Follower;
        self.earlier_campaign = None;
        self.leader_id = leader_id;
        self.reset_election(now_ms);
        if was_leader {
            self.actions.push(Action::SteppedDown);
        }
    }

    /// Requests a write of new entries, and of term and vote if they changed.
    pub(super) fn persist(&mut self, entries: Vec<Entry>) {
        let hard_state = Some(self.hard_state).filter(|state| *state != self.durable_hard_state);
        if let Some(Action::Persist { hard_state: queued, entries: queued_entries }) =
            self.actions.last_mut()
        {
            // A new term and the vote in it need one sync, not two.
            if queued_entries.is_empty() {
                (*queued, *queued_entries) = (hard_state, entries);
                return;
            }
        }
        self.actions.push(Action::Persist { hard_state, entries });
    }

    /// Sends a message once the current term and vote are durable.
    pub(super) fn send(&mut self, to: u64, body: Body) {
        let message = Message { from: self.config.id, to, term: self.hard_state.term, body };
        if self.is_vote_durable() {
            self.actions.push(Action::Send(message));
        } else {
            self.held.push(message);
        }
    }

    /// Replies to an append request. `index` is the last index that is durable if `accepted`, else
    /// the highest index at which the logs may match.
    pub(super) fn reply_append(&mut self, to: u64, accepted: bool, index: u64, round: u64) {
        let settled = self.standing == Standing::Member && self.stall.is_none();
        self.send(to, Body::AppendReply { accepted, index, round, settled });
    }
}
