//! Guards against a stream that is continued at another software version than the one that began it, because
//! its origin was mixed up, forgotten too early or asked for at the wrong control hosts.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use damaskhoist::directory::{
    choose_asked, choose_keepers, only_version, request_hash, FleetWatch, FleetWatchOptions,
    KnownOrigin, LeavingTable, OriginKeeper, OriginTable, Phase, StreamOrigin, SyncHandler,
    UpstreamRecord, VersionHistory,
};
use damaskhoist::gateway::{FleetOrigins, Prompt, StreamOrigins, StreamRequest};
use damaskhoist::http::Headers;
use damaskhoist::peer::{CallError, PeerCaller, TrafficClass};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{
    call, reply, Call, ControlSync, EntrySync, FoundStreamOrigin, Reply, UpstreamEntry,
    UpstreamPhase,
};
use damaskhoist::schema::routes::{Route, RouteKind, ServiceShare};
use damaskhoist::telemetry::Counters;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "engraver".into(), version: version.into() }
}

fn keeper(number: usize, region: &str, is_reached: bool) -> OriginKeeper {
    OriginKeeper { address: format!("10.0.0.{number}:7"), region: region.into(), is_reached }
}

#[test]
fn records_that_disagree_name_no_origin() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    table.insert(1, &origin("v1"), now);
    table.insert(1, &origin("v1"), now);
    assert_eq!(table.find(1), KnownOrigin::Known(origin("v1").into()));
    table.insert(1, &origin("v2"), now);
    assert_eq!(table.find(1), KnownOrigin::Ambiguous);
    table.insert(1, &origin("v1"), now);
    assert_eq!(table.find(1), KnownOrigin::Ambiguous);
    assert_eq!(table.find(2), KnownOrigin::Unknown);
}

#[test]
fn an_origin_is_kept_for_a_minute_and_then_dropped() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    table.insert(1, &origin("v1"), now);
    table.insert(2, &origin("v2"), now + Duration::from_secs(59));
    assert_eq!(table.find(1), KnownOrigin::Known(origin("v1").into()));
    table.insert(3, &origin("v2"), now + Duration::from_secs(60));
    assert_eq!(table.find(1), KnownOrigin::Unknown);
    assert_eq!(table.find(2), KnownOrigin::Known(origin("v2").into()));
}

#[test]
fn the_table_is_bounded() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    for hash in 0..250_000 {
        table.insert(hash, &origin("v1"), now);
    }
    assert_eq!(table.iter().count(), 200_000);
    assert_eq!(table.find(249_999), KnownOrigin::Known(origin("v1").into()));
}

/// A host that resumes a stream must ask a control host that keeps its origin, whatever the region where it
/// began, and also if another control host was out of reach then.
#[test]
fn those_that_are_asked_include_each_one_that_keeps_the_origin() {
    let regions = ["cantabria", "navarra", "araba"];
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(1..=9);
        let mut keepers: Vec<OriginKeeper> = (0..count)
            .map(|number| keeper(number, regions[random.random_range(0..3)], true))
            .collect();
        keepers[random.random_range(0..count)].is_reached = false;
        let hash = request_hash(&format!("request-{seed}"));
        let asked: BTreeSet<&str> = choose_asked(&keepers, hash);
        let used: BTreeSet<&str> = keepers.iter().map(|keeper| keeper.region.as_str()).collect();
        for region in used {
            let kept = choose_keepers(&keepers, region, hash);
            assert_eq!(kept.len(), 2.min(count - 1), "seed {seed}");
            assert!(kept.iter().all(|address| asked.contains(address)), "seed {seed}");
        }
    }
}

#[test]
fn origins_are_spread_over_the_control_hosts_of_the_region() {
    let keepers: Vec<OriginKeeper> =
        (0..6).map(|number| keeper(number, ["cantabria", "navarra"][number % 2], true)).collect();
    let mut kept = [0; 6];
    for number in 0..3_000 {
        let hash = request_hash(&format!("request-{number}"));
        for address in choose_keepers(&keepers, "cantabria", hash) {
            let index = keepers.iter().position(|keeper| keeper.address == address).unwrap();
            kept[index] += 1;
        }
    }
    assert_eq!((kept[1], kept[3], kept[5]), (0, 0, 0));
    assert!(
        [kept[0], kept[2], kept[4]].iter().all(|count| (1_600..2_400).contains(count)),
        "{kept:?}"
    );
}

fn record(id: &str, version: &str) -> UpstreamRecord {
    UpstreamRecord {
        upstream_id: id.to_owned(),
        service: "engraver".to_owned(),
        address: "10.0.0.9:80".to_owned(),
        zone: "santander".to_owned(),
        region: "cantabria".to_owned(),
        version: version.to_owned(),
        slots: 8,
        phase: Phase::Ready,
        started_at_unix_ms: 1,
        sequence: 1,
    }
}

fn set(versions: &[&str]) -> BTreeSet<String> {
    versions.iter().map(|version| (*version).to_owned()).collect()
}

/// Guards against a version that is forgotten when its upstream restarts under its id with another one.
#[test]
fn the_version_before_a_restart_in_place_is_remembered() {
    let now = Instant::now();
    let first = VersionHistory::default().updated(&[record("a", "v1")], now).unwrap();
    assert!(first.updated(&[record("a", "v1")], now).is_none());
    let second = first.updated(&[record("a", "v2")], now + Duration::from_secs(100)).unwrap();
    let at = |seconds| second.versions("engraver", now + Duration::from_secs(seconds));
    assert_eq!(at(159), set(&["v1", "v2"]));
    assert_eq!(at(160), set(&["v2"]));
    assert!(second.versions("other", now).is_empty());
}

/// Guards against a version that is taken for the only one because those who know another one were not heard.
/// Versions are separated by commas, answers by bars.
#[rstest]
#[case::all_agree(3, "v1|v1|v1", "v1", Some("v1"))]
#[case::most_agree(3, "v1|v1", "v1", Some("v1"))]
#[case::the_own_view_is_empty(3, "v1|v1", "", Some("v1"))]
#[case::only_the_own_view(3, "", "v1", None)]
#[case::a_minority_answers(3, "v1", "v1", None)]
#[case::most_know_nothing(3, "v1||", "v1", None)]
#[case::one_knows_another_version(3, "v1|v1,v2", "v1", None)]
#[case::the_own_view_is_behind(3, "v2|v2", "v1", None)]
#[case::nobody_was_asked(0, "", "v1", None)]
fn a_stream_without_a_record_needs_a_version_that_most_agree_on(
    #[case] asked: usize,
    #[case] answers: &str,
    #[case] own: &str,
    #[case] expected: Option<&str>,
) {
    let versions = |list: &str| -> BTreeSet<String> {
        list.split(',').filter(|version| !version.is_empty()).map(str::to_owned).collect()
    };
    let answers: Vec<BTreeSet<String>> = answers.split('|').map(versions).collect();
    assert_eq!(only_version(asked, &answers, &versions(own)).as_deref(), expected);
}

/// Control hosts of a host that is out of step: they have told it of version v1 and no longer answer its polls.
/// They answer its questions and know `versions`.
struct Controls {
    versions: Vec<String>,
    has_told: AtomicBool,
}

#[async_trait]
impl PeerCaller for Controls {
    async fn call(
        &self,
        _address: &str,
        _class: TrafficClass,
        call: Call,
        _timeout: Duration,
    ) -> Result<Reply, CallError> {
        let reply = match call.call {
            Some(call::Call::EntrySync(_)) if !self.has_told.swap(true, Ordering::AcqRel) => {
                let upstreams = vec![UpstreamEntry {
                    upstream_id: "a".to_owned(),
                    service: "engraver".to_owned(),
                    address: "10.0.0.9:80".to_owned(),
                    slots: 8,
                    phase: UpstreamPhase::Ready.into(),
                    started_at_unix_ms: 1,
                    sequence: 1,
                    revision: 1,
                    version: "v1".to_owned(),
                    ..UpstreamEntry::default()
                }];
                reply::Reply::ControlSync(ControlSync {
                    directory_epoch: 1,
                    directory_revision: 1,
                    uptime_ms: 60_000,
                    upstreams,
                    ..ControlSync::default()
                })
            }
            Some(call::Call::EntrySync(_)) => std::future::pending().await,
            _ => reply::Reply::FoundStreamOrigin(FoundStreamOrigin {
                versions: self.versions.clone(),
                ..FoundStreamOrigin::default()
            }),
        };
        Ok(Reply { reply: Some(reply) })
    }

    fn send(&self, _address: &str, _class: TrafficClass, _body: Body) {}
}

struct NoSync;

impl SyncHandler for NoSync {
    fn fill_request(&self, _to_address: &str, _sync: &mut EntrySync) {}

    fn handle_reply(&self, _from_address: &str, _reply: &ControlSync) {}
}

/// Guards against a host that was cut off or stood still while upstreams of a new version joined, and takes a stream
/// without a record for one of the only version that it knows; and against hosts that refuse all such streams.
#[rstest]
#[case::named_and_one_version(Some("begun"), &["v1"], Some("v1"))]
#[case::unnamed_and_one_version(None, &["v1"], Some("v1"))]
#[case::named_and_two_versions(Some("begun"), &["v1", "v2"], None)]
#[case::unnamed_and_two_versions(None, &["v1", "v2"], None)]
#[case::control_hosts_of_an_earlier_build(None, &[], None)]
fn a_host_out_of_step_does_not_go_by_its_own_view(
    #[case] resumes: Option<&str>,
    #[case] versions: &[&str],
    #[case] expected: Option<&str>,
) {
    task::block_on(async {
        let versions = set(versions).into_iter().collect();
        let caller = Arc::new(Controls { versions, has_told: AtomicBool::new(false) });
        let options = FleetWatchOptions {
            host_id: "entry-1".to_owned(),
            zone: "santander".to_owned(),
            zone_regions: [("santander".to_owned(), "cantabria".to_owned())].into(),
            seed_addresses: (1..=3).map(|number| format!("10.0.0.{number}:7")).collect(),
            own_address: "10.0.0.8:7".to_owned(),
            directory_timeout: Duration::from_secs(60),
            polls_all: true,
            leaving: Arc::<LeavingTable>::default(),
        };
        let watch = FleetWatch::spawn(options, caller.clone(), Arc::new(NoSync));
        let started = Instant::now();
        while watch.view().upstreams.is_empty() {
            assert!(started.elapsed() < Duration::from_secs(10), "the host hears of no upstream");
            task::sleep(Duration::from_millis(5)).await;
        }
        let counters = Counters::open("entry-1", None);
        let origins = FleetOrigins::spawn("cantabria", caller, watch, counters);
        let shares = vec![ServiceShare { service: "engraver".to_owned(), weight: 1 }];
        let route = Route { kind: RouteKind::Stream.into(), shares, ..Route::default() };
        let request = StreamRequest {
            request_id: "resumed".to_owned(),
            host: "shop.example".to_owned(),
            method: "POST".to_owned(),
            target: "/counter/x".to_owned(),
            headers: Headers::default(),
            body: Default::default(),
            caller_timeout: None,
            last_event_id: Some(3),
            resumes: resumes.map(str::to_owned),
            prompt: Prompt::default(),
            arrived: Instant::now(),
        };
        let found = origins.find(&request, &route).await;
        assert_eq!(found.map(|origin| origin.version).as_deref(), expected);
    });
}
