//! Guards against batch items that are left lying without a trace of where they are and why.

mod scheduler_support;

use std::time::{Duration, Instant};

use damaskhoist::coordinator::{ItemPlace, WaitReason};
use damaskhoist::directory::UpstreamRecord;

use scheduler_support::{
    assign, job, leading_scheduler, upstream, upstream_of_version, with_scheduler_input,
    AFTER_START_DELAY,
};

/// An item that entered no table of the scheduler would wait for the next leader.
#[test]
fn an_audit_queues_items_that_the_scheduler_does_not_hold() {
    let start = Instant::now();
    let jobs = [job("j", 3)];
    let mut scheduler = leading_scheduler(start, &jobs);
    // A result that the ledger never got.
    scheduler.mark_finished("j", 1);
    let now = start + AFTER_START_DELAY;
    let audit =
        with_scheduler_input(&[upstream("a")], 0, now, |input| scheduler.audit(&jobs, input));
    assert_eq!(audit.missing, [("j".into(), 1)]);
    assert_eq!(assign(&mut scheduler, "e1", &[upstream("a")], now).len(), 3);
    let audit =
        with_scheduler_input(&[upstream("a")], 0, now, |input| scheduler.audit(&jobs, input));
    assert!(audit.missing.is_empty());
}

/// An item that waits although it could run was not to be told from one that waits for a slot.
#[test]
fn an_audit_names_items_that_wait_without_need() {
    let start = Instant::now();
    let jobs = [job("j", 1)];
    let late = start + Duration::from_secs(60);
    let audit_with = |upstreams: &[UpstreamRecord]| {
        let mut scheduler = leading_scheduler(start, &jobs);
        with_scheduler_input(upstreams, 0, late, |input| scheduler.audit(&jobs, input))
    };
    let reason = |upstreams: &[UpstreamRecord]| {
        let overdue = audit_with(upstreams).overdue;
        overdue.first().map(|item| (item.idle_time, item.place.clone()))
    };
    let waits = |reason| Some((Duration::from_secs(60), ItemPlace::Waits(reason)));
    assert_eq!(reason(&[]), waits(WaitReason::NoUpstream));
    assert_eq!(reason(&[upstream("a")]), waits(WaitReason::NextSync));
    let other = UpstreamRecord { service: "stock".into(), ..upstream("a") };
    assert_eq!(reason(&[other]), waits(WaitReason::NoUpstream));
    let full = UpstreamRecord { slots: 1, ..upstream_of_version("a", "v2") };
    assert_eq!(reason(std::slice::from_ref(&full)), None, "items wait on a busy fleet");
    assert_eq!(audit_with(&[full]).longest_idle_time, Duration::from_secs(60));
}

/// An item whose entry host lists it for good was not to be told from one that runs.
#[test]
fn an_audit_names_items_that_are_assigned_without_an_end() {
    let start = Instant::now();
    let jobs = [job("j", 1)];
    let mut scheduler = leading_scheduler(start, &jobs);
    let now = start + AFTER_START_DELAY;
    let assigned = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
    let late = now + Duration::from_secs(30);
    let audit =
        with_scheduler_input(&[upstream("a")], 0, late, |input| scheduler.audit(&jobs, input));
    let place = audit.overdue.first().map(|item| &item.place);
    assert_eq!(
        place,
        Some(&ItemPlace::Runs {
            assignment_id: assigned.assignment_id,
            host_id: "e1".into(),
            upstream_id: "a".into(),
            run_time: Duration::from_secs(30),
        })
    );
}

/// Guards against an audit that holds the leader's scheduler for long: it took over a second for 20,000 items.
#[test]
fn an_audit_of_many_items_is_short() {
    let start = Instant::now();
    let jobs = [job("j", 10_000), job("k", 10_000)];
    let mut scheduler = leading_scheduler(start, &jobs);
    let full = |id: usize| UpstreamRecord { slots: 1, ..upstream(&format!("u{id:03}")) };
    let upstreams: Vec<UpstreamRecord> = (0..400).map(full).collect();
    let late = start + Duration::from_secs(60);
    let began = Instant::now();
    let audit = with_scheduler_input(&upstreams, 0, late, |input| scheduler.audit(&jobs, input));
    assert_eq!(audit.longest_idle_time, Duration::from_secs(60));
    // A twentieth of the interval between audits, on a debug build ten times as slow.
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}
