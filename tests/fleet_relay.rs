//! Guards against entry hosts whose work grows with the number of control hosts, and against changes that
//! do not reach them because they poll only a few control hosts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use damaskhoist::coordinator::leader_wait;
use damaskhoist::directory::{
    choose_polled, Distance, EntryList, LeavingTable, Phase, PollCandidate, RelayDirectory,
    UpstreamRecord,
};
use damaskhoist::gateway::GatewayFleet;
use damaskhoist::schema::peer::{EntryHost, UpstreamUse};

const ZONES: [(&str, Distance); 6] = [
    ("santander", Distance::Zone),
    ("torrelavega", Distance::Region),
    ("castro-urdiales", Distance::Region),
    ("pamplona", Distance::Remote),
    ("tudela", Distance::Remote),
    ("estella", Distance::Remote),
];

/// Control hosts as one entry host sees them: number `n` is in zone `n % 6`.
struct View {
    addresses: Vec<String>,
    failing: HashSet<usize>,
    /// Control hosts that each polled one reaches.
    reached: HashMap<usize, HashSet<String>>,
}

impl View {
    fn new(control_hosts: usize) -> Self {
        let addresses = (0..control_hosts).map(|n| format!("10.0.0.{n}:7720")).collect();
        Self { addresses, failing: HashSet::new(), reached: HashMap::new() }
    }

    fn choose(&self, leader: Option<usize>, own_host_id: &str) -> Vec<usize> {
        let candidates = self.addresses.iter().enumerate().map(|(n, address)| PollCandidate {
            address,
            zone: ZONES[n % 6].0,
            distance: ZONES[n % 6].1,
            is_failing: self.failing.contains(&n),
            is_current: false,
            reached: self.reached.get(&n),
        });
        let candidates: Vec<PollCandidate<'_>> = candidates.collect();
        let leader = leader.map(|n| self.addresses[n].as_str());
        let chosen = choose_polled(&candidates, leader, own_host_id);
        let number = |address: &str| self.addresses.iter().position(|it| it == address).unwrap();
        chosen.into_iter().map(number).collect()
    }

    /// Chooses again and again, with replies from `groups` of control hosts that reach each other, until
    /// the choice stays the same.
    fn settle(&mut self, groups: &[Vec<usize>], leader: Option<usize>) -> Vec<usize> {
        let mut before = Vec::new();
        loop {
            let chosen = self.choose(leader, "entry-1");
            if chosen == before {
                return chosen;
            }
            self.reached.clear();
            for n in &chosen {
                let group = groups.iter().find(|group| group.contains(n));
                let reached = group.into_iter().flatten().map(|n| self.addresses[*n].clone());
                self.reached.insert(*n, reached.collect());
            }
            before = chosen;
        }
    }
}

/// Guards against 170 entry hosts that each hold a call at each of 30 control hosts, and against a choice
/// that hears of only one region.
#[test]
fn an_entry_host_polls_a_few_control_hosts_near_it_and_the_leader() {
    let mut view = View::new(30);
    let all = vec![(0..30).collect::<Vec<_>>()];
    let chosen = view.settle(&all, Some(17));
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    assert!(chosen.contains(&17), "the leader is polled");
    let distances: Vec<Distance> = chosen.iter().map(|n| ZONES[n % 6].1).collect();
    let near = distances.iter().filter(|distance| **distance < Distance::Remote).count();
    assert_eq!(near, 2, "two are in the region and in two zones: {chosen:?}");
    assert!(distances.contains(&Distance::Zone), "{chosen:?}");
    for control_hosts in 1..=4 {
        let chosen = View::new(control_hosts).choose(None, "entry-1");
        assert_eq!(chosen.len(), control_hosts, "a small group is polled as a whole");
    }
}

/// Guards against entry hosts that all poll the same control hosts.
#[test]
fn entry_hosts_spread_over_the_control_hosts() {
    let view = View::new(30);
    let mut polls = [0; 30];
    for entry in 0..170 {
        for n in view.choose(None, &format!("entry-{entry}")) {
            polls[n] += 1;
        }
    }
    let near = polls.iter().enumerate().filter(|(n, _)| ZONES[n % 6].1 < Distance::Remote);
    let most = near.map(|(_, polls)| *polls).max().unwrap();
    // 170 hosts poll one of five control hosts of their zone.
    assert!(most <= 2 * 170 / 5, "{polls:?}");
}

/// Guards against an entry host that does not hear of drains which only the other half of the control
/// hosts was told of.
#[test]
fn an_entry_host_polls_into_each_part_when_control_hosts_are_cut_apart() {
    let mut view = View::new(30);
    let all = vec![(0..30).collect::<Vec<_>>()];
    let before = view.settle(&all, Some(17));
    for cut in [2, 3] {
        let parts: Vec<Vec<usize>> =
            (0..cut).map(|part| (0..30).filter(|n| n / 6 % cut == part).collect()).collect();
        let chosen = view.settle(&parts, Some(17));
        for part in &parts {
            assert!(chosen.iter().any(|n| part.contains(n)), "{part:?} is not heard: {chosen:?}");
        }
        assert!(chosen.len() <= 4 + cut, "{chosen:?}");
    }
    assert_eq!(view.settle(&all, Some(17)), before, "the choice returns once they are joined");
}

/// Guards against an entry host that stays with control hosts that do not answer.
#[test]
fn control_hosts_that_fail_are_replaced() {
    let mut view = View::new(30);
    let all = vec![(0..30).collect::<Vec<_>>()];
    let before = view.settle(&all, None);
    view.failing.extend(before.iter().copied());
    let chosen = view.choose(None, "entry-1");
    let sound = chosen.iter().filter(|n| !before.contains(n)).count();
    assert!(sound >= 3, "{chosen:?} instead of {before:?}");
    view.failing.extend(0..30);
    assert!(view.choose(None, "entry-1").len() >= 3, "some are polled though all fail");
}

fn upstream(id: &str, sequence: u64, phase: Phase) -> UpstreamRecord {
    UpstreamRecord {
        upstream_id: id.into(),
        service: "engraver".into(),
        address: "10.0.0.1:80".into(),
        zone: "santander".into(),
        region: "cantabria".into(),
        version: "v1".into(),
        slots: 8,
        phase,
        started_at_unix_ms: 1,
        sequence,
    }
}

/// Guards against heartbeats that wake all entry hosts though nothing has changed, and against drains and
/// losses that are not passed on.
#[test]
fn a_relay_passes_on_changes_and_no_heartbeats() {
    let (mut relay, now) = (RelayDirectory::new(7), Instant::now());
    let both =
        |sequence| [upstream("a", sequence, Phase::Ready), upstream("b", sequence, Phase::Ready)];
    assert!(relay.replace(&both(1), now));
    let (epoch, revision) = relay.version();
    assert!(!relay.replace(&both(2), now), "only sequence numbers have changed");
    assert!(relay.changes_since(epoch, revision).is_empty());
    let draining = [upstream("a", 3, Phase::Draining), upstream("b", 3, Phase::Ready)];
    assert!(relay.replace(&draining, now));
    let changes = relay.changes_since(epoch, revision);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].upstream_id.as_str(), changes[0].sequence), ("a", 3));
    let (_, revision) = relay.version();
    assert!(relay.replace(&draining[..1], now), "an upstream that is no longer named is silent");
    assert_eq!(relay.changes_since(epoch, revision)[0].upstream_id, "b");
    assert_eq!(relay.changes_since(epoch + 1, revision).len(), 2, "another epoch gets all");
}

fn entry_host(id: &str, sequence: u64, ready: bool) -> Arc<EntryHost> {
    let host = EntryHost { host_id: id.into(), ready, sequence, ..EntryHost::default() };
    Arc::new(host)
}

/// Guards against whole tables of entry hosts that are sent for each change, changes that are lost, and
/// older records that replace newer ones.
#[test]
fn entry_hosts_are_passed_on_by_change() {
    let mut list = EntryList::default();
    list.replace(&[entry_host("a", 0, false), entry_host("b", 1, true)]);
    let all = list.changes_since(0);
    assert!(all.is_complete);
    assert_eq!(all.changed.len(), 2);
    let known = list.revision();
    assert!(list.changes_since(known).changed.is_empty());
    assert!(list.replace(&[entry_host("a", 1, true)]));
    let changes = list.changes_since(known);
    assert!(!changes.is_complete);
    assert_eq!((changes.changed[0].host_id.as_str(), changes.changed[0].ready), ("a", true));
    assert_eq!(changes.removed, ["b"]);
    assert!(!list.insert(&entry_host("a", 0, false)), "an older record is ignored");
    assert!(list.changes_since(known + 1_000).is_complete, "an unknown revision gets all");
    for number in 0..2_000 {
        list.insert(&entry_host(&format!("c{number}"), 0, true));
        list.remove(&format!("c{number}"));
    }
    assert!(list.changes_since(known).is_complete, "removals this old are forgotten");
}

/// Guards against a draining upstream that entry hosts take for ready: the control host that it reported to was
/// lost for long, and the others passed it on as silent, which may mean that its heartbeats go elsewhere.
#[test]
fn a_draining_upstream_that_is_no_longer_named_is_passed_on_as_gone() {
    let mut relay = RelayDirectory::new(1);
    let now = Instant::now();
    relay.replace(&[upstream("a", 1, Phase::Draining), upstream("b", 1, Phase::Ready)], now);
    assert!(relay.replace(&[], now));
    let mut phases: Vec<(String, Phase)> = relay
        .changes_since(0, 0)
        .into_iter()
        .map(UpstreamRecord::from)
        .map(|record| (record.upstream_id, record.phase))
        .collect();
    phases.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(phases, [("a".into(), Phase::Gone), ("b".into(), Phase::Silent)]);
}

/// Guards against an upstream that leaves and is used again because of a later heartbeat, and against a new
/// incarnation under its id that is never used.
#[test]
fn an_incarnation_that_leaves_never_comes_back() {
    let (leaving, now) = (LeavingTable::default(), Instant::now());
    assert!(leaving.insert("a", 10, now));
    assert!(!leaving.insert("a", 10, now));
    assert!(leaving.contains("a", 10));
    assert!(!leaving.contains("a", 11), "a later incarnation is used");
    assert_eq!(leaving.recent(now).len(), 1);
    assert!(
        leaving.recent(now + Duration::from_secs(60)).is_empty(),
        "old notices are not repeated"
    );
    assert!(leaving.contains("a", 10));
}

/// Guards against upstreams that were full at the last word of the leader and seem full for as long as
/// there is no leader.
#[test]
fn the_last_word_of_a_silent_leader_is_forgotten() {
    let fleet = GatewayFleet::default();
    fleet.replace(&[upstream("a", 1, Phase::Ready)]);
    let uses = [UpstreamUse { upstream_id: "a".into(), online: 11, batch: 2 }];
    fleet.set_remote_use(&uses, true);
    fleet.apply_rates(&[], 1);
    assert!(!fleet.is_leader_silent());
    assert_eq!(fleet.load()[0].in_use(), 13);
    std::thread::sleep(Duration::from_millis(1_050));
    assert!(fleet.is_leader_silent());
    for _ in 0..4 {
        fleet.decay_remote_use();
    }
    assert_eq!(fleet.load()[0].in_use(), 0);
}

/// Guards against loads that are older than the requests that they count: hosts of a fleet of 200 would send
/// to upstreams that have filled up meanwhile. Small fleets hear several times as often, and the leader of a
/// fleet of the size to design for answers no more than a thousand calls a second.
#[test]
fn hosts_hear_of_loads_while_the_requests_still_run() {
    const SHORT_REQUEST: Duration = Duration::from_millis(250);
    assert!(leader_wait(170, Duration::ZERO) < SHORT_REQUEST);
    assert!(leader_wait(12, Duration::ZERO) < SHORT_REQUEST / 4);
    assert!(340.0 / leader_wait(340, Duration::ZERO).as_secs_f64() <= 1_000.0);
}

/// Guards against a leader short of processor time that spends all of it on sync calls, so that reads and commits get no
/// answer in time. A call is held no longer than entry hosts ask for.
#[test]
fn a_leader_that_runs_late_answers_fewer_sync_calls() {
    let calls_per_s = |lag_ms| 64.0 / leader_wait(64, Duration::from_millis(lag_ms)).as_secs_f64();
    assert!(calls_per_s(1) > 950.0);
    assert!(calls_per_s(60) < calls_per_s(0) / 3.0);
}
