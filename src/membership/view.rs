use std::sync::Arc;

use crate::membership::{CrashRecord, HostRecord, Status, UpstreamRecord};

/// A host as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// What the host says about itself.
    pub record: Arc<HostRecord>,
    /// Incarnation of its record.
    pub incarnation: u64,
    /// State of the host.
    pub status: Status,
}

/// An upstream as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// What the upstream says about itself.
    pub record: Arc<UpstreamRecord>,
    /// Incarnation that the upstream announced.
    pub incarnation: u64,
    /// State of the upstream.
    pub status: Status,
}

/// A crash suspect or verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEntry {
    /// Merged from all hosts.
    pub record: Arc<CrashRecord>,
}

/// All hosts, upstreams and crash records that this host knows, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Hosts, this one and recently removed ones included.
    pub hosts: Vec<HostEntry>,
    /// Upstreams, recently removed ones included.
    pub upstreams: Vec<UpstreamEntry>,
    /// Crash suspects and verdicts that have not expired.
    pub crashes: Vec<CrashEntry>,
    /// This host hears no other host.
    pub isolated: bool,
}
