//! An edge machine is stopped as planned. It takes requests for five and a half seconds, and cuts those that take
//! longer than the two seconds that are left.

#[path = "../lab.rs"]
mod lab;

use lab::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] =
    [("santander", "cantabria"), ("torrelavega", "cantabria"), ("pamplona", "navarra")];
/// Events of an answer, as on the sheet, and the time between two of them, which is below the sheet's 200 ms.
const EVENTS: usize = 42;
const GAP: Duration = Duration::from_millis(80);
const DEADLINE: Duration = Duration::from_millis(5_000);
/// Requests sent later than this after SIGTERM have no excuse.
const EXCUSED: Duration = Duration::from_millis(3_000);
const SEND_INTERVAL: Duration = Duration::from_millis(400);

struct Outcome {
    id: String,
    /// Time of the sending, after the stop or where it would have been.
    sent: Duration,
    took: Duration,
    status: u16,
    is_whole: bool,
}

fn main() {
    let lab = Lab::open("review/5", &ZONES);
    let mut controls: Vec<Machine> =
        (1..=3).map(|n| lab.machine(n, "storage", ZONES[usize::from(n) - 1].0, true)).collect();
    let mut entries: Vec<Machine> =
        (1..=3).map(|n| lab.machine(10 + n, "edge", ZONES[usize::from(n) - 1].0, true)).collect();
    for machine in controls.iter_mut().chain(&mut entries) {
        machine.start();
    }
    let all: Vec<&Machine> = controls.iter().collect();
    lab.configure(&all, &configuration(1, 1_000_000));
    let operators: Vec<_> = controls.iter().map(Machine::control).collect();
    let options = || RunnerOptions { events: EVENTS, gap: GAP, first: Duration::from_millis(60), ..RunnerOptions::default() };
    let runners: Vec<Arc<Runner>> = (0..3)
        .map(|n| Runner::start(&lab, 21 + n, ZONES[usize::from(n)].0, options(), operators.clone()))
        .collect();
    lab.until("all edge machines serve", || {
        entries.iter().enumerate().all(|(n, machine)| {
            let id = format!("first{n}");
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
            let answer = call(machine.front(), "POST", "/draft/first", &headers, b"x", DEADLINE);
            answer.is_ok_and(|answer| answer.status == 200)
        })
    });
    sleep_ms(CONTACT.as_millis() as u64 + 1_000);

    // A client asks where to connect. Some clients keep the answer three times as long as it says.
    let path = format!("/resolution?name={HOST}&region=cantabria&zone=santander");
    let lookup = call(entries[0].directory(), "GET", &path, &[], b"", SETTLE).expect("a lookup");
    lab.record.note(format!("lookup: {} {}", lookup.status, lookup.text()));
    let ttl = lookup.text().split("\"ttlS\":").nth(1).and_then(|it| it.trim_end_matches('}').parse::<f64>().ok());
    let kept_for = Duration::from_secs_f64(3.0 * ttl.unwrap_or(2.0).min(5.0));
    let address = entries[0].front();
    if !lookup.text().contains(&address.to_string()) {
        lab.record.note("the lookup does not name the machine");
        drop((controls, entries));
        lab.finish(2);
    }
    let looked_up = Instant::now();
    let stopped = Instant::now();
    if has_trouble() {
        entries[0].signal(SIGTERM);
        lab.record.note(format!("SIGTERM to {}", entries[0].name));
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut calls = Vec::new();
    let mut number = 0;
    while looked_up.elapsed() < kept_for {
        number += 1;
        let id = format!("request{number:02}");
        let path = if number % 2 == 0 { "/draft/x" } else { "/counter/x" };
        let (outcomes, record) = (outcomes.clone(), lab.record.clone());
        calls.push(thread::spawn(move || {
            let sent = Instant::now();
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
            let answer = call(address, "POST", path, &headers, b"x", DEADLINE + Duration::from_millis(500));
            let (status, is_whole) = answer.map_or((0, false), |answer| (answer.status, answer.is_whole));
            let (took, sent) = (sent.elapsed(), sent - stopped);
            record.note(format!(
                "{id} sent {:.1} s after the stop: status {status}, whole {is_whole}, {:.1} s",
                sent.as_secs_f64(),
                took.as_secs_f64()
            ));
            outcomes.lock().unwrap().push(Outcome { id, sent, took, status, is_whole });
        }));
        thread::sleep(SEND_INTERVAL);
    }
    if has_trouble() {
        // The platform's SIGKILL, if the process is still there.
        while stopped.elapsed() < Duration::from_secs(GRACE_S) && !entries[0].has_ended() {
            sleep_ms(20);
        }
        lab.record.note(format!("the process has ended {:.1} s after SIGTERM", stopped.elapsed().as_secs_f64()));
        entries[0].kill();
    }
    for call in calls {
        let _ = call.join();
    }
    let has_run = |id: &str| runners.iter().any(|runner| runner.runs().iter().any(|run| run.id == id));
    let outcomes = outcomes.lock().unwrap();
    let broken: Vec<&Outcome> = outcomes
        .iter()
        .filter(|it| it.sent > EXCUSED && it.took < DEADLINE && !it.is_whole && has_run(&it.id))
        .collect();
    for it in &broken {
        lab.record.note(format!(
            "{} was passed on to a runner and cut after {:.1} s of its {:.1} s (status {})",
            it.id,
            it.took.as_secs_f64(),
            DEADLINE.as_secs_f64(),
            it.status
        ));
    }
    let code = if broken.is_empty() { 0 } else { 1 };
    drop((controls, entries));
    lab.finish(code);
}
