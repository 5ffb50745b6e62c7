//! The order in which items are leased.

mod state_support;

use std::collections::BTreeMap;

use damaskhoist::schema::config::{edit, Customer};
use damaskhoist::schema::state::{FinishVerdict, ItemEnd, JobState, LeasedItem};
use rstest::rstest;
use state_support::{change, Replica};

fn replica_with_weights(weights: &[(&str, u32)]) -> Replica {
    let replica = Replica::open();
    let put = |(name, weight): &(&str, u32)| {
        let (name, weight) = (name.to_string(), Some(*weight));
        edit::Edit::PutCustomer(Customer { name, weight, ..Customer::default() })
    };
    replica.submit(change(0, weights.iter().map(put).collect()));
    replica
}

fn by_customer(items: &[LeasedItem]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item.customer.as_str()).or_default() += 1;
    }
    counts
}

/// Guards against one customer's large jobs taking the capacity of the others, at any batch size.
#[rstest]
fn customers_get_items_by_weight(#[values(1, 7, 64)] batch: u32) {
    let mut replica = replica_with_weights(&[("ana", 1), ("bea", 2), ("cruz", 7)]);
    replica.create_job("ana", "ana-large", 5_000);
    replica.create_job("bea", "bea-1", 600);
    replica.create_job("bea", "bea-2", 600);
    replica.create_job("cruz", "cruz-1", 2_000);
    let mut leased = Vec::new();
    while leased.len() < 1_000 {
        leased.extend(replica.lease(batch.min(1_000 - leased.len() as u32)));
        if leased.len() % 5 == 0 {
            replica.move_to_other_replica();
        }
    }
    for (customer, share) in [("ana", 100), ("bea", 200), ("cruz", 700)] {
        let got = by_customer(&leased)[customer];
        assert!(got.abs_diff(share) <= 1, "{customer} got {got} of 1000 instead of {share}");
    }
}

/// Guards against capacity left idle while someone has work, and against a customer that idled
/// taking everything when it comes back.
#[test]
fn shares_are_of_what_is_waiting() {
    let replica = replica_with_weights(&[("ana", 1), ("bea", 1)]);
    replica.create_job("ana", "ana-1", 2_000);
    assert_eq!(replica.lease(500).len(), 500);
    replica.create_job("bea", "bea-1", 100);
    let both = replica.lease(100);
    assert!(by_customer(&both)["bea"].abs_diff(50) <= 1, "{:?}", by_customer(&both));
    assert_eq!(replica.lease(1_000).len(), 1_000);
}

/// Guards against a late deadline before an early one, and an unstable order of equal ones.
#[test]
fn earlier_deadlines_go_first_then_job_ids() {
    let replica = Replica::open();
    replica.create_job_for("ana", "none", 1, "draft", 0);
    replica.create_job_for("ana", "late", 1, "draft", 9_000_000);
    replica.create_job_for("ana", "equal-b", 1, "draft", 5_000_000);
    replica.create_job_for("ana", "equal-a", 1, "draft", 5_000_000);
    let order: Vec<String> =
        replica.lease(4).into_iter().map(|item| item.attempt.unwrap().job_id).collect();
    assert_eq!(order, ["equal-a", "equal-b", "late", "none"]);
}

/// Guards against items for which the holder has no slots, and one service hiding another.
#[test]
fn only_asked_services_are_leased_and_take_turns() {
    let replica = Replica::open();
    replica.create_job_for("ana", "draft-1", 50, "draft", 1);
    replica.create_job_for("ana", "sheet-1", 50, "sheet", 2);
    replica.create_job_for("ana", "other-1", 50, "other", 3);
    assert!(replica.lease_for(10, &["none"]).is_empty());
    let leased = replica.lease_for(20, &["draft", "sheet", "draft"]);
    let drafts = leased.iter().filter(|item| item.service == "draft").count();
    assert_eq!((leased.len(), drafts), (20, 10));
    assert_eq!(replica.lease(1_000).len(), 130);
}

/// Guards against items that always fail holding up the rest of their job or never ending.
#[test]
fn impossible_items_go_last_and_end() {
    let replica = Replica::open();
    replica.create_job("ana", "job-1", 100);
    let mut ends = Vec::new();
    while replica.job("job-1").state() == JobState::InProgress {
        let leased = replica.lease(1).remove(0);
        let item = leased.attempt.as_ref().unwrap().item;
        let end = if item < 3 { ItemEnd::AttemptFailed } else { ItemEnd::Succeeded };
        assert_eq!(replica.finish(&leased, end), FinishVerdict::Accepted);
        ends.push(item);
    }
    assert_eq!(ends.len(), 103);
    assert_eq!(ends[100..], [0, 1, 2]);
    let job = replica.job("job-1");
    assert_eq!((job.succeeded, job.failed), (97, 3));
}
