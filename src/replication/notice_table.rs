use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::schema::peer::ControlNotice;

/// Age at which a notice counts as stale.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age at which a notice or a listed address is removed; long enough for a reboot of the host.
const NOTICE_RETENTION: Duration = Duration::from_secs(60);

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
        let notice = Notice {
            host_id,
            peer_address: peer_address.clone(),
            zone,
            replica_id,
            nonce,
            received_at: now,
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

    /// Peer addresses of the hosts whose notices are fresh.
    pub fn fresh_addresses(&self, now: Instant) -> impl Iterator<Item = &str> {
        let fresh = self.notices.values().filter(move |notice| notice.is_fresh(now));
        fresh.map(|notice| notice.peer_address.as_str())
    }

    /// Peer addresses of all hosts that sent a notice or are listed in one.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.notices.keys().chain(self.listed.keys()).map(String::as_str)
    }
}
