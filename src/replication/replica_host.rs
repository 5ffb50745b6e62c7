use std::collections::HashMap;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::task::{self, JoinHandle};
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::control::PeerOutbox;
use crate::peer::{PeerCaller, TrafficClass};
use crate::raft::{
    sync_folder, Group, GroupOptions, GroupStatus, Identity, Replica, ReplicaChange, StateMachine,
};
use crate::replication::replica_status::members;
use crate::replication::{plan_repair, Candidate, NoticeBoard, RepairStep};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Admission, ControlNotice, RaftMessage};

/// Time between two notices to the other control hosts. A lost host is noticed within a few.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at the replica set; a repair of three steps then takes well under a second.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a replica must be missing from the set before its host is told to drop it, so that
/// a change that is not committed yet expels nobody.
const EXPEL_AGE: Duration = Duration::from_secs(1);

/// What a [`ReplicaHost`] is made from.
pub struct ReplicaHostOptions {
    /// Name of the host.
    pub host_id: String,
    /// Its address for peers.
    pub peer_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Peer addresses to contact first, its own among them if it is a seed.
    pub seed_addresses: Vec<String>,
    /// The seeds found a new group.
    pub is_founder: bool,
    /// Voters that the group aims at.
    pub target_voters: usize,
    /// Options of the replica; id, folder and replicas are filled in.
    pub group: GroupOptions,
}

/// Tells whether a host is to be emptied.
pub trait Retirement: Send + Sync {
    /// True if the host with this name is to be emptied.
    fn is_retired(&self, host_id: &str) -> bool;
}

/// Runs the replica of one control host: admitted, opened, replaced and repaired.
pub struct ReplicaHost {
    options: ReplicaHostOptions,
    machine: Arc<dyn StateMachine>,
    retirement: Arc<dyn Retirement>,
    caller: Arc<dyn PeerCaller>,
    group: ArcSwapOption<Group>,
    inner: Mutex<Inner>,
}

struct Inner {
    board: NoticeBoard,
    /// Drawn for this empty data folder.
    nonce: u64,
    /// Replicas that this leader admitted, with the nonces of their hosts.
    admitted: HashMap<u64, u64>,
    /// Replicas that their hosts run and the set does not have, since when.
    strangers: HashMap<u64, Instant>,
    tasks: Vec<JoinHandle<()>>,
}

impl ReplicaHost {
    /// Opens the replica that the data folder holds, founds the group, or waits to be admitted.
    ///
    /// # Errors
    /// If the data folder can't be read.
    pub fn open(
        options: ReplicaHostOptions,
        machine: Arc<dyn StateMachine>,
        retirement: Arc<dyn Retirement>,
        caller: Arc<dyn PeerCaller>,
    ) -> Result<Arc<Self>> {
        let inner = Inner {
            board: NoticeBoard::default(),
            nonce: rand::random_range(1..u64::MAX),
            admitted: HashMap::new(),
            strangers: HashMap::new(),
            tasks: Vec::new(),
        };
        let host = Arc::new(Self {
            options,
            machine,
            retirement,
            caller,
            group: ArcSwapOption::empty(),
            inner: Mutex::new(inner),
        });
        let folder = host.folder();
        let found = Identity::read(&folder).into_diagnostic().wrap_err("reading the identity")?;
        let founders = host.founders();
        let own_founder = founders.iter().find(|it| it.peer_address == host.options.peer_address);
        match (found, own_founder) {
            (Some(identity), _) => host.open_group(identity.replica_id, founders, false)?,
            (None, Some(own)) if host.options.is_founder => {
                let id = own.id;
                host.open_group(id, founders, false)?;
            }
            (None, _) => log::info!(event = "replica_waits"; "the data folder is empty"),
        }
        let tasks =
            vec![task::spawn(send_notices(host.clone())), task::spawn(repair(host.clone()))];
        host.inner().tasks = tasks;
        Ok(host)
    }

    /// The replica, if the host runs one.
    pub fn group(&self) -> Option<Arc<Group>> {
        self.group.load_full()
    }

    /// What the replica says about itself.
    pub fn status(&self) -> Option<Arc<GroupStatus>> {
        self.group().map(|group| group.status())
    }

    /// Takes a message of another replica.
    pub fn receive(&self, message: RaftMessage) {
        if let Some(group) = self.group() {
            group.receive(message);
        }
    }

    /// Takes what another control host says about itself.
    pub fn hear(&self, notice: ControlNotice) {
        self.inner().board.hear(notice, Instant::now());
    }

    /// Runs the replica that a leader admitted, or drops one that the group has removed.
    pub async fn admit(&self, admission: Admission) {
        let running = self.status().map(|status| status.replica_id);
        if admission.expelled {
            if running == Some(admission.replica_id) {
                self.drop_replica(admission.replica_id).await;
            }
            return;
        }
        if running.is_some() || admission.nonce != self.inner().nonce {
            return;
        }
        if let Err(error) = self.open_group(admission.replica_id, Vec::new(), true) {
            log::error!(event = "replica_open_failed", replica = admission.replica_id; "{error:?}");
        }
    }

    /// Peer addresses of the control hosts that speak up, and of this one.
    pub fn control_addresses(&self) -> Vec<String> {
        let inner = self.inner();
        let fresh = inner.board.fresh_addresses(Instant::now());
        let mut addresses: Vec<String> = fresh.map(str::to_owned).collect();
        if !addresses.contains(&self.options.peer_address) {
            addresses.push(self.options.peer_address.clone());
        }
        addresses.sort();
        addresses
    }

    /// Names of the control hosts that speak up or run a replica of the group.
    pub fn knows_host(&self, host_id: &str) -> bool {
        host_id == self.options.host_id
            || self.inner().board.iter().any(|notice| notice.host_id == host_id)
    }

    /// Control hosts that speak up and are not to be emptied, this one included.
    pub fn usable_hosts(&self) -> Vec<String> {
        let now = Instant::now();
        let inner = self.inner();
        let fresh = inner.board.iter().filter(|notice| notice.is_fresh(now));
        let mut hosts: Vec<String> = fresh.map(|notice| notice.host_id.clone()).collect();
        if !hosts.contains(&self.options.host_id) {
            hosts.push(self.options.host_id.clone());
        }
        hosts.retain(|host_id| !self.retirement.is_retired(host_id));
        hosts
    }

    /// True if no replica of the set runs on the host.
    pub fn is_emptied(&self, host_id: &str) -> bool {
        let Some(status) = self.status() else { return false };
        let inner = self.inner();
        let address = match host_id == self.options.host_id {
            true => Some(self.options.peer_address.as_str()),
            false => {
                let notice = inner.board.iter().find(|notice| notice.host_id == host_id);
                notice.map(|notice| notice.peer_address.as_str())
            }
        };
        let replicas = &status.replicas.replicas;
        !replicas.iter().any(|replica| Some(replica.peer_address.as_str()) == address)
    }

    /// Stops the replica; hands leadership on first.
    pub async fn close(&self) {
        let tasks = std::mem::take(&mut self.inner().tasks);
        for task in tasks {
            task.cancel().await;
        }
        if let Some(group) = self.group() {
            if group.status().is_leader {
                // Without a successor the group elects a leader after the election timeout.
                let _ = group.transfer_leadership(0).await;
            }
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn folder(&self) -> PathBuf {
        self.options.group.data_folder.clone()
    }

    /// The seeds as replicas, numbered in the order of their addresses.
    fn founders(&self) -> Vec<Replica> {
        let mut seeds = self.options.seed_addresses.clone();
        seeds.sort();
        seeds.dedup();
        let numbered = (1..).zip(seeds);
        numbered
            .map(|(id, peer_address)| Replica {
                id,
                peer_address,
                zone: String::new(),
                voter: true,
            })
            .collect()
    }

    fn open_group(&self, replica_id: u64, replicas: Vec<Replica>, joins: bool) -> Result<()> {
        let options = GroupOptions {
            replica_id,
            replicas,
            join_existing: joins,
            seed: rand::random(),
            ..self.options.group.clone()
        };
        let outbox = Arc::new(PeerOutbox { caller: self.caller.clone() });
        let group = Group::open(options, self.machine.clone(), outbox)
            .into_diagnostic()
            .wrap_err_with(|| format!("opening replica {replica_id}"))?;
        log::info!(event = "replica_opened", replica = replica_id, joins = joins; "replica opened");
        self.group.store(Some(Arc::new(group)));
        Ok(())
    }

    /// Closes and deletes a replica that the group removed; the host waits to be admitted again.
    async fn drop_replica(&self, replica_id: u64) {
        let Some(group) = self.group.swap(None) else { return };
        log::warn!(event = "replica_dropped", replica = replica_id; "removed from the group");
        Group::clone(&group).close().await;
        if let Err(error) = remove_files(&self.folder()) {
            log::error!(event = "replica_files_left", replica = replica_id; "{error}");
        }
        self.inner().nonce = rand::random_range(1..u64::MAX);
    }

    fn notice(&self) -> ControlNotice {
        let now = Instant::now();
        let inner = self.inner();
        ControlNotice {
            host_id: self.options.host_id.clone(),
            peer_address: self.options.peer_address.clone(),
            zone: self.options.zone.clone(),
            region: String::new(),
            replica_id: self.status().map_or(0, |status| status.replica_id),
            nonce: inner.nonce,
            known_addresses: inner.board.fresh_addresses(now).map(str::to_owned).collect(),
        }
    }

    /// Addresses of all other control hosts that may be there.
    fn peers(&self) -> Vec<String> {
        let mut peers = self.options.seed_addresses.clone();
        peers.extend(self.inner().board.addresses().map(str::to_owned));
        if let Some(status) = self.status() {
            peers.extend(status.replicas.replicas.iter().map(|it| it.peer_address.clone()));
        }
        peers.sort();
        peers.dedup();
        peers.retain(|address| *address != self.options.peer_address);
        peers
    }

    /// Makes the next change of the group; true if it made one and the next may follow at once.
    async fn repair_once(&self) -> bool {
        let Some(group) = self.group() else { return false };
        let status = group.status();
        if !status.is_leader {
            self.inner().strangers.clear();
            return false;
        }
        let now = Instant::now();
        self.send_admissions(&group, &status, now).await;
        let step = {
            let inner = self.inner();
            let retired = |host_id: &str| self.retirement.is_retired(host_id);
            let admitted = |id, nonce| inner.admitted.get(&id) == Some(&nonce);
            let members = members(&status, &inner.board, retired, admitted, now);
            let candidates = self.candidates(&status, &inner, now);
            plan_repair(&members, &candidates, self.options.target_voters)
        };
        match step {
            Some(step) => self.make(&group, &status, step).await,
            None => false,
        }
    }

    /// Hosts without a replica that no learner stands for yet.
    fn candidates(&self, status: &GroupStatus, inner: &Inner, now: Instant) -> Vec<Candidate> {
        let fresh = inner.board.iter().filter(|notice| notice.is_fresh(now));
        let waiting = fresh.filter(|it| {
            let has_learner = status
                .replicas
                .replicas
                .iter()
                .any(|replica| !replica.voter && replica.peer_address == it.peer_address);
            it.replica_id == 0 && !has_learner && !self.retirement.is_retired(&it.host_id)
        });
        waiting
            .map(|it| Candidate { peer_address: it.peer_address.clone(), zone: it.zone.clone() })
            .collect()
    }

    async fn make(&self, group: &Group, status: &GroupStatus, step: RepairStep) -> bool {
        let change = match &step {
            RepairStep::Add(candidate) => {
                let replica = Replica {
                    id: status.replicas.highest_id + 1,
                    peer_address: candidate.peer_address.clone(),
                    zone: candidate.zone.clone(),
                    voter: false,
                };
                let mut inner = self.inner();
                let nonce = inner.board.at(&candidate.peer_address).map_or(0, |it| it.nonce);
                inner.admitted.insert(replica.id, nonce);
                ReplicaChange::AddLearner(replica)
            }
            RepairStep::Promote(id) => ReplicaChange::Promote(*id),
            RepairStep::Remove(id) => ReplicaChange::Remove(*id),
            RepairStep::Transfer => {
                let result = group.transfer_leadership(0).await;
                log::info!(event = "leadership_handed_on"; "{result:?}");
                return false;
            }
        };
        let result = group.change_replicas(change).await;
        let is_done = result.is_ok();
        let outcome = result.err().map_or_else(|| "done".to_owned(), |error| error.to_string());
        log::info!(event = "replica_set_change", term = status.term, outcome = outcome.as_str();
            "{step:?}");
        is_done
    }

    /// Tells admitted hosts their replica, and hosts of removed replicas to drop them.
    async fn send_admissions(&self, group: &Group, status: &GroupStatus, now: Instant) {
        let mut admissions = Vec::new();
        {
            let mut inner = self.inner();
            let Inner { board, admitted, strangers, .. } = &mut *inner;
            board.forget_old(now);
            for replica in status.replicas.replicas.iter().filter(|it| !it.voter) {
                let Some(notice) = board.at(&replica.peer_address) else { continue };
                if notice.replica_id == 0 && admitted.get(&replica.id) == Some(&notice.nonce) {
                    let nonce = notice.nonce;
                    let admission = Admission { replica_id: replica.id, nonce, expelled: false };
                    admissions.push((notice.peer_address.clone(), admission));
                }
            }
            let in_set = |id| status.replicas.get(id).is_some();
            let is_stranger = |id: u64| id != 0 && id <= status.replicas.highest_id && !in_set(id);
            strangers.retain(|id, _| is_stranger(*id));
            for notice in board.iter().filter(|it| it.is_fresh(now) && is_stranger(it.replica_id)) {
                let since = *strangers.entry(notice.replica_id).or_insert(now);
                if now.duration_since(since) < EXPEL_AGE {
                    continue;
                }
                let (replica_id, nonce) = (notice.replica_id, notice.nonce);
                let admission = Admission { replica_id, nonce, expelled: true };
                admissions.push((notice.peer_address.clone(), admission));
            }
        }
        // Only a leader that a quorum confirms may tell a host to drop its files.
        let expels = admissions.iter().any(|(_, admission)| admission.expelled);
        if expels && group.read_barrier().await.is_err() {
            return;
        }
        for (address, admission) in admissions {
            self.caller.send(&address, TrafficClass::Online, Body::Admission(admission));
        }
    }
}

async fn send_notices(host: Arc<ReplicaHost>) {
    loop {
        let notice = host.notice();
        // The leader judges its own host by the same notices as the others.
        host.hear(notice.clone());
        for address in host.peers() {
            let body = Body::ControlNotice(notice.clone());
            host.caller.send(&address, TrafficClass::Online, body);
        }
        task::sleep(NOTICE_INTERVAL).await;
    }
}

async fn repair(host: Arc<ReplicaHost>) {
    loop {
        if !host.repair_once().await {
            task::sleep(REPAIR_INTERVAL).await;
        }
    }
}

fn remove_files(folder: &std::path::Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        result => result?,
    }
    // Without this, a loss of power may bring the files back.
    match folder.parent() {
        Some(parent) => sync_folder(parent),
        None => Ok(()),
    }
}
