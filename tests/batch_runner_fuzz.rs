//! Random faults between batch runners and the state: lost commands and replies, leaders that are
//! gone for a while, clocks that jump, leases that expire, calls that hang or panic, and hosts that
//! stop and start. They guard against items that no host runs although all faults are over.
//!
//! A longer run with other seeds: `BATCH_SEEDS=64 BATCH_FIRST_SEED=100 cargo test --test
//! batch_runner_fuzz`

mod batch_support;

use std::collections::BTreeMap;
use std::env;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver};
use async_std::task;
use batch_support::{
    all_ended, lines, spawn_incarnation, CommandKind, ControlledState, ControlledUpstreams, Fault,
    Step, JOB, PLAIN_PATH,
};
use damaskhoist::batch::BatchRunner;
use damaskhoist::schema::state::ItemState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ITEMS: u32 = 90;
const HOSTS: usize = 3;
const SLOTS_PER_HOST: u32 = 4;
/// Above the number of attempts that the faults can use up.
const MAX_ATTEMPTS: u32 = 100;
const FAULT_TIME: Duration = Duration::from_secs(4);
/// Time within which all items must end once the faults are over, the leases of lost hosts have
/// expired and slots are free. Half of the length of a lease.
const CALM_LIMIT: Duration = Duration::from_secs(5);
/// Above the length of a lease.
const LEASE_EXPIRES: Duration = Duration::from_millis(10_500);

fn number_from_environment(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |value| value.parse().unwrap())
}

#[async_std::test]
async fn all_items_end_after_random_faults() {
    let first = number_from_environment("BATCH_FIRST_SEED", 1);
    let count = number_from_environment("BATCH_SEEDS", 8);
    let plays: Vec<_> = (first..first + count).map(|seed| task::spawn(play(seed))).collect();
    for play in plays {
        play.await;
    }
}

async fn play(seed: u64) {
    eprintln!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let (state, upstreams) = (ControlledState::open(), ControlledUpstreams::default());
    let (release, gate) = bounded(1);
    set_random_steps(&mut random, &upstreams, &gate);
    state.create_job(lines(ITEMS, "m"), PLAIN_PATH, MAX_ATTEMPTS);
    let mut runners: Vec<BatchRunner> =
        (0..HOSTS).map(|host| spawn_host(&state, &upstreams, host, 1)).collect();
    let mut incarnation = 1;
    let started = Instant::now();
    while started.elapsed() < FAULT_TIME {
        task::sleep(Duration::from_millis(random.random_range(20..200))).await;
        match random.random_range(0..20) {
            0..6 => state.advance(Duration::from_millis(random.random_range(0..3_000))),
            6 => state.advance(LEASE_EXPIRES),
            7..10 => set_random_faults(&mut random, &state),
            10 => state.heal(),
            11 => {
                incarnation += 1;
                let host = random.random_range(0..HOSTS);
                runners.remove(host).close().await;
                runners.insert(host, spawn_host(&state, &upstreams, host, incarnation));
            }
            _ => {}
        }
    }
    state.heal();
    release.close();
    state.advance(LEASE_EXPIRES);
    let calm_since = Instant::now();
    while !all_ended(&state.items()) {
        let late: Vec<_> = state
            .items()
            .into_iter()
            .filter(|item| item.state() != ItemState::ItemSucceeded)
            .collect();
        assert!(calm_since.elapsed() < CALM_LIMIT, "seed {seed}: {late:#?}");
        task::sleep(Duration::from_millis(20)).await;
    }
    check_results(seed, &state, &upstreams);
    for runner in runners {
        runner.close().await;
    }
}

fn spawn_host(
    state: &Arc<ControlledState>,
    upstreams: &ControlledUpstreams,
    host: usize,
    incarnation: u64,
) -> BatchRunner {
    spawn_incarnation(state, upstreams, &format!("host-{host}"), incarnation, SLOTS_PER_HOST)
}

fn set_random_steps(random: &mut StdRng, upstreams: &ControlledUpstreams, gate: &Receiver<()>) {
    for item in 0..ITEMS {
        for attempt in 1..6 {
            let step = match random.random_range(0..100) {
                0..5 => Step::Panic,
                5..10 => Step::AnswerAfter(gate.clone()),
                _ => Step::AnswerIn(Duration::from_millis(random.random_range(0..700))),
            };
            upstreams.set_step(&format!("{JOB}-{item}-{attempt}"), step);
        }
    }
}

/// Makes a share of the commands fail, or all of them as without a leader.
fn set_random_faults(random: &mut StdRng, state: &ControlledState) {
    let percent = if random.random_bool(0.3) { 100 } else { random.random_range(10..60) };
    let source = Mutex::new(StdRng::seed_from_u64(random.random()));
    state.set_fault_source(Box::new(move |_kind: CommandKind| {
        let mut random = source.lock().unwrap();
        if random.random_range(0..100) >= percent {
            return None;
        }
        let faults = [Fault::NotSubmitted, Fault::OutcomeLost, Fault::CommandLost];
        Some(faults[random.random_range(0..faults.len())])
    }));
}

/// Checks that each item succeeded with the answer of a call that was made for it, and that no
/// attempt was called twice.
fn check_results(seed: u64, state: &ControlledState, upstreams: &ControlledUpstreams) {
    let mut calls: BTreeMap<String, u32> = BTreeMap::new();
    for call in upstreams.calls() {
        *calls.entry(call).or_default() += 1;
    }
    assert!(calls.values().all(|count| *count == 1), "seed {seed}: {calls:?}");
    let items = state.items();
    assert_eq!(items.len(), ITEMS as usize, "seed {seed}");
    for item in items {
        assert_eq!(item.state(), ItemState::ItemSucceeded, "seed {seed}: {item:?}");
        let body = String::from_utf8(item.body.to_vec()).unwrap();
        let call = body.strip_prefix("answer of ").unwrap();
        assert!(call.starts_with(&format!("{JOB}-{}-", item.item)), "seed {seed}: {item:?}");
        assert!(calls.contains_key(call), "seed {seed}: {item:?}");
    }
}
