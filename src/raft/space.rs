use std::sync::atomic::{AtomicU64, Ordering};

use crate::raft::{GroupOptions, Priority, ProposeError};

/// How full the data folder of a replica is.
#[derive(Debug)]
pub struct Space {
    /// Bytes of the log, as the storage thread last counted them.
    pub log_bytes: AtomicU64,
    /// Bytes of the snapshot files.
    pub snapshot_bytes: AtomicU64,
    limit_bytes: u64,
    reserved_bytes: u64,
}

impl Space {
    /// Space within the limits of the options.
    pub fn new(options: &GroupOptions, log_bytes: u64, snapshot_bytes: u64) -> Self {
        Self {
            log_bytes: log_bytes.into(),
            snapshot_bytes: snapshot_bytes.into(),
            limit_bytes: options.data_limit_bytes,
            reserved_bytes: options.reserved_bytes,
        }
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> u64 {
        self.log_bytes.load(Ordering::Relaxed) + self.snapshot_bytes.load(Ordering::Relaxed)
    }

    /// Refuses a command for which the disk has no room.
    pub fn check(&self, command_bytes: usize, priority: Priority) -> Result<(), ProposeError> {
        let kept_bytes = match priority {
            Priority::Bulk => self.reserved_bytes,
            Priority::Online => self.reserved_bytes / 2,
            Priority::Completion => 0,
        };
        if self.used_bytes() + command_bytes as u64 + kept_bytes > self.limit_bytes {
            return Err(ProposeError::Storage("the disk is full".into()));
        }
        Ok(())
    }
}
