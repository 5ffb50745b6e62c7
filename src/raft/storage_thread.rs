use std::io;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::Arc;
use std::thread;

use crate::raft::disk_quota::DiskQuota;
use crate::raft::{Entry, Identity, LogStorage};

/// Size up to which queued writes are combined into one.
const BATCH_BYTES: usize = 4 << 20;

/// A job for the storage thread. Jobs run in the order in which they are sent.
pub enum StorageJob {
    /// Write and sync.
    Write {
        /// Identity with the new term and vote, if they changed.
        identity: Option<Identity>,
        /// Entries, which replace all stored entries from the index of the first one on.
        entries: Vec<Entry>,
    },
    /// Delete entries up to this index.
    Compact(u64),
    /// Delete all entries.
    Clear,
    /// Delete the quarantined files.
    DiscardQuarantined,
}

/// Result of one or more storage jobs.
#[derive(Debug)]
pub enum StorageEvent {
    /// A write is durable.
    Persisted {
        /// Number of write jobs that were combined.
        jobs: usize,
        /// The identity with term and vote, if it was written.
        identity: Option<Identity>,
        /// Index and term of the last entry, if any were written.
        last: Option<(u64, u64)>,
    },
    /// The storage failed; this thread runs no further jobs.
    Failed(String),
}

/// The thread that writes and syncs the log. Combines queued writes into one sync.
pub struct StorageThread {
    storage: Box<dyn LogStorage>,
    jobs: Receiver<StorageJob>,
    on_event: Box<dyn Fn(StorageEvent) + Send>,
    disk_quota: Arc<DiskQuota>,
    /// Job that was received while writes were combined, and runs next.
    next: Option<StorageJob>,
}

impl StorageThread {
    /// Starts the thread, which ends when the returned sender is dropped.
    pub fn spawn(
        name: String,
        storage: Box<dyn LogStorage>,
        disk_quota: Arc<DiskQuota>,
        on_event: Box<dyn Fn(StorageEvent) + Send>,
    ) -> io::Result<(Sender<StorageJob>, thread::JoinHandle<()>)> {
        let (sender, jobs) = channel();
        let mut thread = Self { storage, jobs, on_event, disk_quota, next: None };
        let handle = thread::Builder::new().name(name).spawn(move || thread.run())?;
        Ok((sender, handle))
    }

    fn run(&mut self) {
        while let Some(job) = self.next.take().or_else(|| self.jobs.recv().ok()) {
            if let Err(error) = self.run_job(job) {
                // After a failed sync the content of the disk is unknown, so nothing may be written
                // before the driver has opened the storage again.
                (self.on_event)(StorageEvent::Failed(error.to_string()));
                return;
            }
            self.disk_quota.log_bytes.store(self.storage.data_bytes(), Ordering::Relaxed);
        }
    }

    fn run_job(&mut self, job: StorageJob) -> io::Result<()> {
        match job {
            StorageJob::Write { identity, entries } => self.write(identity, entries),
            StorageJob::Compact(index) => self.storage.compact(index),
            StorageJob::Clear => self.storage.clear(),
            StorageJob::DiscardQuarantined => self.storage.discard_quarantined(),
        }
    }

    /// Runs a write job together with the write jobs queued behind it, with one sync.
    fn write(&mut self, mut identity: Option<Identity>, mut entries: Vec<Entry>) -> io::Result<()> {
        let mut jobs = 1;
        let mut bytes: usize = entries.iter().map(Entry::size_bytes).sum();
        while bytes < BATCH_BYTES {
            match self.jobs.try_recv() {
                Ok(StorageJob::Write { identity: newer_identity, entries: newer_entries }) => {
                    identity = newer_identity.or(identity);
                    if let Some(first) = newer_entries.first() {
                        entries.retain(|entry| entry.index < first.index);
                    }
                    bytes += newer_entries.iter().map(Entry::size_bytes).sum::<usize>();
                    entries.extend(newer_entries);
                    jobs += 1;
                }
                Ok(other) => {
                    self.next = Some(other);
                    break;
                }
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        if let Some(identity) = &identity {
            self.storage.save_identity(identity)?;
        }
        if !entries.is_empty() {
            self.storage.append(&entries)?;
            self.storage.sync()?;
        }
        let last = entries.last().map(|entry| (entry.index, entry.term));
        (self.on_event)(StorageEvent::Persisted { jobs, identity, last });
        Ok(())
    }
}
