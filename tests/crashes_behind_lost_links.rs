//! Crashes of upstreams that a host can only reach through others.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use damaskhoist::gateway::{
    CallTarget, LinkedConnector, SendError, StreamConnector, StreamRequest, UpstreamAnswer,
};
use damaskhoist::links::{LinkMonitor, LinkMonitorOptions, LinkPeers, UpstreamProbe};
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::relay::RelayClient;
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{call, reply, Call, ReachedUpstreams, Reply};

const CRASHED: &str = "10.0.0.1:80";
const SOUND: &str = "10.0.0.2:80";

/// The links of a host that reaches no upstream.
struct CutOff;

#[async_trait]
impl UpstreamProbe for CutOff {
    async fn is_reachable(&self, _address: SocketAddr) -> bool {
        false
    }
}

#[async_trait]
impl StreamConnector for CutOff {
    async fn send(
        &self,
        _target: CallTarget<'_>,
        _request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError> {
        Err(SendError::NotSent("connection timed out".into()))
    }

    async fn is_reachable(&self, _address: SocketAddr) -> bool {
        false
    }

    fn retain_upstreams(&self, _is_known: &dyn Fn(&str) -> bool) {}
}

/// Another host, and the upstreams that it reaches.
struct OtherHost(Mutex<HashSet<String>>);

#[async_trait]
impl PeerCaller for OtherHost {
    async fn call(
        &self,
        _address: &str,
        _class: TrafficClass,
        call: Call,
        _timeout: Duration,
    ) -> Result<Reply, CallError> {
        let Some(call::Call::CheckUpstreams(check)) = call.call else { panic!("{call:?}") };
        let reached = self.0.lock().unwrap();
        let addresses = check.addresses.into_iter().filter(|it| reached.contains(it)).collect();
        Ok(Reply { reply: Some(reply::Reply::ReachedUpstreams(ReachedUpstreams { addresses })) })
    }

    fn send(&self, _address: &str, _class: TrafficClass, _body: Body) {}
}

/// Guards against a crashing request that is sent to upstream after upstream through other hosts, because a host
/// without links takes each crash for a fault of its links.
#[test]
fn a_crash_is_seen_by_a_host_that_has_lost_its_links() {
    let upstreams = vec![CRASHED.to_owned(), SOUND.to_owned()];
    let other = Arc::new(OtherHost(Mutex::new(upstreams.iter().cloned().collect())));
    let hosts = || vec!["10.0.0.9:7720".to_owned()];
    let monitor = LinkMonitor::spawn(LinkMonitorOptions {
        probe: Arc::new(CutOff),
        peers: LinkPeers::open(other.clone()),
        upstreams: Box::new(move || upstreams.clone()),
        hosts: Box::new(hosts),
        on_change: Box::new(|_| {}),
    });
    let relay = RelayClient::open("santander", "cantabria", other.clone(), Box::new(Vec::new));
    let connector = LinkedConnector::open(Arc::new(CutOff), relay, monitor.clone());
    let is_reachable = |address: &str| {
        task::block_on(connector.is_reachable(address.parse().expect("an address")))
    };
    monitor.record_failure("a");
    monitor.record_failure("b");
    let started = Instant::now();
    while !monitor.is_lost() {
        assert!(started.elapsed() < Duration::from_secs(5), "the links count as sound");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(is_reachable(CRASHED), "another host reaches it");
    other.0.lock().unwrap().remove(CRASHED);
    assert!(!is_reachable(CRASHED), "no host reaches it");
    assert!(is_reachable(SOUND), "another host reaches it");
}
