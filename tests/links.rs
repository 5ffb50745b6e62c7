//! Guards against a host that takes upstreams that crash, are released or are cut off from some hosts for its
//! own lost links, and against one that does not notice that it is cut off.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use damaskhoist::links::{judge_links, judge_return, LinkFailures, LinkVerdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn upstreams(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("10.0.0.{number}:80")).collect()
}

fn first(count: usize) -> HashSet<String> {
    upstreams(count).into_iter().collect()
}

#[rstest]
#[case::reaches_all(8, 8, &[8], LinkVerdict::Sound)]
#[case::half_have_crashed(8, 4, &[4, 4], LinkVerdict::Sound)]
#[case::half_are_cut_off_from_this_host(8, 4, &[8], LinkVerdict::Sound)]
#[case::reaches_none_and_others_all(8, 0, &[8, 0], LinkVerdict::Lost)]
#[case::reaches_one_and_another_host_most(8, 1, &[6], LinkVerdict::Lost)]
#[case::all_have_crashed(8, 0, &[0, 0, 0], LinkVerdict::Unknown)]
#[case::most_have_crashed(8, 1, &[2, 2], LinkVerdict::Unknown)]
#[case::no_host_answers(8, 0, &[], LinkVerdict::Unknown)]
#[case::a_single_upstream_that_others_reach(1, 0, &[1], LinkVerdict::Lost)]
#[case::no_upstreams(0, 0, &[0], LinkVerdict::Sound)]
fn the_links_are_lost_only_if_others_reach_what_this_host_does_not(
    #[case] checked: usize,
    #[case] reached: usize,
    #[case] others: &[usize],
    #[case] verdict: LinkVerdict,
) {
    let others: Vec<HashSet<String>> = others.iter().map(|count| first(*count)).collect();
    assert_eq!(judge_links(&upstreams(checked), &first(reached), &others), verdict);
}

/// A host and others that see the same crashed upstreams must never differ by its links.
#[test]
fn a_wave_of_crashes_that_all_hosts_see_is_never_taken_for_lost_links() {
    for seed in 0..2_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let checked = upstreams(random.random_range(1..=8));
        let alive: HashSet<String> =
            checked.iter().filter(|_| random.random_bool(0.3)).cloned().collect();
        let others: Vec<HashSet<String>> = (0..random.random_range(0..6))
            .map(|_| alive.iter().filter(|_| random.random_bool(0.9)).cloned().collect())
            .collect();
        assert_ne!(judge_links(&checked, &alive, &others), LinkVerdict::Lost, "seed {seed}");
    }
}

#[test]
fn links_are_back_once_half_of_the_upstreams_are_reached() {
    assert!(judge_return(&upstreams(8), &first(4)));
    assert!(!judge_return(&upstreams(8), &first(3)));
    assert!(!judge_return(&[], &first(0)));
}

#[test]
fn one_upstream_that_fails_again_and_again_is_not_suspicious() {
    let (mut failures, now) = (LinkFailures::default(), Instant::now());
    for _ in 0..10 {
        failures.record("a", now);
    }
    assert!(!failures.are_suspicious(now));
    failures.record("b", now + Duration::from_millis(900));
    assert!(failures.are_suspicious(now + Duration::from_millis(950)));
    assert!(!failures.are_suspicious(now + Duration::from_millis(1_100)));
}
