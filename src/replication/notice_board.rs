use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::schema::peer::ControlNotice;

/// Age at which a notice no longer speaks for its host.
const NOTICE_AGE: Duration = Duration::from_millis(1_500);
/// Age at which a host is forgotten; long enough for a reboot.
const FORGET_AGE: Duration = Duration::from_secs(60);

/// What a control host last said about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// Name of the host.
    pub host_id: String,
    /// Its address for peers.
    pub peer_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Replica that it runs; 0 while it waits to be admitted.
    pub replica_id: u64,
    /// Drawn with its empty data folder.
    pub nonce: u64,
    heard: Instant,
}

impl Notice {
    /// True while the host speaks up regularly.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.heard) < NOTICE_AGE
    }
}

/// The control hosts that this host knows, by their peer address.
#[derive(Debug, Default)]
pub struct NoticeBoard {
    notices: HashMap<String, Notice>,
    /// Addresses that others named and that were not heard themselves.
    named: HashMap<String, Instant>,
}

impl NoticeBoard {
    /// Takes a notice.
    pub fn hear(&mut self, notice: ControlNotice, now: Instant) {
        for address in notice.known_addresses {
            self.named.entry(address).or_insert(now);
        }
        let ControlNotice { host_id, peer_address, zone, replica_id, nonce, .. } = notice;
        self.named.remove(&peer_address);
        let heard = Notice {
            host_id,
            peer_address: peer_address.clone(),
            zone,
            replica_id,
            nonce,
            heard: now,
        };
        self.notices.insert(peer_address, heard);
    }

    /// Forgets hosts that were not heard for long.
    pub fn forget_old(&mut self, now: Instant) {
        self.notices.retain(|_, notice| now.duration_since(notice.heard) < FORGET_AGE);
        self.named.retain(|_, since| now.duration_since(*since) < FORGET_AGE);
    }

    /// What the host at this address said last.
    pub fn at(&self, peer_address: &str) -> Option<&Notice> {
        self.notices.get(peer_address)
    }

    /// All notices.
    pub fn iter(&self) -> impl Iterator<Item = &Notice> {
        self.notices.values()
    }

    /// Addresses of hosts that speak up regularly.
    pub fn fresh_addresses(&self, now: Instant) -> impl Iterator<Item = &str> {
        let fresh = self.notices.values().filter(move |notice| notice.is_fresh(now));
        fresh.map(|notice| notice.peer_address.as_str())
    }

    /// Addresses of all hosts, heard or only named.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.notices.keys().chain(self.named.keys()).map(String::as_str)
    }
}
