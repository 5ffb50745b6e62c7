use std::sync::Arc;

use crate::admission::CrashRecord;
use crate::membership::{HostRecord, Status, UpstreamRecord};

/// A host in the view of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Record that the host published.
    pub record: Arc<HostRecord>,
    /// Incarnation of its record.
    pub incarnation: u64,
    /// Status of the host.
    pub status: Status,
}

/// An upstream in the view of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Record that the upstream announced.
    pub record: Arc<UpstreamRecord>,
    /// Incarnation that the upstream announced.
    pub incarnation: u64,
    /// Status of the upstream.
    pub status: Status,
}

/// A request that is suspected or convicted of crashing upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEntry {
    /// Crash record merged from all hosts.
    pub record: Arc<CrashRecord>,
}

/// All hosts, upstreams and crash records that this host knows, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Hosts, including this one and recently removed ones.
    pub hosts: Vec<HostEntry>,
    /// Upstreams, including recently removed ones.
    pub upstreams: Vec<UpstreamEntry>,
    /// Crash suspects and verdicts that have not expired.
    pub crashes: Vec<CrashEntry>,
    /// No other host has answered this host's probes for the isolation time.
    pub isolated: bool,
    /// This host has the records of another host, or has no other host to get them from.
    pub joined: bool,
}
