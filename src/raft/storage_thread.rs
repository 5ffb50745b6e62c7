use std::io;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::Arc;
use std::thread;

use crate::raft::space::Space;
use crate::raft::{Entry, Identity, LogStorage};

/// Bytes that are gathered into one write.
const BATCH_BYTES: usize = 4 << 20;

/// Work for the storage thread, done in order.
pub enum StorageJob {
    /// Store and sync.
    Write {
        /// Identity with the new term and vote, if they changed.
        identity: Option<Identity>,
        /// Entries, which replace all from the first one on.
        entries: Vec<Entry>,
    },
    /// Read entries for a follower.
    Fetch {
        /// The follower.
        to: u64,
        /// First index that it needs.
        first_index: u64,
        /// About how much to read.
        limit_bytes: usize,
    },
    /// Delete entries that are not needed any more.
    Compact(u64),
    /// Delete all entries.
    Clear,
    /// Delete what was kept of damaged files.
    DiscardDamaged,
}

/// What the storage thread did.
#[derive(Debug)]
pub enum StorageEvent {
    /// These are on the disk.
    Persisted {
        /// Jobs that were done together.
        jobs: usize,
        /// Identity with term and vote, if it was written.
        identity: Option<Identity>,
        /// Index and term of the last entry.
        last: Option<(u64, u64)>,
    },
    /// Entries for a follower.
    Fetched {
        /// The follower.
        to: u64,
        /// What was read.
        entries: Vec<Entry>,
    },
    /// The storage failed; nothing more is written.
    Failed(String),
}

/// The thread that writes and syncs, many jobs at once.
pub struct StorageThread {
    storage: Box<dyn LogStorage>,
    jobs: Receiver<StorageJob>,
    report: Box<dyn Fn(StorageEvent) + Send>,
    space: Arc<Space>,
    next: Option<StorageJob>,
}

impl StorageThread {
    /// Starts the thread; it ends when the sender of jobs is dropped.
    pub fn spawn(
        name: String,
        storage: Box<dyn LogStorage>,
        space: Arc<Space>,
        report: Box<dyn Fn(StorageEvent) + Send>,
    ) -> io::Result<(Sender<StorageJob>, thread::JoinHandle<()>)> {
        let (sender, jobs) = channel();
        let mut thread = Self { storage, jobs, report, space, next: None };
        let handle = thread::Builder::new().name(name).spawn(move || thread.run())?;
        Ok((sender, handle))
    }

    fn run(&mut self) {
        while let Some(job) = self.next.take().or_else(|| self.jobs.recv().ok()) {
            if let Err(error) = self.work(job) {
                // After a failed sync nobody knows what is on the disk, so this is final.
                (self.report)(StorageEvent::Failed(error.to_string()));
                return;
            }
            self.space.log_bytes.store(self.storage.data_bytes(), Ordering::Relaxed);
        }
    }

    fn work(&mut self, job: StorageJob) -> io::Result<()> {
        match job {
            StorageJob::Write { identity, entries } => self.write(identity, entries),
            StorageJob::Fetch { to, first_index, limit_bytes } => {
                let entries = self.storage.read(first_index, limit_bytes)?;
                (self.report)(StorageEvent::Fetched { to, entries });
                Ok(())
            }
            StorageJob::Compact(index) => self.storage.compact(index),
            StorageJob::Clear => self.storage.clear(),
            StorageJob::DiscardDamaged => self.storage.discard_damaged(),
        }
    }

    /// Writes a job and those that wait behind it with one sync.
    fn write(&mut self, mut identity: Option<Identity>, mut entries: Vec<Entry>) -> io::Result<()> {
        let mut jobs = 1;
        let mut bytes: usize = entries.iter().map(Entry::size_bytes).sum();
        while bytes < BATCH_BYTES {
            match self.jobs.try_recv() {
                Ok(StorageJob::Write { identity: newer, entries: more }) => {
                    identity = newer.or(identity);
                    if let Some(first) = more.first() {
                        entries.retain(|entry| entry.index < first.index);
                    }
                    bytes += more.iter().map(Entry::size_bytes).sum::<usize>();
                    entries.extend(more);
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
        (self.report)(StorageEvent::Persisted { jobs, identity, last });
        Ok(())
    }
}
