//! Guards against lookups that send all callers to the same entry hosts, or to none near them.

use std::collections::HashSet;
use std::sync::Arc;

use damaskhoist::directory::choose_entries;
use damaskhoist::schema::peer::EntryHost;
use rstest::rstest;

const LIMIT: usize = 64;

fn hosts(zone: &str, region: &str, count: usize) -> Vec<Arc<EntryHost>> {
    let host = |number| EntryHost {
        host_id: format!("{zone}-{number}"),
        zone: zone.into(),
        region: region.into(),
        ready: true,
        ..EntryHost::default()
    };
    (0..count).map(|number| Arc::new(host(number))).collect()
}

fn lookup<'a>(entries: &'a [Arc<EntryHost>], caller: &str) -> Vec<&'a str> {
    let chosen = choose_entries(entries, "santander", "cantabria", caller, LIMIT);
    chosen.into_iter().map(|entry| entry.host_id.as_str()).collect()
}

#[rstest]
#[case::in_the_zone(5, "santander")]
#[case::in_the_region(1, "torrelavega")]
fn callers_are_sent_to_hosts_near_them(#[case] in_zone: usize, #[case] zone: &str) {
    let mut entries = hosts("santander", "cantabria", in_zone);
    entries.extend(hosts("torrelavega", "cantabria", 3));
    entries.extend(hosts("pamplona", "navarra", 9));
    let chosen = lookup(&entries, "10.9.0.1");
    assert!(chosen.iter().any(|host| host.starts_with(zone)), "{chosen:?}");
    assert!(chosen.iter().all(|host| !host.starts_with("pamplona")), "{chosen:?}");
    let far = hosts("pamplona", "navarra", 3);
    assert_eq!(lookup(&far, "10.9.0.1").len(), 3, "better far away than nowhere");
}

/// More hosts than a lookup may name: each of them gets callers, and each caller keeps its hosts.
#[test]
fn all_hosts_of_a_large_zone_are_named() {
    let entries = hosts("santander", "cantabria", 200);
    let mut named = HashSet::new();
    for caller in 0..60 {
        let caller = format!("10.9.0.{caller}");
        let chosen = lookup(&entries, &caller);
        assert_eq!(chosen.iter().collect::<HashSet<_>>().len(), LIMIT);
        assert_eq!(chosen, lookup(&entries, &caller), "the hosts of {caller} changed");
        let without_one: Vec<Arc<EntryHost>> =
            entries.iter().filter(|entry| entry.host_id != chosen[0]).cloned().collect();
        let kept = lookup(&without_one, &caller);
        assert!(chosen[1..].iter().all(|host| kept.contains(host)), "{caller} has to move");
        named.extend(chosen);
    }
    assert_eq!(named.len(), 200);
}
