use std::sync::Arc;

use crate::admission::Fingerprint;
use crate::membership::{CrashRecord, Membership};

/// Crash records that all hosts share.
pub trait CrashRecords: Send + Sync {
    /// The record of a request, if there is one. Takes no lock.
    fn find(&self, fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>>;

    /// Spreads a record, which joins what is known of its fingerprint.
    fn publish(&self, record: CrashRecord);
}

impl CrashRecords for Membership {
    fn find(&self, fingerprint: &Fingerprint) -> Option<Arc<CrashRecord>> {
        let view = self.view();
        let key = |entry: &crate::membership::CrashEntry| {
            entry.record.fingerprint.as_slice().cmp(fingerprint.as_bytes())
        };
        let index = view.crashes.binary_search_by(key).ok()?;
        Some(view.crashes[index].record.clone())
    }

    fn publish(&self, record: CrashRecord) {
        self.publish_crash(record);
    }
}
