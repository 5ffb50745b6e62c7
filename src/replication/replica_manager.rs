use std::collections::HashMap;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::task::{self, JoinHandle};
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::control::PeerTransport;
use crate::peer::{PeerCaller, TrafficClass};
use crate::raft::{
    sync_folder, Group, GroupOptions, GroupStatus, Identity, Replica, ReplicaChange, StateMachine,
};
use crate::replication::replica_status::assess_members;
use crate::replication::{plan_repair, Candidate, KnownControlHost, NoticeTable, RepairStep};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{Admission, ControlNotice, RaftMessage};

/// Interval of the notices to the other control hosts. A lost host is detected after a few missing
/// notices.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the replica set is checked; short enough that a repair of three steps takes
/// well under a second.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);
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

/// The hosts that operators have retired, so that no replica may stay on them.
pub trait RetiredHosts: Send + Sync {
    /// True if the host with this name is retired.
    fn is_retired(&self, host_id: &str) -> bool;
}

/// Manages the replica of one control host: opens it, joins it to the group or deletes it, and
/// repairs the replica set while the replica is the leader.
pub struct ReplicaManager {
    options: ReplicaManagerOptions,
    state_machine: Arc<dyn StateMachine>,
    retired_hosts: Arc<dyn RetiredHosts>,
    caller: Arc<dyn PeerCaller>,
    /// The replica; empty while the host waits to be admitted.
    group: ArcSwapOption<Group>,
    inner: Mutex<Inner>,
}

struct Inner {
    notices: NoticeTable,
    /// Random number for this empty data folder. An admission is accepted only if it repeats the
    /// number.
    nonce: u64,
    /// Replicas that this leader admitted, with the nonces of their hosts.
    admitted_nonces: HashMap<u64, u64>,
    /// Replicas that still run on a host after their removal from the replica set, with the time at
    /// which the leader first noticed them.
    removed_replicas: HashMap<u64, Instant>,
    tasks: Vec<JoinHandle<()>>,
}

impl ReplicaManager {
    /// Opens the replica in the data folder. If the folder is empty, a founder opens a replica of
    /// the new group, and any other host waits to be admitted.
    ///
    /// # Errors
    /// If the data folder can't be read or the replica can't be opened.
    pub fn open(
        options: ReplicaManagerOptions,
        state_machine: Arc<dyn StateMachine>,
        retired_hosts: Arc<dyn RetiredHosts>,
        caller: Arc<dyn PeerCaller>,
    ) -> Result<Arc<Self>> {
        let inner = Inner {
            notices: NoticeTable::default(),
            nonce: rand::random_range(1..u64::MAX),
            admitted_nonces: HashMap::new(),
            removed_replicas: HashMap::new(),
            tasks: Vec::new(),
        };
        let manager = Arc::new(Self {
            options,
            state_machine,
            retired_hosts,
            caller,
            group: ArcSwapOption::empty(),
            inner: Mutex::new(inner),
        });
        let folder = manager.data_folder();
        let identity = Identity::read(&folder)
            .into_diagnostic()
            .wrap_err("reading the identity of the replica")?;
        let founders = manager.founders();
        let own_founder =
            founders.iter().find(|founder| founder.peer_address == manager.options.peer_address);
        match (identity, own_founder) {
            (Some(identity), _) => manager.open_group(identity.replica_id, founders, false)?,
            (None, Some(founder)) if manager.options.is_founder => {
                let id = founder.id;
                manager.open_group(id, founders, false)?;
            }
            (None, _) => {
                log::info!(event = "replica_waits";
                    "data folder is empty; waiting for admission to the group")
            }
        }
        let tasks = vec![
            task::spawn(send_notices(manager.clone())),
            task::spawn(run_repairs(manager.clone())),
        ];
        manager.lock().tasks = tasks;
        Ok(manager)
    }

    /// The replica, if the host runs one.
    pub fn group(&self) -> Option<Arc<Group>> {
        self.group.load_full()
    }

    /// Status of the replica, if the host runs one.
    pub fn status(&self) -> Option<Arc<GroupStatus>> {
        self.group().map(|group| group.status())
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
    pub async fn handle_admission(&self, admission: Admission) {
        let running_id = self.status().map(|status| status.replica_id);
        if admission.expelled {
            if running_id == Some(admission.replica_id) {
                self.drop_replica(admission.replica_id).await;
            }
            return;
        }
        if running_id.is_some() || admission.nonce != self.lock().nonce {
            return;
        }
        if let Err(error) = self.open_group(admission.replica_id, Vec::new(), true) {
            log::error!(event = "replica_open_failed", replica = admission.replica_id; "{error:?}");
        }
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
            has_replica: self.group.load().is_some(),
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
        hosts.retain(|host_id| !self.retired_hosts.is_retired(host_id));
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
    ) -> Result<()> {
        let options = GroupOptions {
            replica_id,
            replicas,
            join_existing,
            seed: rand::random(),
            ..self.options.group.clone()
        };
        let transport = Arc::new(PeerTransport { caller: self.caller.clone() });
        let group = Group::open(options, self.state_machine.clone(), transport)
            .into_diagnostic()
            .wrap_err_with(|| format!("opening replica {replica_id}"))?;
        log::info!(event = "replica_opened", replica = replica_id, joins = join_existing;
            "replica opened");
        self.group.store(Some(Arc::new(group)));
        Ok(())
    }

    /// Closes a replica that the group removed and deletes its files. The host then waits to be
    /// admitted with a new nonce.
    async fn drop_replica(&self, replica_id: u64) {
        let Some(group) = self.group.swap(None) else { return };
        log::warn!(event = "replica_dropped", replica = replica_id;
            "replica was removed from the group; deleting its files");
        Group::clone(&group).close().await;
        if let Err(error) = remove_files(&self.data_folder()) {
            log::error!(event = "replica_files_left", replica = replica_id;
                "deleting the files of the replica failed: {error}");
        }
        self.lock().nonce = rand::random_range(1..u64::MAX);
    }

    /// The notice of this host.
    fn own_notice(&self) -> ControlNotice {
        let now = Instant::now();
        let inner = self.lock();
        ControlNotice {
            host_id: self.options.host_id.clone(),
            peer_address: self.options.peer_address.clone(),
            zone: self.options.zone.clone(),
            region: String::new(),
            replica_id: self.status().map_or(0, |status| status.replica_id),
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
            self.lock().removed_replicas.clear();
            return false;
        }
        let now = Instant::now();
        self.send_admissions(&group, &status, now).await;
        let step = {
            let inner = self.lock();
            let is_retired = |host_id: &str| self.retired_hosts.is_retired(host_id);
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
            notice.replica_id == 0
                && !has_learner
                && !self.retired_hosts.is_retired(&notice.host_id)
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
    /// expulsion to each host that still runs a removed replica.
    async fn send_admissions(&self, group: &Group, status: &GroupStatus, now: Instant) {
        let mut admissions = Vec::new();
        {
            let mut inner = self.lock();
            let Inner { notices, admitted_nonces, removed_replicas, .. } = &mut *inner;
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
            let in_set = |id| status.replicas.get(id).is_some();
            let is_removed = |id: u64| id != 0 && id <= status.replicas.highest_id && !in_set(id);
            removed_replicas.retain(|id, _| is_removed(*id));
            for notice in notices
                .iter()
                .filter(|notice| notice.is_fresh(now) && is_removed(notice.replica_id))
            {
                let since = *removed_replicas.entry(notice.replica_id).or_insert(now);
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

/// Sends the notice of this host to all other control hosts at a fixed interval.
async fn send_notices(manager: Arc<ReplicaManager>) {
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
async fn run_repairs(manager: Arc<ReplicaManager>) {
    loop {
        if !manager.repair_once().await {
            task::sleep(REPAIR_INTERVAL).await;
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
