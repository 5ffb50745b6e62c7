//! Simulated fleets of gossip tables in virtual time, with network and host failures.
//!
//! `MEMBERSHIP_SEED` sets the first seed and `MEMBERSHIP_RUNS` the number of seeds:
//! `MEMBERSHIP_RUNS=50 cargo test --release --test membership_gossip -- --nocapture`

#[path = "support/fleet.rs"]
mod fleet;

use damaskhoist::membership::{AnnounceOutcome, Announcement, GossipTable, Status};
use fleet::{
    host_key, region, status, upstream_key, zone, Fleet, LEASE_MS, START_MS, TOMBSTONE_MS,
};
use rstest::rstest;

/// Runs a test with the given seed, or with the seeds that the environment variables select.
fn for_seeds(seed: u64, test: impl Fn(u64)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("MEMBERSHIP_SEED").unwrap_or(seed);
    for seed in first..first + number("MEMBERSHIP_RUNS").unwrap_or(1) {
        println!("MEMBERSHIP_SEED={seed}");
        test(seed);
    }
}

fn all_alive(table: &GossipTable) -> bool {
    table.store().iter().all(|(_, record)| record.version.status == Status::Alive)
}

fn has_status(key: damaskhoist::membership::Key, wanted: Status) -> impl Fn(&GossipTable) -> bool {
    move |table| status(table, &key) == Some(wanted)
}

fn as_leaving(announcement: Announcement) -> Announcement {
    Announcement { leaving: true, ..announcement }
}

/// Guards against hosts that do not discover each other when each knows only the seed hosts.
#[test]
fn hosts_discover_each_other_through_seeds() {
    for_seeds(1, |seed| {
        let mut fleet = Fleet::strangers(12, seed);
        let joined = fleet.run_until(5_000, |table| table.store().iter().count() == 12);
        assert!(joined.is_some());
        fleet.run(5_000);
        assert!(fleet.agrees());
    });
}

/// Guards against changes that spread too slowly, failures that are detected too late, and gossip
/// traffic above the bounds of the design page.
#[rstest]
#[case(12, 10)]
#[case(100, 250)]
#[case(340, 830)]
fn changes_spread_in_time(#[case] hosts: usize, #[case] upstreams: usize) {
    for_seeds(2, |seed| {
        let mut fleet = Fleet::new(hosts, upstreams, seed);
        let bytes = fleet.bytes;
        fleet.run(2_000);
        let bytes_per_s = 2 * (fleet.bytes - bytes) / (hosts as u64 * 2);
        assert!(bytes_per_s < 9_000, "{bytes_per_s} bytes/s sent and received by each host");
        fleet.announce(3, 3, as_leaving(fleet.announcement(3)));
        let spread_ms = fleet.run_until(2_000, has_status(upstream_key(3), Status::Leaving));
        assert!(spread_ms.is_some(), "a leaving notice must reach every host within 2 s");
        fleet.kill(7);
        // About 2 s for detection, plus the time for a notice to spread.
        let dead_ms = fleet.run_until(4_000, has_status(host_key(7), Status::Dead));
        assert!(dead_ms.is_some(), "a dead host must be known everywhere");
        println!("{hosts} hosts: {bytes_per_s} bytes/s, notice {spread_ms:?}, death {dead_ms:?}");
    });
}

/// Guards against live hosts that are declared dead, or stay dead after the network recovers, when
/// messages are lost, duplicated and reordered.
#[rstest]
#[case::light(0.02, 0.0, 25)]
#[case::heavy(0.2, 0.2, 400)]
fn lossy_network_leaves_no_false_state(
    #[case] loss: f64,
    #[case] doubled: f64,
    #[case] longest_delay_ms: u64,
) {
    for_seeds(3, |seed| {
        let mut fleet = Fleet::new(30, 40, seed);
        (fleet.loss, fleet.doubled, fleet.longest_delay_ms) = (loss, doubled, longest_delay_ms);
        for _ in 0..30 {
            fleet.run(1_000);
            let none_dead = |table: &GossipTable| {
                !table.store().iter().any(|(_, r)| r.version.status == Status::Dead)
            };
            assert!(
                loss > 0.1 || fleet.tables.iter().flatten().all(none_dead),
                "a live host is dead"
            );
        }
        (fleet.loss, fleet.doubled, fleet.longest_delay_ms) = (0.0, 0.0, 25);
        assert!(fleet.run_until(10_000, all_alive).is_some());
        fleet.run(5_000);
        assert!(fleet.agrees());
    });
}

/// Guards against live hosts that are declared dead when one direction between two hosts is cut, or
/// by a host that can send but not receive, receive but not send, or neither.
#[rstest]
#[case::one_link(|from, to| from == 1 && to == 2, false)]
#[case::receives_nothing(|_, to| to == 5, true)]
#[case::sends_nothing(|from, _| from == 5, true)]
#[case::fully_cut(|from, to| from == 5 || to == 5, true)]
fn partitioned_host_reports_no_live_host_dead(
    #[case] cut: fn(usize, usize) -> bool,
    #[case] dies: bool,
) {
    for_seeds(4, |seed| {
        let mut fleet = Fleet::new(30, 0, seed);
        fleet.cut = Box::new(cut);
        for _ in 0..150 {
            fleet.run(200);
            for (host, table) in fleet.tables.iter().flatten().enumerate() {
                let others = (0..30).filter(|other| *other != 5 && *other != host);
                let mut states = others.map(|other| status(table, &host_key(other)));
                assert!(states.all(|state| state != Some(Status::Dead)), "host {host} is wrong");
            }
        }
        let observer = fleet.tables[9].as_ref().expect("the host runs");
        assert_eq!(status(observer, &host_key(5)) == Some(Status::Dead), dies);
        fleet.cut = Box::new(|_, _| false);
        assert!(fleet.run_until(10_000, all_alive).is_some());
    });
}

/// Guards against an isolated host that shows an unreachable host as alive: in a fleet of two the
/// survivor can't tell a dead host from its own isolation, and would do so for ever.
#[test]
fn survivor_of_two_shows_the_other_as_dead() {
    let mut fleet = Fleet::new(2, 0, 5);
    fleet.kill(1);
    fleet.run(12_000);
    let view = fleet.views[0].as_ref().expect("the view changed");
    assert!(view.isolated);
    assert_eq!(view.hosts[1].status, Status::Dead);
}

/// Guards against hosts or upstreams of the other region that stay dead after a partition heals.
#[test]
fn region_split_heals_without_an_operator() {
    for_seeds(6, |seed| {
        let mut fleet = Fleet::new(36, 60, seed);
        fleet.cut = Box::new(|from, to| (region(from) == 0) != (region(to) == 0));
        fleet.run(60_000);
        for (host, table) in fleet.tables.iter().flatten().enumerate() {
            let is_far = |other: usize| (region(host) == 0) != (region(other) == 0);
            for other in 0..60 {
                let wanted = if is_far(other % 36) { Status::Dead } else { Status::Alive };
                assert_eq!(status(table, &upstream_key(other)), Some(wanted), "{host} {other}");
            }
        }
        fleet.cut = Box::new(|_, _| false);
        let healed_ms = fleet.run_until(15_000, all_alive);
        println!("healed after {healed_ms:?} ms");
        assert!(healed_ms.is_some());
        fleet.run(5_000);
        assert!(fleet.agrees());
    });
}

/// Guards against a delayed heartbeat that revives an upstream that is leaving, and against an
/// upstream that is rejected after a restart.
#[test]
fn late_heartbeat_does_not_revive_an_upstream() {
    for_seeds(7, |seed| {
        let mut fleet = Fleet::new(30, 40, seed);
        let late_heartbeat = fleet.announcement(3);
        fleet.announce(3, 3, as_leaving(fleet.announcement(3)));
        fleet.announce(3, 9, late_heartbeat);
        fleet.run(1_000);
        assert!(fleet.run_until(2_000, has_status(upstream_key(3), Status::Leaving)).is_some());
        let limit_ms = u64::from(LEASE_MS) + 3_000;
        assert!(fleet.run_until(limit_ms, has_status(upstream_key(3), Status::Left)).is_some());
        let mut restarted = fleet.announcement(3);
        restarted.record.announced_incarnation += 1;
        fleet.heartbeats = false;
        fleet.announce(3, 4, restarted);
        assert!(fleet.run_until(2_000, has_status(upstream_key(3), Status::Alive)).is_some());
    });
}

/// Guards against an upstream that stays alive without heartbeats, and one that stays dead after
/// its heartbeats resume.
#[test]
fn upstream_is_dead_until_its_heartbeats_resume() {
    for_seeds(8, |seed| {
        let mut fleet = Fleet::new(30, 40, seed);
        fleet.heartbeats = false;
        let limit_ms = u64::from(LEASE_MS) + 3_000;
        assert!(fleet.run_until(limit_ms, has_status(upstream_key(3), Status::Dead)).is_some());
        fleet.heartbeats = true;
        assert!(fleet.run_until(5_000, all_alive).is_some());
    });
}

/// Guards against an upstream that is rejected when it changes its home host repeatedly.
#[rstest]
#[case::numbered(1)]
#[case::unnumbered(0)]
fn upstream_moves_from_host_to_host(#[case] sequence_factor: u64) {
    let mut fleet = Fleet::new(12, 12, 12);
    fleet.heartbeats = false;
    for home in [4, 5, 6, 3] {
        fleet.run(2_000);
        for upstream in 0..12 {
            let mut announcement = fleet.announcement(upstream);
            announcement.sequence *= sequence_factor;
            assert_eq!(fleet.announce(upstream, home, announcement), AnnounceOutcome::Accepted);
        }
    }
    fleet.run(2_000);
    assert!(fleet.tables.iter().flatten().all(all_alive));
}

/// Guards against a restarted host whose new record loses to the one from before the restart, also
/// when its clock went back.
#[rstest]
#[case::soon(10, 5_000_000)]
#[case::after_its_death(5_000, 5_000_000)]
#[case::clock_went_back(5_000, 0)]
fn restarted_host_rejoins(#[case] pause_ms: u64, #[case] incarnation: u64) {
    for_seeds(9, |seed| {
        let mut fleet = Fleet::new(30, 40, seed);
        fleet.kill(3);
        fleet.run(pause_ms);
        fleet.start(3, incarnation);
        assert!(fleet.run_until(15_000, all_alive).is_some());
        fleet.run(5_000);
        assert!(fleet.agrees());
    });
}

/// Guards against survivors that are declared dead when a whole zone fails, against upstreams that
/// stay alive without a live home host, and against upstreams that are lost although they found a
/// new home host.
#[test]
fn zone_failure_leaves_survivors_alive() {
    for_seeds(10, |seed| {
        let mut fleet = Fleet::new(100, 100, seed);
        let failed = |host: usize| zone(host) == 3;
        (0..100).filter(|host| failed(*host)).for_each(|host| fleet.kill(host));
        for _ in 0..40 {
            fleet.run(100);
            for table in fleet.tables.iter().flatten() {
                let mut states = (0..100).filter(|host| !failed(*host)).map(host_key);
                assert!(states.all(|key| status(table, &key) != Some(Status::Dead)));
            }
        }
        fleet.announce(3, 4, fleet.announcement(3));
        fleet.run(u64::from(LEASE_MS) + 3_000);
        for table in fleet.tables.iter().flatten() {
            for other in 0..100 {
                let is_lost = failed(other) && other != 3;
                let wanted = if is_lost { Status::Dead } else { Status::Alive };
                assert_eq!(status(table, &upstream_key(other)), Some(wanted));
                let host = if failed(other) { Status::Dead } else { Status::Alive };
                assert_eq!(status(table, &host_key(other)), Some(host));
            }
        }
    });
}

/// Guards against expired tombstones that hosts keep restoring on each other through repairs.
#[test]
fn expired_tombstones_are_removed_everywhere() {
    let mut fleet = Fleet::new(12, 0, 11);
    let table = fleet.tables[4].as_mut().expect("the host runs");
    let leave_notices = table.leave(START_MS + 5_000);
    fleet.send(4, leave_notices);
    fleet.kill(4);
    assert!(fleet.run_until(2_000, has_status(host_key(4), Status::Left)).is_some());
    fleet.run(TOMBSTONE_MS + 2_000);
    assert!(fleet.tables.iter().flatten().all(|table| table.store().iter().count() == 11));
}
