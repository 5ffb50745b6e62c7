use std::sync::atomic::{AtomicU64, Ordering};

use crate::raft::{GroupOptions, Priority, ProposeError};

/// Disk usage of a replica's data folder and its limit.
#[derive(Debug)]
pub struct DiskQuota {
    /// Size of the log, as last reported by the storage thread.
    pub log_bytes: AtomicU64,
    /// Size of the snapshot files.
    pub snapshot_bytes: AtomicU64,
    limit_bytes: u64,
    reserved_bytes: u64,
}

impl DiskQuota {
    /// A quota with the limits of the options, without any usage.
    pub fn new(options: &GroupOptions) -> Self {
        Self {
            log_bytes: AtomicU64::new(0),
            snapshot_bytes: AtomicU64::new(0),
            limit_bytes: options.data_limit_bytes,
            reserved_bytes: options.reserved_bytes,
        }
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> u64 {
        self.log_bytes.load(Ordering::Relaxed) + self.snapshot_bytes.load(Ordering::Relaxed)
    }

    /// Rejects a command that would exceed the space available to its priority.
    pub fn check(&self, command_bytes: usize, priority: Priority) -> Result<(), ProposeError> {
        let withheld_bytes = match priority {
            Priority::Bulk => self.reserved_bytes,
            Priority::Online => self.reserved_bytes / 2,
            Priority::Completion => 0,
        };
        if self.used_bytes() + command_bytes as u64 + withheld_bytes > self.limit_bytes {
            return Err(ProposeError::Storage("the disk is full".into()));
        }
        Ok(())
    }
}
