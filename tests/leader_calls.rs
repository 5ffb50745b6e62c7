//! Guards against calls to the leader that outlast their budget, load the control hosts without pause, or
//! never reach the leader because other hosts name each other or a leader of an older term.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use async_trait::async_trait;
use damaskhoist::control::RemoteState;
use damaskhoist::coordinator::{LeaderClient, LeaderError, LeaderHint};
use damaskhoist::directory::{FleetWatch, FleetWatchOptions, LeavingTable, SyncHandler};
use damaskhoist::gateway::JobReader;
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::raft::LeaderBelief;
use damaskhoist::schema::ledger::{Answer, Outcome, Query};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{
    call, reply, Call, CallFailure, ControlHostEntry, ControlSync, EntrySync, FailureKind, Reply,
    ReturnItem,
};
use damaskhoist::schema::state::Command;
use damaskhoist::state::StateClient;
use damaskhoist::telemetry::Counters;
use rstest::rstest;

/// What a scripted control host does with a call.
#[derive(Clone, Copy)]
enum Answering {
    /// Says that it does not lead and names another host as the leader of a term.
    Names(&'static str, u64),
    /// Leads in this term.
    Leads(u64),
    /// Leads in this term, but can't be connected to at the calls between these numbers.
    LeadsWithGap(u64, usize, usize),
    /// Leads, and answers after this time in milliseconds.
    LeadsAfter(u64),
    /// Leads, but does not answer the call of this number.
    LeadsExceptAt(usize),
    /// Can't be connected to.
    Unreachable,
    /// Never answers, and the call does not end at its time limit either.
    Silent,
}

struct ScriptedHosts {
    hosts: HashMap<&'static str, Answering>,
    calls: Mutex<Vec<String>>,
    reads: Mutex<Vec<String>>,
}

#[async_trait]
impl PeerCaller for ScriptedHosts {
    async fn call(
        &self,
        address: &str,
        _class: TrafficClass,
        call: Call,
        _timeout: Duration,
    ) -> Result<Reply, CallError> {
        let number = self.record(address);
        if let Some(call::Call::LedgerQuery(_)) = &call.call {
            self.reads.lock().unwrap().push(address.to_owned());
        }
        let answering = self.hosts[address];
        if let Answering::LeadsAfter(time_ms) = answering {
            task::sleep(Duration::from_millis(time_ms)).await;
        }
        let reply = match (answering, call.call) {
            (Answering::Silent, _) => futures::future::pending().await,
            (Answering::Unreachable, _) => {
                return Err(CallError::NotSent("no connection".into()));
            }
            (Answering::LeadsExceptAt(lost), _) if lost == number => {
                futures::future::pending().await
            }
            (Answering::LeadsWithGap(_, from, to), _) if (from..to).contains(&number) => {
                return Err(CallError::NotSent("no connection".into()));
            }
            (answering, Some(call::Call::EntrySync(_))) => {
                task::sleep(Duration::from_millis(10)).await;
                self.sync_reply(answering)
            }
            (Answering::Names(leader, term), _) => reply::Reply::Failure(CallFailure {
                kind: FailureKind::NotLeader.into(),
                message: "not the leader".into(),
                leader_address: leader.into(),
                leader_term: term,
            }),
            (_, Some(call::Call::LedgerQuery(_))) => reply::Reply::LedgerAnswer(Answer::default()),
            (_, Some(call::Call::Command(_))) => reply::Reply::Outcome(Default::default()),
            _ => reply::Reply::LedgerOutcome(Outcome::default()),
        };
        Ok(Reply { reply: Some(reply) })
    }

    fn send(&self, _address: &str, _class: TrafficClass, _body: Body) {}
}

impl ScriptedHosts {
    /// Records a call; returns its number among those to the same host.
    fn record(&self, address: &str) -> usize {
        let mut calls = self.calls.lock().unwrap();
        calls.push(address.to_owned());
        calls.iter().filter(|called| *called == address).count() - 1
    }

    fn calls_to(&self, address: &str) -> usize {
        self.calls.lock().unwrap().iter().filter(|called| *called == address).count()
    }

    fn sync_reply(&self, answering: Answering) -> reply::Reply {
        let mut sync = ControlSync { directory_epoch: 1, ..ControlSync::default() };
        sync.control_hosts_hash = 1;
        sync.control_hosts = self.hosts.keys().map(|address| listed(address)).collect();
        match answering {
            Answering::Names(leader, term) => {
                (sync.leader_address, sync.leader_term) = (leader.into(), term);
            }
            Answering::Leads(term) | Answering::LeadsWithGap(term, ..) => {
                (sync.leads, sync.leader_term) = (true, term);
            }
            _ => {}
        }
        reply::Reply::ControlSync(sync)
    }
}

fn listed(address: &str) -> ControlHostEntry {
    ControlHostEntry {
        peer_address: address.to_owned(),
        zone: "santander".to_owned(),
        is_reached: true,
        has_replica: true,
    }
}

/// Knows all control hosts and takes the first one for the leader.
struct FirstHint(Vec<String>, Instant, u64);

impl LeaderHint for FirstHint {
    fn leader(&self) -> Option<Arc<LeaderBelief>> {
        let address = self.0.first()?.clone();
        let (term, source, heard_at) = (self.2, address.clone(), self.1);
        Some(Arc::new(LeaderBelief { address, term, source, heard_at }))
    }

    fn replica_addresses(&self) -> Vec<String> {
        self.0.clone()
    }

    fn control_addresses(&self) -> Vec<String> {
        self.0.clone()
    }
}

fn script(hosts: &[(&'static str, Answering)]) -> Arc<ScriptedHosts> {
    Arc::new(ScriptedHosts {
        hosts: hosts.iter().copied().collect(),
        calls: Mutex::default(),
        reads: Mutex::default(),
    })
}

/// A client whose hint names the first host as the leader of this term.
fn open_in_term(
    hosts: &[(&'static str, Answering)],
    term: u64,
) -> (LeaderClient, Arc<ScriptedHosts>) {
    let known = hosts.iter().map(|(address, _)| (*address).to_owned());
    let addresses = known.filter(|address| address != "old").collect();
    let scripted = script(hosts);
    let hint = Arc::new(FirstHint(addresses, Instant::now(), term));
    (LeaderClient::open(scripted.clone(), hint), scripted)
}

fn open(hosts: &[(&'static str, Answering)]) -> (LeaderClient, Arc<ScriptedHosts>) {
    open_in_term(hosts, 0)
}

fn any_call() -> call::Call {
    call::Call::ReturnItem(ReturnItem::default())
}

/// Guards against a call that follows two hosts naming each other without a pause: it took a whole
/// processor for its budget and called each of them tens of thousands of times.
#[async_std::test]
async fn hosts_that_name_each_other_are_asked_with_pauses() {
    let hosts = [("a", Answering::Names("b", 0)), ("b", Answering::Names("a", 0))];
    let (client, scripted) = open(&hosts);
    let budget = Duration::from_millis(500);
    let started = Instant::now();
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(matches!(ended, Err(LeaderError::NotSubmitted(_))), "{ended:?}");
    assert!(started.elapsed() < budget + Duration::from_millis(250), "{:?}", started.elapsed());
    // Two calls per pause of 25 ms.
    let calls = scripted.calls.lock().unwrap().len();
    assert!(calls <= 42, "{calls} calls");
}

/// Guards against a call that asks only two hosts that name each other, while a third one leads.
#[async_std::test]
async fn the_leader_is_found_beside_hosts_that_name_each_other() {
    let hosts = [
        ("a", Answering::Names("b", 0)),
        ("b", Answering::Names("a", 0)),
        ("c", Answering::Leads(0)),
    ];
    let (client, _scripted) = open(&hosts);
    let budget = Duration::from_millis(2_000);
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(ended.is_ok(), "{ended:?}");
}

/// Guards against a call that waits for good because the connection below it does not end at its time limit:
/// the batch item whose end it reports stayed listed, and no other host ran it.
#[async_std::test]
async fn a_call_ends_though_its_connection_does_not() {
    let (client, _scripted) = open(&[("a", Answering::Silent)]);
    let budget = Duration::from_millis(300);
    let ended =
        timeout(Duration::from_secs(2), client.call(any_call(), Duration::ZERO, budget)).await;
    let ended = ended.expect("the call ends within its budget and a margin");
    assert!(matches!(ended, Err(LeaderError::Unknown(_))), "{ended:?}");
}

/// Guards against a call that a replica which still believes in the leader of an older term sends to a host that does
/// not answer.
#[async_std::test]
async fn a_leader_of_an_older_term_is_not_asked() {
    let hosts = [
        ("b", Answering::LeadsWithGap(6, 0, 3)),
        ("a", Answering::Names("old", 5)),
        ("old", Answering::Silent),
    ];
    let (client, scripted) = open_in_term(&hosts, 6);
    let budget = Duration::from_millis(700);
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(scripted.calls_to("old"), 0);
}

/// Guards against a budget that is used up by calls to one silent host, because its followers still name it.
#[async_std::test]
async fn a_silent_leader_that_others_name_does_not_use_up_the_budget() {
    let hosts =
        [("a", Answering::Silent), ("b", Answering::Names("a", 5)), ("c", Answering::Leads(6))];
    let (client, scripted) = open_in_term(&hosts, 5);
    let budget = Duration::from_millis(1_500);
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(scripted.calls_to("a"), 1);
}

/// Guards against a call whose whole budget goes to a host that is silent, though it lasts no longer than one attempt.
#[async_std::test]
async fn one_silent_host_leaves_time_for_the_others() {
    let (client, _scripted) =
        open_in_term(&[("a", Answering::Silent), ("b", Answering::Leads(6))], 5);
    let budget = Duration::from_millis(600);
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(ended.is_ok(), "{ended:?}");
}

/// Guards against the same in the client of the daemon's state.
#[async_std::test]
async fn the_client_of_the_state_does_not_ask_a_leader_of_an_older_term() {
    let hosts = [
        ("a", Answering::Names("b", 6)),
        ("b", Answering::LeadsWithGap(6, 1, 2)),
        ("c", Answering::Names("old", 5)),
        ("old", Answering::Silent),
    ];
    let scripted = script(&hosts);
    let addresses = ["a", "c", "b"].map(str::to_owned);
    let state = RemoteState::open(scripted.clone(), &addresses, "entry-1");
    for _ in 0..2 {
        let command = Command { command_id: "1".into(), ..Command::default() };
        let ended = timeout(Duration::from_secs(2), state.submit(command)).await;
        assert!(matches!(ended, Ok(Ok(_))), "{ended:?}");
    }
    assert_eq!(scripted.calls_to("old"), 0);
}

/// Guards against calls that go to a control host which was paused, lost its leadership, and still says that it leads.
#[async_std::test]
async fn a_woken_control_host_of_an_older_term_is_not_the_leader() {
    let scripted = script(&[("a", Answering::Leads(5)), ("b", Answering::Leads(6))]);
    let watch = spawn_watch(&scripted, &["a", "b"]);
    let started = Instant::now();
    while scripted.calls_to("a") < 5 || scripted.calls_to("b") < 5 {
        assert!(started.elapsed() < Duration::from_secs(10), "the control hosts are not polled");
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(watch.view().leader_address.as_deref(), Some("b"));
}

fn spawn_watch(scripted: &Arc<ScriptedHosts>, seeds: &[&str]) -> Arc<FleetWatch> {
    let options = FleetWatchOptions {
        host_id: "entry-1".to_owned(),
        zone: "santander".to_owned(),
        zone_regions: [("santander".to_owned(), "cantabria".to_owned())].into(),
        seed_addresses: seeds.iter().map(|seed| (*seed).to_owned()).collect(),
        own_address: "own".to_owned(),
        directory_timeout: Duration::from_secs(60),
        polls_all: false,
        leaving: Arc::<LeavingTable>::default(),
    };
    FleetWatch::spawn(options, scripted.clone(), Arc::new(NoSync))
}

struct NoSync;

impl SyncHandler for NoSync {
    fn fill_request(&self, _to_address: &str, _sync: &mut EntrySync) {}

    fn handle_reply(&self, _from_address: &str, _reply: &ControlSync) {}
}

/// Guards against a leader that is passed over because a caller had less time left than an answer takes.
#[async_std::test]
async fn a_short_remaining_time_is_not_held_against_the_leader() {
    let (client, scripted) = open(&[("a", Answering::LeadsAfter(180)), ("b", Answering::Silent)]);
    let budget = Duration::from_millis(20);
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(ended.is_err(), "{ended:?}");
    let budget = Duration::from_millis(600);
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(scripted.calls_to("b"), 0);
}

/// Guards against a leader that is passed over for an older call, though it has answered a newer one.
#[async_std::test]
async fn an_older_call_is_not_held_against_a_leader_that_answered_since() {
    let (client, scripted) = open(&[("a", Answering::LeadsExceptAt(0)), ("b", Answering::Silent)]);
    let budget = Duration::from_millis(600);
    let newer = async {
        task::sleep(Duration::from_millis(50)).await;
        client.call(any_call(), Duration::ZERO, budget).await
    };
    let ended = futures::join!(client.call(any_call(), Duration::ZERO, budget), newer);
    assert!(matches!(ended, (Ok(_), Ok(_))), "{ended:?}");
    assert_eq!(scripted.calls_to("b"), 0);
}

/// Guards against a change of routes that is cut off at half of its time while a leader that answers commits it.
#[async_std::test]
async fn a_command_has_a_whole_attempt_at_a_leader_that_spoke() {
    let (client, scripted) = open(&[("a", Answering::LeadsAfter(560))]);
    let ended = client.submit(Default::default(), Duration::from_millis(850)).await;
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(scripted.calls_to("a"), 1);
}

/// Guards against a read that fails because the host that was asked names the leader instead of answering.
#[async_std::test]
async fn a_question_for_the_leader_follows_one_redirect() {
    let hosts = [("a", Answering::Names("b", 6)), ("b", Answering::Leads(6))];
    let (client, _scripted) = open_in_term(&hosts, 5);
    let ended = client.call_leader(any_call(), Duration::from_millis(400)).await;
    assert!(ended.is_ok(), "{ended:?}");
}

/// Guards against a report of a replica that hides what the leader itself said in the same term.
#[test]
fn what_the_leader_says_itself_is_preferred_within_a_term() {
    let now = Instant::now();
    let belief = |term, source: &str| {
        let (address, source) = ("a".to_owned(), source.to_owned());
        Some(Arc::new(LeaderBelief { address, term, source, heard_at: now }))
    };
    let chosen = |own, heard| LeaderBelief::preferred(own, heard).map(|chosen| (*chosen).clone());
    let word = belief(6, "a").map(|word| (*word).clone());
    assert_eq!(chosen(belief(6, "f"), belief(6, "a")), word);
    assert_eq!(chosen(belief(6, "a"), belief(5, "a")), word);
    assert_eq!(chosen(belief(5, "a"), belief(6, "a")), word);
}

/// Knows one control host, and no leader.
struct NoHint(&'static str);

impl LeaderHint for NoHint {
    fn leader(&self) -> Option<Arc<LeaderBelief>> {
        None
    }

    fn replica_addresses(&self) -> Vec<String> {
        Vec::new()
    }

    fn control_addresses(&self) -> Vec<String> {
        vec![self.0.to_owned()]
    }
}

/// A client that knows only the first of `hosts`; `other` leads in term 7.
fn open_without_hint(
    hosts: &[(&'static str, Answering)],
    other: &'static str,
) -> (LeaderClient, Arc<ScriptedHosts>) {
    let scripted = script(&[hosts[0], (other, Answering::Leads(7))]);
    (LeaderClient::open(scripted.clone(), Arc::new(NoHint(hosts[0].0))), scripted)
}

fn report_of(leader: &str, term: u64) -> CallFailure {
    CallFailure {
        kind: FailureKind::NotLeader.into(),
        message: "not the leader".into(),
        leader_address: leader.into(),
        leader_term: term,
    }
}

/// Guards against a host that is still asked because it once answered in an unknown term, though another was elected.
#[async_std::test]
async fn a_newly_named_term_replaces_a_leader_of_an_unknown_term() {
    let (client, scripted) = open_without_hint(&[("a", Answering::Leads(0))], "b");
    let budget = Duration::from_millis(600);
    assert!(client.call(any_call(), Duration::ZERO, budget).await.is_ok());
    client.hear_failure("f", &report_of("b", 7), Duration::ZERO);
    assert!(client.call(any_call(), Duration::ZERO, budget).await.is_ok());
    assert_eq!(scripted.calls_to("b"), 1);
}

/// Guards against a late answer of a deposed leader, which replaced what was heard of a newer one meanwhile.
#[async_std::test]
async fn a_late_answer_does_not_replace_a_newer_leader() {
    let hosts = [("a", Answering::LeadsAfter(200))];
    for (client, scripted) in [open_without_hint(&hosts, "b"), {
        let scripted = script(&[hosts[0], ("b", Answering::Leads(7))]);
        let hint = Arc::new(FirstHint(vec!["a".to_owned()], Instant::now(), 6));
        (LeaderClient::open(scripted.clone(), hint), scripted)
    }] {
        let budget = Duration::from_millis(800);
        let named = async {
            task::sleep(Duration::from_millis(50)).await;
            client.hear_failure("f", &report_of("b", 7), Duration::ZERO);
        };
        let (ended, ()) = futures::join!(client.call(any_call(), Duration::ZERO, budget), named);
        assert!(ended.is_ok(), "{ended:?}");
        assert!(client.call(any_call(), Duration::ZERO, budget).await.is_ok());
        assert_eq!(scripted.calls_to("b"), 1);
    }
}

/// Guards against a silent host that uses up most of a long budget.
#[async_std::test]
async fn a_long_budget_is_not_spent_on_one_silent_host() {
    let hosts = [("a", Answering::Silent), ("b", Answering::Leads(6))];
    let (client, _scripted) = open_in_term(&hosts, 5);
    let (started, budget) = (Instant::now(), Duration::from_millis(2_000));
    let ended = client.call(any_call(), Duration::ZERO, budget).await;
    assert!(ended.is_ok(), "{ended:?}");
    // An attempt of 600 ms, its margin and a pause.
    assert!(started.elapsed() < Duration::from_millis(1_000), "{:?}", started.elapsed());
}

/// Guards against reads that alternate between replicas that fail, while another one would answer.
#[async_std::test]
async fn each_replica_that_fails_is_avoided() {
    let failing = ["a", "b", "c", "d"];
    let mut hosts = failing.map(|address| (address, Answering::Unreachable)).to_vec();
    hosts.push(("sound", Answering::Leads(6)));
    let scripted = script(&hosts);
    let watch = spawn_watch(&scripted, &["sound"]);
    let started = Instant::now();
    while watch.view().near_replicas.len() < hosts.len() {
        assert!(started.elapsed() < Duration::from_secs(10), "the replicas are not listed");
        task::sleep(Duration::from_millis(5)).await;
    }
    let leader = Arc::new(LeaderClient::open(scripted.clone(), Arc::new(NoHint("sound"))));
    let counters = Counters::open("entry-1", None);
    let reader = JobReader::open(scripted.clone(), leader, watch, counters);
    for _ in 0..10 {
        let read = reader.query(Query::default(), Duration::ZERO, Duration::from_secs(1)).await;
        assert!(read.is_ok(), "{read:?}");
    }
    let reads = scripted.reads.lock().unwrap();
    for address in failing {
        let reads = reads.iter().filter(|read| *read == address).count();
        assert!(reads <= 1, "{reads} reads at {address}");
    }
}

/// Knows which control hosts run replicas, and no leader.
struct ReplicasHint {
    replicas: Vec<String>,
    others: Vec<String>,
}

impl LeaderHint for ReplicasHint {
    fn leader(&self) -> Option<Arc<LeaderBelief>> {
        None
    }

    fn replica_addresses(&self) -> Vec<String> {
        self.replicas.clone()
    }

    fn control_addresses(&self) -> Vec<String> {
        [self.others.clone(), self.replicas.clone()].concat()
    }
}

/// Guards against reads whose time is used up by control hosts without a replica, which can't answer them, and against
/// calls that ask only the replicas though they fail.
#[rstest]
#[case::replica_answers(Answering::LeadsAfter(0), &["d"])]
#[case::replica_fails(Answering::Unreachable, &["d", "a"])]
#[async_std::test]
async fn hosts_that_run_replicas_are_asked_first(
    #[case] replica: Answering,
    #[case] asked: &[&str],
) {
    let without_replica = Answering::Names("", 0);
    let leader = Answering::LeadsAfter(0);
    let scripted =
        script(&[("a", leader), ("b", without_replica), ("c", without_replica), ("d", replica)]);
    let others = ["a", "b", "c"].map(str::to_owned).to_vec();
    let hint = ReplicasHint { replicas: vec!["d".to_owned()], others };
    let client = LeaderClient::open(scripted.clone(), Arc::new(hint));
    let budget = Duration::from_millis(300);
    client.query(Query::default(), Duration::ZERO, budget).await.expect("a host answers");
    let calls = scripted.calls.lock().unwrap().clone();
    assert!(asked.iter().all(|address| calls.iter().any(|called| called == address)), "{calls:?}");
    assert_eq!(calls[0], "d", "{calls:?}");
}
