use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::links::upstream_probe::reached_of;
use crate::links::UpstreamProbe;
use crate::peer::{PeerCaller, TrafficClass};
use crate::schema::peer::{call, reply, Call, CheckUpstreams, ReachedUpstreams, Reply, SentAt};

/// Longest time to wait for what another host reaches: its attempts to connect and a round trip between
/// regions.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Most upstreams that a host tries for another one.
const CHECK_LIMIT: usize = 16;

/// Asks other hosts which upstreams they reach.
pub struct LinkPeers {
    caller: Arc<dyn PeerCaller>,
}

impl LinkPeers {
    /// Asks through `caller`.
    pub fn open(caller: Arc<dyn PeerCaller>) -> Self {
        Self { caller }
    }

    /// What each of the hosts with these peer addresses reaches; those that do not answer are left out.
    pub(super) async fn ask(
        &self,
        peer_addresses: &[String],
        upstreams: &[String],
    ) -> Vec<HashSet<String>> {
        let asked = peer_addresses.iter().map(|peer| {
            let sent_at = Some(SentAt::now());
            let check = CheckUpstreams { addresses: upstreams.to_vec(), sent_at };
            let check = call::Call::CheckUpstreams(check);
            let call = Call { call: Some(check), ..Call::default() };
            self.caller.call(peer, TrafficClass::Online, call, CHECK_TIMEOUT)
        });
        let replies = join_all(asked).await.into_iter();
        let reached = replies.filter_map(|reply| match reply {
            Ok(Reply { reply: Some(reply::Reply::ReachedUpstreams(reached)) }) => {
                Some(reached.addresses.into_iter().collect())
            }
            _ => None,
        });
        reached.collect()
    }
}

/// Answers another host which of its upstreams this one reaches. Only upstreams that `is_known` are tried.
pub async fn answer_link_check(
    probe: &dyn UpstreamProbe,
    check: &CheckUpstreams,
    is_known: &(dyn Fn(&str) -> bool + Sync),
) -> ReachedUpstreams {
    let addresses = check.addresses.iter().filter(|address| is_known(address));
    let addresses: Vec<String> = addresses.take(CHECK_LIMIT).cloned().collect();
    let reached = reached_of(probe, &addresses).await;
    ReachedUpstreams { addresses: reached.into_iter().collect() }
}
