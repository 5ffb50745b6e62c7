use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use futures::FutureExt;

use crate::membership::{HostEntry, MembershipView};
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::{call, reply, Call, HostStatus, HostStatusCall, Reply};

/// Timeout of the call to one host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of hosts that are called concurrently.
const CONCURRENT_CALLS: usize = 32;

/// Status reports of the hosts in the fleet, collected together.
#[derive(Clone, Debug, Default)]
pub struct FleetReports {
    /// Reports by host id.
    pub by_host: BTreeMap<String, HostStatus>,
    /// Ids of the hosts that did not answer, sorted.
    pub missing: Vec<String>,
}

impl FleetReports {
    /// Requests a report from every host that is not removed from the membership.
    pub async fn collect(view: &MembershipView, caller: &Arc<dyn PeerCaller>) -> Self {
        let running: Vec<&HostEntry> =
            view.hosts.iter().filter(|host| !host.status.is_removed()).collect();
        let mut reports = Self::default();
        for hosts in running.chunks(CONCURRENT_CALLS) {
            let mut calls = Vec::with_capacity(hosts.len());
            for host in hosts {
                calls.push(request_status(&host.record.peer_address, caller).boxed());
            }
            for (host, status) in hosts.iter().zip(join_all(calls).await) {
                let host_id = host.record.host_id.clone();
                match status {
                    Some(status) => {
                        reports.by_host.insert(host_id, status);
                    }
                    None => reports.missing.push(host_id),
                }
            }
        }
        reports.missing.sort();
        reports
    }
}

/// Requests the status of one host; `None` on an error, a timeout or an unexpected reply.
async fn request_status(address: &str, caller: &Arc<dyn PeerCaller>) -> Option<HostStatus> {
    let call = Call { call: Some(call::Call::HostStatus(HostStatusCall {})), ..Call::default() };
    let answer = caller.call(address, TrafficClass::Online, call, REPORT_TIMEOUT).await;
    match answer {
        Ok(Reply { reply: Some(reply::Reply::HostStatus(status)) }) => Some(status),
        _ => None,
    }
}
