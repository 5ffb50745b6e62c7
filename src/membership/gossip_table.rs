use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::admission::CrashRecord;
use crate::membership::directory::Directory;
use crate::membership::failure_detector::{AnsweredProbe, FailureDetector};
use crate::membership::neighbors::Neighbors;
use crate::membership::repair::Repair;
use crate::membership::{
    AnnounceOutcome, Announcement, GossipMessage, Key, MembershipOptions, MembershipView, Record,
    RecordStore, Status,
};

/// Maximum number of changed records in one message, about 2 KB.
const RECORDS_PER_MESSAGE: usize = 24;
/// Number of hosts asked to probe a host that did not answer a direct probe.
const RELAY_HOSTS: usize = 3;
/// Number of hosts that this host notifies directly when it leaves.
const LEAVE_NOTICES: usize = 6;
/// Interval between removals of expired records, each with one probe of an unreachable host.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Number of hosts up to which a configuration version is published without delay. Each version
/// changes the record of every host: 2,400 versions a day on 340 hosts would be 9.4 changes a
/// second.
const HOSTS_WITHOUT_VERSION_DELAY: u64 = 20;
/// Maximum delay of a configuration version per host beyond that number, which allows 1.6 changes
/// a second in the fleet.
const VERSION_DELAY_MS_PER_HOST: u64 = 1_200;
/// Time after which a host whose seeds do not answer serves without having joined them.
const JOIN_LIMIT_MS: u64 = 3_000;

/// A message to send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Peer address of the receiver.
    pub address: String,
    /// The message.
    pub message: GossipMessage,
}

/// Gossip protocol of one host: its records, failure detector and repairs. Callers pass the time
/// and send the returned messages; the table has no clock and no socket.
#[derive(Clone, Debug)]
pub struct GossipTable {
    options: MembershipOptions,
    directory: Directory,
    detector: FailureDetector,
    random: StdRng,
    neighbors: Neighbors,
    next_probe: usize,
    isolated: bool,
    presumes_others_dead: bool,
    pending_version: Option<(u64, u64)>,
    repair: Repair,
    last_sweep_ms: u64,
    started_ms: u64,
    joined: bool,
}

impl GossipTable {
    /// Creates a table that contains only this host.
    pub fn new(mut options: MembershipOptions, seed: u64, now_ms: u64) -> Self {
        // Fewer than five unanswered probes in a row can be chance.
        options.isolation_ms = options.isolation_ms.max(5 * options.gossip_interval_ms);
        let own_address = &options.host.peer_address;
        let joined = options.seed_addresses.iter().all(|address| address == own_address);
        let mut unjoined = options.clone();
        unjoined.host.entry &= joined;
        Self {
            directory: Directory::new(&unjoined, now_ms),
            detector: FailureDetector::new(&options, now_ms),
            random: StdRng::seed_from_u64(seed),
            neighbors: Neighbors::default(),
            next_probe: 0,
            isolated: false,
            presumes_others_dead: false,
            pending_version: None,
            repair: Repair::new(now_ms),
            last_sweep_ms: 0,
            started_ms: now_ms,
            joined,
            options,
        }
    }

    /// The records.
    pub fn store(&self) -> &RecordStore {
        self.directory.store()
    }

    /// Runs one gossip round and returns the messages to send; to be called every
    /// `gossip_interval_ms`.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        if self.directory.live_hosts().is_empty() {
            self.detector.reset_answer_time(now_ms);
        }
        self.run_failure_detector(now_ms, &mut outgoing);
        self.directory.expire_leases(now_ms);
        if now_ms >= self.started_ms + JOIN_LIMIT_MS {
            self.join(now_ms);
        }
        self.publish_due_version(now_ms);
        if now_ms >= self.last_sweep_ms + SWEEP_INTERVAL_MS {
            self.last_sweep_ms = now_ms;
            self.directory.remove_expired(now_ms);
            self.probe_unreachable_host(&mut outgoing);
        }
        self.probe_next_host(now_ms, &mut outgoing);
        if self.directory.has_rumors() {
            for key in self.random_neighbors(1, None) {
                self.send(&key, GossipMessage::default(), &mut outgoing);
            }
        }
        self.apply_host_changes(now_ms);
        outgoing
    }

    /// Processes a message from another host and returns the replies to send.
    pub fn receive(&mut self, now_ms: u64, message: &GossipMessage) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let from = Key::Host(message.from_host_id.as_str().into());
        if from == *self.directory.own_key() {
            return outgoing;
        }
        let is_new = self.store().get(&from).is_none();
        for record in &message.records {
            self.directory.merge_record(now_ms, record, true);
        }
        for record in &message.repairs {
            self.directory.merge_record(now_ms, record, false);
        }
        self.apply_host_changes(now_ms);
        let has_same_table = message.table_hash == self.store().table_hash();
        if has_same_table || !message.repairs.is_empty() {
            self.join(now_ms);
        }
        self.handle_probe_answer(now_ms, message.answers_probe, &mut outgoing);
        self.handle_probe_request(now_ms, message, &from, &mut outgoing);
        self.repair(now_ms, message, is_new, &mut outgoing);
        outgoing
    }

    /// Returns the view if it changed since the last call.
    pub fn take_view(&mut self, now_ms: u64) -> Option<MembershipView> {
        let time_since_answer_ms = match self.directory.live_hosts() {
            [] => 0,
            _ => self.detector.time_since_answer_ms(now_ms),
        };
        let isolated = time_since_answer_ms > self.options.isolation_ms;
        let presumes_others_dead = time_since_answer_ms > self.options.isolation_limit_ms;
        let previous = (self.isolated, self.presumes_others_dead);
        (self.isolated, self.presumes_others_dead) = (isolated, presumes_others_dead);
        let changed = self.directory.take_changed() || previous != (isolated, presumes_others_dead);
        changed.then(|| MembershipView {
            joined: self.joined,
            ..self.directory.view(isolated, presumes_others_dead)
        })
    }

    /// Processes an announcement that an upstream sent to this host.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) -> AnnounceOutcome {
        self.directory.announce(now_ms, announcement)
    }

    /// Marks this host as leaving: it accepts no new work.
    pub fn set_leaving(&mut self, now_ms: u64) {
        self.directory.update_own_record(now_ms, |status, _| *status = Status::Leaving);
    }

    /// Sets the version of the configuration in force, which is published after a random delay that
    /// depends on the number of live hosts. A pending publication keeps its time.
    pub fn set_configuration_version(&mut self, now_ms: u64, version: u64) {
        let hosts = self.directory.live_hosts().len() as u64;
        let longest_ms =
            hosts.saturating_sub(HOSTS_WITHOUT_VERSION_DELAY) * VERSION_DELAY_MS_PER_HOST;
        let delay_ms = self.random.random_range(0..=longest_ms);
        let due_ms = self.pending_version.map_or(now_ms + delay_ms, |(_, due_ms)| due_ms);
        self.pending_version = Some((version, due_ms));
    }

    /// Merges a crash record and queues it for gossip.
    pub fn publish_crash_record(&mut self, now_ms: u64, crash: CrashRecord) {
        self.directory.merge_record(now_ms, &Record::crash(crash), true);
    }

    /// Marks this host as left, and returns the notices for a few other hosts.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.directory.update_own_record(now_ms, |status, _| *status = Status::Left);
        let mut outgoing = Vec::new();
        for key in self.random_neighbors(LEAVE_NOTICES, None) {
            let records = vec![self.directory.own().clone()];
            self.send(&key, GossipMessage { records, ..Default::default() }, &mut outgoing);
        }
        outgoing
    }

    /// Notes that this host knows the fleet, and announces it as an entry host if it is one. Before,
    /// its table may lack upstreams, so that it can't answer for them.
    fn join(&mut self, now_ms: u64) {
        if std::mem::replace(&mut self.joined, true) {
            return;
        }
        let entry = self.options.host.entry;
        self.directory.update_own_record(now_ms, |_, host| host.entry = entry);
    }

    fn run_failure_detector(&mut self, now_ms: u64, outgoing: &mut Vec<Outgoing>) {
        let due = self.detector.take_due(now_ms);
        for (probe, key) in due.indirect {
            let Some(host) = self.directory.host(&key) else { continue };
            let relay_address = host.peer_address.clone();
            for relay in self.random_neighbors(RELAY_HOSTS, Some(&key)) {
                let relay_address = relay_address.clone();
                let request = GossipMessage { probe, relay_address, ..Default::default() };
                self.send(&relay, request, outgoing);
            }
        }
        for key in due.unresponsive {
            self.suspect(now_ms, &key);
            // The message carries the suspect record, so that a live host refutes it at once.
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
                self.directory.merge_record(now_ms, &record, true);
            }
            // `Suspect` ranks below `Leaving` and would not replace it in a merge, so the suspicion
            // stays local to this host.
            Status::Leaving => {
                let incarnation = record.version.incarnation;
                self.detector.start_suspicion(now_ms, key, incarnation);
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
        self.directory.merge_record(now_ms, &record, true);
    }

    fn apply_host_changes(&mut self, now_ms: u64) {
        let changed = self.directory.take_changed_hosts();
        if changed.is_empty() {
            return;
        }
        for key in changed {
            let Some(record) = self.directory.store().get(&key) else { continue };
            self.detector.on_record_change(now_ms, &key, record);
        }
        let hosts = self.directory.unsuspected_hosts();
        self.neighbors = Neighbors::choose(&self.options.host, hosts);
    }

    fn publish_due_version(&mut self, now_ms: u64) {
        match self.pending_version {
            Some((version, due_ms)) if now_ms >= due_ms => {
                self.pending_version = None;
                self.directory
                    .update_own_record(now_ms, |_, host| host.configuration_version = version);
            }
            _ => {}
        }
    }

    fn probe_next_host(&mut self, now_ms: u64, outgoing: &mut Vec<Outgoing>) {
        let successors = &self.neighbors.successors;
        let Some(id) = successors.get(self.next_probe % successors.len().max(1)) else { return };
        let key = Key::Host(id.as_str().into());
        self.next_probe += 1;
        let probe = self.detector.start_probe(now_ms, key.clone());
        self.send(&key, GossipMessage { probe, ..Default::default() }, outgoing);
    }

    /// Probes a random seed that is not a live host, or a suspected or dead host, so that the two
    /// sides of a healed partition find each other, and hosts that suspect each other do not wait
    /// for ever.
    fn probe_unreachable_host(&mut self, outgoing: &mut Vec<Outgoing>) {
        let is_live = |address: &String| {
            let mut hosts = self.directory.live_hosts().iter();
            *address == self.options.host.peer_address
                || hosts.any(|key| {
                    self.directory.host(key).is_some_and(|host| host.peer_address == *address)
                })
        };
        let seeds = self.options.seed_addresses.iter().filter(|address| !is_live(address));
        let mut candidates: Vec<_> = seeds.map(|address| (address.clone(), None)).collect();
        for (key, host) in self.directory.suspect_or_dead_hosts() {
            candidates.push((host.peer_address.clone(), Some(key.clone())));
        }
        if let Some((address, key)) = candidates.choose(&mut self.random) {
            let probe = self.detector.next_probe_number();
            let probe_message = GossipMessage { probe, ..Default::default() };
            self.send_to(address, key.as_ref(), probe_message, outgoing);
        }
    }

    fn handle_probe_answer(&mut self, now_ms: u64, number: u64, outgoing: &mut Vec<Outgoing>) {
        match self.detector.handle_answer(now_ms, number) {
            AnsweredProbe::Unknown => {}
            AnsweredProbe::Relayed(relay) => {
                let answer = GossipMessage { answers_probe: relay.number, ..Default::default() };
                self.send_to(&relay.address, None, answer, outgoing);
            }
            // A suspected host refutes with a new record. The suspicion of a leaving host is local
            // to this host, so the answer ends it.
            AnsweredProbe::Own(key) => {
                let status = self.store().get(&key).map(|record| record.version.status);
                if status == Some(Status::Leaving) {
                    self.detector.clear_suspicion(&key);
                }
            }
        }
    }

    fn handle_probe_request(
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
        let probe = self.detector.start_relay(now_ms, &message.from_address, message.probe);
        let probe_message = GossipMessage { probe, ..Default::default() };
        self.send_to(&message.relay_address, None, probe_message, outgoing);
    }

    fn repair(
        &mut self,
        now_ms: u64,
        message: &GossipMessage,
        is_new: bool,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let store = self.directory.store();
        let mut replies = Repair::next_step(store, message, &mut self.random);
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

    /// Fills in the fields that all messages share, and queues the message.
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
        // A host can refute its suspect or dead record only if it receives that record.
        let record = to.and_then(|key| self.store().get(key));
        let suspect_or_dead = record.filter(|record| record.removed_unix_ms != 0).cloned();
        message.records.extend(suspect_or_dead);
        outgoing.push(Outgoing { address: address.to_owned(), message });
    }
}
