//! A runner that is draining falls silent for control while another control machine is down: it gets requests again.

#[path = "../lab/lab.rs"]
mod lab;

use lab::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] =
    [("santander", "cantabria"), ("torrelavega", "cantabria"), ("pamplona", "navarra")];
const DRAIN: Duration = Duration::from_millis(2_500);
/// Length of the cut between the runner and control.
const CUT: Duration = Duration::from_secs(5);
/// Time that the runner serves on after its drain was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(7_000);

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
    let options = || RunnerOptions { events: 10, first: Duration::from_millis(10), ..RunnerOptions::default() };
    let runners: Vec<Arc<Runner>> = (0..2)
        .map(|n| Runner::start(&lab, 21 + n, ZONES[usize::from(n)].0, options(), operators.clone()))
        .collect();
    lab.until("all edge machines serve", || {
        entries.iter().enumerate().all(|(n, machine)| {
            let id = format!("first{n}");
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
            let answer = call(machine.front(), "POST", "/counter/first", &headers, b"x", CONTACT);
            answer.is_ok_and(|answer| answer.status == 200)
        })
    });
    let leader = (0..3).find(|&n| controls[n].leads()).expect("there is a leader");
    sleep_ms(CONTACT.as_millis() as u64 + 2_000);

    // Clients send ten requests a second to each edge machine from here on.
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut clients = Vec::new();
    for (n, entry) in entries.iter().enumerate() {
        let (address, is_over, sent) = (entry.front(), is_over.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("edge{n}request{number:03}");
                sent.lock().unwrap().push((id.clone(), Instant::now()));
                thread::spawn(move || {
                    let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
                    let _ = call(address, "POST", "/counter/x", &headers, b"x", Duration::from_secs(6));
                });
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    sleep_ms(2_000);

    // The runner of torrelavega drains, and says so to a control machine that is not disturbed.
    let leaving = &runners[1];
    *leaving.state.lock().unwrap() = "draining";
    leaving.leaving.store(true, Ordering::SeqCst);
    let acknowledging = operators[(leader + 1) % 3];
    assert!(leaving.beat(&[acknowledging]), "the drain is acknowledged");
    let acknowledged = Instant::now();
    lab.record.note(format!("{acknowledging} acknowledges that {} is draining", leaving.id));

    let lost = (0..3).find(|&n| operators[n] != acknowledging && n != leader).expect("a third machine");
    if has_trouble() {
        controls[lost].kill();
        lab.record.note(format!("{} loses power and stays down", controls[lost].name));
        leaving.beats.store(false, Ordering::SeqCst);
        lab.record.note(format!("{} is cut off from control, not from edge machines", leaving.id));
    }
    let disturbed = Instant::now();
    while acknowledged.elapsed() < SERVES_ON {
        if disturbed.elapsed() > CUT && !leaving.beats.swap(true, Ordering::SeqCst) {
            lab.record.note(format!("{} reaches control again", leaving.id));
        }
        sleep_ms(10);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // The edge machines and the control machine that acknowledged are in touch `contactMs` after the last event.
    let counted_from = if has_trouble() { (disturbed + CONTACT).max(acknowledged + DRAIN) } else { acknowledged + DRAIN };
    let sent = sent.lock().unwrap();
    let mut broken = 0;
    for run in leaving.runs().iter().filter(|run| run.at > counted_from) {
        let sent_at = sent.iter().find(|it| it.0 == run.id).map(|it| it.1);
        if sent_at.is_some_and(|at| at > counted_from) {
            broken += 1;
            lab.record.note(format!(
                "{} reached the draining runner {:.2} s after the acknowledgement",
                run.id,
                (run.at - acknowledged).as_secs_f64()
            ));
        }
    }
    for control in &controls {
        for line in control.log_lines("upstream_silent") {
            lab.record.note(format!("{}: {line}", control.name));
        }
    }
    lab.record.note(format!("requests that reached it later than drainMs, from machines in touch: {broken}"));
    drop((controls, entries));
    lab.finish(if broken > 0 { 1 } else { 0 });
}
