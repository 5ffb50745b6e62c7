//! An edge machine is stopped as planned while the only runner of a software version falls silent for a second in
//! the middle of its streams. The machine ends the streams before the runner goes on.

#[path = "../lab/lab.rs"]
mod lab;

use lab::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] =
    [("santander", "cantabria"), ("torrelavega", "cantabria"), ("pamplona", "navarra")];
const DEADLINE: Duration = Duration::from_millis(5_000);
/// Event after which the runner of the old version falls silent, and for how long.
const SILENCE: (usize, Duration) = (20, Duration::from_millis(1_000));
/// Requests are sent until this time after SIGTERM, and take two seconds: all can end long before `graceS`.
const SENDING: Duration = Duration::from_millis(2_000);

struct Outcome {
    id: String,
    took: Duration,
    status: u16,
    is_whole: bool,
}

fn main() {
    let lab = Lab::open("review/5", &ZONES);
    let mut controls: Vec<Machine> =
        (1..=3).map(|n| lab.machine(n, "storage", ZONES[usize::from(n) - 1].0, true)).collect();
    let mut entries: Vec<Machine> =
        (1..=2).map(|n| lab.machine(10 + n, "edge", ZONES[usize::from(n) - 1].0, true)).collect();
    for machine in controls.iter_mut().chain(&mut entries) {
        machine.start();
    }
    let all: Vec<&Machine> = controls.iter().collect();
    lab.configure(&all, &configuration(1, 1_000_000));
    let operators: Vec<_> = controls.iter().map(Machine::control).collect();
    // A release has come to its last old runner, which is in the zone of the machine that is stopped.
    let old = RunnerOptions {
        version: "v1",
        silence: if has_trouble() { Some(SILENCE) } else { None },
        ..RunnerOptions::default()
    };
    let new = || RunnerOptions { version: "v2", ..RunnerOptions::default() };
    let runners = [
        Runner::start(&lab, 21, ZONES[0].0, old, operators.clone()),
        Runner::start(&lab, 22, ZONES[1].0, new(), operators.clone()),
        Runner::start(&lab, 23, ZONES[1].0, new(), operators.clone()),
    ];
    lab.until("the edge machines are ready", || {
        let ready = |machine: &Machine| call(machine.ready(), "GET", "/readiness", &[], b"", SETTLE);
        entries.iter().all(|machine| ready(machine).is_ok_and(|answer| answer.status == 200))
    });
    sleep_ms(CONTACT.as_millis() as u64 + 2_000);

    let address = entries[0].front();
    let stopped = Instant::now();
    if has_trouble() {
        entries[0].signal(SIGTERM);
        lab.record.note(format!("SIGTERM to {}", entries[0].name));
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut calls = Vec::new();
    let mut number = 0;
    while stopped.elapsed() < SENDING {
        number += 1;
        let id = format!("request{number:02}");
        let (outcomes, record) = (outcomes.clone(), lab.record.clone());
        calls.push(thread::spawn(move || {
            let sent = Instant::now();
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
            let answer = call(address, "POST", "/counter/x", &headers, b"x", DEADLINE + Duration::from_millis(500));
            let (status, is_whole) = answer.map_or((0, false), |answer| (answer.status, answer.is_whole));
            let took = sent.elapsed();
            record.note(format!(
                "{id} sent {:.1} s after the stop: status {status}, whole {is_whole}, {:.1} s",
                (sent - stopped).as_secs_f64(),
                took.as_secs_f64()
            ));
            outcomes.lock().unwrap().push(Outcome { id, took, status, is_whole });
        }));
        sleep_ms(200);
    }
    for call in calls {
        let _ = call.join();
    }
    if has_trouble() {
        while stopped.elapsed() < Duration::from_secs(GRACE_S) && !entries[0].has_ended() {
            sleep_ms(20);
        }
        lab.record.note(format!("the process has ended {:.1} s after SIGTERM", stopped.elapsed().as_secs_f64()));
    }
    let runs_of = |id: &str| -> Vec<String> {
        let of = |runner: &Arc<Runner>| {
            runner.runs().iter().filter(|run| run.id == id).map(|run| format!("{} to event {}", runner.id, run.events)).collect::<Vec<_>>()
        };
        runners.iter().flat_map(of).collect()
    };
    let outcomes = outcomes.lock().unwrap();
    let broken: Vec<&Outcome> = outcomes
        .iter()
        .filter(|it| it.took < DEADLINE && !it.is_whole && !runs_of(&it.id).is_empty())
        .collect();
    for it in &broken {
        lab.record.note(format!(
            "{} was cut after {:.1} s (status {}); run by {}",
            it.id,
            it.took.as_secs_f64(),
            it.status,
            runs_of(&it.id).join(", ")
        ));
    }
    let code = if broken.is_empty() { 0 } else { 1 };
    drop((controls, entries));
    lab.finish(code);
}
