//! Guards against batch items that run twice, are lost, or take slots from online requests.

mod scheduler_support;

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskhoist::coordinator::{ItemEnd, JobPlan, Scheduler, SchedulerInput, UpstreamShare};
use damaskhoist::directory::UpstreamRecord;
use damaskhoist::ledger::{Job, JobHead};
use damaskhoist::schema::ledger::FinishedItem;
use damaskhoist::schema::peer::{
    EntryHost, FailedItem, ItemAssignment, ItemReturn, ReturnItem, RunningItem, SlotPressure,
    UpstreamUse,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use scheduler_support::*;

/// Guards against batch items that occupy slots needed by the next online requests.
#[test]
fn batch_items_leave_a_slot_free() {
    let share = |online, batch| UpstreamShare { slots: 8, online, batch };
    assert_eq!(share(0, 0).free_batch_slots(), 7);
    assert_eq!(share(3, 4).free_batch_slots(), 0);
    assert_eq!(share(3, 4).excess_batch_items(), 0);
    assert_eq!(share(7, 0).free_batch_slots(), 0);
    assert_eq!(
        share(2, 6).excess_batch_items(),
        0,
        "items yield only to requests that need the slot"
    );
    assert_eq!(share(3, 6).excess_batch_items(), 1);
    assert_eq!(share(8, 2).excess_batch_items(), 2);
    assert_eq!(share(20, 1).excess_batch_items(), 1);
}

/// Guards against a new leader that starts items again which already run.
#[test]
fn a_new_leader_waits_for_reports_and_adopts_running_items() {
    let start = Instant::now();
    let jobs = [job("j", 1)];
    let mut scheduler = Scheduler::default();
    assert!(scheduler.set_leading(true, 100, start));
    assert!(!scheduler.set_leading(true, 100, start), "a term starts once");
    scheduler.reconcile(&jobs, start);
    scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 0), start);
    assert!(assign(&mut scheduler, "e1", &[upstream("a")], start).is_empty());
    let known = RunningItem { assignment_id: 7, job_id: "j".into(), item: 0, ..Default::default() };
    scheduler.apply_report(&entry_host("e1"), &sync_with(std::slice::from_ref(&known), 0), start);
    scheduler.adopt("e1", &[known], &jobs, start);
    assert!(assign(&mut scheduler, "e1", &[upstream("a")], start + AFTER_START_DELAY).is_empty());
}

/// Guards against an item that is lost because the answer with its assignment was lost.
#[test]
fn an_item_is_assigned_again_after_a_lost_answer() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let first = assign(&mut scheduler, "e1", &[upstream("a")], now);
    assert_eq!(first.len(), 1);
    scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 0), now);
    assert_eq!(assign(&mut scheduler, "e1", &[upstream("a")], now).len(), 1);
}

/// Guards against a burst of online requests that queues behind batch items, and against stopping
/// the same items twice: as many items yield as there are slots missing.
#[test]
fn batch_yields_to_online_requests() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 6)]);
    let now = start + AFTER_START_DELAY;
    let assigned = assign(&mut scheduler, "e1", &[upstream("a")], now);
    assert_eq!(assigned.len(), 6);
    let running: Vec<_> = assigned.iter().map(running_item).collect();
    scheduler.apply_report(&entry_host("e1"), &sync_with(&running, 5), now);
    let upstreams = [upstream("a")];
    let hosts = with_scheduler_input(&upstreams, 0, now, |input| scheduler.yield_slots(input));
    assert_eq!(hosts, HashSet::from(["e1".to_owned()]), "the entry host is notified");
    scheduler.apply_report(&entry_host("e1"), &sync_with(&running, 5), now);
    let again = with_scheduler_input(&upstreams, 0, now, |input| scheduler.yield_slots(input));
    assert!(again.is_empty(), "items that already yield are not counted again");
    assert_eq!(scheduler.take_due_stops("e1", now).len(), 3);
}

/// Guards against online requests that wait for the next report of their entry host: a pressure
/// notice between two reports makes batch items yield. Items that the host has already stopped are
/// counted.
#[test]
fn a_pressure_notice_makes_batch_items_yield() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 6)]);
    let now = start + AFTER_START_DELAY;
    let assigned = assign(&mut scheduler, "e1", &[upstream("a")], now);
    let upstreams = [upstream("a")];
    let uses = vec![UpstreamUse { upstream_id: "a".into(), online: 5, batch: 6 }];
    let yielded = vec![assigned[5].assignment_id];
    let pressure = SlotPressure { host_id: "e1".into(), uses, yielded: yielded.clone() };
    scheduler.apply_pressure(&pressure, now);
    let hosts = with_scheduler_input(&upstreams, 0, now, |input| scheduler.yield_slots(input));
    assert_eq!(hosts.len(), 1);
    let stops = scheduler.take_due_stops("e1", now);
    assert_eq!(stops.len(), 2, "three slots are needed, and one is already released");
    assert!(stops.iter().all(|stop| stop.assignment_id != yielded[0]));
}

/// Guards against entry hosts that act on a stale load because a change was not sent, or was sent
/// in an answer that was lost.
#[test]
fn entry_hosts_receive_each_change_of_the_load() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[]);
    let upstreams = [upstream("a")];
    let update_for_e2 = |scheduler: &mut Scheduler, known| {
        with_scheduler_input(&upstreams, 0, start, |input| {
            scheduler.uses_of_other_hosts("e2", known, input)
        })
    };
    scheduler.apply_report(&entry_host("e2"), &sync_with(&[], 0), start);
    scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 3), start);
    let first = update_for_e2(&mut scheduler, 0);
    assert!(first.complete);
    assert_eq!(first.uses[0].online, 3);
    let second = update_for_e2(&mut scheduler, first.revision);
    assert_eq!((second.complete, second.uses.len()), (false, 0), "nothing changed");
    scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 0), start);
    let third = update_for_e2(&mut scheduler, second.revision);
    assert_eq!((third.uses.len(), third.uses[0].online), (1, 0), "a drop to zero is sent as well");
    scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 2), start);
    update_for_e2(&mut scheduler, third.revision);
    let after_loss = update_for_e2(&mut scheduler, third.revision);
    assert!(after_loss.complete, "the previous answer was lost");
    assert_eq!(after_loss.uses[0].online, 2);
}

/// Guards against an overload that makes every job late: items of a late job are assigned after
/// those that can still meet their target.
#[test]
fn late_items_are_assigned_after_items_in_time() {
    let start = Instant::now();
    let fresh = job_submitted_at("fresh", 1, 20_000);
    let mut scheduler = leading_scheduler(start, &[job("late", 9), fresh]);
    let (now, upstreams) = (start + AFTER_START_DELAY, [upstream("a")]);
    let assigned =
        with_scheduler_input(&upstreams, 25_000, now, |input| scheduler.assign("e1", input));
    assert_eq!(assigned[0].job_id, "fresh");
    assert!(assigned[1..].iter().all(|it| it.job_id == "late"));
}

/// Guards against a run that starts without the progress of the previous one, and against an item
/// that is retried without limit.
#[test]
fn an_item_resumes_after_its_last_event_and_is_given_up_after_max_attempts() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let mut now = start + AFTER_START_DELAY;
    let first = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
    let mut returned = ReturnItem {
        assignment_id: first.assignment_id,
        job_id: "j".into(),
        item: 0,
        reason: ItemReturn::Interrupted.into(),
        text: Bytes::from_static(b"half"),
        last_event_id: 9,
        origin: Some(origin("v1")),
        ..ReturnItem::default()
    };
    assert_eq!(scheduler.handle_return(&returned, &|_| 2, now), ItemEnd::Waits);
    for expected in [ItemEnd::Waits, ItemEnd::GivenUp] {
        now += Duration::from_secs(5);
        scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 0), now);
        let next = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
        assert_eq!((&next.text[..], next.last_event_id), (&b"half"[..], 9));
        returned.assignment_id = next.assignment_id;
        returned.reason = ItemReturn::FailedAttempt.into();
        assert_eq!(scheduler.handle_return(&returned, &|_| 2, now), expected);
    }
}

/// Guards against lost progress: a report that was sent before the return of an item took effect
/// made the scheduler adopt the item as a run of an earlier leader, without its events.
#[test]
fn a_returned_item_is_not_adopted_from_a_late_report() {
    let start = Instant::now();
    let jobs = [job("j", 1)];
    let mut scheduler = leading_scheduler(start, &jobs);
    let now = start + AFTER_START_DELAY;
    let first = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
    let returned = ReturnItem {
        assignment_id: first.assignment_id,
        job_id: "j".into(),
        item: 0,
        reason: ItemReturn::Interrupted.into(),
        text: Bytes::from_static(b"half"),
        last_event_id: 9,
        origin: Some(origin("v1")),
        ..ReturnItem::default()
    };
    scheduler.handle_return(&returned, &|_| 2, now);
    let late_report = [running_item(&first)];
    let later = now + Duration::from_secs(1);
    scheduler.apply_report(&entry_host("e1"), &sync_with(&late_report, 0), later);
    scheduler.adopt("e1", &late_report, &jobs, later);
    let next = assign(&mut scheduler, "e1", &[upstream("a")], later).remove(0);
    assert_eq!((&next.text[..], next.last_event_id), (&b"half"[..], 9));
}

/// Returns an item that stopped after event 9 at an upstream of `version`.
fn return_after_nine_events(
    scheduler: &mut Scheduler,
    assignment: &ItemAssignment,
    version: &str,
    now: Instant,
) {
    let returned = ReturnItem {
        assignment_id: assignment.assignment_id,
        job_id: "j".into(),
        item: assignment.item,
        reason: ItemReturn::Yielded.into(),
        text: Bytes::from_static(b"half"),
        last_event_id: 9,
        origin: Some(origin(version)),
        ..ReturnItem::default()
    };
    assert_eq!(scheduler.handle_return(&returned, &|_| 2, now), ItemEnd::Waits);
}

/// Guards against a result whose text comes from two versions of the upstream software.
#[test]
fn an_item_is_continued_only_at_the_version_that_began_it() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let (old, new) = (upstream_of_version("a", "v1"), upstream_of_version("b", "v2"));
    let first = assign(&mut scheduler, "e1", std::slice::from_ref(&old), now).remove(0);
    let now = now + Duration::from_secs(1);
    return_after_nine_events(&mut scheduler, &first, "v1", now);
    let full = UpstreamRecord { slots: 1, ..old.clone() };
    assert!(assign(&mut scheduler, "e1", &[full, new.clone()], now).is_empty());
    let next = assign(&mut scheduler, "e1", &[old, new], now).remove(0);
    assert_eq!((next.upstream_id.as_str(), next.last_event_id), ("a", 9));
    assert_eq!(next.origin, Some(origin("v1")));
}

/// Guards against an item that waits for good for a version that has left, and one that then goes on in the
/// middle at another version.
#[test]
fn an_item_whose_version_has_left_starts_anew() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let first = assign(&mut scheduler, "e1", &[upstream_of_version("a", "v1")], now).remove(0);
    return_after_nine_events(&mut scheduler, &first, "v1", now);
    let next = assign(&mut scheduler, "e1", &[upstream_of_version("b", "v2")], now).remove(0);
    assert_eq!((&next.text[..], next.last_event_id, next.origin), (&b""[..], 0, None));
}

/// Guards against an item that waits for a slot of its version for longer than it would take to start anew.
#[test]
fn an_item_waits_for_its_version_as_long_as_it_has_run() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let old = upstream_of_version("a", "v1");
    let first = assign(&mut scheduler, "e1", std::slice::from_ref(&old), now).remove(0);
    let now = now + Duration::from_millis(700);
    return_after_nine_events(&mut scheduler, &first, "v1", now);
    let upstreams = [UpstreamRecord { slots: 1, ..old }, upstream_of_version("b", "v2")];
    assert!(assign(&mut scheduler, "e1", &upstreams, now + Duration::from_millis(690)).is_empty());
    let later = now + Duration::from_millis(710);
    let next = assign(&mut scheduler, "e1", &upstreams, later).remove(0);
    assert_eq!((next.upstream_id.as_str(), next.last_event_id), ("b", 0));
}

/// Guards against items that wait behind one whose version has no free slot.
#[test]
fn an_item_that_waits_for_its_version_holds_up_no_others() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 40)]);
    let now = start + AFTER_START_DELAY;
    let old = UpstreamRecord { slots: 30, ..upstream_of_version("a", "v1") };
    let first = assign(&mut scheduler, "e1", std::slice::from_ref(&old), now);
    assert_eq!(first.len(), 24);
    let now = now + Duration::from_secs(1);
    for assignment in &first {
        return_after_nine_events(&mut scheduler, assignment, "v1", now);
    }
    let full = UpstreamRecord { slots: 1, ..old };
    let assigned = assign(&mut scheduler, "e1", &[full, upstream_of_version("b", "v2")], now);
    assert_eq!(assigned.len(), 7);
    assert!(assigned.iter().all(|assignment| assignment.upstream_id == "b"));
}

/// Guards against events of an unknown version that are continued: those of a host of an earlier build.
#[test]
fn an_item_without_an_origin_starts_anew() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let first = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
    let returned = ReturnItem {
        assignment_id: first.assignment_id,
        job_id: "j".into(),
        reason: ItemReturn::Yielded.into(),
        text: Bytes::from_static(b"half"),
        last_event_id: 9,
        ..ReturnItem::default()
    };
    scheduler.handle_return(&returned, &|_| 2, now);
    let next = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
    assert_eq!((&next.text[..], next.last_event_id), (&b""[..], 0));
}

/// Guards against progress that is lost in a leader change: an item that an earlier leader assigned
/// is returned to the new leader.
#[test]
fn progress_survives_a_leader_change() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let returned = ReturnItem {
        assignment_id: 3,
        job_id: "j".into(),
        item: 0,
        reason: ItemReturn::Interrupted.into(),
        text: Bytes::from_static(b"half"),
        last_event_id: 9,
        origin: Some(origin("v1")),
        ..ReturnItem::default()
    };
    assert_eq!(scheduler.handle_return(&returned, &|_| 2, start), ItemEnd::Unknown);
    let next = assign(&mut scheduler, "e1", &[upstream("a")], start + AFTER_START_DELAY).remove(0);
    assert_eq!((&next.text[..], next.last_event_id), (&b"half"[..], 9));
}

/// Guards against items that run on two entry hosts at once or never: applies random reports, lost
/// answers, returns and results, and checks the items that the hosts run.
#[test]
fn each_item_runs_on_one_host_at_a_time_and_all_finish() {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut job = Job::clone(&job("j", 12));
        let upstreams = [upstream("a"), upstream("b")];
        let mut scheduler = leading_scheduler(now, &[Arc::new(job.clone())]);
        let mut held: HashMap<&str, Vec<RunningItem>> = HashMap::new();
        for _ in 0..4_000 {
            now += Duration::from_millis(random.random_range(20..120));
            if job.has_ended() {
                break;
            }
            scheduler.reconcile(&[Arc::new(job.clone())], now);
            let host = ["e1", "e2"][random.random_range(0..2)];
            let host_items = held.entry(host).or_default();
            let online = random.random_range(0..10);
            scheduler.apply_report(&entry_host(host), &sync_with(host_items, online), now);
            with_scheduler_input(&upstreams, 0, now, |input| scheduler.yield_slots(input));
            let assigned = assign(&mut scheduler, host, &upstreams, now);
            // One answer in five is lost before it reaches the host.
            if random.random_range(0..5) > 0 {
                host_items.extend(assigned.iter().map(running_item));
            }
            let all: Vec<u32> = held.values().flatten().map(|it| it.item).collect();
            let distinct: HashSet<u32> = all.iter().copied().collect();
            assert_eq!(all.len(), distinct.len(), "seed {seed}: an item runs twice");
            let host_items = held.entry(host).or_default();
            if host_items.is_empty() {
                continue;
            }
            let item = host_items.remove(random.random_range(0..host_items.len()));
            if random.random_range(0..3) > 0 {
                let result =
                    FinishedItem { job_id: "j".into(), item: item.item, ..Default::default() };
                job.finish(result);
                scheduler.mark_finished("j", item.item);
                continue;
            }
            let returned = ReturnItem {
                assignment_id: item.assignment_id,
                job_id: "j".into(),
                item: item.item,
                reason: ItemReturn::NotRun.into(),
                ..ReturnItem::default()
            };
            scheduler.handle_return(&returned, &|_| 3, now);
        }
        assert!(job.has_ended(), "seed {seed}: unfinished items remain");
    }
}

/// Guards against an item that is never placed again after upstreams crashed under it.
#[test]
fn an_item_is_placed_again_after_any_number_of_crashes() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let upstreams = [upstream("a"), upstream("b")];
    let mut now = start + AFTER_START_DELAY;
    for crash in 0..30 {
        let assigned = assign(&mut scheduler, "e1", &upstreams, now);
        assert_eq!(assigned.len(), 1, "not placed after {crash} crashes");
        let returned = ReturnItem {
            assignment_id: assigned[0].assignment_id,
            job_id: "j".into(),
            item: 0,
            reason: ItemReturn::Interrupted.into(),
            ..ReturnItem::default()
        };
        assert_eq!(scheduler.handle_return(&returned, &|_| 3, now), ItemEnd::Waits);
        now += Duration::from_secs(5);
        scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 0), now);
    }
}

/// Guards against a leader whose work for one sync call grows with the items that wait.
#[test]
fn the_routes_are_asked_once_for_each_job() {
    let start = Instant::now();
    let jobs: Vec<Arc<Job>> = (0..200).map(|number| job(&format!("j{number}"), 10)).collect();
    let mut scheduler = leading_scheduler(start, &jobs);
    let lookups = Cell::new(0);
    let plan = |job: &JobHead| {
        lookups.set(lookups.get() + 1);
        JobPlan { services: vec!["engraver".to_owned()], due_unix_ms: job.submitted_at_unix_ms }
    };
    let upstreams = [upstream("a")];
    let now = start + AFTER_START_DELAY;
    for routes_version in [1, 1, 1, 2] {
        scheduler.assign(
            "e1",
            &SchedulerInput {
                upstreams: &upstreams,
                routes_version,
                plan: &plan,
                now_unix_ms: 1,
                now,
            },
        );
    }
    assert!(lookups.get() <= 400, "{} lookups under two versions of the routes", lookups.get());
}

/// Guards against jobs that the ledger has to copy for each result, because the scheduler holds them.
#[test]
fn the_scheduler_holds_no_job() {
    let start = Instant::now();
    let jobs = [job("j", 10)];
    let mut scheduler = leading_scheduler(start, &jobs);
    assign(&mut scheduler, "e1", &[upstream("a")], start + AFTER_START_DELAY);
    assert_eq!(Arc::strong_count(&jobs[0]), 1);
}

/// Guards against an item that nobody runs any more and that has no result: the entry host reports the end
/// of an item again when the command that gives it up was not applied.
#[test]
fn an_item_is_given_up_until_the_ledger_says_so() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let assigned = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
    let failed = ReturnItem {
        assignment_id: assigned.assignment_id,
        job_id: "j".into(),
        reason: ItemReturn::FailedAttempt.into(),
        ..ReturnItem::default()
    };
    assert_eq!(scheduler.handle_return(&failed, &|_| 1, now), ItemEnd::GivenUp);
    assert_eq!(scheduler.handle_return(&failed, &|_| 1, now), ItemEnd::GivenUp);
    scheduler.mark_finished("j", 0);
    assert_eq!(scheduler.handle_return(&failed, &|_| 1, now), ItemEnd::Unknown);
    assert_eq!(scheduler.item_counts(), (0, 0));
}

fn failed_item(attempts: u32) -> FailedItem {
    FailedItem { job_id: "j".into(), item: 0, attempts }
}

/// Guards against an item that is given up too early, as an attempt counts with its report and again with its return, or too
/// late, as a new leader or a restarted entry host counts from zero.
#[test]
fn each_failed_attempt_of_an_item_counts_once() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let assigned = assign(&mut scheduler, "e1", &[upstream("a")], now).remove(0);
    let restarted = EntryHost { started_at_unix_ms: 9, ..entry_host("e2") };
    for host in [entry_host("e2"), entry_host("e2"), restarted, entry_host("e1")] {
        let given_up = scheduler.apply_failures(&host, &[failed_item(1)], &|_| 5, now);
        assert!(given_up.is_empty(), "{given_up:?}");
    }
    let mut failed = ReturnItem {
        assignment_id: assigned.assignment_id,
        job_id: "j".into(),
        reason: ItemReturn::FailedAttempt.into(),
        failed_attempts: 1,
        ..ReturnItem::default()
    };
    assert_eq!(scheduler.handle_return(&failed, &|_| 4, now), ItemEnd::Waits);
    let later = now + Duration::from_secs(1);
    scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 0), later);
    let again = assign(&mut scheduler, "e1", &[upstream("a")], later).remove(0);
    assert_eq!(again.failed_attempts, 1, "the entry host may have forgotten it");
    (failed.assignment_id, failed.failed_attempts) = (again.assignment_id, 2);
    assert_eq!(scheduler.handle_return(&failed, &|_| 4, later), ItemEnd::GivenUp);
}

/// Guards against an item that has used up its attempts under earlier leaders, and runs once more under each new one.
#[test]
fn a_new_leader_gives_up_an_item_without_attempts_left() {
    let start = Instant::now();
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let now = start + AFTER_START_DELAY;
    let mut give_up = |host: &str, now| {
        scheduler.apply_failures(&entry_host(host), &[failed_item(1)], &|_| 2, now)
    };
    assert!(give_up("e1", now).is_empty());
    assert_eq!(give_up("e2", now), [("j".to_owned(), 0)]);
    assert!(give_up("e2", now).is_empty(), "once in a while is enough");
    assert!(assign(&mut scheduler, "e1", &[upstream("a")], now).is_empty());
    let later = now + Duration::from_secs(1);
    let again = scheduler.apply_failures(&entry_host("e2"), &[failed_item(1)], &|_| 2, later);
    assert_eq!(again, [("j".to_owned(), 0)], "the commit may have failed");
}

/// Guards against an item that its entry host refuses each time, and whose wait begins anew with each refusal.
#[test]
fn an_item_that_is_refused_without_end_starts_anew_elsewhere() {
    let start = Instant::now();
    let mut now = start + AFTER_START_DELAY;
    let mut scheduler = leading_scheduler(start, &[job("j", 1)]);
    let upstreams = [upstream("a"), upstream_of_version("b", "v2")];
    let first = assign(&mut scheduler, "e1", &upstreams[..1], now).remove(0);
    now += Duration::from_secs(8);
    return_after_nine_events(&mut scheduler, &first, "v1", now);
    let until = now + Duration::from_secs(20);
    while now < until {
        scheduler.apply_report(&entry_host("e1"), &sync_with(&[], 0), now);
        let assigned = assign(&mut scheduler, "e1", &upstreams, now);
        if assigned.iter().any(|assignment| assignment.upstream_id == "b") {
            return;
        }
        for assignment in &assigned {
            // The host knows another version of the upstream, so the upstream never has the item.
            let refused = ReturnItem {
                assignment_id: assignment.assignment_id,
                job_id: "j".into(),
                reason: ItemReturn::NotRun.into(),
                text: assignment.text.clone(),
                last_event_id: assignment.last_event_id,
                origin: assignment.origin.clone(),
                ..ReturnItem::default()
            };
            scheduler.handle_return(&refused, &|_| 3, now);
        }
        now += Duration::from_millis(100);
    }
    panic!("for 20 s the item was assigned only where it is refused");
}

/// Guards against items that no upstream can run now, whose job is older, and that keep all others from
/// free slots.
#[test]
fn items_without_a_place_hold_up_no_others() {
    let start = Instant::now();
    let now = start + AFTER_START_DELAY;
    let jobs = [job_submitted_at("stock", 30, 1), job_submitted_at("sheets", 1, 2)];
    let mut scheduler = leading_scheduler(start, &jobs);
    let plan = |job: &JobHead| JobPlan {
        services: vec![if &*job.job_id == "stock" { "stock" } else { "engraver" }.to_owned()],
        due_unix_ms: 18_000,
    };
    let (routes_version, now_unix_ms) = (1, 0);
    let mut assign = |upstreams: &[UpstreamRecord]| {
        let input = SchedulerInput { upstreams, routes_version, plan: &plan, now_unix_ms, now };
        scheduler.assign("e1", &input)
    };
    let assigned = assign(&[upstream("a")]);
    assert_eq!(assigned.len(), 1, "the upstream has seven free slots and one item for them");
    let stock = UpstreamRecord { service: "stock".into(), slots: 2, ..upstream("b") };
    scheduler = leading_scheduler(start, &jobs);
    let mut assign = |upstreams: &[UpstreamRecord]| {
        let input = SchedulerInput { upstreams, routes_version, plan: &plan, now_unix_ms, now };
        scheduler.assign("e1", &input)
    };
    assert_eq!(assign(&[upstream("a"), stock]).len(), 2, "one free slot holds up no other service");
}

/// Guards against an item that falls out of the scheduler because a new assignment gets the id of an adopted
/// one: ids of a new term are above those of earlier terms only if the clocks of the control hosts agree.
#[test]
fn a_new_assignment_never_replaces_an_adopted_one() {
    let start = Instant::now();
    let now = start + AFTER_START_DELAY;
    let jobs = [job("j", 3)];
    let mut scheduler = leading_scheduler(start, &jobs);
    let adopted =
        RunningItem { assignment_id: 102, job_id: "j".into(), item: 0, upstream_id: "a".into() };
    scheduler.apply_report(&entry_host("e1"), &sync_with(std::slice::from_ref(&adopted), 0), now);
    scheduler.adopt("e1", &[adopted], &jobs, now);
    assert_eq!(assign(&mut scheduler, "e1", &[upstream("a")], now).len(), 2);
    assert_eq!(scheduler.item_counts(), (0, 3));
}
