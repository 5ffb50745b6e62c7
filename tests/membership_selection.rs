//! Selection of entry hosts, compared with a naive implementation. A longer, reproducible run:
//! `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=7 cargo test --release --test membership_selection`

#[path = "support/proptest_config.rs"]
mod proptest_config;

use std::collections::BTreeSet;
use std::sync::Arc;

use damaskhoist::membership::{select_entry_hosts, HostEntry, HostRecord, MembershipView, Status};
use proptest::collection::vec;
use proptest::prelude::*;

fn view(hosts: Vec<(usize, bool, Status)>) -> MembershipView {
    let entry = |(number, (zone, entry, status)): (usize, (usize, bool, Status))| HostEntry {
        record: Arc::new(HostRecord {
            host_id: format!("host-{number}"),
            zone: format!("zone-{zone}"),
            region: format!("region-{}", zone / 2),
            entry,
            ..Default::default()
        }),
        incarnation: 1,
        status,
    };
    let hosts = hosts.into_iter().enumerate().map(entry).collect();
    MembershipView { hosts, ..Default::default() }
}

/// Selectable hosts, grouped into the zone, its region and other regions.
fn naive_groups<'a>(view: &'a MembershipView, zone: &str) -> [Vec<&'a HostEntry>; 3] {
    let mut groups = [vec![], vec![], vec![]];
    let region = view.hosts.iter().find(|host| host.record.zone == zone);
    let region = region.map(|host| host.record.region.clone());
    for host in &view.hosts {
        if !host.record.entry || host.status != Status::Alive {
            continue;
        }
        if host.record.zone == zone {
            groups[0].push(host);
        } else if Some(&host.record.region) == region.as_ref() {
            groups[1].push(host);
        } else {
            groups[2].push(host);
        }
    }
    groups
}

fn zones(hosts: &[&HostEntry]) -> usize {
    hosts.iter().map(|host| &host.record.zone).collect::<BTreeSet<_>>().len()
}

proptest! {
    #![proptest_config(proptest_config::config())]

    /// Guards against selections with hosts that are too far away or not serving, or in only one
    /// zone.
    #[test]
    fn agrees_with_the_naive_version(
        hosts in vec(
            (0..5usize, any::<bool>(), prop::sample::select(vec![
                Status::Alive, Status::Alive, Status::Suspect, Status::Leaving, Status::Dead,
            ])),
            0..20,
        ),
        zone in 0..6usize,
        seed in any::<u64>(),
        limit in 0..8usize,
    ) {
        let (view, zone) = (view(hosts), format!("zone-{zone}"));
        let chosen = select_entry_hosts(&view, &zone, seed, limit);
        let groups = naive_groups(&view, &zone);
        let all = groups.concat();
        prop_assert_eq!(chosen.len(), all.len().min(limit));
        let ids: BTreeSet<_> = chosen.iter().map(|host| &host.record.host_id).collect();
        prop_assert_eq!(ids.len(), chosen.len());
        let group_of = |host: &HostEntry| groups.iter().position(|group| group.contains(&host));
        let order: Vec<_> = chosen.iter().map(|host| group_of(host)).collect();
        prop_assert!(order.iter().all(Option::is_some));
        prop_assert!(order.is_sorted());
        prop_assert_eq!(zones(&chosen).min(2), zones(&all).min(2).min(limit));
        // Only the last place may go to a host farther away, to cover a second zone.
        let nearest = groups[0].len().min(limit);
        let own_zone = order.iter().filter(|group| **group == Some(0)).count();
        prop_assert!(own_zone + 1 >= nearest, "{} of {}", own_zone, nearest);
        prop_assert_eq!(select_entry_hosts(&view, &zone, seed, limit), chosen);
    }
}

/// Guards against seeds that send all callers to the same host of a zone.
#[test]
fn seeds_spread_callers_over_a_zone() {
    let view = view(vec![(0, true, Status::Alive); 6]);
    let first = |seed| &select_entry_hosts(&view, "zone-0", seed, 3)[0].record.host_id;
    let mut counts = [0; 6];
    for seed in 0..6_000 {
        counts[first(seed)[5..].parse::<usize>().expect("host ids end in a number")] += 1;
    }
    assert!(counts.iter().all(|count| (800..1_200).contains(count)), "{counts:?}");
}
