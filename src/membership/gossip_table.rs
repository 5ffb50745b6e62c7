use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::membership::directory::Directory;
use crate::membership::failure_detector::{Answer, FailureDetector};
use crate::membership::neighbors::Neighbors;
use crate::membership::repair::Repair;
use crate::membership::{
    AnnounceOutcome, Announcement, CrashRecord, GossipMessage, Key, MembershipOptions,
    MembershipView, Record, RecordStore, Status,
};

/// Changes in one message, about 2 KB.
const RECORDS_PER_MESSAGE: usize = 24;
/// Hosts asked to probe a silent host.
const RELAYS: usize = 3;
/// Hosts told directly of this host's departure.
const FAREWELLS: usize = 6;
/// Interval between searches for lost hosts and expired records.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Hosts up to which a configuration version spreads at once. Each version is a change by every
/// host: at 2,400 a day and 340 hosts that would be 9.4 changes a second.
const HOSTS_WITHOUT_DELAY: u64 = 20;
/// Delay of configuration versions for each host beyond that, which allows 1.6 changes a second.
const VERSION_DELAY_MS_PER_HOST: u64 = 1_200;

/// A message to send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Peer address of the receiver.
    pub address: String,
    /// The message.
    pub message: GossipMessage,
}

/// What one host knows of the fleet, and what it tells others. Holds no clock and no socket.
#[derive(Clone, Debug)]
pub struct GossipTable {
    options: MembershipOptions,
    directory: Directory,
    detector: FailureDetector,
    random: StdRng,
    neighbors: Neighbors,
    next_probe: usize,
    isolated: bool,
    presumes_lost: bool,
    pending_version: Option<(u64, u64)>,
    repair: Repair,
    last_sweep_ms: u64,
}

impl GossipTable {
    /// A table that knows this host only.
    pub fn new(mut options: MembershipOptions, seed: u64, now_ms: u64) -> Self {
        // Fewer than five probes without an answer may be chance.
        options.isolation_ms = options.isolation_ms.max(5 * options.gossip_interval_ms);
        Self {
            directory: Directory::new(&options, now_ms),
            detector: FailureDetector::new(&options, now_ms),
            random: StdRng::seed_from_u64(seed),
            neighbors: Neighbors::default(),
            next_probe: 0,
            isolated: false,
            presumes_lost: false,
            pending_version: None,
            repair: Repair::new(now_ms),
            last_sweep_ms: 0,
            options,
        }
    }

    /// The records.
    pub fn store(&self) -> &RecordStore {
        self.directory.store()
    }

    /// Runs one gossip round; to be called every `gossip_interval_ms`.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        if self.directory.live_hosts().is_empty() {
            self.detector.forget_silence(now_ms);
        }
        self.run_detector(now_ms, &mut outgoing);
        self.directory.expire_leases(now_ms);
        self.publish_version(now_ms);
        if now_ms >= self.last_sweep_ms + SWEEP_INTERVAL_MS {
            self.last_sweep_ms = now_ms;
            self.directory.forget_expired(now_ms);
            self.probe_lost_host(&mut outgoing);
        }
        self.probe_next_host(now_ms, &mut outgoing);
        if self.directory.has_rumors() {
            for key in self.random_neighbors(1, None) {
                self.send(&key, GossipMessage::default(), &mut outgoing);
            }
        }
        self.note_changed_hosts(now_ms);
        outgoing
    }

    /// Takes a message of another host.
    pub fn receive(&mut self, now_ms: u64, message: &GossipMessage) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let from = Key::Host(message.from_host_id.as_str().into());
        if from == *self.directory.own_key() {
            return outgoing;
        }
        let is_new = self.store().get(&from).is_none();
        for record in &message.records {
            self.directory.learn(now_ms, record, true);
        }
        for record in &message.repairs {
            self.directory.learn(now_ms, record, false);
        }
        self.note_changed_hosts(now_ms);
        self.take_answer(now_ms, message.answers_probe, &mut outgoing);
        self.answer_probe(now_ms, message, &from, &mut outgoing);
        self.repair(now_ms, message, is_new, &mut outgoing);
        outgoing
    }

    /// Takes the view when it changed since the last time.
    pub fn take_view(&mut self, now_ms: u64) -> Option<MembershipView> {
        let silence_ms = match self.directory.live_hosts() {
            [] => 0,
            _ => self.detector.silence_ms(now_ms),
        };
        let isolated = silence_ms > self.options.isolation_ms;
        let presumes_lost = silence_ms > self.options.isolation_limit_ms;
        let before = (self.isolated, self.presumes_lost);
        (self.isolated, self.presumes_lost) = (isolated, presumes_lost);
        let changed = self.directory.take_changed() || before != (isolated, presumes_lost);
        changed.then(|| self.directory.view(isolated, presumes_lost))
    }

    /// Takes an announcement of an upstream to this host.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) -> AnnounceOutcome {
        self.directory.announce(now_ms, announcement)
    }

    /// Says that this host takes no new work.
    pub fn set_leaving(&mut self, now_ms: u64) {
        self.directory.change_own(now_ms, |status, _| *status = Status::Leaving);
    }

    /// Sets the version of the configuration in force. Others learn of it with a delay.
    pub fn set_configuration_version(&mut self, now_ms: u64, version: u64) {
        let hosts = self.directory.live_hosts().len() as u64;
        let longest_ms = hosts.saturating_sub(HOSTS_WITHOUT_DELAY) * VERSION_DELAY_MS_PER_HOST;
        let delay_ms = self.random.random_range(0..=longest_ms);
        let due_ms = self.pending_version.map_or(now_ms + delay_ms, |(_, due_ms)| due_ms);
        self.pending_version = Some((version, due_ms));
    }

    /// Spreads a crash suspect or verdict.
    pub fn publish_crash(&mut self, now_ms: u64, crash: CrashRecord) {
        self.directory.learn(now_ms, &Record::crash(crash), true);
    }

    /// Says that this host is gone; gives the messages for a few hosts.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.directory.change_own(now_ms, |status, _| *status = Status::Left);
        let mut outgoing = Vec::new();
        for key in self.random_neighbors(FAREWELLS, None) {
            let records = vec![self.directory.own().clone()];
            self.send(&key, GossipMessage { records, ..Default::default() }, &mut outgoing);
        }
        outgoing
    }

    fn run_detector(&mut self, now_ms: u64, outgoing: &mut Vec<Outgoing>) {
        let due = self.detector.due(now_ms);
        for (probe, key) in due.relay {
            let Some(host) = self.directory.host(&key) else { continue };
            let relay_address = host.peer_address.clone();
            for relay in self.random_neighbors(RELAYS, Some(&key)) {
                let relay_address = relay_address.clone();
                let ask = GossipMessage { probe, relay_address, ..Default::default() };
                self.send(&relay, ask, outgoing);
            }
        }
        for key in due.silent {
            self.suspect(now_ms, &key);
            // Carries the suspicion, so that a live host refutes it at once.
            self.send(&key, GossipMessage::default(), outgoing);
        }
        for (key, incarnation) in due.dead {
            self.declare_dead(now_ms, &key, incarnation);
        }
    }

    fn suspect(&mut self, now_ms: u64, key: &Key) {
        let Some(record) = self.store().get(key) else { return };
        match record.version.status {
            Status::Alive => {
                let dead_ms = now_ms + self.options.suspicion_ms;
                let record = record.with_status(Status::Suspect, dead_ms);
                self.directory.learn(now_ms, &record, true);
            }
            // A suspicion does not outrank the notice of leaving, so it stays with this host.
            Status::Leaving => {
                let incarnation = record.version.incarnation;
                self.detector.suspect(now_ms, key, incarnation);
            }
            _ => {}
        }
    }

    fn declare_dead(&mut self, now_ms: u64, key: &Key, incarnation: u64) {
        let Some(record) = self.store().get(key) else { return };
        if record.version.incarnation != incarnation || record.version.status.is_removed() {
            return;
        }
        let removed_ms = match record.version.status {
            Status::Suspect => record.removed_unix_ms,
            _ => now_ms,
        };
        let record = record.with_status(Status::Dead, removed_ms);
        self.directory.learn(now_ms, &record, true);
    }

    fn note_changed_hosts(&mut self, now_ms: u64) {
        let changed = self.directory.take_changed_hosts();
        if changed.is_empty() {
            return;
        }
        for key in changed {
            let Some(record) = self.directory.store().get(&key) else { continue };
            self.detector.record_changed(now_ms, &key, record);
        }
        let hosts = self.directory.trusted_hosts();
        self.neighbors = Neighbors::choose(&self.options.host, hosts);
    }

    fn publish_version(&mut self, now_ms: u64) {
        match self.pending_version {
            Some((version, due_ms)) if now_ms >= due_ms => {
                self.pending_version = None;
                self.directory.change_own(now_ms, |_, host| host.configuration_version = version);
            }
            _ => {}
        }
    }

    fn probe_next_host(&mut self, now_ms: u64, outgoing: &mut Vec<Outgoing>) {
        let successors = &self.neighbors.successors;
        let Some(id) = successors.get(self.next_probe % successors.len().max(1)) else { return };
        let key = Key::Host(id.as_str().into());
        self.next_probe += 1;
        let probe = self.detector.probe(now_ms, key.clone());
        self.send(&key, GossipMessage { probe, ..Default::default() }, outgoing);
    }

    /// Contacts a seed that is not known yet or a doubted host, so that both sides of a healed
    /// split find each other, and hosts that suspect each other do not wait for ever.
    fn probe_lost_host(&mut self, outgoing: &mut Vec<Outgoing>) {
        let is_live = |address: &String| {
            let mut hosts = self.directory.live_hosts().iter();
            *address == self.options.host.peer_address
                || hosts.any(|key| {
                    self.directory.host(key).is_some_and(|host| host.peer_address == *address)
                })
        };
        let seeds = self.options.seed_addresses.iter().filter(|address| !is_live(address));
        let mut lost: Vec<_> = seeds.map(|address| (address.clone(), None)).collect();
        for (key, host) in self.directory.doubted_hosts() {
            lost.push((host.peer_address.clone(), Some(key.clone())));
        }
        if let Some((address, key)) = lost.choose(&mut self.random) {
            let probe = self.detector.next_number();
            let ping = GossipMessage { probe, ..Default::default() };
            self.send_to(address, key.as_ref(), ping, outgoing);
        }
    }

    fn take_answer(&mut self, now_ms: u64, number: u64, outgoing: &mut Vec<Outgoing>) {
        match self.detector.answered(now_ms, number) {
            Answer::Unknown => {}
            Answer::Relayed(relay) => {
                let answer = GossipMessage { answers_probe: relay.number, ..Default::default() };
                self.send_to(&relay.address, None, answer, outgoing);
            }
            // A suspect refutes with a record; a leaving host was suspected by this host alone.
            Answer::Probed(key) => {
                let status = self.store().get(&key).map(|record| record.version.status);
                if status == Some(Status::Leaving) {
                    self.detector.clear(&key);
                }
            }
        }
    }

    fn answer_probe(
        &mut self,
        now_ms: u64,
        message: &GossipMessage,
        from: &Key,
        outgoing: &mut Vec<Outgoing>,
    ) {
        if message.probe == 0 {
            return;
        }
        if message.relay_address.is_empty() {
            let answer = GossipMessage { answers_probe: message.probe, ..Default::default() };
            self.send_to(&message.from_address, Some(from), answer, outgoing);
            return;
        }
        let probe = self.detector.relay(now_ms, &message.from_address, message.probe);
        let ping = GossipMessage { probe, ..Default::default() };
        self.send_to(&message.relay_address, None, ping, outgoing);
    }

    fn repair(
        &mut self,
        now_ms: u64,
        message: &GossipMessage,
        is_new: bool,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let store = self.directory.store();
        let mut replies = Repair::answer(store, message, &mut self.random);
        if replies.is_empty() {
            let is_spreading = message.has_rumors || self.directory.has_rumors();
            replies.extend(self.repair.start(now_ms, store, message, is_spreading, is_new));
        }
        for reply in replies {
            self.send_to(&message.from_address, None, reply, outgoing);
        }
    }

    fn random_neighbors(&mut self, count: usize, except: Option<&Key>) -> Vec<Key> {
        let keys = self.neighbors.all.iter().map(|id| Key::Host(id.as_str().into()));
        let keys: Vec<_> = keys.filter(|key| Some(key) != except).collect();
        keys.choose_multiple(&mut self.random, count).cloned().collect()
    }

    fn send(&mut self, key: &Key, message: GossipMessage, outgoing: &mut Vec<Outgoing>) {
        let Some(host) = self.directory.host(key) else { return };
        let address = host.peer_address.clone();
        self.send_to(&address, Some(key), message, outgoing);
    }

    /// Completes a message with what every message carries.
    fn send_to(
        &mut self,
        address: &str,
        to: Option<&Key>,
        mut message: GossipMessage,
        outgoing: &mut Vec<Outgoing>,
    ) {
        message.has_rumors = self.directory.has_rumors();
        message.table_hash = self.store().table_hash();
        message.from_host_id.clone_from(&self.options.host.host_id);
        message.from_address.clone_from(&self.options.host.peer_address);
        message.records.extend(self.directory.take_rumors(RECORDS_PER_MESSAGE));
        // A host that is suspected or dead here must hear of it to refute it.
        let record = to.and_then(|key| self.store().get(key));
        let doubted = record.filter(|record| record.removed_unix_ms != 0).cloned();
        message.records.extend(doubted);
        outgoing.push(Outgoing { address: address.to_owned(), message });
    }
}
