use std::fs;
use std::io;

use crate::raft::disk_log::{Damage, DiskLog, LogScan};
use crate::raft::identity::sync_folder;
use crate::raft::snapshot_file::SnapshotFiles;
use crate::raft::{
    Entry, GroupOptions, Identity, Log, LogStorage, OpenError, RecoveredState, ReplicaSet,
    SnapshotMeta, Standing, StateMachine,
};

/// State of a replica that was read from its data folder.
pub struct RecoveredReplica {
    /// Initial state of the node.
    pub recovered: RecoveredState,
    /// Identity of the replica.
    pub identity: Identity,
    /// Size of the restored state before compression; 0 if none was restored.
    pub state_bytes: u64,
    /// Description of the damage that was found, for operators.
    pub fault: Option<String>,
}

/// Reads the data folder and restores the newest snapshot into the state machine, unless the state
/// machine has already applied the log up to `applied_index` and so knows more; returns the state
/// and the log on disk.
///
/// Everything that is returned is durable, also where an earlier write could not be synced: the
/// identity and the end of the log are written again.
pub fn recover(
    options: &GroupOptions,
    machine: &dyn StateMachine,
    applied_index: u64,
) -> Result<(RecoveredReplica, DiskLog), OpenError> {
    let group = options.group;
    let io_error = |error| OpenError::Io { group, error };
    fs::create_dir_all(&options.data_folder).map_err(io_error)?;
    if let Some(parent) = options.data_folder.parent().filter(|path| !path.as_os_str().is_empty()) {
        // The directory entry of a new folder must survive a power loss like the files in it.
        sync_folder(parent).map_err(io_error)?;
    }
    let identity = open_identity(options)?;
    recover_log(options, machine, identity, applied_index).map_err(io_error)
}

/// Reads the identity file, or creates one in an empty folder.
fn open_identity(options: &GroupOptions) -> Result<Identity, OpenError> {
    let group = options.group;
    let io_error = |error| OpenError::Io { group, error };
    if let Some(identity) = Identity::read(&options.data_folder).map_err(io_error)? {
        if (identity.group, identity.replica_id) != (options.group, options.replica_id) {
            let (found_group, found_id) = (identity.group, identity.replica_id);
            return Err(OpenError::OtherReplica { found_group, found_id });
        }
        identity.write(&options.data_folder).map_err(io_error)?;
        return Ok(identity);
    }
    let mut files = fs::read_dir(&options.data_folder).map_err(io_error)?;
    if files.any(|file| file.is_ok_and(|file| file.file_name() != "identity.tmp")) {
        return Err(OpenError::IdentityMissing { group });
    }
    if options.replica_id == 0 {
        return Err(OpenError::Options("replica id 0 is reserved"));
    }
    let is_initial = options.replicas.iter().any(|replica| replica.id == options.replica_id);
    if !options.join_existing && !is_initial {
        return Err(OpenError::Options("the replica is not one of the initial replicas"));
    }
    let standing = if options.join_existing { Standing::Joining } else { Standing::Forming };
    let identity = Identity {
        group,
        replica_id: options.replica_id,
        standing,
        nonce: rand::random_range(1..u64::MAX),
        founders: Vec::new(),
        hard_state: Default::default(),
    };
    identity.write(&options.data_folder).map_err(io_error)?;
    Ok(identity)
}

/// Reads the snapshot and the log, and moves damaged files aside.
fn recover_log(
    options: &GroupOptions,
    machine: &dyn StateMachine,
    mut identity: Identity,
    applied_index: u64,
) -> io::Result<(RecoveredReplica, DiskLog)> {
    let folder = &options.data_folder;
    let snapshots = SnapshotFiles::new(folder);
    let mut faults = Vec::new();
    let snapshot_file = match snapshots.open_current() {
        Ok(file) => Ok(file),
        Err(error) if is_corruption(&error) => Err(error),
        Err(error) => return Err(error),
    };
    let (mut storage, scan) = DiskLog::open(folder, options.segment_bytes, true)?;
    let LogScan { mut entries, torn_bytes, mut damage } = scan;
    if torn_bytes > 0 {
        log::warn!("group {}: cut {torn_bytes} bytes of a torn write", options.group);
    }
    let snapshot = match &snapshot_file {
        Ok(Some(file)) if identity.standing != Standing::Forming => file.meta().clone(),
        Ok(_) => {
            SnapshotMeta { replicas: initial_replicas(options, &identity), ..Default::default() }
        }
        Err(_) => SnapshotMeta::default(),
    };
    let log_last_index = entries.last().map_or(0, |entry| entry.index);
    let is_start_missing =
        entries.first().is_some_and(|first| first.index > snapshot.last_index + 1);
    if snapshot_file.is_err() || is_start_missing {
        // The log is useless without the state that precedes it.
        let through = log_last_index.max(damage.map_or(0, |damage| damage.through)).max(1);
        let place = if is_start_missing { "start of the log" } else { "snapshot" };
        damage = Some(Damage { place: place.into(), through });
    }
    if let Some(Damage { place, through }) = damage {
        faults.push(format!("damaged: {place}; lost entries up to {through} at most"));
        let earlier_through = match identity.standing {
            Standing::Repairing { through } => through,
            _ => 0,
        };
        if matches!(identity.standing, Standing::Member | Standing::Repairing { .. }) {
            identity.standing = Standing::Repairing { through: through.max(earlier_through) };
        }
        // The standing that forbids voting must be durable before the damaged records are moved.
        identity.write(folder)?;
        storage.quarantine_damaged()?;
        if snapshot_file.is_err() || is_start_missing {
            entries.clear();
            storage.clear()?;
        }
        if snapshot_file.is_err() {
            snapshots.quarantine_damaged()?;
        }
    }
    if identity.standing == Standing::Forming {
        // The initial replicas are fixed from here on: later starts read them from the snapshot
        // instead of the options.
        snapshots.save(&snapshot, machine, &|| {})?;
        snapshots.commit_saved()?;
    }
    let mut state_bytes = 0;
    if let Ok(Some(file)) = &snapshot_file {
        if applied_index == 0 || file.meta().last_index > applied_index {
            state_bytes = file.restore(machine)?;
        }
    }
    if !entries_continue_snapshot(&snapshot, &entries) {
        // The process ended after it installed a snapshot from the leader and before it cleared the
        // old log.
        entries.clear();
        storage.clear()?;
    }
    let snapshot_index = snapshot.last_index;
    let log = Log::new(
        snapshot.clone(),
        entries.into_iter().filter(|entry| entry.index > snapshot_index),
    );
    let recovered = RecoveredState {
        hard_state: identity.hard_state,
        standing: identity.standing,
        snapshot,
        log,
    };
    let fault = (!faults.is_empty()).then(|| faults.join("; "));
    Ok((RecoveredReplica { recovered, identity, state_bytes, fault }, storage))
}

/// The initial replicas; empty for a joining replica, which gets the replica set from the log.
fn initial_replicas(options: &GroupOptions, identity: &Identity) -> ReplicaSet {
    if identity.standing == Standing::Joining {
        return ReplicaSet::default();
    }
    ReplicaSet::new(options.replicas.clone())
}

/// True if the entries are part of the same log as the snapshot.
fn entries_continue_snapshot(snapshot: &SnapshotMeta, entries: &[Entry]) -> bool {
    let Some(first) = entries.first() else { return true };
    if snapshot.last_index < first.index {
        return first.term >= snapshot.last_term;
    }
    let position = (snapshot.last_index - first.index) as usize;
    entries.get(position).is_some_and(|entry| entry.term == snapshot.last_term)
}

fn is_corruption(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}
