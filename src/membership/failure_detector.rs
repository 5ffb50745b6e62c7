use std::collections::BTreeMap;

use crate::membership::{Key, MembershipOptions, Record, Status};

/// Failure detector in the manner of SWIM: tracks outstanding probes and running suspicions.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    probe_timeout_ms: u64,
    suspicion_ms: u64,
    isolation_ms: u64,
    last_probe_number: u64,
    last_answer_ms: u64,
    probes: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
    suspicions: BTreeMap<Key, Suspicion>,
}

#[derive(Clone, Debug)]
struct Probe {
    host: Key,
    sent_ms: u64,
    relayed: bool,
}

/// An indirect probe that this host sends on behalf of another host.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Peer address of the requesting host.
    pub address: String,
    /// Probe number of the requesting host.
    pub number: u64,
    sent_ms: u64,
}

#[derive(Clone, Debug)]
struct Suspicion {
    incarnation: u64,
    since_ms: u64,
}

/// The probe that an answer belongs to.
#[derive(Clone, Debug)]
pub enum AnsweredProbe {
    /// A probe that this host sent for itself, with the probed host.
    Own(Key),
    /// An indirect probe that this host sent on behalf of another host.
    Relayed(Relay),
    /// No outstanding probe: the answer is late or its number is unknown.
    Unknown,
}

/// Timeouts that expired since the last check.
#[derive(Clone, Debug, Default)]
pub struct DueProbes {
    /// Probes without a direct answer, to be repeated through other hosts: number and probed host.
    pub indirect: Vec<(u64, Key)>,
    /// Hosts that answered neither the direct nor the indirect probe.
    pub unresponsive: Vec<Key>,
    /// Hosts that did not refute a suspicion in time, with the suspected incarnation.
    pub dead: Vec<(Key, u64)>,
}

impl FailureDetector {
    /// Creates a detector without outstanding probes.
    pub fn new(options: &MembershipOptions, now_ms: u64) -> Self {
        Self {
            probe_timeout_ms: options.probe_timeout_ms,
            suspicion_ms: options.suspicion_ms,
            isolation_ms: options.isolation_ms,
            last_probe_number: 0,
            last_answer_ms: now_ms,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            suspicions: BTreeMap::new(),
        }
    }

    /// Time since any host last answered a probe.
    pub fn time_since_answer_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_answer_ms)
    }

    /// Restarts the time since the last answer, for a host that has no other host to probe.
    pub fn reset_answer_time(&mut self, now_ms: u64) {
        self.last_answer_ms = now_ms;
    }

    /// Registers a new probe of `host` and returns its number.
    pub fn start_probe(&mut self, now_ms: u64, host: Key) -> u64 {
        let number = self.next_probe_number();
        self.probes.insert(number, Probe { host, sent_ms: now_ms, relayed: false });
        number
    }

    /// Registers an indirect probe for the host at `address`, whose own probe has `number`, and
    /// returns the number of the indirect probe.
    pub fn start_relay(&mut self, now_ms: u64, address: &str, number: u64) -> u64 {
        let own_number = self.next_probe_number();
        let relay = Relay { address: address.to_owned(), number, sent_ms: now_ms };
        self.relays.insert(own_number, relay);
        own_number
    }

    /// Removes the probe that an answer belongs to, and returns it.
    pub fn handle_answer(&mut self, now_ms: u64, number: u64) -> AnsweredProbe {
        if let Some(relay) = self.relays.remove(&number) {
            return AnsweredProbe::Relayed(relay);
        }
        let Some(probe) = self.probes.remove(&number) else { return AnsweredProbe::Unknown };
        if self.time_since_answer_ms(now_ms) > self.isolation_ms {
            self.end_isolation(now_ms);
        }
        self.last_answer_ms = now_ms;
        AnsweredProbe::Own(probe.host)
    }

    /// Ends the suspicion of a host.
    pub fn clear_suspicion(&mut self, key: &Key) {
        self.suspicions.remove(key);
    }

    // Probes and suspicions from the isolation period are no evidence against other hosts: the
    // probes are dropped and the suspicion timers restart.
    fn end_isolation(&mut self, now_ms: u64) {
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since_ms = now_ms;
        }
    }

    /// Starts or ends the suspicion of a host after a change of its record.
    pub fn on_record_change(&mut self, now_ms: u64, key: &Key, record: &Record) {
        let incarnation = record.version.incarnation;
        match record.version.status {
            Status::Suspect => self.start_suspicion(now_ms, key, incarnation),
            Status::Leaving if self.is_suspected(key, incarnation) => {}
            _ => self.clear_suspicion(key),
        }
    }

    /// Starts the time in which a host can refute a suspicion, unless it is already running.
    pub fn start_suspicion(&mut self, now_ms: u64, key: &Key, incarnation: u64) {
        if !self.is_suspected(key, incarnation) {
            let suspicion = Suspicion { incarnation, since_ms: now_ms };
            self.suspicions.insert(key.clone(), suspicion);
        }
    }

    /// Returns the timeouts that expired by `now_ms`.
    pub fn take_due(&mut self, now_ms: u64) -> DueProbes {
        let mut due = DueProbes::default();
        let timeout_ms = self.probe_timeout_ms;
        let last_answer_ms = self.last_answer_ms;
        self.relays.retain(|_, relay| now_ms < relay.sent_ms + 2 * timeout_ms);
        self.probes.retain(|number, probe| {
            if !probe.relayed && now_ms >= probe.sent_ms + timeout_ms {
                probe.relayed = true;
                due.indirect.push((*number, probe.host.clone()));
            }
            if now_ms < probe.sent_ms + 2 * timeout_ms {
                return true;
            }
            // If no host has answered since the probe was sent, this host may itself be cut off.
            if last_answer_ms > probe.sent_ms {
                due.unresponsive.push(probe.host.clone());
            }
            false
        });
        let suspicion_ms = self.suspicion_ms;
        self.suspicions.retain(|key, suspicion| {
            if now_ms < suspicion.since_ms + suspicion_ms {
                return true;
            }
            if last_answer_ms <= suspicion.since_ms {
                return true;
            }
            due.dead.push((key.clone(), suspicion.incarnation));
            false
        });
        due
    }

    fn is_suspected(&self, key: &Key, incarnation: u64) -> bool {
        self.suspicions.get(key).is_some_and(|suspicion| suspicion.incarnation == incarnation)
    }

    /// Allocates a probe number, unique on this host.
    pub fn next_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }
}
