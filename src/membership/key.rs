use std::fmt::{self, Write};
use std::str::FromStr;
use std::sync::Arc;

use crate::admission::CrashRecord;

/// Key of a record in the table, written as `h/ID`, `u/ID` or `c/ID`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A host, by its host id.
    Host(Arc<str>),
    /// An upstream, by its upstream id.
    Upstream(Arc<str>),
    /// A crash suspect, by its fingerprint in hexadecimal.
    Crash(Arc<str>),
}

impl From<&CrashRecord> for Key {
    fn from(record: &CrashRecord) -> Self {
        let mut hex = String::with_capacity(record.fingerprint.len() * 2);
        for byte in &record.fingerprint {
            let _ = write!(hex, "{byte:02x}");
        }
        Self::Crash(hex.into())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host(id) => write!(formatter, "h/{id}"),
            Self::Upstream(id) => write!(formatter, "u/{id}"),
            Self::Crash(id) => write!(formatter, "c/{id}"),
        }
    }
}

impl FromStr for Key {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('/') {
            Some(("h", id)) => Ok(Self::Host(id.into())),
            Some(("u", id)) => Ok(Self::Upstream(id.into())),
            Some(("c", id)) => Ok(Self::Crash(id.into())),
            _ => Err("key of an unknown kind"),
        }
    }
}
