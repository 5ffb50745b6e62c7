//! Guards against calls to the leader that outlast their budget, load the control hosts without pause, or
//! never reach the leader because other hosts name each other.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_trait::async_trait;
use damaskhoist::coordinator::{LeaderClient, LeaderError, LeaderHint};
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::raft::LeaderBelief;
use damaskhoist::schema::ledger::Outcome;
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{call, reply, Call, CallFailure, FailureKind, Reply, ReturnItem};

/// What a scripted control host does with a call.
#[derive(Clone, Copy)]
enum Answering {
    /// Says that it does not lead and names another host.
    Names(&'static str),
    /// Leads.
    Leads,
    /// Never answers, and the call does not end at its time limit either.
    Silent,
}

struct ScriptedHosts {
    hosts: HashMap<&'static str, Answering>,
    calls: Mutex<Vec<String>>,
}

#[async_trait]
impl PeerCaller for ScriptedHosts {
    async fn call(
        &self,
        address: &str,
        _class: TrafficClass,
        _call: Call,
        _timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.calls.lock().unwrap().push(address.to_owned());
        let reply = match self.hosts[address] {
            Answering::Silent => futures::future::pending().await,
            Answering::Leads => reply::Reply::LedgerOutcome(Outcome::default()),
            Answering::Names(leader) => reply::Reply::Failure(CallFailure {
                kind: FailureKind::NotLeader.into(),
                message: "not the leader".into(),
                leader_address: leader.into(),
                leader_term: 0,
            }),
        };
        Ok(Reply { reply: Some(reply) })
    }

    fn send(&self, _address: &str, _class: TrafficClass, _body: Body) {}
}

/// Knows all control hosts and takes the first one for the leader.
struct FirstHint(Vec<String>, Instant);

impl LeaderHint for FirstHint {
    fn leader(&self) -> Option<Arc<LeaderBelief>> {
        let address = self.0.first()?.clone();
        let (source, heard_at) = (address.clone(), self.1);
        Some(Arc::new(LeaderBelief { address, term: 0, source, heard_at }))
    }

    fn control_addresses(&self) -> Vec<String> {
        self.0.clone()
    }
}

fn open(hosts: &[(&'static str, Answering)]) -> (LeaderClient, Arc<ScriptedHosts>) {
    let addresses = hosts.iter().map(|(address, _)| (*address).to_owned()).collect();
    let scripted =
        ScriptedHosts { hosts: hosts.iter().copied().collect(), calls: Mutex::default() };
    let scripted = Arc::new(scripted);
    (LeaderClient::open(scripted.clone(), Arc::new(FirstHint(addresses, Instant::now()))), scripted)
}

fn any_call() -> call::Call {
    call::Call::ReturnItem(ReturnItem::default())
}

/// Guards against a call that follows two hosts naming each other without a pause: it took a whole
/// processor for its budget and called each of them tens of thousands of times.
#[async_std::test]
async fn hosts_that_name_each_other_are_asked_with_pauses() {
    let hosts = [("a", Answering::Names("b")), ("b", Answering::Names("a"))];
    let (client, scripted) = open(&hosts);
    let budget = Duration::from_millis(500);
    let started = Instant::now();
    let ended = client.call(any_call(), budget, budget).await;
    assert!(matches!(ended, Err(LeaderError::NotSubmitted(_))), "{ended:?}");
    assert!(started.elapsed() < budget + Duration::from_millis(250), "{:?}", started.elapsed());
    // Two calls per pause of 25 ms.
    let calls = scripted.calls.lock().unwrap().len();
    assert!(calls <= 42, "{calls} calls");
}

/// Guards against a call that asks only two hosts that name each other, while a third one leads.
#[async_std::test]
async fn the_leader_is_found_beside_hosts_that_name_each_other() {
    let hosts =
        [("a", Answering::Names("b")), ("b", Answering::Names("a")), ("c", Answering::Leads)];
    let (client, _scripted) = open(&hosts);
    let budget = Duration::from_millis(2_000);
    let ended = client.call(any_call(), budget, budget).await;
    assert!(ended.is_ok(), "{ended:?}");
}

/// Guards against a call that waits for good because the connection below it does not end at its time limit:
/// the batch item whose end it reports stayed listed, and no other host ran it.
#[async_std::test]
async fn a_call_ends_though_its_connection_does_not() {
    let (client, _scripted) = open(&[("a", Answering::Silent)]);
    let budget = Duration::from_millis(300);
    let ended = timeout(Duration::from_secs(2), client.call(any_call(), budget, budget)).await;
    let ended = ended.expect("the call ends within its budget and a margin");
    assert!(matches!(ended, Err(LeaderError::Unknown(_))), "{ended:?}");
}
