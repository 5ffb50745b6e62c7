use std::sync::Arc;

use crate::membership::leases::{Lease, Leases};
use crate::membership::rumor_queue::RumorQueue;
use crate::membership::{
    AnnounceOutcome, Announcement, Body, CrashEntry, HostEntry, HostRecord, Key, MembershipOptions,
    MembershipView, Record, RecordStore, Status, UpstreamEntry, UpstreamRecord, Version,
};

/// State of the fleet as this host knows it: the records, the leases that it granted to upstreams,
/// and the queue of changes that it still gossips.
#[derive(Clone, Debug)]
pub struct Directory {
    store: RecordStore,
    leases: Leases,
    rumors: RumorQueue,
    own_key: Key,
    own: Record,
    tombstone_ms: u64,
    live_hosts: Vec<Key>,
    changed: bool,
    changed_hosts: Vec<Key>,
}

impl Directory {
    /// Creates a directory that contains only this host.
    pub fn new(options: &MembershipOptions, now_ms: u64) -> Self {
        let incarnation = options.incarnation;
        let version = Version { incarnation, status: Status::Alive, sequence: 0 };
        let body = Body::Host(Arc::new(options.host.clone()));
        let own = Record { version, removed_unix_ms: 0, body };
        let mut directory = Self {
            store: RecordStore::default(),
            leases: Leases::default(),
            rumors: RumorQueue::default(),
            own_key: own.key(),
            own: own.clone(),
            tombstone_ms: options.tombstone_ms,
            live_hosts: Vec::new(),
            changed: true,
            changed_hosts: Vec::new(),
        };
        directory.merge_record(now_ms, &own, true);
        directory
    }

    /// The records.
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// Key of this host's record.
    pub fn own_key(&self) -> &Key {
        &self.own_key
    }

    /// This host's record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Record of a host, as published by that host.
    pub fn host(&self, key: &Key) -> Option<&HostRecord> {
        match &self.store.get(key)?.body {
            Body::Host(host) => Some(host),
            _ => None,
        }
    }

    /// Keys of the other hosts that are neither dead nor left, sorted.
    pub fn live_hosts(&self) -> &[Key] {
        &self.live_hosts
    }

    /// Records of the live hosts that are not suspected.
    pub fn unsuspected_hosts(&self) -> impl Iterator<Item = &HostRecord> + Clone {
        let hosts = self.live_hosts.iter().filter_map(|key| self.store.get(key));
        hosts.filter_map(|record| match &record.body {
            Body::Host(host) if record.version.status != Status::Suspect => Some(&**host),
            _ => None,
        })
    }

    /// Keys and records of hosts that are suspected or dead.
    pub fn suspect_or_dead_hosts(&self) -> impl Iterator<Item = (&Key, &HostRecord)> {
        let hosts = self.store.iter().take_while(|(key, _)| matches!(key, Key::Host(_)));
        hosts.filter_map(|(key, record)| match (&record.body, record.version.status) {
            (Body::Host(host), Status::Suspect | Status::Dead) => Some((key, &**host)),
            _ => None,
        })
    }

    /// True while changes are queued for gossip.
    pub fn has_rumors(&self) -> bool {
        !self.rumors.is_empty()
    }

    /// Returns up to `limit` changes for one message and counts them as sent once more.
    pub fn take_rumors(&mut self, limit: usize) -> Vec<Record> {
        let keys = self.rumors.take(limit);
        keys.iter().filter_map(|key| self.store.get(key).cloned()).collect()
    }

    /// Returns and clears the hosts whose status or incarnation changed since the last call.
    pub fn take_changed_hosts(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.changed_hosts)
    }

    /// True if a record changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Merges a record into the store, and queues it for gossip if `spread` is set and the store
    /// changed. Expired records are ignored.
    pub fn merge_record(&mut self, now_ms: u64, record: &Record, spread: bool) {
        let key = record.key();
        let previous_version = self.store.get(&key).map(|known| known.version);
        if record.is_expired(now_ms, self.tombstone_ms) || !self.store.merge(record) {
            return;
        }
        self.changed = true;
        if spread {
            self.rumors.push(key.clone(), self.live_hosts.len() + 1);
        }
        match &record.body {
            Body::Host(_) if key == self.own_key => self.refute(now_ms, record),
            Body::Host(host) => {
                let Version { incarnation, status, .. } = record.version;
                if previous_version.map(|known| (known.incarnation, known.status))
                    != Some((incarnation, status))
                {
                    self.on_host_status_change(now_ms, key, status, host);
                }
            }
            Body::Upstream(upstream) => self.on_upstream_change(now_ms, &key, record, upstream),
            Body::Crash(_) => {}
        }
    }

    /// Changes this host's own record and queues it for gossip.
    pub fn update_own_record(
        &mut self,
        now_ms: u64,
        change: impl FnOnce(&mut Status, &mut HostRecord),
    ) {
        let Body::Host(host) = &self.own.body else { return };
        let (mut status, mut host) = (self.own.version.status, HostRecord::clone(host));
        change(&mut status, &mut host);
        let version =
            Version { status, sequence: self.own.version.sequence + 1, ..self.own.version };
        let removed_unix_ms = if status.is_removed() { now_ms } else { 0 };
        self.own = Record { version, removed_unix_ms, body: Body::Host(Arc::new(host)) };
        self.merge_record(now_ms, &self.own.clone(), true);
    }

    /// Processes an announcement that an upstream sent to this host.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) -> AnnounceOutcome {
        let Announcement { mut record, sequence, leaving } = announcement;
        let key = Key::Upstream(record.upstream_id.as_str().into());
        let Body::Host(own) = &self.own.body else { return AnnounceOutcome::Stale };
        record.home_host_id.clone_from(&own.host_id);
        let status = if leaving { Status::Leaving } else { Status::Alive };
        let incarnation = record.announced_incarnation;
        let version = match self.store.get(&key) {
            None => Version { incarnation, status, sequence },
            Some(known) => match self.next_version(&key, known, &record, sequence, status) {
                Ok(version) => version,
                Err(outcome) => return outcome,
            },
        };
        let record = Record { version, removed_unix_ms: 0, body: Body::Upstream(Arc::new(record)) };
        self.leases.grant(now_ms, &key, &record, sequence);
        self.merge_record(now_ms, &record, true);
        AnnounceOutcome::Accepted
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.changed |= self.store.expire(now_ms, self.tombstone_ms);
    }

    /// Marks upstreams as dead or left whose lease, or whose time to find a new home host, expired.
    pub fn expire_leases(&mut self, now_ms: u64) {
        for key in self.leases.take_expired(now_ms) {
            let Some(record) = self.store.get(&key) else { continue };
            if !record.version.status.is_removed() {
                let record = record.with_status(Self::status_after_expiry(record), now_ms);
                self.merge_record(now_ms, &record, true);
            }
        }
        for key in self.leases.take_expired_orphans(now_ms) {
            let Some(record) = self.store.get(&key) else { continue };
            let home = self.home_record(record).filter(|home| home.version.status.is_removed());
            let orphaned_ms = home.map_or(now_ms, |home| home.removed_unix_ms);
            let removed_ms = orphaned_ms.saturating_add(Leases::duration_ms(record));
            let record = record.with_status(Self::status_after_expiry(record), removed_ms);
            // Every host computes the same record, so it is not gossiped.
            self.merge_record(now_ms, &record, false);
        }
    }

    /// Builds the view; with `presume_others_dead` it shows all other hosts as dead.
    pub fn view(&self, isolated: bool, presume_others_dead: bool) -> MembershipView {
        let mut view = MembershipView { isolated, ..Default::default() };
        for (key, record) in self.store.iter() {
            let Version { incarnation, status, .. } = record.version;
            match &record.body {
                Body::Host(host) => {
                    let presume_dead =
                        presume_others_dead && *key != self.own_key && !status.is_removed();
                    let status = if presume_dead { Status::Dead } else { status };
                    view.hosts.push(HostEntry { record: host.clone(), incarnation, status });
                }
                Body::Upstream(upstream) => {
                    let (record, incarnation) = (upstream.clone(), upstream.announced_incarnation);
                    view.upstreams.push(UpstreamEntry { record, incarnation, status });
                }
                Body::Crash(crash) => view.crashes.push(CrashEntry { record: crash.clone() }),
            }
        }
        view
    }

    /// Version of a known upstream's record after an announcement, or the reason to reject it.
    fn next_version(
        &self,
        key: &Key,
        known: &Record,
        announced: &UpstreamRecord,
        sequence: u64,
        status: Status,
    ) -> Result<Version, AnnounceOutcome> {
        let Body::Upstream(upstream) = &known.body else { return Err(AnnounceOutcome::Stale) };
        let incarnation = announced.announced_incarnation;
        let next_incarnation = known.version.incarnation.saturating_add(1);
        if incarnation < upstream.announced_incarnation {
            return Err(AnnounceOutcome::Stale);
        }
        if incarnation > upstream.announced_incarnation {
            let incarnation = incarnation.max(next_incarnation);
            return Ok(Version { incarnation, status, sequence });
        }
        match known.version.status {
            Status::Left => return Err(AnnounceOutcome::AlreadyLeft),
            Status::Leaving if status == Status::Alive => return Err(AnnounceOutcome::AlreadyLeft),
            _ => {}
        }
        let lease_sequence = self.leases.get(key).map(|lease| lease.sequence);
        // Upstreams that do not number their announcements send sequence 0.
        if sequence != 0 && sequence < lease_sequence.unwrap_or(known.version.sequence) {
            return Err(AnnounceOutcome::Stale);
        }
        let sequence = sequence.max(known.version.sequence.saturating_add(1));
        if known.version.status == Status::Dead {
            return Ok(Version { incarnation: next_incarnation, status, sequence });
        }
        // A heartbeat without a change renews the lease and keeps the version, so that it is not
        // gossiped.
        if known.version.status == status && **upstream == *announced {
            return Ok(known.version);
        }
        Ok(Version { incarnation: known.version.incarnation, status, sequence })
    }

    fn on_host_status_change(&mut self, now_ms: u64, key: Key, status: Status, host: &HostRecord) {
        let is_removed = status.is_removed();
        match self.live_hosts.binary_search(&key) {
            Ok(place) if is_removed => {
                self.live_hosts.remove(place);
            }
            Err(place) if !is_removed => self.live_hosts.insert(place, key.clone()),
            _ => {}
        }
        for (key, record) in self.store.iter() {
            let Body::Upstream(upstream) = &record.body else { continue };
            if upstream.home_host_id != host.host_id {
                continue;
            }
            match is_removed && !record.version.status.is_removed() {
                true => self.leases.start_orphan_timer(now_ms, key, record),
                false => self.leases.cancel_orphan_timer(key),
            }
        }
        self.changed_hosts.push(key);
    }

    /// Overrides a record of this host that another host made, such as a false report of its death.
    fn refute(&mut self, now_ms: u64, record: &Record) {
        if *record == self.own || self.own.version.status == Status::Left {
            return;
        }
        self.own.version.incarnation = record.version.incarnation.saturating_add(1);
        self.merge_record(now_ms, &self.own.clone(), true);
    }

    fn on_upstream_change(
        &mut self,
        now_ms: u64,
        key: &Key,
        record: &Record,
        upstream: &UpstreamRecord,
    ) {
        let status = record.version.status;
        let is_home = self.own_key == Key::Host(upstream.home_host_id.as_str().into());
        match self.leases.get(key) {
            Some(lease) if lease.record == *record => return,
            Some(lease) if status == Status::Dead && Self::is_same_incarnation(lease, upstream) => {
                let mut refuted = lease.record.clone();
                refuted.version.incarnation = record.version.incarnation.saturating_add(1);
                self.leases.update(key, &refuted);
                self.merge_record(now_ms, &refuted, true);
                return;
            }
            Some(_) if is_home && !status.is_removed() => self.leases.update(key, record),
            Some(_) => self.leases.release(key),
            // This host restarted and lost its leases; the upstream has one lease duration to
            // announce itself again.
            None if is_home && !status.is_removed() => self.leases.grant(now_ms, key, record, 0),
            None => {}
        }
        let is_home_removed = self.home_record(record).map(|home| home.version.status.is_removed());
        match is_home_removed.unwrap_or(true) && !status.is_removed() {
            true => self.leases.start_orphan_timer(now_ms, key, record),
            false => self.leases.cancel_orphan_timer(key),
        }
    }

    fn is_same_incarnation(lease: &Lease, upstream: &UpstreamRecord) -> bool {
        match &lease.record.body {
            Body::Upstream(held) => held.announced_incarnation == upstream.announced_incarnation,
            _ => false,
        }
    }

    /// Record of the home host of an upstream.
    fn home_record(&self, record: &Record) -> Option<&Record> {
        let Body::Upstream(upstream) = &record.body else { return None };
        self.store.get(&Key::Host(upstream.home_host_id.as_str().into()))
    }

    /// Status of an upstream whose lease expired: left if it was leaving, dead otherwise.
    fn status_after_expiry(record: &Record) -> Status {
        match record.version.status {
            Status::Leaving => Status::Left,
            _ => Status::Dead,
        }
    }
}
