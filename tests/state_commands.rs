//! Commands and reads of the replicated state, one rule each.

mod state_support;

use std::sync::Arc;

use damaskhoist::schema::config::{edit, Configuration, Customer, Policy, Service};
use damaskhoist::schema::state::command::Command as Kind;
use damaskhoist::schema::state::outcome::Outcome;
use damaskhoist::schema::state::query::Query as Read;
use damaskhoist::schema::state::query_answer::Answer as Found;
use damaskhoist::schema::state::*;
use rstest::rstest;
use state_support::{change, refused, Replica};

fn put_service(base_version: u64, name: &str) -> Kind {
    let service = Service { name: name.to_owned(), ..Service::default() };
    change(base_version, vec![edit::Edit::PutService(service)])
}

/// Guards against two operators under equal numbers both winning, and against a resend losing.
#[test]
fn one_of_two_racing_operators_wins_and_its_resend_gets_the_first_answer() {
    let mut replica = Replica::open();
    let won = Outcome::ConfigurationChanged(ConfigurationChanged { version: 1 });
    assert_eq!(replica.submit_as("first", put_service(0, "a")), won);
    let (code, message) = refused(replica.submit_as("second", put_service(0, "b")));
    assert_eq!(code, RefusalCode::VersionConflict);
    assert!(message.contains("version 1") && message.contains("first"), "{message}");
    replica.submit_as("third", put_service(1, "b"));
    replica.move_to_other_replica();
    assert_eq!(replica.submit_as("first", put_service(0, "a")), won);
    let (code, _) = refused(replica.submit_as("first", put_service(2, "c")));
    assert_eq!(code, RefusalCode::KeyConflict);
    assert_eq!(replica.state.configuration().version, 2);
}

/// Guards against an operator having to repair a change one fault at a time.
#[test]
fn all_faults_of_a_change_are_named() {
    let customer = Customer { name: "ana".into(), weight: Some(0), ..Customer::default() };
    let policy = Policy { batch_yield: Some(101), ..Policy::default() };
    let edits = vec![
        edit::Edit::PutCustomer(customer),
        edit::Edit::PutPolicy(policy),
        edit::Edit::DeleteService("none".into()),
        edit::Edit::PutService(Service { name: "white space".into(), ..Service::default() }),
    ];
    let (code, message) = refused(Replica::open().submit(change(0, edits)));
    assert_eq!(code, RefusalCode::Invalid);
    for part in ["weight is 0", "batch_yield is 101", "\"none\"", "\"white space\""] {
        assert!(message.contains(part), "{part} is not in {message}");
    }
}

/// Guards against a host missing a change that comes while it begins to wait.
#[test]
fn a_waiter_gets_the_next_configuration() {
    let replica = Replica::open();
    let waiter = replica.state.configuration_changed(0);
    replica.submit(put_service(0, "a"));
    let configuration: Arc<Configuration> = async_std::task::block_on(waiter);
    assert_eq!(configuration.version, 1);
    assert_eq!(*configuration, *replica.state.configuration());
}

/// Guards against a resent job running twice, and against one key hiding another request.
#[test]
fn a_job_is_accepted_once_under_its_key() {
    let mut replica = Replica::open();
    replica.create_job("ana", "job-1", 3);
    let resend = |job_id: &str, fingerprint: u8| {
        Kind::CreateJob(CreateJob {
            customer: "ana".into(),
            job_id: job_id.into(),
            idempotency_key: "key-job-1".into(),
            fingerprint: vec![fingerprint].into(),
            file_id: "file-job-1".into(),
            service: "draft".into(),
            ..CreateJob::default()
        })
    };
    let existing = JobCreated { job_id: "job-1".into(), items: 3, existed: true };
    assert_eq!(replica.submit(resend("job-2", 1)), Outcome::JobCreated(existing.clone()));
    let (code, message) = refused(replica.submit(resend("job-2", 2)));
    assert_eq!(code, RefusalCode::KeyConflict);
    assert!(message.contains("key-job-1") && message.contains("job job-1"), "{message}");

    let job = CancelJob { customer: "ana".into(), job_id: "job-1".into() };
    replica.submit(Kind::CancelJob(job));
    replica.submit(Kind::DeleteJob(DeleteJob { customer: "ana".into(), job_id: "job-1".into() }));
    replica.move_to_other_replica();
    assert_eq!(replica.submit(resend("job-3", 1)), Outcome::JobCreated(existing));
    assert!(replica.lease(1).is_empty());
}

/// Guards against late and double completions changing a result, and against lost items.
#[test]
fn an_item_finishes_once_and_attempts_are_bounded() {
    let mut replica = Replica::open();
    replica.create_job("ana", "job-1", 2);
    let first = replica.lease(2);
    assert_eq!(first[0].custom_id, "job-1-0");
    assert_eq!(replica.finish(&first[0], ItemEnd::Succeeded), FinishVerdict::Accepted);
    assert_eq!(replica.finish(&first[0], ItemEnd::Failed), FinishVerdict::Duplicate);

    replica.now_ms += 5_000;
    assert_eq!(replica.finish(&first[1], ItemEnd::Succeeded), FinishVerdict::StaleAttempt);
    let second = replica.lease(2);
    assert_eq!(second.len(), 1);
    assert_eq!(replica.finish(&second[0], ItemEnd::Yielded), FinishVerdict::Accepted);
    replica.move_to_other_replica();
    let third = replica.lease(2);
    assert_eq!(third[0].progress, "result of job-1-1");
    assert_eq!(replica.finish(&second[0], ItemEnd::Succeeded), FinishVerdict::StaleAttempt);
    assert_eq!(replica.finish(&third[0], ItemEnd::AttemptFailed), FinishVerdict::Accepted);

    let job = replica.job("job-1");
    assert_eq!((job.state(), job.succeeded, job.failed), (JobState::Completed, 1, 1));
    let items = replica.items("job-1");
    assert_eq!(items[0].body, "result of job-1-0");
    assert_eq!(items[1].state(), ItemState::ItemFailed);
}

/// Guards against a cancelled job's items running on or being leased again.
#[test]
fn cancel_is_final() {
    let replica = Replica::open();
    replica.create_job("ana", "job-1", 4);
    let leased = replica.lease(3);
    assert_eq!(replica.finish(&leased[0], ItemEnd::Succeeded), FinishVerdict::Accepted);
    let cancel = || {
        let cancel = CancelJob { customer: "ana".into(), job_id: "job-1".into() };
        replica.submit(Kind::CancelJob(cancel))
    };
    let cancelled = JobCancelled { state: JobState::JobCancelledState.into() };
    assert_eq!(cancel(), Outcome::JobCancelled(cancelled));
    assert!(replica.lease(4).is_empty());
    let attempts: Vec<ItemAttempt> =
        leased[1..].iter().map(|item| item.attempt.clone().unwrap()).collect();
    let renew = RenewItems {
        holder: "host-1".into(),
        lease_ms: 5_000,
        items: attempts.clone(),
        ..RenewItems::default()
    };
    let lost = ItemsRenewed { lost: attempts };
    assert_eq!(replica.submit(Kind::RenewItems(renew)), Outcome::ItemsRenewed(lost));
    assert_eq!(replica.finish(&leased[1], ItemEnd::Succeeded), FinishVerdict::JobCancelled);
    assert_eq!(cancel(), Outcome::JobCancelled(cancelled));
    let job = replica.job("job-1");
    assert_eq!((job.succeeded, job.cancelled, job.leased), (1, 3, 0));
    assert_eq!(replica.items("job-1")[0].body, "result of job-1-0");
}

/// Guards against a request that may have run being sent again.
#[rstest]
#[case::not_repeatable(true, ClaimStatus::Unknown)]
#[case::repeatable(false, ClaimStatus::Held)]
fn a_claim_outlives_its_holder_only_if_not_repeatable(
    #[case] not_repeatable: bool,
    #[case] after_lapse: ClaimStatus,
) {
    let mut replica = Replica::open();
    assert_eq!(replica.take_claim("r1", "h1", not_repeatable).status(), ClaimStatus::Held);
    let joined = replica.take_claim("r2", "h2", not_repeatable);
    assert_eq!((joined.status(), joined.request_id.as_str()), (ClaimStatus::Running, "r1"));
    replica.now_ms += 1_000;
    replica.move_to_other_replica();
    assert_eq!(replica.take_claim("r2", "h2", not_repeatable).status(), after_lapse);
    replica.record("r1", "late answer");
    let answered = replica.take_claim("r3", "h3", not_repeatable);
    assert_eq!(answered.status(), ClaimStatus::Answered);
    assert_eq!(answered.answer.unwrap().body, "late answer");
    let existed = Outcome::AnswerRecorded(AnswerRecorded { existed: true });
    assert_eq!(replica.record("r2", "second answer"), existed);
}

/// Guards against a host freeing the claim of another, and against a claim stuck after not_run.
#[test]
fn only_the_own_request_frees_a_claim() {
    let replica = Replica::open();
    replica.take_claim("r1", "h1", true);
    assert_eq!(refused(replica.settle("r2", true)).0, RefusalCode::NotFound);
    let freed = ClaimSettled { status: ClaimStatus::Free.into() };
    assert_eq!(replica.settle("r1", true), Outcome::ClaimSettled(freed));
    assert_eq!(replica.take_claim("r2", "h2", true).status(), ClaimStatus::Held);
    let unknown = ClaimSettled { status: ClaimStatus::Unknown.into() };
    assert_eq!(replica.settle("r2", false), Outcome::ClaimSettled(unknown));
    assert_eq!(replica.take_claim("r3", "h3", true).status(), ClaimStatus::Unknown);
}

/// Guards against a number being given twice across a restore or a leader with a slow clock.
#[test]
fn fencing_numbers_grow() {
    let mut replica = Replica::open();
    assert_eq!(replica.take_fence("h1").number, 1);
    assert_eq!(replica.take_fence("h1").number, 1);
    let held = replica.take_fence("h2");
    assert_eq!((held.number, held.held_by.as_str(), held.held_for_ms), (0, "h1", 1_000));
    replica.now_ms += 1_000;
    replica.move_to_other_replica();
    assert_eq!(replica.take_fence("h2").number, 2);
    replica.now_ms -= 1_000;
    assert_eq!(replica.take_fence("h1").held_by, "h2");
    assert_eq!(replica.state.now_unix_ms(), 1_001_000);
}

/// Guards against accepted work being refused while storage is full, and new work accepted.
#[test]
fn full_storage_refuses_new_work_only() {
    let replica = Replica::open();
    let policy = Policy { body_limit_bytes: Some(1 << 20), ..Policy::default() };
    replica.submit(change(0, vec![edit::Edit::PutPolicy(policy)]));
    replica.create_job("ana", "job-1", 1);
    let leased = replica.lease(1);
    replica.record("r1", &"x".repeat(1 << 20));
    let (code, _) = refused(replica.create_job("ana", "job-2", 1));
    assert_eq!(code, RefusalCode::StorageFull);
    assert_eq!(replica.finish(&leased[0], ItemEnd::Succeeded), FinishVerdict::Accepted);
    assert_eq!(replica.take_claim("r2", "h1", true).status(), ClaimStatus::Answered);
}

/// Guards against results outliving their time, and against files being freed under a job.
#[test]
fn everything_ends_after_its_time_and_its_bodies_with_it() {
    let mut replica = Replica::open();
    replica.create_job("ana", "job-1", 2);
    let delete = DeleteFile { customer: "ana".into(), file_id: "file-job-1".into() };
    replica.submit(Kind::DeleteFile(delete));
    for item in replica.lease(2) {
        assert!(!item.body.is_empty());
        replica.finish(&item, ItemEnd::Succeeded);
    }
    replica.record("r1", "answer");
    replica.now_ms += 24 * 3_600_000;
    replica.submit(Kind::Expire(Expire {}));
    assert_eq!(replica.take_claim("r2", "h1", true).status(), ClaimStatus::Held);
    assert_eq!(replica.items("job-1")[1].body, "result of job-1-1");
    replica.now_ms += 6 * 24 * 3_600_000;
    replica.move_to_other_replica();
    replica.submit(Kind::Expire(Expire {}));
    let get = GetJob { customer: "ana".into(), job_id: "job-1".into() };
    assert!(matches!(replica.read(Read::GetJob(get)), Found::Refused(_)));
    assert_eq!(replica.state.body_bytes(), 0);
}
