use std::collections::BTreeMap;

use crate::membership::{Key, MembershipOptions, Record, Status};

/// Probes in flight and suspicions that run, in the manner of SWIM.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    probe_timeout_ms: u64,
    suspicion_ms: u64,
    isolation_ms: u64,
    last_number: u64,
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

/// A probe made for another host.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Peer address of the host that asked.
    pub address: String,
    /// Number of its probe.
    pub number: u64,
    sent_ms: u64,
}

#[derive(Clone, Debug)]
struct Suspicion {
    incarnation: u64,
    since_ms: u64,
}

/// What the answer of a probe belongs to.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A probe of this host.
    Probed(Key),
    /// A probe made for another host.
    Relayed(Relay),
    /// No probe that is still waited for.
    Unknown,
}

/// What became due in the detector.
#[derive(Clone, Debug, Default)]
pub struct DueProbes {
    /// Probes without a direct answer, to be repeated through other hosts.
    pub relay: Vec<(u64, Key)>,
    /// Hosts that did not answer at all.
    pub silent: Vec<Key>,
    /// Hosts that did not refute a suspicion, with the suspected incarnation.
    pub dead: Vec<(Key, u64)>,
}

impl FailureDetector {
    /// A detector without probes.
    pub fn new(options: &MembershipOptions, now_ms: u64) -> Self {
        Self {
            probe_timeout_ms: options.probe_timeout_ms,
            suspicion_ms: options.suspicion_ms,
            isolation_ms: options.isolation_ms,
            last_number: 0,
            last_answer_ms: now_ms,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            suspicions: BTreeMap::new(),
        }
    }

    /// Time since any host answered a probe.
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_answer_ms)
    }

    /// Starts the silence anew, for a host that had nobody to probe.
    pub fn forget_silence(&mut self, now_ms: u64) {
        self.last_answer_ms = now_ms;
    }

    /// Number of a new probe of `host`.
    pub fn probe(&mut self, now_ms: u64, host: Key) -> u64 {
        let number = self.next_number();
        self.probes.insert(number, Probe { host, sent_ms: now_ms, relayed: false });
        number
    }

    /// Number of a probe that is made for another host.
    pub fn relay(&mut self, now_ms: u64, address: &str, number: u64) -> u64 {
        let own_number = self.next_number();
        let relay = Relay { address: address.to_owned(), number, sent_ms: now_ms };
        self.relays.insert(own_number, relay);
        own_number
    }

    /// Takes the answer of a probe.
    pub fn answered(&mut self, now_ms: u64, number: u64) -> Answer {
        if let Some(relay) = self.relays.remove(&number) {
            return Answer::Relayed(relay);
        }
        let Some(probe) = self.probes.remove(&number) else { return Answer::Unknown };
        if self.silence_ms(now_ms) > self.isolation_ms {
            self.end_isolation(now_ms);
        }
        self.last_answer_ms = now_ms;
        Answer::Probed(probe.host)
    }

    /// Ends the suspicion of a host.
    pub fn clear(&mut self, key: &Key) {
        self.suspicions.remove(key);
    }

    // Probes and suspicions from the time without contact say nothing about the other hosts.
    fn end_isolation(&mut self, now_ms: u64) {
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since_ms = now_ms;
        }
    }

    /// Starts or ends the suspicion of a host whose record changed.
    pub fn record_changed(&mut self, now_ms: u64, key: &Key, record: &Record) {
        let incarnation = record.version.incarnation;
        match record.version.status {
            Status::Suspect => self.suspect(now_ms, key, incarnation),
            Status::Leaving if self.suspects(key, incarnation) => {}
            _ => self.clear(key),
        }
    }

    /// Starts the time in which a host can refute.
    pub fn suspect(&mut self, now_ms: u64, key: &Key, incarnation: u64) {
        if !self.suspects(key, incarnation) {
            let suspicion = Suspicion { incarnation, since_ms: now_ms };
            self.suspicions.insert(key.clone(), suspicion);
        }
    }

    /// What became due at `now_ms`.
    pub fn due(&mut self, now_ms: u64) -> DueProbes {
        let mut due = DueProbes::default();
        let timeout_ms = self.probe_timeout_ms;
        let last_answer_ms = self.last_answer_ms;
        self.relays.retain(|_, relay| now_ms < relay.sent_ms + 2 * timeout_ms);
        self.probes.retain(|number, probe| {
            if !probe.relayed && now_ms >= probe.sent_ms + timeout_ms {
                probe.relayed = true;
                due.relay.push((*number, probe.host.clone()));
            }
            if now_ms < probe.sent_ms + 2 * timeout_ms {
                return true;
            }
            // When nobody answered meanwhile, this host may be the one that is cut off.
            if last_answer_ms > probe.sent_ms {
                due.silent.push(probe.host.clone());
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

    fn suspects(&self, key: &Key, incarnation: u64) -> bool {
        self.suspicions.get(key).is_some_and(|suspicion| suspicion.incarnation == incarnation)
    }

    /// A number that no other probe of this host has.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
