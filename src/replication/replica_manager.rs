use std::collections::HashMap;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task::{self, JoinHandle};
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::control::PeerTransport;
use crate::peer::{PeerCaller, TrafficClass};
use crate::raft::{
    sync_folder, Group, GroupOptions, GroupStatus, Identity, OpenError, Replica, ReplicaChange,
};
use crate::replication::replica_status::assess_members;
use crate::replication::{
    plan_repair, Candidate, KnownControlHost, Notice, NoticeTable, RepairStep, ReplicatedMachine,
    RunningReplica,
};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Admission, ControlNotice, RaftMessage};

/// Interval of the notices to the other control hosts. A lost host is detected after a few missing
/// notices.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the replica set is checked; short enough that a repair of three steps takes
/// well under a second.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the attempts to open a replica on storage that fails.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a replica must be missing from the replica set before its host is told to delete
/// it, so that a change that is not committed yet deletes no replica.
const EXPEL_DELAY: Duration = Duration::from_secs(1);

/// Options of a [`ReplicaManager`].
pub struct ReplicaManagerOptions {
    /// Name of the host.
    pub host_id: String,
    /// Its peer address.
    pub peer_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Peer addresses of the control hosts that are contacted first, including its own if it is a
    /// seed.
    pub seed_addresses: Vec<String>,
    /// True if this host is a seed at the first start, when the seeds found a new group.
    pub is_founder: bool,
    /// Number of voters that the group should have.
    pub target_voters: usize,
    /// Options of the replica. The id, the replica set, the seed and `join_existing` are filled in
    /// when it is opened.
    pub group: GroupOptions,
}

/// Manages the replica of one control host: opens it, joins it to the group or deletes it, and
/// repairs the replica set while the replica is the leader.
pub struct ReplicaManager<M> {
    options: ReplicaManagerOptions,
    new_machine: NewMachine<M>,
    caller: Arc<dyn PeerCaller>,
    /// The replica; empty while the host waits to be admitted.
    running: ArcSwapOption<RunningReplica<M>>,
    /// Held while a replica is opened or deleted, so that one change of the data folder ends before
    /// the next one begins.
    folder_lock: AsyncMutex<()>,
    inner: Mutex<Inner>,
}

/// Creates an empty state machine for a replica that is about to be opened.
pub type NewMachine<M> = Box<dyn Fn() -> Arc<M> + Send + Sync>;

struct Inner {
    notices: NoticeTable,
    /// Random number for this empty data folder. An admission is accepted only if it repeats the
    /// number.
    nonce: u64,
    /// Id of the replica in the data folder while it can't be opened; 0 otherwise.
    unopened_id: u64,
    /// The files of a deleted replica could not be removed.
    has_leftover_files: bool,
    /// Replicas that this leader admitted, with the nonces of their hosts.
    admitted_nonces: HashMap<u64, u64>,
    /// Hosts that run a replica which is not theirs in the replica set, by peer address and replica id, with the time at
    /// which the leader first noticed them.
    stray_replicas: HashMap<(String, u64), Instant>,
    tasks: Vec<JoinHandle<()>>,
}

impl<M: ReplicatedMachine + 'static> ReplicaManager<M> {
    /// Opens the replica in the data folder. If the folder is empty, a founder opens a replica of
    /// the new group, and any other host waits to be admitted. A replica whose storage fails, for
    /// example on a full disk, is opened once the storage works.
    ///
    /// # Errors
    /// If the identity can't be read or the files belong to another replica.
    pub fn open(
        options: ReplicaManagerOptions,
        new_machine: NewMachine<M>,
        caller: Arc<dyn PeerCaller>,
    ) -> Result<Arc<Self>> {
        let inner = Inner {
            notices: NoticeTable::default(),
            nonce: rand::random_range(1..u64::MAX),
            unopened_id: 0,
            has_leftover_files: false,
            admitted_nonces: HashMap::new(),
            stray_replicas: HashMap::new(),
            tasks: Vec::new(),
        };
        let manager = Arc::new(Self {
            options,
            new_machine,
            caller,
            running: ArcSwapOption::empty(),
            folder_lock: AsyncMutex::new(()),
            inner: Mutex::new(inner),
        });
        let folder = manager.data_folder();
        let identity = Identity::read(&folder)
            .into_diagnostic()
            .wrap_err("reading the identity of the replica")?;
        let founders = manager.founders();
        let own_founder =
            founders.iter().find(|founder| founder.peer_address == manager.options.peer_address);
        let own_id = match (identity, own_founder) {
            (Some(identity), _) => Some(identity.replica_id),
            (None, Some(founder)) if manager.options.is_founder => Some(founder.id),
            (None, _) => None,
        };
        let mut tasks = Vec::new();
        match own_id.map(|id| (id, manager.open_group(id, founders.clone(), false))) {
            None => log::info!(event = "replica_waits";
                "data folder is empty; waiting for admission to the group"),
            Some((_, Ok(()))) => {}
            Some((id, Err(error @ OpenError::Io { .. }))) => {
                log::error!(event = "storage_lost", replica = id;
                    "replica can't be opened yet: {error}");
                manager.lock().unopened_id = id;
                tasks.push(task::spawn(retry_opening(manager.clone(), id, founders)));
            }
            Some((id, Err(error))) => {
                return Err(error)
                    .into_diagnostic()
                    .wrap_err_with(|| format!("opening replica {id}"));
            }
        }
        tasks.push(task::spawn(send_notices(manager.clone())));
        tasks.push(task::spawn(run_repairs(manager.clone())));
        manager.lock().tasks = tasks;
        Ok(manager)
    }

    /// The replica with its state machine, if the host runs one.
    pub fn running(&self) -> Option<Arc<RunningReplica<M>>> {
        self.running.load_full()
    }

    /// The replica, if the host runs one.
    pub fn group(&self) -> Option<Group> {
        self.running.load().as_ref().map(|running| running.group.clone())
    }

    /// Status of the replica, if the host runs one.
    pub fn status(&self) -> Option<Arc<GroupStatus>> {
        self.group().map(|group| group.status())
    }

    /// Number of voters that the group should have.
    pub fn target_voters(&self) -> usize {
        self.options.target_voters
    }

    /// Delivers a message of another replica.
    pub fn receive(&self, message: RaftMessage) {
        if let Some(group) = self.group() {
            group.receive(message);
        }
    }

    /// Records a notice of a control host.
    pub fn record_notice(&self, notice: ControlNotice) {
        self.lock().notices.record(notice, Instant::now());
    }

    /// Opens the replica that a leader admitted, or deletes one that the group has removed.
    pub async fn handle_admission(self: &Arc<Self>, admission: Admission) {
        let _folder = self.folder_lock.lock().await;
        let own_id = self.replica_id();
        if admission.expelled {
            if own_id == admission.replica_id {
                self.drop_replica(admission.replica_id).await;
            }
            return;
        }
        if own_id != 0 || admission.nonce != self.lock().nonce {
            return;
        }
        let manager = self.clone();
        let opened =
            task::spawn_blocking(move || manager.open_admitted(admission.replica_id)).await;
        if let Err(error) = opened {
            log::error!(event = "replica_open_failed", replica = admission.replica_id; "{error}");
            self.lock().has_leftover_files = true;
            // The leader repeats the admission at a far shorter interval.
            task::sleep(REOPEN_INTERVAL).await;
        }
    }

    /// Opens a replica that joins the group, in an empty folder.
    fn open_admitted(&self, replica_id: u64) -> Result<(), OpenError> {
        if self.lock().has_leftover_files {
            let group = self.options.group.group;
            remove_files(&self.data_folder()).map_err(|error| OpenError::Io { group, error })?;
            self.lock().has_leftover_files = false;
        }
        self.open_group(replica_id, Vec::new(), true)
    }

    /// Id of the replica of this host, also while it can't be opened; 0 if there is none.
    fn replica_id(&self) -> u64 {
        match self.status() {
            Some(status) => status.replica_id,
            None => self.lock().unopened_id,
        }
    }

    fn is_retired(&self, host_id: &str) -> bool {
        self.running.load().as_ref().is_some_and(|running| running.machine.is_retired(host_id))
    }

    /// The control hosts with fresh notices and this one, sorted by address.
    pub fn control_hosts(&self) -> Vec<KnownControlHost> {
        let (inner, now) = (self.lock(), Instant::now());
        let others = inner.notices.iter().filter(|notice| {
            notice.is_fresh(now) && notice.peer_address != self.options.peer_address
        });
        let others = others.map(|notice| KnownControlHost {
            peer_address: notice.peer_address.clone(),
            zone: notice.zone.clone(),
            has_replica: notice.replica_id > 0,
        });
        let own = KnownControlHost {
            peer_address: self.options.peer_address.clone(),
            zone: self.options.zone.clone(),
            has_replica: self.running.load().is_some(),
        };
        let mut hosts: Vec<KnownControlHost> = others.chain([own]).collect();
        hosts.sort();
        hosts
    }

    /// True if the control host with this name is this one or has sent a notice that is still
    /// stored.
    pub fn knows_host(&self, host_id: &str) -> bool {
        host_id == self.options.host_id
            || self.lock().notices.iter().any(|notice| notice.host_id == host_id)
    }

    /// Names of the control hosts with fresh notices, and of this one, that are not retired.
    pub fn usable_hosts(&self) -> Vec<String> {
        let now = Instant::now();
        let inner = self.lock();
        let fresh = inner.notices.iter().filter(|notice| notice.is_fresh(now));
        let mut hosts: Vec<String> = fresh.map(|notice| notice.host_id.clone()).collect();
        if !hosts.contains(&self.options.host_id) {
            hosts.push(self.options.host_id.clone());
        }
        hosts.retain(|host_id| !self.is_retired(host_id));
        hosts
    }

    /// True if no replica of the current set is placed on the host; false while this host has no
    /// replica.
    pub fn hosts_no_replica(&self, host_id: &str) -> bool {
        let Some(status) = self.status() else { return false };
        let inner = self.lock();
        let address = match host_id == self.options.host_id {
            true => Some(self.options.peer_address.as_str()),
            false => {
                let notice = inner.notices.iter().find(|notice| notice.host_id == host_id);
                notice.map(|notice| notice.peer_address.as_str())
            }
        };
        let replicas = &status.replicas.replicas;
        !replicas.iter().any(|replica| Some(replica.peer_address.as_str()) == address)
    }

    /// Stops the tasks and, if this replica is the leader, starts a transfer of leadership.
    pub async fn close(&self) {
        let tasks = std::mem::take(&mut self.lock().tasks);
        for task in tasks {
            task.cancel().await;
        }
        if let Some(group) = self.group() {
            if group.status().is_leader {
                // If the transfer fails, the group elects a leader after the election timeout.
                let _ = group.transfer_leadership(0).await;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn data_folder(&self) -> PathBuf {
        self.options.group.data_folder.clone()
    }

    /// The seeds as the replicas of a new group; ids follow the order of the addresses, so that
    /// every seed assigns the same ones.
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

    fn open_group(
        &self,
        replica_id: u64,
        replicas: Vec<Replica>,
        join_existing: bool,
    ) -> Result<(), OpenError> {
        let options = GroupOptions {
            replica_id,
            replicas,
            join_existing,
            seed: rand::random(),
            ..self.options.group.clone()
        };
        let transport = Arc::new(PeerTransport { caller: self.caller.clone() });
        // A state machine ends with its replica: another replica applies the log from its start,
        // and would apply entries twice to the state of an earlier one.
        let machine = (self.new_machine)();
        let group = Group::open(options, machine.clone(), transport)?;
        log::info!(event = "replica_opened", replica = replica_id, joins = join_existing;
            "replica opened");
        self.running.store(Some(Arc::new(RunningReplica { group, machine })));
        Ok(())
    }

    /// Closes a replica that the group removed and deletes its files. The host then waits to be
    /// admitted with a new nonce.
    async fn drop_replica(&self, replica_id: u64) {
        log::warn!(event = "replica_dropped", replica = replica_id;
            "replica was removed from the group; deleting its files");
        if let Some(running) = self.running.swap(None) {
            running.group.clone().close().await;
        }
        let folder = self.data_folder();
        let removed = task::spawn_blocking(move || remove_files(&folder)).await;
        let mut inner = self.lock();
        inner.unopened_id = 0;
        inner.nonce = rand::random_range(1..u64::MAX);
        if let Err(error) = removed {
            log::error!(event = "replica_files_left", replica = replica_id;
                "deleting the files of the replica failed: {error}");
            inner.has_leftover_files = true;
        }
    }

    /// The notice of this host.
    fn own_notice(&self) -> ControlNotice {
        let now = Instant::now();
        let replica_id = self.replica_id();
        let inner = self.lock();
        ControlNotice {
            host_id: self.options.host_id.clone(),
            peer_address: self.options.peer_address.clone(),
            zone: self.options.zone.clone(),
            region: String::new(),
            replica_id,
            nonce: inner.nonce,
            known_addresses: inner.notices.addresses_to_list(now),
        }
    }

    /// Peer addresses of all other control hosts that are seeds, sent a notice, are listed in one
    /// or run a replica.
    fn peer_addresses(&self) -> Vec<String> {
        let mut addresses = self.options.seed_addresses.clone();
        addresses.extend(self.lock().notices.addresses().map(str::to_owned));
        if let Some(status) = self.status() {
            addresses.extend(
                status.replicas.replicas.iter().map(|replica| replica.peer_address.clone()),
            );
        }
        addresses.sort();
        addresses.dedup();
        addresses.retain(|address| *address != self.options.peer_address);
        addresses
    }

    /// Carries out the next repair step if this replica is the leader; true if the replica set
    /// changed, so that the next step may follow at once.
    async fn repair_once(&self) -> bool {
        let Some(group) = self.group() else { return false };
        let status = group.status();
        if !status.is_leader {
            self.lock().stray_replicas.clear();
            return false;
        }
        let now = Instant::now();
        self.send_admissions(&group, &status, now).await;
        let step = {
            let inner = self.lock();
            let is_retired = |host_id: &str| self.is_retired(host_id);
            let is_admitted = |id, nonce| inner.admitted_nonces.get(&id) == Some(&nonce);
            let members = assess_members(&status, &inner.notices, is_retired, is_admitted, now);
            let candidates = self.candidates(&status, &inner, now);
            plan_repair(&members, &candidates, self.options.target_voters)
        };
        match step {
            Some(step) => self.apply_step(&group, &status, step).await,
            None => false,
        }
    }

    /// Hosts with fresh notices that run no replica, are not retired and have not been added as a
    /// learner yet.
    fn candidates(&self, status: &GroupStatus, inner: &Inner, now: Instant) -> Vec<Candidate> {
        let fresh = inner.notices.iter().filter(|notice| notice.is_fresh(now));
        let candidates = fresh.filter(|notice| {
            let has_learner = status
                .replicas
                .replicas
                .iter()
                .any(|replica| !replica.voter && replica.peer_address == notice.peer_address);
            notice.replica_id == 0 && !has_learner && !self.is_retired(&notice.host_id)
        });
        candidates
            .map(|notice| Candidate {
                peer_address: notice.peer_address.clone(),
                zone: notice.zone.clone(),
            })
            .collect()
    }

    /// Carries out a repair step; true if the replica set changed.
    async fn apply_step(&self, group: &Group, status: &GroupStatus, step: RepairStep) -> bool {
        let change = match &step {
            RepairStep::Add(candidate) => {
                let replica = Replica {
                    id: status.replicas.highest_id + 1,
                    peer_address: candidate.peer_address.clone(),
                    zone: candidate.zone.clone(),
                    voter: false,
                };
                let mut inner = self.lock();
                let nonce =
                    inner.notices.get(&candidate.peer_address).map_or(0, |notice| notice.nonce);
                inner.admitted_nonces.insert(replica.id, nonce);
                ReplicaChange::AddLearner(replica)
            }
            RepairStep::Promote(id) => ReplicaChange::Promote(*id),
            RepairStep::Remove(id) => ReplicaChange::Remove(*id),
            RepairStep::Transfer => {
                let result = group.transfer_leadership(0).await;
                log::info!(event = "leadership_handed_on"; "leadership transfer: {result:?}");
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

    /// Sends an admission to each host whose replica has been added but not opened yet, and an
    /// expulsion to each host that runs a replica which is not in the set.
    async fn send_admissions(&self, group: &Group, status: &GroupStatus, now: Instant) {
        let mut admissions = Vec::new();
        {
            let mut inner = self.lock();
            let Inner { notices, admitted_nonces, stray_replicas, .. } = &mut *inner;
            notices.remove_expired(now);
            for replica in status.replicas.replicas.iter().filter(|replica| !replica.voter) {
                let Some(notice) = notices.get(&replica.peer_address) else { continue };
                if notice.replica_id == 0 && admitted_nonces.get(&replica.id) == Some(&notice.nonce)
                {
                    let nonce = notice.nonce;
                    let admission = Admission { replica_id: replica.id, nonce, expelled: false };
                    admissions.push((notice.peer_address.clone(), admission));
                }
            }
            let strays: Vec<_> =
                notices.iter().filter(|it| is_stray(it, status, notices, now)).collect();
            let is_still_stray = |address: &str, id: u64| {
                strays.iter().any(|it| it.peer_address == address && it.replica_id == id)
            };
            stray_replicas.retain(|(address, id), _| is_still_stray(address, *id));
            for notice in strays {
                let key = (notice.peer_address.clone(), notice.replica_id);
                let since = *stray_replicas.entry(key).or_insert(now);
                if now.duration_since(since) < EXPEL_DELAY {
                    continue;
                }
                let (replica_id, nonce) = (notice.replica_id, notice.nonce);
                let admission = Admission { replica_id, nonce, expelled: true };
                admissions.push((notice.peer_address.clone(), admission));
            }
        }
        // Only a leader that a quorum has confirmed may tell a host to delete its files.
        let has_expulsion = admissions.iter().any(|(_, admission)| admission.expelled);
        if has_expulsion && group.read_barrier().await.is_err() {
            return;
        }
        for (address, admission) in admissions {
            self.caller.send(&address, TrafficClass::Online, Body::Admission(admission));
        }
    }
}

/// True if a host runs a replica that the leader does not have in its set: one that was removed, or that an earlier leader
/// added and the group never committed. The id of the latter may have been given to the replica of another host since.
fn is_stray(notice: &Notice, status: &GroupStatus, notices: &NoticeTable, now: Instant) -> bool {
    if notice.replica_id == 0 || !notice.is_fresh(now) {
        return false;
    }
    let Some(replica) = status.replicas.get(notice.replica_id) else { return true };
    let holder = notices.get(&replica.peer_address).filter(|holder| holder.is_fresh(now));
    replica.peer_address != notice.peer_address
        && holder.is_some_and(|holder| holder.replica_id == replica.id)
}

/// Sends the notice of this host to all other control hosts at a fixed interval.
async fn send_notices<M: ReplicatedMachine + 'static>(manager: Arc<ReplicaManager<M>>) {
    loop {
        let notice = manager.own_notice();
        // The leader assesses its own host by the same notices as the others.
        manager.record_notice(notice.clone());
        for address in manager.peer_addresses() {
            let body = Body::ControlNotice(notice.clone());
            manager.caller.send(&address, TrafficClass::Online, body);
        }
        task::sleep(NOTICE_INTERVAL).await;
    }
}

/// Repairs the replica set while this host is the leader; pauses when no step is due or a step
/// failed.
async fn run_repairs<M: ReplicatedMachine + 'static>(manager: Arc<ReplicaManager<M>>) {
    loop {
        if !manager.repair_once().await {
            task::sleep(REPAIR_INTERVAL).await;
        }
    }
}

/// Opens the replica in the data folder as soon as its storage works.
async fn retry_opening<M: ReplicatedMachine + 'static>(
    manager: Arc<ReplicaManager<M>>,
    replica_id: u64,
    founders: Vec<Replica>,
) {
    loop {
        task::sleep(REOPEN_INTERVAL).await;
        let _folder = manager.folder_lock.lock().await;
        if manager.lock().unopened_id != replica_id {
            return;
        }
        let (opening, replicas) = (manager.clone(), founders.clone());
        let opened =
            task::spawn_blocking(move || opening.open_group(replica_id, replicas, false)).await;
        match opened {
            Ok(()) => {
                manager.lock().unopened_id = 0;
                log::info!(event = "storage_regained", replica = replica_id; "replica opened");
                return;
            }
            Err(error) => {
                log::debug!(event = "storage_still_lost", replica = replica_id; "{error}")
            }
        }
    }
}

/// Deletes a folder; does nothing if it does not exist.
fn remove_files(folder: &std::path::Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        result => result?,
    }
    // Without the sync, the files may reappear after a power failure.
    match folder.parent() {
        Some(parent) => sync_folder(parent),
        None => Ok(()),
    }
}
