use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::admission::{CrashRecord, CrashTable};
use crate::schema::peer::{ControlSync, EntrySync};

/// Exchanges crash records with control hosts in sync calls: each side sends what changed since the
/// last call, and everything after a restart of the other.
#[derive(Debug)]
pub struct CrashExchange {
    table: Arc<CrashTable>,
    /// Control hosts by their peer addresses.
    control_hosts: Mutex<HashMap<String, Revisions>>,
}

/// What a control host and this host know of each other's records.
#[derive(Debug, Default)]
struct Revisions {
    /// Epoch and revision of the control host's table up to which this host has its records.
    received: (u64, u64),
    /// Revision of the own table that the pending call covers.
    sending: u64,
    /// Revision of the own table up to which the control host has its records.
    acknowledged: u64,
}

impl CrashExchange {
    /// Creates an exchange of the records of `table`.
    pub fn open(table: Arc<CrashTable>) -> Self {
        Self { table, control_hosts: Mutex::default() }
    }

    /// Adds the records that the control host at `address` lacks to a sync call.
    pub fn fill_request(&self, address: &str, sync: &mut EntrySync) {
        let (epoch, revision) = self.table.version();
        let mut control_hosts = self.lock();
        let known = control_hosts.entry(address.to_owned()).or_default();
        known.sending = revision;
        (sync.crashes_epoch, sync.crashes_revision) = known.received;
        sync.crashes = self.table.changes_since(epoch, known.acknowledged);
    }

    /// Merges the records in a reply. Returns those that differ from what this host knew.
    pub fn handle_reply(&self, address: &str, reply: &ControlSync) -> Vec<Arc<CrashRecord>> {
        let mut control_hosts = self.lock();
        let known = control_hosts.entry(address.to_owned()).or_default();
        // A control host that restarted has lost what it had acknowledged before.
        let same_run = known.received.0 == reply.crashes_epoch;
        known.acknowledged = if same_run { known.sending } else { 0 };
        known.received = (reply.crashes_epoch, reply.crashes_revision);
        drop(control_hosts);
        self.table.merge(&reply.crashes)
    }

    /// Merges the records in a reply to an earlier call than the last one. The control host may not have
    /// received yet what the last one covers.
    pub fn handle_superseded_reply(&self, reply: &ControlSync) -> Vec<Arc<CrashRecord>> {
        self.table.merge(&reply.crashes)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Revisions>> {
        self.control_hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
