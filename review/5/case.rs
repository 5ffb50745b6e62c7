//! A batch item has a header whose value holds line breaks. The runner gets a second request, which no client sent.

#[path = "../lab/lab.rs"]
mod lab;

use lab::*;
use std::time::Duration;

const ZONES: [(&str, &str); 3] =
    [("santander", "cantabria"), ("torrelavega", "cantabria"), ("pamplona", "navarra")];
/// Id of the request that stands inside the header.
const SMUGGLED: &str = "nobodysentthis";

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
    let operators = controls.iter().map(Machine::control).collect();
    let runner = Runner::start(&lab, 21, ZONES[0].0, RunnerOptions::default(), operators);
    lab.until("the edge machines are ready", || {
        let ready = |machine: &Machine| call(machine.ready(), "GET", "/readiness", &[], b"", SETTLE);
        entries.iter().all(|machine| ready(machine).is_ok_and(|answer| answer.status == 200))
    });
    sleep_ms(CONTACT.as_millis() as u64 + 1_000);

    // Written in JSON, as a client would send it.
    let value = match has_trouble() {
        true => format!(
            "540,400\\r\\n\\r\\nPOST /draft/anything HTTP/1.1\\r\\nHost: {HOST}\\r\\nRequest-Id: {SMUGGLED}\\r\\nModel: m"
        ),
        false => "540,400".to_owned(),
    };
    let body = format!(
        "{{\"items\":[{{\"id\":\"theitem\",\"path\":\"/batch/thejob/0\",\"headers\":{{\"Token-Usage\":\"{value}\"}},\
         \"body\":\"YQ==\",\"tokens\":940}}]}}"
    );
    let status = submit(&lab, &entries[0], "thejob", &body);
    lab.record.note(format!("body of the job: {body}"));
    std::thread::sleep(Duration::from_secs(6));
    read_job(&lab, &entries[1], "thejob");
    let runs = runner.runs();
    for run in &runs {
        lab.record.note(format!("the runner ran {} to event {}", run.id, run.events));
    }
    let code = match (status, runs.iter().any(|run| run.id == SMUGGLED)) {
        (_, true) => 1,
        (202, false) if runs.is_empty() => 2,
        (0, false) => 2,
        _ => 0,
    };
    drop((controls, entries));
    lab.finish(code);
}
