use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread::JoinHandle;

use async_std::channel::Sender;
use async_std::task;

use crate::raft::disk_quota::DiskQuota;
use crate::raft::event::Event;
use crate::raft::recovery::{recover, RecoveredReplica};
use crate::raft::snapshot_file::SnapshotFiles;
use crate::raft::storage_thread::{StorageJob, StorageThread};
use crate::raft::{GroupOptions, LogReader, LogStorage, OpenError, StateMachine};

/// Wraps the storage of a replica, for tests that inject errors.
pub type WrapStorage = Box<dyn Fn(Box<dyn LogStorage>) -> Box<dyn LogStorage> + Send + Sync>;

/// Opens the storage of a replica: at its start, and again after a failure.
pub struct StorageOpener {
    /// Options of the replica.
    pub options: GroupOptions,
    /// Receives the state of the newest snapshot.
    pub machine: Arc<dyn StateMachine>,
    /// Usage of the data folder, which each opening updates.
    pub disk_quota: Arc<DiskQuota>,
    /// Receives the events of the storage threads.
    pub events: Sender<Event>,
    /// Applied to the storage at each opening.
    pub wrap: WrapStorage,
}

/// Storage that has just been opened.
pub struct OpenedStorage {
    /// State of the replica as read from the disk.
    pub replica: RecoveredReplica,
    /// The thread that writes from now on.
    pub storage: RunningStorage,
}

/// Handle of a storage thread, and of the log that it writes.
pub struct RunningStorage {
    jobs: mpsc::Sender<StorageJob>,
    reader: Arc<dyn LogReader>,
    thread: JoinHandle<()>,
}

impl StorageOpener {
    /// Reads the data folder and starts a storage thread, whose events carry the number `opening`.
    /// `applied_index` is the index up to which the state machine has applied the log.
    pub fn open(&self, opening: u64, applied_index: u64) -> Result<OpenedStorage, OpenError> {
        let group = self.options.group;
        let files = SnapshotFiles::new(&self.options.data_folder);
        // Frees their space, which a full disk may need.
        files.discard_unfinished();
        let (replica, storage) = recover(&self.options, self.machine.as_ref(), applied_index)?;
        self.disk_quota.log_bytes.store(storage.data_bytes(), Ordering::Relaxed);
        self.disk_quota.snapshot_bytes.store(files.data_bytes(), Ordering::Relaxed);
        let events = self.events.clone();
        let storage = (self.wrap)(Box::new(storage));
        let reader = storage.reader();
        let (jobs, thread) = StorageThread::spawn(
            format!("raft-log-{group}"),
            storage,
            self.disk_quota.clone(),
            Box::new(move |event| {
                let _ = events.try_send(Event::Storage(opening, event));
            }),
        )
        .map_err(|error| OpenError::Io { group, error })?;
        Ok(OpenedStorage { replica, storage: RunningStorage { jobs, reader, thread } })
    }
}

impl RunningStorage {
    /// Enqueues a job; dropped if the thread has ended after a failure.
    pub fn send(&self, job: StorageJob) {
        let _ = self.jobs.send(job);
    }

    /// Reads entries beside the writes of the thread.
    pub fn reader(&self) -> Arc<dyn LogReader> {
        self.reader.clone()
    }

    /// Waits until the thread has run all jobs or failed. Blocks while the disk hangs.
    pub fn join(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }

    /// As [`Self::join`], without blocking the task.
    pub async fn close(self) {
        task::spawn_blocking(move || self.join()).await;
    }
}
