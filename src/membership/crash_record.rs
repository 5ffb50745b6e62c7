use std::collections::BTreeSet;
use std::fmt::Write;

use crate::membership::Key;
use crate::schema::peer as wire;

/// Record of a request that was running on upstreams when they crashed. Merges field by field.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashRecord {
    /// Fingerprint of the request's content.
    pub fingerprint: Vec<u8>,
    /// Number of upstream losses while the request was running there.
    pub losses: u32,
    /// Lost upstreams, each with its incarnation.
    pub upstream_ids: BTreeSet<String>,
    /// Lost upstreams for which the request is no longer suspected, because it finished later.
    pub cleared_ids: BTreeSet<String>,
    /// The request is blamed for the losses and rejected.
    pub convicted: bool,
    /// Unix milliseconds at which the record is removed.
    pub expires_unix_ms: u64,
}

impl CrashRecord {
    /// Key of the record in the table.
    pub fn key(&self) -> Key {
        let mut hex = String::with_capacity(self.fingerprint.len() * 2);
        for byte in &self.fingerprint {
            let _ = write!(hex, "{byte:02x}");
        }
        Key::Crash(hex.into())
    }

    /// Number of lost upstreams for which the request is still suspected.
    pub fn uncleared_losses(&self) -> usize {
        self.upstream_ids.difference(&self.cleared_ids).count()
    }

    /// Merges two records of the same fingerprint.
    pub fn union(&self, other: &Self) -> Self {
        Self {
            fingerprint: self.fingerprint.clone(),
            losses: self.losses.max(other.losses),
            upstream_ids: self.upstream_ids.union(&other.upstream_ids).cloned().collect(),
            cleared_ids: self.cleared_ids.union(&other.cleared_ids).cloned().collect(),
            convicted: self.convicted || other.convicted,
            expires_unix_ms: self.expires_unix_ms.max(other.expires_unix_ms),
        }
    }
}

impl From<&CrashRecord> for wire::CrashRecord {
    fn from(record: &CrashRecord) -> Self {
        Self {
            fingerprint: record.fingerprint.clone().into(),
            losses: record.losses,
            upstream_ids: record.upstream_ids.iter().cloned().collect(),
            cleared_ids: record.cleared_ids.iter().cloned().collect(),
            convicted: record.convicted,
            expires_unix_ms: record.expires_unix_ms,
        }
    }
}

impl From<wire::CrashRecord> for CrashRecord {
    fn from(record: wire::CrashRecord) -> Self {
        Self {
            fingerprint: record.fingerprint.to_vec(),
            losses: record.losses,
            upstream_ids: record.upstream_ids.into_iter().collect(),
            cleared_ids: record.cleared_ids.into_iter().collect(),
            convicted: record.convicted,
            expires_unix_ms: record.expires_unix_ms,
        }
    }
}
