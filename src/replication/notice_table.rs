use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;

use crate::schema::peer::ControlNotice;

/// Age at which a notice counts as stale.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age at which a notice or a listed address is removed; long enough for a reboot of the host.
const NOTICE_RETENTION: Duration = Duration::from_secs(60);

/// Time for which each notice lists a host that has just appeared, so that all others hear of it at once.
const NEWCOMER_TIME: Duration = Duration::from_secs(2);
/// Number of other hosts that each notice lists, drawn anew each time: a notice must not grow with the
/// number of control hosts, since each of them sends it to all others several times a second.
const LISTED_HOSTS: usize = 3;

/// The last notice of a control host.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// Name of the host.
    pub host_id: String,
    /// Its peer address.
    pub peer_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Replica that it runs; 0 while it waits to be admitted.
    pub replica_id: u64,
    /// Random number that the host chose for its empty data folder.
    pub nonce: u64,
    received_at: Instant,
    /// First of the notices without a longer pause between them.
    appeared_at: Instant,
}

impl Notice {
    /// True if the notice is recent, so that its host counts as running.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.received_at) < NOTICE_TIMEOUT
    }
}

/// The latest notices of all control hosts, by peer address.
#[derive(Debug, Default)]
pub struct NoticeTable {
    notices: HashMap<String, Notice>,
    /// Addresses that notices of other hosts list and that sent no notice themselves, with the time
    /// at which they were first listed.
    listed: HashMap<String, Instant>,
}

impl NoticeTable {
    /// Records a notice that arrived at `now`, and the addresses that it lists.
    pub fn record(&mut self, notice: ControlNotice, now: Instant) {
        for address in notice.known_addresses {
            self.listed.entry(address).or_insert(now);
        }
        let ControlNotice { host_id, peer_address, zone, replica_id, nonce, .. } = notice;
        self.listed.remove(&peer_address);
        let previous = self.notices.get(&peer_address).filter(|previous| previous.is_fresh(now));
        let appeared_at = previous.map_or(now, |previous| previous.appeared_at);
        let notice = Notice {
            host_id,
            peer_address: peer_address.clone(),
            zone,
            replica_id,
            nonce,
            received_at: now,
            appeared_at,
        };
        self.notices.insert(peer_address, notice);
    }

    /// Removes old notices and listed addresses.
    pub fn remove_expired(&mut self, now: Instant) {
        self.notices.retain(|_, notice| now.duration_since(notice.received_at) < NOTICE_RETENTION);
        self.listed.retain(|_, since| now.duration_since(*since) < NOTICE_RETENTION);
    }

    /// The latest notice of the host at this address.
    pub fn get(&self, peer_address: &str) -> Option<&Notice> {
        self.notices.get(peer_address)
    }

    /// All notices, stale ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Notice> {
        self.notices.values()
    }

    /// Peer addresses to list in a notice: of the hosts that have just appeared, and of a few others with
    /// fresh notices.
    pub fn addresses_to_list(&self, now: Instant) -> Vec<String> {
        let fresh = || self.notices.values().filter(|notice| notice.is_fresh(now));
        let is_new = |notice: &&Notice| now.duration_since(notice.appeared_at) < NEWCOMER_TIME;
        let mut listed: Vec<&Notice> = fresh().filter(is_new).collect();
        let others = fresh().filter(|notice| !is_new(notice));
        listed.extend(others.choose_multiple(&mut rand::rng(), LISTED_HOSTS));
        listed.into_iter().map(|notice| notice.peer_address.clone()).collect()
    }

    /// Peer addresses of all hosts that sent a notice or are listed in one.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.notices.keys().chain(self.listed.keys()).map(String::as_str)
    }
}
