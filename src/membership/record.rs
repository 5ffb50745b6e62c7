use std::hash::{Hash, Hasher};
use std::sync::Arc;

use crate::admission::CrashRecord;
use crate::membership::{HostRecord, Key, Status, UpstreamRecord, Version};
use crate::schema::peer as wire;

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Body {
    /// A host.
    Host(Arc<HostRecord>),
    /// An upstream.
    Upstream(Arc<UpstreamRecord>),
    /// A request that is suspected or convicted of crashing upstreams.
    Crash(Arc<CrashRecord>),
}

/// One record of the table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Record {
    /// Decides which of two records of one key wins.
    pub version: Version,
    /// Unix milliseconds at which the record became dead or left, or at which a suspect becomes
    /// dead; 0 for other states. A suspect record carries the time so that all hosts derive the
    /// same dead record from it.
    pub removed_unix_ms: u64,
    /// Content of the record. Among equal versions the larger body wins, so that concurrent changes
    /// converge to the same record on all hosts.
    pub body: Body,
}

impl Record {
    /// Creates a crash record; its fields merge one by one, so all versions are equal.
    pub fn crash(crash: CrashRecord) -> Self {
        let version = Version { incarnation: 0, status: Status::Alive, sequence: 0 };
        Self { version, removed_unix_ms: 0, body: Body::Crash(Arc::new(crash)) }
    }

    /// Key of the record in the table.
    pub fn key(&self) -> Key {
        match &self.body {
            Body::Host(host) => Key::Host(host.host_id.as_str().into()),
            Body::Upstream(upstream) => Key::Upstream(upstream.upstream_id.as_str().into()),
            Body::Crash(crash) => Key::from(&**crash),
        }
    }

    /// Copies the record with another status and removal time.
    pub fn with_status(&self, status: Status, removed_unix_ms: u64) -> Self {
        let version = Version { status, ..self.version };
        Self { version, removed_unix_ms, body: self.body.clone() }
    }

    /// Merges two records of one key; the operation is commutative, associative and idempotent.
    pub fn join(&self, other: &Self) -> Self {
        match (&self.body, &other.body) {
            (Body::Crash(left), Body::Crash(right)) => Self::crash(left.union(right)),
            _ => self.max(other).clone(),
        }
    }

    /// Unix milliseconds at which the record is removed from the table, the same on every host;
    /// `None` if it does not expire.
    pub fn expires_unix_ms(&self, tombstone_ms: u64) -> Option<u64> {
        match &self.body {
            Body::Crash(crash) => Some(crash.expires_unix_ms),
            _ if self.version.status.is_removed() => {
                Some(self.removed_unix_ms.saturating_add(tombstone_ms))
            }
            _ => None,
        }
    }

    /// True once the record should be removed from the table.
    pub fn is_expired(&self, now_ms: u64, tombstone_ms: u64) -> bool {
        self.expires_unix_ms(tombstone_ms).is_some_and(|expires| expires <= now_ms)
    }

    /// Hash of the whole record, the same on every host.
    pub fn stable_hash(&self) -> u64 {
        let mut hasher = Fnv::default();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// FNV-1a with a final mix, because the standard hasher may change between compiler releases.
pub struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    // Mixes the high bits into the low ones; combined FNV values of similar records collide easily
    // without it.
    fn finish(&self) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    }
}

impl From<&Record> for wire::Record {
    fn from(record: &Record) -> Self {
        let body = match &record.body {
            Body::Host(host) => wire::record::Body::Host(host.as_ref().into()),
            Body::Upstream(upstream) => wire::record::Body::Upstream(upstream.as_ref().into()),
            Body::Crash(crash) => wire::record::Body::Crash(crash.as_ref().into()),
        };
        Self {
            // The receiver derives the key from the body.
            key: String::new(),
            incarnation: record.version.incarnation,
            sequence: record.version.sequence,
            status: wire::Status::from(record.version.status).into(),
            removed_unix_ms: record.removed_unix_ms,
            body: Some(body),
        }
    }
}

impl TryFrom<wire::Record> for Record {
    type Error = &'static str;

    fn try_from(record: wire::Record) -> Result<Self, Self::Error> {
        let status = Status::try_from(record.status())?;
        let body = match record.body.ok_or("record without a body")? {
            wire::record::Body::Host(host) => Body::Host(Arc::new(host.into())),
            wire::record::Body::Upstream(upstream) => Body::Upstream(Arc::new(upstream.into())),
            wire::record::Body::Crash(crash) => return Ok(Self::crash(crash.into())),
        };
        let (incarnation, sequence) = (record.incarnation, record.sequence);
        let version = Version { incarnation, status, sequence };
        Ok(Self { version, removed_unix_ms: record.removed_unix_ms, body })
    }
}
