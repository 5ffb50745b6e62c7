use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use futures::FutureExt;

use crate::membership::{HostEntry, MembershipView};
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::{call, reply, Call, HostStatus, HostStatusCall, Reply};

/// Longest time to wait for one host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Hosts that are asked at the same time.
const CONCURRENT_CALLS: usize = 32;

/// What the hosts of the fleet report about themselves at one time.
#[derive(Clone, Debug, Default)]
pub struct FleetReports {
    /// Reports by host.
    pub by_host: BTreeMap<String, HostStatus>,
    /// Hosts that did not answer.
    pub missing: Vec<String>,
}

impl FleetReports {
    /// Asks all hosts that membership knows as running.
    pub async fn collect(view: &MembershipView, caller: &Arc<dyn PeerCaller>) -> Self {
        let running: Vec<&HostEntry> =
            view.hosts.iter().filter(|host| !host.status.is_removed()).collect();
        let mut reports = Self::default();
        for hosts in running.chunks(CONCURRENT_CALLS) {
            let mut calls = Vec::with_capacity(hosts.len());
            for host in hosts {
                calls.push(ask(&host.record.peer_address, caller).boxed());
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

async fn ask(address: &str, caller: &Arc<dyn PeerCaller>) -> Option<HostStatus> {
    let call =
        Call { traceparent: String::new(), call: Some(call::Call::HostStatus(HostStatusCall {})) };
    let answer = caller.call(address, TrafficClass::Online, call, REPORT_TIMEOUT).await;
    match answer {
        Ok(Reply { reply: Some(reply::Reply::HostStatus(status)) }) => Some(status),
        _ => None,
    }
}
