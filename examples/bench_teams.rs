//! Time that a request takes to be identified, to pass its team's quota and to be placed, on several threads at once.
//!
//! `cargo run --release --example bench_teams` plays 390 teams and 830 upstreams on 8 threads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use damaskhoist::directory::{Phase, UpstreamRecord};
use damaskhoist::gateway::{choose_upstream, ChoiceInput, Upstream};
use damaskhoist::schema::routes::{Route, RouteKind, RouteTable, ServiceShare, Team};
use damaskhoist::teams::{
    identify, Caller, CallerKey, KeyUse, QuotaInput, QuotaRegistry, TableAge, TeamIndex,
};

const TEAMS: usize = 390;
const UPSTREAMS: usize = 830;
const THREADS: usize = 8;
const ROUNDS: usize = 200_000;
const CHOICES: usize = 5_000;

fn main() {
    let team = |number: usize| Team {
        name: format!("team-{number}"),
        keys: vec![format!("key-{number}-aaaaaaaaaaaa"), format!("key-{number}-bbbbbbbbbbbb")],
        requests_per_s: 1e9,
        burst_requests: 1e9,
        ..Team::default()
    };
    let teams = (0..TEAMS).map(team).collect();
    let table = Arc::new(RouteTable { version: 1, teams, ..RouteTable::default() });
    let index = Arc::new(TeamIndex::new(table, &QuotaRegistry::new("entry-1", 20)));
    let nanos = on_threads(ROUNDS, |round| {
        let key = format!("key-{}-bbbbbbbbbbbb", round % TEAMS);
        let began = Instant::now();
        let age = TableAge {
            is_current: true,
            confirmed_age: Some(Duration::ZERO),
            key_lease: Some(Duration::from_secs(4)),
        };
        let caller = identify(&index, KeyUse::Required, CallerKey::One(&key), age);
        let Ok(Caller::Member(member)) = caller else { panic!("the key is known") };
        let input =
            QuotaInput { leader_silence: Some(Duration::ZERO), hosts: 340, now_us: round as u64 };
        member.quota.expect("it has a quota").try_take(&input).expect("it is below it");
        began.elapsed()
    });
    println!("key and quota, {TEAMS} teams, {THREADS} threads: {nanos} ns a request");
    for adaptive in [false, true] {
        let upstreams: Vec<Arc<Upstream>> = (0..UPSTREAMS).map(upstream).collect();
        let share = ServiceShare { service: "engraver".into(), weight: 1 };
        let route =
            Route { kind: RouteKind::Stream.into(), shares: vec![share], ..Route::default() };
        let nanos = on_threads(CHOICES, |_| {
            let no_connection = |_: &str| false;
            let input = ChoiceInput {
                route: &route,
                zone: "zone-0",
                region: "region-0",
                prefix: None,
                origin: None,
                tried: &[],
                now_ms: 0,
                allow_full: false,
                adaptive: if adaptive { Some(&no_connection) } else { None },
            };
            let began = Instant::now();
            choose_upstream(&upstreams, &input).expect("there is room");
            began.elapsed()
        });
        println!(
            "choice of {UPSTREAMS} upstreams, adaptive {adaptive}, {THREADS} threads: {nanos} ns"
        );
    }
}

/// Runs `work` in a loop on all threads; returns the average of the times that it gives, in nanoseconds.
fn on_threads(rounds: usize, work: impl Fn(usize) -> Duration + Sync) -> u64 {
    let total: Duration = std::thread::scope(|scope| {
        let threads = (0..THREADS).map(|thread| {
            let work = &work;
            scope.spawn(move || (0..rounds).map(|round| work(round + thread)).sum::<Duration>())
        });
        let threads: Vec<_> = threads.collect();
        threads.into_iter().map(|thread| thread.join().expect("it does not panic")).sum()
    });
    (total.as_nanos() / (rounds * THREADS) as u128) as u64
}

fn upstream(number: usize) -> Arc<Upstream> {
    let record = UpstreamRecord {
        upstream_id: format!("u{number}"),
        service: "engraver".into(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250 + 1),
        zone: format!("zone-{}", number % 7),
        region: format!("region-{}", number % 7 % 3),
        version: "v1".into(),
        slots: 8,
        phase: Phase::Ready,
        started_at_unix_ms: 1,
        sequence: 1,
    };
    Arc::new(Upstream::new(&record, None).expect("the address is valid"))
}
