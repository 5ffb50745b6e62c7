use std::collections::BTreeSet;

use crate::schema::peer as wire;

/// Most losses that a record holds. Losses that the content was cleared of leave first.
const MAX_LOSSES: usize = 64;

/// Record of a content that was running on upstreams when they crashed: of a whole request, or of
/// a part that requests share. Merges field by field.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashRecord {
    /// Fingerprint of the content.
    pub fingerprint: Vec<u8>,
    /// Number of upstream losses while the content was running there.
    pub losses: u32,
    /// Lost upstreams, each with its incarnation.
    pub upstream_ids: BTreeSet<String>,
    /// Lost upstreams for which the content is no longer suspected, because it ran later.
    pub cleared_ids: BTreeSet<String>,
    /// The content is a part of requests, not a whole request.
    pub is_part: bool,
    /// Unix milliseconds at which the record is removed.
    pub expires_unix_ms: u64,
}

impl CrashRecord {
    /// Lost upstreams for which the content is still suspected.
    pub fn uncleared_ids(&self) -> impl Iterator<Item = &str> {
        self.upstream_ids.difference(&self.cleared_ids).map(String::as_str)
    }

    /// Number of lost upstreams for which the content is still suspected.
    pub fn uncleared_losses(&self) -> usize {
        self.uncleared_ids().count()
    }

    /// Merges two records of the same fingerprint.
    pub fn union(&self, other: &Self) -> Self {
        let mut merged = Self {
            fingerprint: self.fingerprint.clone(),
            losses: self.losses.max(other.losses),
            upstream_ids: self.upstream_ids.union(&other.upstream_ids).cloned().collect(),
            cleared_ids: self.cleared_ids.union(&other.cleared_ids).cloned().collect(),
            is_part: self.is_part || other.is_part,
            expires_unix_ms: self.expires_unix_ms.max(other.expires_unix_ms),
        };
        merged.limit_losses();
        merged
    }

    /// Drops the first cleared losses above [`MAX_LOSSES`]. Every host drops the same ones.
    fn limit_losses(&mut self) {
        while self.upstream_ids.len() > MAX_LOSSES {
            let Some(dropped) = self.cleared_ids.intersection(&self.upstream_ids).next() else {
                return;
            };
            let dropped = dropped.clone();
            self.upstream_ids.remove(&dropped);
            self.cleared_ids.remove(&dropped);
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
            is_part: record.is_part,
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
            is_part: record.is_part,
            expires_unix_ms: record.expires_unix_ms,
        }
    }
}
