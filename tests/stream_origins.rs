//! Guards against a stream that is continued at another software version than the one that began it, because
//! its origin was mixed up, forgotten too early or asked for at the wrong control hosts.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use damaskhoist::directory::{
    choose_asked, choose_keepers, request_hash, KnownOrigin, OriginKeeper, OriginTable,
    StreamOrigin,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

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
