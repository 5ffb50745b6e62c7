//! Random command sequences against the naive version in `state_model`, with resends, late
//! completions, clocks that jump, and moves to another replica by snapshot.
//!
//! A longer run with another seed, which a failure prints:
//! `STATE_CASES=20000 STATE_SEED=7 cargo test --release --test state_differential`

mod state_model;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use damaskhoist::raft::StateMachine;
use damaskhoist::schema::config::{edit, Customer, Edit};
use damaskhoist::schema::state::command::Command as Kind;
use damaskhoist::schema::state::outcome::Outcome as Kinds;
use damaskhoist::schema::state::query::Query as Read;
use damaskhoist::schema::state::query_answer::Answer as Found;
use damaskhoist::schema::state::*;
use damaskhoist::state::{BodyStore, DiskBodies, MemoryBodies, ReplicatedState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message;
use state_model::{Expected, Model};

const CUSTOMERS: [&str; 3] = ["ana", "bea", "cruz"];
const SERVICES: [&str; 2] = ["draft", "sheet"];

/// One step of a sequence. Attempts and earlier commands are named by their place in the history.
#[derive(Clone, Debug)]
struct Step {
    advance_ms: i64,
    command_id: u8,
    action: Action,
}

#[derive(Clone, Debug)]
enum Action {
    ChangeWeight {
        stale: bool,
        customer: usize,
        weight: u32,
    },
    Append {
        customer: usize,
        file: u8,
        lines: u8,
        wrong_offset: bool,
        last: bool,
    },
    DeleteFile {
        customer: usize,
        file: u8,
    },
    Create {
        customer: usize,
        job: u8,
        key: u8,
        fingerprint: u8,
        file: u8,
        service: usize,
        deadline: u8,
    },
    Cancel {
        customer: usize,
        job: u8,
    },
    Delete {
        customer: usize,
        job: u8,
    },
    Lease {
        holder: u8,
        max_items: u8,
        services: u8,
    },
    Renew {
        holder: u8,
        attempts: Vec<u16>,
    },
    Finish {
        holder: u8,
        attempts: Vec<(u16, u8)>,
    },
    Claim {
        customer: usize,
        key: u8,
        fingerprint: u8,
        request: u8,
        not_repeatable: bool,
    },
    Record {
        customer: usize,
        key: u8,
        with_key: bool,
        fingerprint: u8,
        request: u8,
    },
    Settle {
        customer: usize,
        key: u8,
        request: u8,
        not_run: bool,
    },
    Fence {
        scope: u8,
        holder: u8,
    },
    Expire,
    Resend {
        back: u8,
    },
    Move,
}

fn actions() -> impl Strategy<Value = Action> {
    let fingerprint = || prop_oneof![9 => Just(0u8), 1 => Just(1u8)];
    // The owner mostly, sometimes another customer.
    let by = || prop_oneof![12 => Just(0usize), 1 => Just(1usize)];
    prop_oneof![
        2 => (any::<bool>(), 0..3usize, 0..4u32).prop_map(|(stale, customer, weight)| {
            Action::ChangeWeight { stale, customer, weight }
        }),
        3 => (by(), 0..6u8, 0..6u8, prop::bool::weighted(0.1), any::<bool>()).prop_map(
            |(customer, file, lines, wrong_offset, last)| {
                Action::Append { customer, file, lines, wrong_offset, last }
            }
        ),
        1 => (by(), 0..6u8).prop_map(|(customer, file)| Action::DeleteFile { customer, file }),
        5 => (by(), 0..9u8, 0..9u8, fingerprint(), 0..2u8, 0..2usize, 0..3u8).prop_map(
            |(customer, job, key, fingerprint, file, service, deadline)| {
                Action::Create { customer, job, key, fingerprint, file, service, deadline }
            }
        ),
        2 => (by(), 0..9u8).prop_map(|(customer, job)| Action::Cancel { customer, job }),
        1 => (by(), 0..9u8).prop_map(|(customer, job)| Action::Delete { customer, job }),
        10 => (0..3u8, 0..5u8, 0..4u8).prop_map(|(holder, max_items, services)| {
            Action::Lease { holder, max_items, services }
        }),
        4 => (0..9u8, prop::collection::vec(any::<u16>(), 0..4))
            .prop_map(|(holder, attempts)| Action::Renew { holder, attempts }),
        12 => (0..9u8, prop::collection::vec((any::<u16>(), 1..5u8), 1..4))
            .prop_map(|(holder, attempts)| Action::Finish { holder, attempts }),
        4 => (0..3usize, 0..3u8, fingerprint(), 0..3u8, any::<bool>()).prop_map(
            |(customer, key, fingerprint, request, not_repeatable)| {
                Action::Claim { customer, key, fingerprint, request, not_repeatable }
            }
        ),
        2 => (0..3usize, 0..3u8, any::<bool>(), fingerprint(), 0..3u8).prop_map(
            |(customer, key, with_key, fingerprint, request)| {
                Action::Record { customer, key, with_key, fingerprint, request }
            }
        ),
        2 => (0..3usize, 0..3u8, 0..3u8, any::<bool>()).prop_map(
            |(customer, key, request, not_run)| Action::Settle { customer, key, request, not_run }
        ),
        2 => (0..2u8, 0..3u8).prop_map(|(scope, holder)| Action::Fence { scope, holder }),
        2 => Just(Action::Expire),
        3 => (0..20u8).prop_map(|back| Action::Resend { back }),
        2 => Just(Action::Move),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let advance = prop_oneof![
        20 => Just(0i64),
        40 => -500..1_000i64,
        6 => 2_000..10_000i64,
        1 => Just(700_000i64),
        1 => Just(25 * 3_600_000i64),
        1 => Just(8 * 24 * 3_600_000i64),
    ];
    let step = (advance, 0..40u8, actions()).prop_map(|(advance_ms, command_id, action)| Step {
        advance_ms,
        command_id,
        action,
    });
    prop::collection::vec(step, 1..120)
}

/// The tested state beside the naive one, with what must hold whatever the naive one says.
struct Pair {
    state: ReplicatedState,
    model: Model,
    folder: Option<tempfile::TempDir>,
    stamp_ms: u64,
    commands: Vec<Command>,
    attempts: Vec<(ItemAttempt, LeaseItems)>,
    ended_items: BTreeSet<(String, u32)>,
    cancelled_jobs: BTreeSet<String>,
    newest_fence: BTreeMap<String, u64>,
}

impl Pair {
    fn open(on_disk: bool) -> Self {
        let folder = on_disk.then(|| tempfile::tempdir().unwrap());
        Self {
            state: ReplicatedState::open(bodies(folder.as_ref())),
            model: Model::default(),
            folder,
            stamp_ms: 1_000_000_000,
            commands: Vec::new(),
            attempts: Vec::new(),
            ended_items: BTreeSet::new(),
            cancelled_jobs: BTreeSet::new(),
            newest_fence: BTreeMap::new(),
        }
    }

    fn run(&mut self, step: &Step) {
        self.stamp_ms = self.stamp_ms.saturating_add_signed(step.advance_ms);
        let resent = match &step.action {
            Action::Move => return self.move_replica(step.command_id.is_multiple_of(2)),
            Action::Resend { back } => {
                let place = self.commands.len().checked_sub(1 + usize::from(*back));
                let Some(place) = place else { return };
                Some(self.commands[place].clone())
            }
            _ => None,
        };
        let mut command = resent.unwrap_or_else(|| Command {
            // Ids from 30 on stand for none.
            command_id: if step.command_id < 30 {
                format!("c{}", step.command_id)
            } else {
                Default::default()
            },
            proposed_at_unix_ms: 0,
            command: Some(self.kind(&step.action)),
        });
        command.proposed_at_unix_ms = self.stamp_ms;
        self.submit(command);
    }

    fn submit(&mut self, command: Command) {
        let encoded = self.state.apply(1, &command.encode_to_vec());
        let actual = Outcome::decode(encoded).unwrap().outcome.unwrap();
        let expected = self.model.apply(&command, &actual);
        let context = format!("{command:?}\nanswered {actual:?}");
        match &expected {
            Expected::New(expected) => {
                assert_eq!(comparable(&actual), comparable(expected), "{context}");
                self.check_invariants(command.command.as_ref().unwrap(), &actual);
            }
            Expected::Kept(first) => {
                assert_eq!(
                    names_only(&actual, &self.model),
                    names_only(first, &self.model),
                    "{context}"
                );
            }
        }
        self.commands.push(command);
        assert_eq!(self.state.now_unix_ms(), self.model.now);
        assert_eq!(self.state.body_bytes(), self.model.body_bytes(), "{context}");
        assert_eq!(self.state.configuration().version, self.model.version, "{context}");
    }

    fn check_invariants(&mut self, kind: &Kind, outcome: &Kinds) {
        match (kind, outcome) {
            (Kind::FinishItems(finish), Kinds::ItemsFinished(finished)) => {
                for (item, verdict) in finish.items.iter().zip(finished.verdicts()) {
                    self.check_finish(item, verdict);
                }
            }
            (Kind::LeaseItems(lease), Kinds::ItemsLeased(leased)) => {
                for item in &leased.items {
                    let attempt = item.attempt.clone().unwrap();
                    assert!(!self.cancelled_jobs.contains(&attempt.job_id));
                    self.attempts.push((attempt, lease.clone()));
                }
            }
            (Kind::CancelJob(cancel), Kinds::JobCancelled(_)) => {
                self.cancelled_jobs.insert(cancel.job_id.clone());
            }
            (Kind::CreateJob(_), Kinds::JobCreated(created)) if !created.existed => {
                // The id may come back after its first job has expired.
                self.cancelled_jobs.remove(&created.job_id);
                self.ended_items.retain(|(job_id, _)| *job_id != created.job_id);
            }
            (Kind::TakeFence(take), Kinds::FenceTaken(taken)) if taken.number > 0 => {
                let newest = self.newest_fence.entry(take.scope.clone()).or_default();
                assert!(taken.number >= *newest);
                *newest = taken.number;
            }
            _ => {}
        }
    }

    fn check_finish(&mut self, finish: &ItemFinish, verdict: FinishVerdict) {
        if verdict != FinishVerdict::Accepted {
            return;
        }
        let attempt = finish.attempt.as_ref().unwrap();
        let name = (attempt.job_id.clone(), attempt.item);
        assert!(!self.cancelled_jobs.contains(&name.0), "{name:?} ended after its cancel");
        assert!(!self.ended_items.contains(&name), "{name:?} ended twice");
        if matches!(finish.end(), ItemEnd::Succeeded | ItemEnd::Failed) {
            self.ended_items.insert(name);
        }
    }

    fn move_replica(&mut self, same_disk: bool) {
        let mut snapshot = Vec::new();
        self.state.save(&mut snapshot).unwrap();
        if !same_disk {
            self.folder = self.folder.is_some().then(|| tempfile::tempdir().unwrap());
        }
        self.state = ReplicatedState::open(bodies(self.folder.as_ref()));
        self.state.restore(&mut &snapshot[..]).unwrap();
        self.compare_reads();
    }

    fn compare_reads(&self) {
        let jobs = ListJobs { limit: 1_000, ..ListJobs::default() };
        let Found::Jobs(page) = self.read(Read::ListJobs(jobs)) else { panic!("not a page") };
        let visible: Vec<&String> =
            self.model.jobs.values().filter(|job| !job.deleted).map(|job| &job.job_id).collect();
        assert_eq!(page.jobs.iter().map(|job| &job.job_id).collect::<Vec<_>>(), visible);
        for job in &page.jobs {
            let model = &self.model.jobs[&job.job_id];
            assert_eq!(job.state(), model.state);
            self.compare_items(job);
        }
        for claim in &self.model.claims {
            let (customer, request_id) = (claim.customer.clone(), claim.request_id.clone());
            let get = GetAnswer { customer, request_id, key: String::new() };
            match (self.read(Read::GetAnswer(get)), &claim.answer) {
                (Found::Recorded(found), Some(answer)) => assert_eq!(found, *answer),
                (Found::Refused(_), None) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Reads a job's items in pages of two and compares them.
    fn compare_items(&self, job: &Job) {
        let mut items = Vec::new();
        loop {
            let list = ListItems {
                job_id: job.job_id.clone(),
                from_item: items.len() as u32,
                limit: 2,
                with_bodies: true,
                ..ListItems::default()
            };
            let Found::Items(page) = self.read(Read::ListItems(list)) else { panic!("not a page") };
            items.extend(page.items);
            if !page.more {
                break;
            }
        }
        let model = &self.model.jobs[&job.job_id];
        assert_eq!(items.len(), model.items.len());
        for (item, expected) in items.iter().zip(&model.items) {
            assert_eq!(item.state(), expected.state, "{item:?}");
            assert_eq!((item.attempts, item.status), (expected.tries, expected.status), "{item:?}");
            assert_eq!(item.holder, expected.holder.0);
            if expected.has_ended() {
                assert_eq!(item.body, expected.body);
            }
        }
        let ended = |state| items.iter().filter(|item| item.state() == state).count() as u32;
        assert_eq!(job.succeeded, ended(ItemState::ItemSucceeded));
        assert_eq!(job.failed, ended(ItemState::ItemFailed));
        assert_eq!(job.cancelled, ended(ItemState::ItemCancelled));
        assert_eq!(job.leased, ended(ItemState::ItemLeased));
    }

    fn read(&self, read: Read) -> Found {
        self.state.query(&Query { query: Some(read) }).answer.unwrap()
    }

    /// Runs all that was accepted to its end: every item of every job must end.
    fn drain(&mut self) {
        for _ in 0..200 {
            self.stamp_ms += 10_000;
            let lease = LeaseItems {
                holder: "drain".into(),
                max_items: 50,
                lease_ms: 1,
                ..Default::default()
            };
            let before = self.attempts.len();
            self.submit(anonymous(self.stamp_ms, Kind::LeaseItems(lease)));
            let end = |(attempt, _): &(ItemAttempt, LeaseItems)| ItemFinish {
                attempt: Some(attempt.clone()),
                end: ItemEnd::Succeeded.into(),
                status: 200,
                body: "end".into(),
            };
            let items: Vec<ItemFinish> = self.attempts[before..].iter().map(end).collect();
            if items.is_empty() {
                break;
            }
            let finish = FinishItems { holder: "drain".into(), items };
            self.submit(anonymous(self.stamp_ms, Kind::FinishItems(finish)));
        }
        self.compare_reads();
        for job in self.model.jobs.values() {
            assert_ne!(job.state, JobState::InProgress, "{} did not end", job.job_id);
        }
    }

    fn kind(&self, action: &Action) -> Kind {
        let name = |prefix: &str, number: u8| format!("{prefix}{number}");
        let owner = |customer: usize| CUSTOMERS[customer % CUSTOMERS.len()].to_owned();
        // Every third job and file belongs to the same customer.
        let owner_of = |number: u8, by: usize| owner(usize::from(number) + by);
        let request =
            |customer: usize, key: u8, request: u8| format!("r-{customer}-{key}-{request}");
        match action.clone() {
            Action::ChangeWeight { stale, customer, weight } => {
                let weight = Some(weight);
                let customer = Customer { name: owner(customer), weight, ..Customer::default() };
                Kind::ChangeConfiguration(ChangeConfiguration {
                    base_version: self.model.version.saturating_sub(stale.into()),
                    edits: vec![Edit { edit: Some(edit::Edit::PutCustomer(customer)) }],
                })
            }
            Action::Append { customer, file, lines, wrong_offset, last } => {
                let file_id = name("f", file);
                let size_bytes = self.model.files.get(&file_id).map_or(0, |file| file.size_bytes());
                let line = |line| format!(r#"{{"custom_id":"{line}"}}"#).into();
                Kind::AppendFile(AppendFile {
                    customer: owner_of(file, customer),
                    file_id,
                    offset_bytes: size_bytes + u64::from(wrong_offset),
                    lines: (0..lines).map(line).collect(),
                    last,
                    ..AppendFile::default()
                })
            }
            Action::DeleteFile { customer, file } => Kind::DeleteFile(DeleteFile {
                customer: owner_of(file, customer),
                file_id: name("f", file),
            }),
            Action::Create { customer, job, key, fingerprint, file, service, deadline } => {
                Kind::CreateJob(CreateJob {
                    customer: owner_of(job, customer),
                    job_id: name("j", job),
                    idempotency_key: match key {
                        0 => String::new(),
                        1 => "shared".to_owned(),
                        _ => name("k", job),
                    },
                    fingerprint: vec![fingerprint].into(),
                    file_id: name("f", job % 3 + 3 * file),
                    service: SERVICES[service].to_owned(),
                    deadline_unix_ms: u64::from(deadline) * 1_000,
                    max_attempts: u32::from(job % 3),
                    ..CreateJob::default()
                })
            }
            Action::Cancel { customer, job } => Kind::CancelJob(CancelJob {
                customer: owner_of(job, customer),
                job_id: name("j", job),
            }),
            Action::Delete { customer, job } => Kind::DeleteJob(DeleteJob {
                customer: owner_of(job, customer),
                job_id: name("j", job),
            }),
            Action::Lease { holder, max_items, services } => Kind::LeaseItems(LeaseItems {
                holder: name("h", holder),
                holder_incarnation: u64::from(holder),
                max_items: max_items.into(),
                lease_ms: 2_000,
                services: (0..2)
                    .filter(|bit| services >> bit & 1 == 1)
                    .map(|bit| SERVICES[bit].to_owned())
                    .collect(),
            }),
            Action::Renew { holder, attempts } => {
                let (holder, holder_incarnation) = self.holder(holder, attempts.first());
                Kind::RenewItems(RenewItems {
                    holder,
                    holder_incarnation,
                    lease_ms: 2_000,
                    items: attempts.iter().filter_map(|place| self.attempt(*place)).collect(),
                })
            }
            Action::Finish { holder, attempts } => {
                let finish = |(place, end): (u16, u8)| {
                    Some(ItemFinish {
                        attempt: Some(self.attempt(place)?),
                        end: end.into(),
                        status: 200 + u32::from(end),
                        body: if end == 4 && place % 2 == 0 {
                            "".into()
                        } else {
                            format!("body {place}").into()
                        },
                    })
                };
                let first = attempts.first().map(|(place, _)| *place);
                let (holder, _) = self.holder(holder, first.as_ref());
                let items = attempts.into_iter().filter_map(finish).collect();
                Kind::FinishItems(FinishItems { holder, items })
            }
            Action::Claim { customer, key, fingerprint, request: number, not_repeatable } => {
                Kind::TakeClaim(TakeClaim {
                    customer: owner(customer),
                    key: name("k", key),
                    fingerprint: vec![fingerprint].into(),
                    request_id: request(customer, key, number),
                    holder: name("h", number),
                    lease_ms: 2_000,
                    not_repeatable,
                    ..TakeClaim::default()
                })
            }
            Action::Record { customer, key, with_key, fingerprint, request: number } => {
                Kind::RecordAnswer(RecordAnswer {
                    customer: owner(customer),
                    key: if with_key { name("k", key) } else { Default::default() },
                    fingerprint: vec![fingerprint].into(),
                    request_id: request(customer, key, number),
                    status: 200,
                    content_type: "text/plain".into(),
                    body: format!("answer {}", self.commands.len()).into(),
                })
            }
            Action::Settle { customer, key, request: number, not_run } => {
                Kind::SettleClaim(SettleClaim {
                    customer: owner(customer),
                    key: name("k", key),
                    request_id: request(customer, key, number),
                    not_run,
                })
            }
            Action::Fence { scope, holder } => Kind::TakeFence(TakeFence {
                scope: name("s", scope),
                holder: name("h", holder),
                lease_ms: 2_000,
            }),
            Action::Expire | Action::Resend { .. } | Action::Move => Kind::Expire(Expire {}),
        }
    }

    /// An earlier attempt, mostly a new one: places count from the newest.
    fn leased(&self, place: u16) -> Option<&(ItemAttempt, LeaseItems)> {
        let back = usize::from(place) % 12;
        self.attempts.len().checked_sub(1 + back).map(|index| &self.attempts[index])
    }

    fn attempt(&self, place: u16) -> Option<ItemAttempt> {
        self.leased(place).map(|(attempt, _)| attempt.clone())
    }

    /// Mostly the holder of the first attempt, otherwise any.
    fn holder(&self, holder: u8, first: Option<&u16>) -> (String, u64) {
        match first.and_then(|place| self.leased(*place)) {
            Some((_, lease)) if holder > 1 => (lease.holder.clone(), lease.holder_incarnation),
            _ => (format!("h{holder}"), u64::from(holder)),
        }
    }

    /// Gives each customer a job, so that short sequences have items to lease.
    fn create_first_jobs(&mut self) {
        for job in 0..3 {
            let file = Action::Append {
                customer: 0,
                file: job,
                lines: 6,
                wrong_offset: false,
                last: true,
            };
            let (key, fingerprint, file_set, service, deadline) = (2, 0, 0, 0, 0);
            let create = Action::Create {
                customer: 0,
                job,
                key,
                fingerprint,
                file: file_set,
                service,
                deadline,
            };
            for action in [file, create] {
                self.run(&Step { advance_ms: 0, command_id: 39, action });
            }
        }
    }
}

fn bodies(folder: Option<&tempfile::TempDir>) -> Arc<dyn BodyStore> {
    match folder {
        Some(folder) => Arc::new(DiskBodies::open_with(folder.path(), 200).unwrap()),
        None => Arc::new(MemoryBodies::open()),
    }
}

fn anonymous(stamp_ms: u64, kind: Kind) -> Command {
    Command { command_id: String::new(), proposed_at_unix_ms: stamp_ms, command: Some(kind) }
}

/// An outcome without texts that the naive version does not make.
fn comparable(outcome: &Kinds) -> Kinds {
    let mut outcome = outcome.clone();
    match &mut outcome {
        Kinds::Refused(refused) => refused.message.clear(),
        Kinds::ItemsLeased(leased) => {
            leased.items.iter_mut().for_each(|item| item.custom_id.clear());
        }
        _ => {}
    }
    outcome
}

/// A kept outcome without bodies, and without items whose job is gone.
fn names_only(outcome: &Kinds, model: &Model) -> Kinds {
    let mut outcome = comparable(outcome);
    match &mut outcome {
        Kinds::ItemsLeased(leased) => {
            leased.items.retain(|item| {
                let job_id = &item.attempt.as_ref().unwrap().job_id;
                model.jobs.get(job_id).is_some_and(|job| !job.deleted)
            });
            for item in &mut leased.items {
                *item = LeasedItem { attempt: item.attempt.clone(), ..LeasedItem::default() };
            }
        }
        Kinds::ClaimTaken(taken) => taken.answer = None,
        _ => {}
    }
    outcome
}

fn number_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

fn run_cases(on_disk: bool, default_cases: u64) {
    let seed = number_from_environment("STATE_SEED", 1);
    let cases = number_from_environment("STATE_CASES", default_cases) as u32;
    println!("STATE_SEED={seed} STATE_CASES={cases}");
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut seed_bytes = [0; 32];
    seed_bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes);
    let result = TestRunner::new_with_rng(config, rng).run(&steps(), |steps| {
        let mut pair = Pair::open(on_disk);
        pair.create_first_jobs();
        for step in &steps {
            pair.run(step);
        }
        pair.compare_reads();
        pair.drain();
        Ok(())
    });
    if let Err(failure) = result {
        panic!("STATE_SEED={seed} STATE_CASES={cases}: {failure}");
    }
}

/// Guards against any answer or read that differs from the plain reading of the rules.
#[test]
fn commands_agree_with_the_naive_version() {
    run_cases(false, 500);
}

/// Guards against bodies lost or mixed up by segments, snapshots and restarts on the same disk.
#[test]
fn commands_agree_with_the_naive_version_on_disk() {
    run_cases(true, 60);
}
