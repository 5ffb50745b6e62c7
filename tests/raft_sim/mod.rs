//! A network, disks and a clock in memory for `RaftNode`s, with an oracle that checks every step.

// Each test file that includes this module uses a part of it.
#![allow(dead_code)]

mod disk;
pub mod environment;
mod oracle;
mod quorum_reads;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use damaskhoist::raft::{
    Action, Body, Entry, HardState, LogPosition, Message, NodeConfig, Payload, RaftNode, Replica,
    ReplicaChange, ReplicaSet, SnapshotChunk, SnapshotMeta, SnapshotSize, Standing,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use disk::Disk;
use environment::Environment;
use oracle::Oracle;
use quorum_reads::QuorumReads;

/// Small, so that a snapshot takes several messages.
const CHUNK_BYTES: usize = 40;
/// Size of missing entries, some five of them, from which followers get snapshots.
const MIN_SNAPSHOT_BYTES: u64 = 200;
const ELECTION_TIMEOUT_MS: u64 = 200;
/// Number of hosts that send their whole reports to a new leader.
const REPORTING_HOSTS: u64 = 64;
/// Interval of the steady work of a leader.
const LOAD_INTERVAL_MS: u64 = 10;

/// What happens to the group from outside.
#[derive(Clone, Debug)]
pub enum Step {
    Run { ms: u64 },
    Propose { node: u8, count: u8 },
    Read { node: u8 },
    QuorumRead { node: u8 },
    CutOneWay { from: u8, to: u8 },
    Isolate { node: u8 },
    Heal,
    Loss { percent: u8 },
    SlowDisk { node: u8, sync_ms: u16 },
    HangDisk { node: u8 },
    Pause { node: u8 },
    Calm,
    Crash { node: u8, jobs_done: u8 },
    Restart { node: u8 },
    FailStorage { node: u8, jobs_done: u8 },
    DamageRecord { node: u8, place: u8 },
    LoseDisk { node: u8 },
    Snapshot { node: u8, kept: u8 },
    Transfer { node: u8, to: u8 },
    AddLearner,
    Promote { node: u8 },
    Remove { node: u8 },
}

enum Event {
    Deliver(Message),
    JobDone {
        id: u64,
        life: u64,
    },
    Fetched {
        id: u64,
        life: u64,
        to: u64,
        entries: Vec<Entry>,
    },
    ChunkRead {
        id: u64,
        life: u64,
        to: u64,
        chunk: SnapshotChunk,
    },
    ChunkStored {
        id: u64,
        life: u64,
        chunk: SnapshotChunk,
    },
    /// A replica asks a voter how far it has the log.
    PositionAsked {
        read: u64,
        from: u64,
        to: u64,
    },
    PositionTold {
        read: u64,
        from: u64,
        to: u64,
        stored: LogPosition,
    },
    /// The timer of the host has expired.
    Tick {
        id: u64,
        life: u64,
    },
    /// A message leaves its host.
    Depart(Message),
    /// Work that has nothing to do with the agreement arrives at a host.
    Work {
        id: u64,
        cost_us: u64,
    },
    /// The steady work of all leaders arrives.
    Load,
    /// The host has had the processor time for this event.
    Served(Box<Event>),
    /// A pause ends.
    Resume {
        id: u64,
    },
    /// A hang of a disk ends.
    DiskAnswers {
        id: u64,
    },
}

struct Job {
    hard_state: Option<HardState>,
    standing: Option<Standing>,
    clear: bool,
    entries: Vec<Entry>,
}

struct Host {
    node: Option<RaftNode>,
    disk: Disk,
    /// Counts restarts, so that events of an earlier life are dropped.
    life: u64,
    jobs: VecDeque<Job>,
    applied_index: u64,
    state: Vec<u64>,
    waiting: BTreeMap<u64, (u64, u64)>,
    reads: BTreeMap<u64, u64>,
    incoming: Vec<u8>,
    standing: Standing,
    /// Time of one sync, if the disk is slow.
    sync_ms: Option<u64>,
    /// Start and end of the newest sync of a slow disk.
    newest_sync: (u64, u64),
    /// Writes that ended in name while the disk hung; `None` while it doesn't hang.
    hung_writes: Option<usize>,
    /// Events that arrived during a pause; `None` while the host isn't paused.
    backlog: Option<Vec<Event>>,
    /// Until when the only thread of the host is busy.
    busy_until_us: u64,
    /// The timer has expired, and the host has not handled it yet.
    is_tick_waiting: bool,
    /// Term that the replica leads, and since when.
    leads: Option<(u64, u64)>,
}

/// A leadership that a running replica ended.
#[derive(Clone, Debug)]
pub struct EndedLeadership {
    pub id: u64,
    pub term: u64,
    pub from_ms: u64,
    pub until_ms: u64,
    /// The replica gave it up by itself, not because of a newer term.
    pub is_given_up: bool,
}

pub struct Sim {
    hosts: BTreeMap<u64, Host>,
    events: BTreeMap<(u64, u64), Event>,
    cut: BTreeSet<(u64, u64)>,
    loss_percent: u8,
    now_ms: u64,
    next_event: u64,
    next_command: u64,
    next_read: u64,
    confirmed_reads: BTreeSet<u64>,
    pub quorum_reads: QuorumReads,
    random: SmallRng,
    lease_reads: bool,
    election_timeout_ms: u64,
    heartbeat_interval_ms: u64,
    environment: Option<Environment>,
    /// When the newest message of each connection arrives; later ones don't overtake it.
    arrivals_ms: BTreeMap<(u64, u64), u64>,
    pub ended_leaderships: Vec<EndedLeadership>,
    /// Hosts that lost something that they may have acknowledged.
    impaired: BTreeSet<u64>,
    /// Replica sets that were proposed, with the time; they may still be on their way.
    proposed_sets: Vec<(u64, ReplicaSet)>,
    pub oracle: Oracle,
}

fn replica(id: u64) -> Replica {
    Replica { id, peer_address: format!("r{id}"), zone: String::new(), voter: true }
}

impl Sim {
    pub fn new(voters: u64, seed: u64, lease_reads: bool) -> Self {
        Self::with_timeout(voters, seed, lease_reads, ELECTION_TIMEOUT_MS)
    }

    pub fn with_timeout(
        voters: u64,
        seed: u64,
        lease_reads: bool,
        election_timeout_ms: u64,
    ) -> Self {
        let heartbeat_interval_ms = election_timeout_ms / 5;
        let times_ms = (heartbeat_interval_ms, election_timeout_ms);
        Self::start(voters, seed, lease_reads, times_ms, None)
    }

    /// A group whose connections keep the order of messages and lose none.
    pub fn in_environment(voters: u64, seed: u64, environment: Environment) -> Self {
        let times_ms = (environment.heartbeat_interval_ms, environment.election_timeout_ms);
        let has_load = environment.costs.leader_load_percent > 0;
        let (fastest_ms, slowest_ms) = environment.sync_ms;
        let mut sim = Self::start(voters, seed, true, times_ms, Some(environment));
        for id in 1..=voters {
            let sync_ms = sim.random.random_range(fastest_ms..=slowest_ms);
            sim.slow_disk(id, sync_ms);
        }
        if has_load {
            sim.schedule(LOAD_INTERVAL_MS, Event::Load);
        }
        sim
    }

    fn start(
        voters: u64,
        seed: u64,
        lease_reads: bool,
        (heartbeat_interval_ms, election_timeout_ms): (u64, u64),
        environment: Option<Environment>,
    ) -> Self {
        let mut sim = Self {
            hosts: BTreeMap::new(),
            events: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss_percent: 0,
            now_ms: 0,
            next_event: 0,
            next_command: 0,
            next_read: 0,
            confirmed_reads: BTreeSet::new(),
            quorum_reads: QuorumReads::default(),
            random: SmallRng::seed_from_u64(seed),
            lease_reads,
            election_timeout_ms,
            heartbeat_interval_ms,
            environment,
            arrivals_ms: BTreeMap::new(),
            ended_leaderships: Vec::new(),
            impaired: BTreeSet::new(),
            proposed_sets: Vec::new(),
            oracle: Oracle::default(),
        };
        let set = ReplicaSet::new((1..=voters).map(replica).collect());
        for id in 1..=voters {
            sim.add_host(id, set.clone(), Standing::Member);
        }
        sim
    }

    fn add_host(&mut self, id: u64, replicas: ReplicaSet, standing: Standing) {
        let host = Host {
            node: None,
            disk: Disk::new(replicas, standing),
            life: 0,
            jobs: VecDeque::new(),
            applied_index: 0,
            state: Vec::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            incoming: Vec::new(),
            standing,
            sync_ms: None,
            newest_sync: (0, 0),
            hung_writes: None,
            backlog: None,
            busy_until_us: 0,
            is_tick_waiting: false,
            leads: None,
        };
        self.hosts.insert(id, host);
        self.restart(id);
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Run { ms } => self.run(ms),
            Step::Propose { node, count } => {
                let id = self.pick(node);
                for _ in 0..count {
                    self.propose(id);
                }
            }
            Step::Read { node } => self.read(self.pick(node)),
            Step::QuorumRead { node } => drop(self.quorum_read(self.pick(node))),
            Step::CutOneWay { from, to } => {
                self.cut.insert((self.pick(from), self.pick(to)));
            }
            Step::Isolate { node } => self.isolate(self.pick(node)),
            Step::Heal => self.heal(),
            Step::Loss { percent } => self.loss_percent = percent,
            Step::SlowDisk { node, sync_ms } => self.slow_disk(self.pick(node), sync_ms.into()),
            Step::HangDisk { node } => self.hang_disk(self.pick(node)),
            Step::Pause { node } => self.pause(self.pick(node)),
            Step::Calm => self.calm(),
            Step::Crash { node, jobs_done } => self.crash(self.pick(node), jobs_done.into()),
            Step::Restart { node } => self.restart(self.pick(node)),
            Step::FailStorage { node, jobs_done } => {
                self.fail_storage(self.pick(node), jobs_done.into());
            }
            Step::DamageRecord { node, place } => self.damage(self.pick(node), place.into()),
            Step::LoseDisk { node } => self.lose_disk(self.pick(node)),
            Step::Snapshot { node, kept } => self.snapshot(self.pick(node), kept.into()),
            Step::Transfer { node, to } => {
                let (id, to) = (self.pick(node), self.pick(to));
                let now_ms = self.now_ms;
                self.with_node(id, |node| {
                    let _ = node.transfer_leadership(now_ms, to);
                });
            }
            Step::AddLearner => self.add_learner(),
            Step::Promote { node } => {
                self.change(&ReplicaChange::Promote(self.pick(node)));
            }
            Step::Remove { node } => {
                self.change(&ReplicaChange::Remove(self.pick(node)));
            }
        }
    }

    pub fn add_learner(&mut self) {
        let id = self.newest_host() + 1;
        if self.change(&ReplicaChange::AddLearner(replica(id))) {
            self.add_host(id, ReplicaSet::default(), Standing::Joining);
        }
    }

    pub fn newest_host(&self) -> u64 {
        *self.hosts.keys().max().unwrap()
    }

    /// The highest term of all hosts.
    pub fn newest_term(&self) -> u64 {
        let nodes = self.hosts.values().filter_map(|host| host.node.as_ref());
        nodes.map(|node| node.hard_state().term).max().unwrap_or(0)
    }

    fn pick(&self, number: u8) -> u64 {
        let at = number as usize % self.hosts.len();
        *self.hosts.keys().nth(at).unwrap()
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.loss_percent = 0;
    }

    pub fn isolate(&mut self, id: u64) {
        for other in self.hosts.keys().copied() {
            self.cut.insert((id, other));
            self.cut.insert((other, id));
        }
    }

    /// Each sync of the host takes `sync_ms`; writes that arrive meanwhile share the next one.
    pub fn slow_disk(&mut self, id: u64, sync_ms: u64) {
        self.hosts.get_mut(&id).unwrap().sync_ms = Some(sync_ms);
    }

    /// Writes of the host don't end until [`Sim::calm`].
    pub fn hang_disk(&mut self, id: u64) {
        self.hosts.get_mut(&id).unwrap().hung_writes.get_or_insert(0);
    }

    /// The process of the host gets no processor time until [`Sim::calm`]; its messages wait.
    pub fn pause(&mut self, id: u64) {
        self.hosts.get_mut(&id).unwrap().backlog.get_or_insert_default();
    }

    /// Pauses the host for `ms`. Its timer may run before it reads the messages that waited.
    pub fn pause_for(&mut self, id: u64, ms: u64) {
        self.pause(id);
        self.schedule(ms, Event::Resume { id });
    }

    fn resume(&mut self, id: u64) {
        let is_timer_first = self.random.random();
        let now_ms = self.now_ms;
        let host = self.hosts.get_mut(&id).unwrap();
        let backlog = host.backlog.take().unwrap_or_default();
        host.busy_until_us = host.busy_until_us.max(now_ms * 1000);
        if is_timer_first {
            self.with_node(id, |node| node.tick(now_ms));
        }
        for event in backlog {
            self.handle(event);
        }
    }

    /// Writes of the host end no earlier than in `ms`.
    pub fn hang_disk_for(&mut self, id: u64, ms: u64) {
        self.hang_disk(id);
        self.schedule(ms, Event::DiskAnswers { id });
    }

    fn end_hang(&mut self, id: u64) {
        let host = self.hosts.get_mut(&id).unwrap();
        let (life, hung_writes) = (host.life, host.hung_writes.take().unwrap_or(0));
        for _ in 0..hung_writes {
            self.handle(Event::JobDone { id, life });
        }
    }

    /// Ends cuts, losses, slow and hung disks and pauses, and restarts hosts that are down.
    pub fn calm(&mut self) {
        self.heal();
        for id in self.hosts.keys().copied().collect::<Vec<_>>() {
            let host = self.hosts.get_mut(&id).unwrap();
            let was_slow = host.sync_ms.take().is_some();
            host.newest_sync = (0, 0);
            let backlog = host.backlog.take().unwrap_or_default();
            let (life, hung_writes) = (host.life, host.hung_writes.take().unwrap_or(0));
            for event in backlog {
                self.handle(event);
            }
            for _ in 0..hung_writes {
                self.handle(Event::JobDone { id, life });
            }
            if was_slow {
                self.end_slow_syncs(id);
            }
            self.restart(id);
        }
    }

    /// Lets the writes that are under way at a host end as on a fast disk.
    fn end_slow_syncs(&mut self, id: u64) {
        let is_write =
            |event: &Event| matches!(event, Event::JobDone { id: writer, .. } if *writer == id);
        let slow: Vec<_> = self.events.extract_if(.., |_, event| is_write(event)).collect();
        for (_, event) in slow {
            let delay_ms = self.random.random_range(1..20);
            self.schedule(delay_ms, event);
        }
    }

    /// Heals everything, and checks that the group works and holds all that it acknowledged.
    pub fn finish(&mut self) {
        self.calm();
        self.serve_within(20 * self.election_timeout_ms);
        self.run(10 * self.election_timeout_ms);
        let leader = self.wait_for_leader();
        let last_command = self.propose(leader).expect("a leader that nobody disturbs accepts");
        self.run(30 * self.election_timeout_ms);
        assert!(self.oracle.acknowledged.contains_key(&last_command), "no commit after healing");
        let replicas = self.hosts[&leader].node.as_ref().unwrap().replicas().clone();
        let expected = self.hosts[&leader].state.clone();
        for replica in &replicas.replicas {
            let state = &self.hosts[&replica.id].state;
            assert_eq!(state, &expected, "replica {} differs from the leader", replica.id);
        }
        for replica in &replicas.replicas {
            self.read_at(replica.id);
        }
        for command in self.oracle.acknowledged.keys() {
            let count = expected.iter().filter(|&applied| applied == command).count();
            assert_eq!(count, 1, "acknowledged command {command} is there {count} times");
        }
    }

    /// Checks that in this time a leader commits a command and confirms a read.
    fn serve_within(&mut self, limit_ms: u64) {
        let deadline_ms = self.now_ms + limit_ms;
        while self.now_ms < deadline_ms {
            if let Some(leader) = self.leader() {
                let command = self.propose(leader);
                self.read(leader);
                let read = self.next_read;
                self.run(self.election_timeout_ms);
                let is_committed =
                    command.is_some_and(|it| self.oracle.acknowledged.contains_key(&it));
                if is_committed && self.confirmed_reads.contains(&read) {
                    return;
                }
            }
            self.run(self.election_timeout_ms / 4);
        }
        panic!("no leader serves {limit_ms} ms after everything is healed");
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn wait_for_leader(&mut self) -> u64 {
        for _ in 0..100 {
            if let Some(id) = self.leader() {
                return id;
            }
            self.run(self.election_timeout_ms / 4);
        }
        panic!("no leader although nothing fails");
    }

    /// The leader of the highest term.
    pub fn leader(&self) -> Option<u64> {
        let nodes = self.hosts.iter().filter_map(|(id, host)| Some((*id, host.node.as_ref()?)));
        let leaders = nodes.filter(|(_, node)| node.is_leader());
        leaders.max_by_key(|(_, node)| node.hard_state().term).map(|(id, _)| id)
    }

    pub fn node(&self, id: u64) -> &RaftNode {
        self.hosts[&id].node.as_ref().expect("the host runs")
    }

    pub fn propose(&mut self, id: u64) -> Option<u64> {
        self.next_command += 1;
        let command = self.next_command;
        let host = self.hosts.get_mut(&id).unwrap();
        let payload = Payload::Command(Bytes::copy_from_slice(&command.to_le_bytes()));
        let (index, term) = host.node.as_mut()?.propose(vec![payload])?;
        host.waiting.insert(index, (term, command));
        let now_ms = self.now_ms;
        self.with_node(id, |node| node.replicate_all(now_ms));
        Some(command)
    }

    pub fn read(&mut self, id: u64) {
        self.next_read += 1;
        let read = self.next_read;
        let now_ms = self.now_ms;
        let must_see = self.oracle.acknowledged_index;
        let host = self.hosts.get_mut(&id).unwrap();
        host.reads.insert(read, must_see);
        self.with_node(id, |node| {
            node.read(now_ms, read);
            node.flush_reads(now_ms);
        });
    }

    /// Proposes a change at the leader, unless it would leave too few whole voters.
    pub fn change(&mut self, change: &ReplicaChange) -> bool {
        let Some(id) = self.leader() else { return false };
        let Ok(set) = self.node(id).replicas().changed(change) else { return false };
        if !self.is_safe(&set, &self.impaired) {
            return false;
        }
        let now_ms = self.now_ms;
        let mut started = false;
        self.with_node(id, |node| started = node.change_replicas(now_ms, change).is_ok());
        if started {
            self.proposed_sets.push((now_ms, set));
        }
        started
    }

    /// True if the voters without loss are a quorum. More loss than that loses data in any design.
    fn is_safe(&self, set: &ReplicaSet, impaired: &BTreeSet<u64>) -> bool {
        set.is_quorum(|id| !impaired.contains(&id))
    }

    fn may_impair(&self, id: u64) -> bool {
        let mut impaired = self.impaired.clone();
        impaired.insert(id);
        let longest_ms = 4 * self.election_timeout_ms;
        let recent = self.proposed_sets.iter().filter(|it| it.0 + longest_ms > self.now_ms);
        if !recent.clone().all(|(_, set)| self.is_safe(set, &impaired)) {
            return false;
        }
        let committed = self.oracle.replicas.clone();
        let newest = committed.as_ref().map_or(0, |it| it.0);
        let stored = self.hosts.values().flat_map(|host| host.disk.replica_sets());
        let nodes = self.hosts.values().filter_map(|host| host.node.as_ref());
        let running = nodes.map(|node| {
            let (set, index) = node.log().replicas();
            (index, set.clone())
        });
        // Messages wait at a paused host for as long as the pause lasts.
        let backlogs = self.hosts.values().filter_map(|host| host.backlog.as_ref());
        let waiting = backlogs.flatten().flat_map(Event::replica_sets);
        let known = stored.chain(running).chain(waiting);
        let in_force = known.filter(|set| set.0 > newest || newest == 0);
        let mut in_force = in_force.chain(committed);
        in_force.all(|(_, set)| set.replicas.is_empty() || self.is_safe(&set, &impaired))
    }

    pub fn crash(&mut self, id: u64, jobs_done: usize) {
        let host = self.hosts.get_mut(&id).unwrap();
        if host.node.take().is_none() {
            return;
        }
        // Writes reach the disk in order; a torn one is cut when the log is opened.
        for job in host.jobs.drain(..).take(jobs_done) {
            host.disk.write(job);
        }
        host.jobs.clear();
        host.waiting.clear();
        host.reads.clear();
        host.life += 1;
        self.quorum_reads.end(id);
        // The process of a paused host ends with its events; a hung disk stays hung.
        host.backlog = None;
        host.hung_writes = host.hung_writes.map(|_| 0);
        (host.busy_until_us, host.is_tick_waiting, host.leads) = (0, false, None);
        (host.applied_index, host.state) = (0, Vec::new());
    }

    /// Fails a write and opens the storage again: the log and the vote come from the disk, and the
    /// state machine stays as it is.
    pub fn fail_storage(&mut self, id: u64, jobs_done: usize) {
        let host = self.hosts.get_mut(&id).unwrap();
        if host.node.is_none() {
            return;
        }
        let applied = (host.applied_index, std::mem::take(&mut host.state));
        self.crash(id, jobs_done);
        let host = self.hosts.get_mut(&id).unwrap();
        (host.applied_index, host.state) = applied;
        self.restart(id);
    }

    pub fn restart(&mut self, id: u64) {
        let host = self.hosts.get_mut(&id).unwrap();
        if host.node.is_some() {
            return;
        }
        let (recovered, state) = host.disk.recover();
        if host.applied_index == 0 || recovered.snapshot.last_index > host.applied_index {
            host.applied_index = recovered.snapshot.last_index;
            host.state = state;
        }
        host.standing = recovered.standing;
        host.incoming.clear();
        let config = NodeConfig {
            id,
            heartbeat_interval_ms: self.heartbeat_interval_ms,
            election_timeout_ms: self.election_timeout_ms,
            append_bytes: 200,
            cache_bytes: 300,
            transfer_bytes_per_s: 10_000,
            min_snapshot_bytes: MIN_SNAPSHOT_BYTES,
            lease_reads: self.lease_reads,
        };
        let seed = self.random.random();
        host.node = Some(RaftNode::new(config, recovered, self.now_ms, seed));
        self.after(id);
    }

    /// Damages a record before the end of the log; the host notices at its next start.
    pub fn damage(&mut self, id: u64, place: usize) {
        if !self.may_impair(id) {
            return;
        }
        self.crash(id, 0);
        if self.hosts.get_mut(&id).unwrap().disk.damage(place) {
            self.impaired.insert(id);
        }
    }

    /// Replaces the disk by an empty one and lets the host return under its old id.
    pub fn lose_disk(&mut self, id: u64) {
        if !self.may_impair(id) {
            return;
        }
        self.crash(id, 0);
        self.impaired.insert(id);
        let host = self.hosts.get_mut(&id).unwrap();
        host.disk = Disk::new(ReplicaSet::default(), Standing::Joining);
        self.restart(id);
    }

    pub fn snapshot(&mut self, id: u64, kept: u64) {
        let host = self.hosts.get_mut(&id).unwrap();
        let Some(node) = &mut host.node else { return };
        let last_index = host.applied_index;
        if last_index <= node.snapshot().last_index {
            return;
        }
        let Some(last_term) = node.log().term(last_index) else { return };
        let replicas = node.log().replicas_at(last_index).clone();
        let meta = SnapshotMeta { last_index, last_term, replicas };
        let compact_index = last_index.saturating_sub(kept);
        host.disk.save_snapshot(meta.clone(), host.state.clone());
        host.disk.compact(compact_index);
        node.snapshot_saved(meta, compact_index);
        let file_bytes = host.disk.snapshot_bytes().1.len() as u64;
        node.record_snapshot_size(Some(SnapshotSize::restored(file_bytes, file_bytes)));
    }

    pub fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        loop {
            let is_awake = |host: &Host| host.backlog.is_none() && !host.is_tick_waiting;
            let awake = self.hosts.iter().filter(|(_, host)| is_awake(host));
            let nodes = awake.filter_map(|(id, host)| Some((*id, host.node.as_ref()?)));
            let due = nodes.filter_map(|(id, node)| Some((node.due_ms()?, id))).min();
            let event_ms = self.events.keys().next().map(|key| key.0);
            let next_ms = due.map(|due| due.0).into_iter().chain(event_ms).min();
            let Some(next_ms) = next_ms.filter(|&next_ms| next_ms <= end_ms) else { break };
            self.now_ms = self.now_ms.max(next_ms);
            if event_ms == Some(next_ms) {
                let (_, event) = self.events.pop_first().unwrap();
                self.handle(event);
            } else if let Some((_, id)) = due {
                let host = self.hosts.get_mut(&id).unwrap();
                host.is_tick_waiting = true;
                let life = host.life;
                self.handle(Event::Tick { id, life });
            }
        }
        self.now_ms = end_ms;
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Resume { id } => return self.resume(id),
            Event::DiskAnswers { id } => return self.end_hang(id),
            Event::Load => return self.bring_load(),
            _ => {}
        }
        let host = self.hosts.get_mut(&event.host());
        if let Some(backlog) = host.and_then(|host| host.backlog.as_mut()) {
            backlog.push(event);
            return;
        }
        let event = match event {
            Event::Served(event) => *event,
            event => match self.occupy(&event) {
                Some(delay_ms) => {
                    self.schedule(delay_ms, Event::Served(Box::new(event)));
                    return;
                }
                None => event,
            },
        };
        match event {
            Event::Tick { id, life } if self.hosts[&id].life == life => {
                self.hosts.get_mut(&id).unwrap().is_tick_waiting = false;
                self.with_node(id, |node| node.tick(now_ms));
            }
            Event::Depart(message) => self.send(message),
            Event::Deliver(message) if self.hosts.contains_key(&message.to) => {
                self.with_node(message.to, |node| node.step(now_ms, message));
            }
            Event::JobDone { id, life } => self.finish_job(id, life),
            Event::Fetched { id, life, to, entries } if self.hosts[&id].life == life => {
                self.with_node(id, |node| node.fetched(now_ms, to, entries));
            }
            Event::ChunkRead { id, life, to, chunk } if self.hosts[&id].life == life => {
                self.with_node(id, |node| node.chunk_read(now_ms, to, chunk));
            }
            Event::ChunkStored { id, life, chunk } if self.hosts[&id].life == life => {
                self.store_chunk(id, chunk);
            }
            Event::PositionAsked { read, from, to } => self.tell_position(read, from, to),
            Event::PositionTold { read, from, to, stored } => {
                self.quorum_reads.record(read, from, stored);
                self.check_quorum_reads(to);
            }
            _ => {}
        }
    }

    /// Takes the thread of a host for an event; gives the time until it is handled, if work takes
    /// any.
    fn occupy(&mut self, event: &Event) -> Option<u64> {
        let environment = self.environment.as_ref().filter(|it| it.costs.is_some())?;
        let costs = &environment.costs;
        let cost_us = match event {
            Event::Tick { .. } => costs.tick_us,
            Event::Work { .. } if costs.own_thread => 0,
            Event::Work { cost_us, .. } => *cost_us,
            _ => costs.message_us,
        };
        let host = self.hosts.get_mut(&event.host())?;
        host.busy_until_us = host.busy_until_us.max(self.now_ms * 1000) + cost_us;
        Some(host.busy_until_us.div_ceil(1000) - self.now_ms)
    }

    fn bring_load(&mut self) {
        let percent = self.environment.as_ref().map_or(0, |it| it.costs.leader_load_percent);
        let nodes = self.hosts.iter().filter_map(|(id, host)| Some((*id, host.node.as_ref()?)));
        let leaders: Vec<u64> = nodes.filter(|(_, it)| it.is_leader()).map(|it| it.0).collect();
        for id in leaders {
            self.handle(Event::Work { id, cost_us: LOAD_INTERVAL_MS * 10 * percent });
        }
        self.schedule(LOAD_INTERVAL_MS, Event::Load);
    }

    /// All hosts report to a new leader when they have heard of it.
    fn report_to_leader(&mut self, id: u64) {
        let Some(environment) = &self.environment else { return };
        let cost_us = environment.costs.new_leader_us / REPORTING_HOSTS;
        if cost_us == 0 {
            return;
        }
        for _ in 0..REPORTING_HOSTS {
            let delay_ms = self.random.random_range(1..=100);
            self.schedule(delay_ms, Event::Work { id, cost_us });
        }
    }

    fn finish_job(&mut self, id: u64, life: u64) {
        let now_ms = self.now_ms;
        let host = self.hosts.get_mut(&id).unwrap();
        if host.life != life {
            return;
        }
        if let Some(hung_writes) = &mut host.hung_writes {
            *hung_writes += 1;
            return;
        }
        let job = host.jobs.pop_front().expect("the job is under way");
        let hard_state = job.hard_state;
        let standing = job.standing;
        let last = job.entries.last().map(|entry| (entry.index, entry.term));
        host.disk.write(job);
        self.with_node(id, |node| {
            if standing == Some(Standing::Member) && node.standing() != Standing::Member {
                node.become_member(now_ms);
            }
            node.persisted(now_ms, hard_state, last);
        });
        if standing == Some(Standing::Member) {
            self.impaired.remove(&id);
        }
    }

    fn store_chunk(&mut self, id: u64, chunk: SnapshotChunk) {
        let host = self.hosts.get_mut(&id).unwrap();
        host.incoming.truncate(chunk.offset_bytes as usize);
        host.incoming.extend_from_slice(&chunk.data);
        let Some(node) = &mut host.node else { return };
        if !chunk.last {
            node.chunk_stored();
        } else if chunk.meta.last_index <= host.applied_index.min(node.commit_index()) {
            node.snapshot_failed();
        } else {
            let commands = host.incoming.chunks(8);
            let state: Vec<u64> =
                commands.map(|it| u64::from_le_bytes(it.try_into().unwrap())).collect();
            host.disk.save_snapshot(chunk.meta.clone(), state.clone());
            if chunk.meta.last_index > host.applied_index {
                host.state = state;
                host.applied_index = chunk.meta.last_index;
            }
            if !node.log_matches(&chunk.meta) {
                self.write(id, Job { clear: true, ..Job::empty() });
            }
            let node = self.hosts.get_mut(&id).unwrap().node.as_mut().unwrap();
            node.snapshot_installed(chunk.meta);
        }
        self.after(id);
    }

    fn write(&mut self, id: u64, job: Job) {
        let host = self.hosts.get_mut(&id).unwrap();
        host.jobs.push_back(job);
        let life = host.life;
        let mut delay_ms = self.random.random_range(1..20);
        if let Some(sync_ms) = host.sync_ms {
            let (started_ms, ended_ms) = host.newest_sync;
            if self.now_ms >= started_ms {
                let start_ms = self.now_ms.max(ended_ms);
                host.newest_sync = (start_ms, start_ms + sync_ms);
            }
            delay_ms = host.newest_sync.1 - self.now_ms;
        }
        self.schedule(delay_ms, Event::JobDone { id, life });
    }

    fn with_node(&mut self, id: u64, act: impl FnOnce(&mut RaftNode)) {
        let Some(node) = &mut self.hosts.get_mut(&id).unwrap().node else { return };
        act(node);
        self.after(id);
    }

    /// Carries out what a node asks for, and checks it.
    fn after(&mut self, id: u64) {
        let host = self.hosts.get_mut(&id).unwrap();
        let Some(node) = &mut host.node else { return };
        let actions = node.take_actions();
        let term = node.hard_state().term;
        let is_leader = node.is_leader();
        let led = host.leads.take_if(|(led_term, _)| !is_leader || *led_term != term);
        if let Some((led_term, from_ms)) = led {
            let (until_ms, is_given_up) = (self.now_ms, led_term == term);
            let ended = EndedLeadership { id, term: led_term, from_ms, until_ms, is_given_up };
            self.ended_leaderships.push(ended);
        }
        if is_leader {
            let is_elected = host.leads.is_none();
            host.leads.get_or_insert((term, self.now_ms));
            self.oracle.leads(id, term);
            if is_elected {
                self.report_to_leader(id);
            }
        }
        for action in actions {
            self.act(id, action);
        }
        self.apply(id);
        self.check_quorum_reads(id);
    }

    fn act(&mut self, id: u64, action: Action) {
        let life = self.hosts[&id].life;
        let delay_ms = self.random.random_range(1..10);
        match action {
            Action::Persist { hard_state, entries } => {
                if hard_state.is_some() || !entries.is_empty() {
                    self.write(id, Job { hard_state, entries, ..Job::empty() });
                }
            }
            Action::Send(message) if self.environment.is_some() => {
                self.handle(Event::Depart(message));
            }
            Action::Send(message) => self.send(message),
            Action::ReadConfirmed { id: read, index, .. } => {
                let must_see = self.hosts.get_mut(&id).unwrap().reads.remove(&read);
                assert!(must_see.is_none_or(|must_see| index >= must_see), "read sees the past");
                self.confirmed_reads.insert(read);
            }
            Action::SteppedDown => {
                let host = self.hosts.get_mut(&id).unwrap();
                host.waiting.clear();
                host.reads.clear();
            }
            Action::Report(_) => {}
            Action::Fetch { to, first_index } => {
                let entries = self.hosts[&id].disk.read(first_index);
                self.schedule(delay_ms, Event::Fetched { id, life, to, entries });
            }
            Action::ReadChunk { to, offset_bytes, .. } => {
                let (meta, bytes) = self.hosts[&id].disk.snapshot_bytes();
                let start = (offset_bytes as usize).min(bytes.len());
                let end = (start + CHUNK_BYTES).min(bytes.len());
                let data = Bytes::copy_from_slice(&bytes[start..end]);
                let last = end == bytes.len();
                let chunk = SnapshotChunk { meta, offset_bytes: start as u64, data, last };
                self.schedule(delay_ms, Event::ChunkRead { id, life, to, chunk });
            }
            Action::StoreChunk(chunk) => {
                self.schedule(delay_ms, Event::ChunkStored { id, life, chunk });
            }
            Action::RecordMembership => {
                let standing = Some(Standing::Member);
                self.hosts.get_mut(&id).unwrap().standing = Standing::Member;
                self.write(id, Job { standing, ..Job::empty() });
            }
            Action::Fault(reason) => panic!("replica {id}: {reason}"),
        }
    }

    fn send(&mut self, message: Message) {
        if self.cut.contains(&(message.from, message.to)) {
            return;
        }
        if let Some(environment) = &self.environment {
            let (from, to) = (message.from, message.to);
            let is_far = from % 2 != to % 2;
            let shortest_ms = if is_far { environment.far_delay_ms } else { 0 };
            let arrival_ms = self.now_ms + shortest_ms + self.random.random_range(0..=1);
            let newest_ms = self.arrivals_ms.entry((from, to)).or_default();
            *newest_ms = arrival_ms.max(*newest_ms);
            let delay_ms = *newest_ms - self.now_ms;
            self.schedule(delay_ms, Event::Deliver(message));
            return;
        }
        // A few messages stay on the way for very long.
        let copies = if self.random.random_ratio(1, 20) { 2 } else { 1 };
        for _ in 0..copies {
            if self.random.random_range(0..100) < self.loss_percent {
                continue;
            }
            let is_late = self.random.random_ratio(1, 50);
            let longest_ms = if is_late { 3 * self.election_timeout_ms } else { 25 };
            let delay_ms = self.random.random_range(1..longest_ms);
            self.schedule(delay_ms, Event::Deliver(message.clone()));
        }
    }

    fn apply(&mut self, id: u64) {
        let host = self.hosts.get_mut(&id).unwrap();
        let Some(node) = &mut host.node else { return };
        while host.applied_index < node.commit_index() {
            let index = host.applied_index + 1;
            let entry = node.log().get(index).expect("entries that are not applied are in memory");
            self.oracle.applies(id, entry);
            host.applied_index = index;
            if let Some(environment) = &self.environment {
                host.busy_until_us =
                    host.busy_until_us.max(self.now_ms * 1000) + environment.costs.apply_us;
            }
            let Payload::Command(command) = &entry.payload else { continue };
            let command = u64::from_le_bytes(command[..].try_into().unwrap());
            host.state.push(command);
            let Some((term, proposed)) = host.waiting.remove(&index) else { continue };
            if term == entry.term {
                assert_eq!(command, proposed, "another command in the place of the proposed one");
                self.oracle.acknowledges(command, index);
            }
        }
        node.record_applied(host.applied_index);
    }
}

impl Event {
    /// Replica sets in the message, with their index.
    fn replica_sets(&self) -> Vec<(u64, ReplicaSet)> {
        let Self::Deliver(Message { body: Body::AppendRequest(request), .. }) = self else {
            return Vec::new();
        };
        let sets = request.entries.iter().filter_map(|entry| match &entry.payload {
            Payload::Replicas(set) => Some((entry.index, set.clone())),
            _ => None,
        });
        sets.collect()
    }

    /// The host that handles the event.
    fn host(&self) -> u64 {
        match self {
            Self::Deliver(message) => message.to,
            Self::JobDone { id, .. }
            | Self::Fetched { id, .. }
            | Self::ChunkRead { id, .. }
            | Self::ChunkStored { id, .. }
            | Self::Tick { id, .. }
            | Self::Work { id, .. }
            | Self::Resume { id }
            | Self::DiskAnswers { id } => *id,
            Self::PositionAsked { to, .. } | Self::PositionTold { to, .. } => *to,
            Self::Depart(message) => message.from,
            Self::Served(event) => event.host(),
            Self::Load => 0,
        }
    }
}

impl Job {
    fn empty() -> Self {
        Self { hard_state: None, standing: None, clear: false, entries: Vec::new() }
    }
}
