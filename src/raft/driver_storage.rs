use std::io;

use async_std::task;

use crate::raft::driver::Driver;
use crate::raft::event::Event;
use crate::raft::formation::Formation;
use crate::raft::recovery::RecoveredReplica;
use crate::raft::storage_opener::{OpenedStorage, RunningStorage};
use crate::raft::storage_thread::{StorageEvent, StorageJob};
use crate::raft::{Entry, OpenError, RaftNode, Standing};

/// Time between two attempts to open failed storage. Each one reads the whole log, and a group
/// without quorum should be back within about a second after its disks are.
const REOPEN_INTERVAL_MS: u64 = 500;

/// Whether a replica takes part in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It does.
    Active,
    /// Its storage failed, and is opened again at this time.
    Suspended {
        /// Time of the next attempt.
        reopen_at_ms: u64,
    },
    /// Its storage failed and is being opened on another thread.
    Reopening,
    /// An invariant was violated, which opening the storage again does not mend.
    Stopped,
}

/// Failure of the storage, and recovery from it.
///
/// After a failed write or sync it is not known what is on the disk, so the replica is suspended: it
/// sends nothing, votes for no one and acknowledges nothing. Its next state is read from the disk as
/// after a restart of the process. A term, vote or entry was acknowledged only once it was durable,
/// so none is forgotten; whatever else is found on the disk is made durable before it counts. The
/// state machine holds only committed entries and is kept.
impl Driver {
    pub(super) fn handle_storage(&mut self, now_ms: u64, opening: u64, event: StorageEvent) {
        if opening != self.opening || self.is_stopped() {
            return;
        }
        match event {
            StorageEvent::Persisted { jobs, identity, last } => {
                self.inflight_writes -= jobs;
                if let Some(identity) = &identity {
                    self.standing_persisted(now_ms, identity.standing);
                }
                self.node.persisted(now_ms, identity.map(|identity| identity.hard_state), last);
            }
            StorageEvent::Failed(reason) => self.suspend(format!("storage failed: {reason}")),
        }
    }

    /// Reads entries for a follower. Behind the writes, each read would wait for a sync, and a follower would stay behind
    /// for as long as the disk is slow.
    pub(super) fn read_entries(&mut self, to: u64, first_index: u64) {
        let Some(reader) = self.storage.as_ref().map(RunningStorage::reader) else { return };
        let limit_bytes = self.options.node_config().append_bytes;
        let event_sender = self.context.event_sender.clone();
        self.file_tasks += 1;
        task::spawn_blocking(move || {
            let read = reader.read(first_index, limit_bytes);
            let _ = event_sender.try_send(Event::EntriesRead(to, read));
        });
    }

    pub(super) fn handle_entries_read(
        &mut self,
        now_ms: u64,
        to: u64,
        read: io::Result<Vec<Entry>>,
    ) {
        match read {
            _ if self.is_stopped() => {}
            Ok(entries) => self.node.fetched(now_ms, to, entries),
            Err(error) => self.suspend(format!("the log can't be read: {error}")),
        }
    }

    /// Sends a job to the storage thread; dropped while there is none.
    pub(super) fn send_job(&self, job: StorageJob) {
        if let Some(storage) = &self.storage {
            storage.send(job);
        }
    }

    /// Takes the replica out of the group until its storage works again, and fails the pending
    /// calls.
    pub(super) fn suspend(&mut self, reason: String) {
        if self.is_stopped() {
            return;
        }
        log::error!(event = "storage_lost", group = self.options.group,
            replica = self.options.replica_id; "replica is suspended: {reason}");
        self.storage_failures += 1;
        self.fault = Some(reason);
        self.pending_replies.fail_all();
        self.outgoing_snapshots.clear();
        self.awaiting_snapshot.clear();
        self.activity = Activity::Suspended { reopen_at_ms: self.now_ms() + REOPEN_INTERVAL_MS };
    }

    /// Starts to open failed storage once it is time and no earlier task uses the files.
    pub(super) fn tick_storage(&mut self, now_ms: u64) {
        let Activity::Suspended { reopen_at_ms } = self.activity else { return };
        if now_ms < reopen_at_ms || self.file_tasks > 0 {
            return;
        }
        self.activity = Activity::Reopening;
        self.file_tasks += 1;
        self.opening += 1;
        let (opener, failed) = (self.opener.clone(), self.storage.take());
        let (opening, applied_index) = (self.opening, self.applied_index);
        let event_sender = self.context.event_sender.clone();
        task::spawn_blocking(move || {
            if let Some(failed) = failed {
                failed.join();
            }
            let opened = opener.open(opening, applied_index);
            let _ = event_sender.try_send(Event::StorageReopened(Box::new(opened)));
        });
    }

    pub(super) fn handle_reopened(&mut self, opened: Result<OpenedStorage, OpenError>) {
        let OpenedStorage { replica, storage } = match opened {
            Ok(opened) => opened,
            Err(OpenError::Io { error, .. }) => {
                log::debug!(event = "storage_still_lost", group = self.options.group; "{error}");
                let reopen_at_ms = self.now_ms() + REOPEN_INTERVAL_MS;
                self.activity = Activity::Suspended { reopen_at_ms };
                return;
            }
            Err(error) => {
                self.activity = Activity::Active;
                self.stop(format!("storage can't be opened again: {error}"));
                return;
            }
        };
        let RecoveredReplica { recovered, identity, state_bytes, fault } = replica;
        let now_ms = self.now_ms();
        self.applied_index = self.applied_index.max(recovered.snapshot.last_index);
        self.inflight_writes = 0;
        self.bytes_since_snapshot = 0;
        let is_forming = identity.standing == Standing::Forming;
        let initial = self.options.replicas.iter().map(|replica| replica.id);
        self.formation = is_forming.then(|| Formation::new(&identity, initial));
        let seed = self.options.seed ^ self.opening;
        self.node = RaftNode::new(self.options.node_config(), recovered, now_ms, seed);
        (self.identity, self.fault, self.storage) = (identity, fault, Some(storage));
        self.record_restored_size(state_bytes);
        self.activity = Activity::Active;
        log::info!(event = "storage_regained", group = self.options.group,
            replica = self.options.replica_id, last_index = self.node.log().last_index();
            "replica takes part in the group again");
        self.check_formation();
    }
}
