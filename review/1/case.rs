//! Two control machines freeze for a few seconds, one after the other. The first one then holds a batch job that
//! was refused, and lacks one that was accepted.

#[path = "../lab.rs"]
mod lab;

use lab::*;

const ZONES: [(&str, &str); 4] = [
    ("santander", "cantabria"),
    ("torrelavega", "cantabria"),
    ("pamplona", "cantabria"),
    ("bilbao", "cantabria"),
];
/// Length of a freeze, as in the site file.
const FREEZE_MS: u64 = 3_200;
/// Time between the freezes, above `catchUpS`.
const PAUSE_MS: u64 = 9_000;
/// Tokens that may wait on the route.
const LIMIT: u64 = 2_000;

fn main() {
    let lab = Lab::open("review/1", &ZONES);
    let mut controls: Vec<Machine> =
        (1..=4).map(|n| lab.machine(n, "storage", ZONES[usize::from(n) - 1].0, n < 4)).collect();
    let mut entries: Vec<Machine> =
        (1..=4).map(|n| lab.machine(10 + n, "edge", ZONES[usize::from(n) - 1].0, n < 4)).collect();
    for machine in controls.iter_mut().take(3).chain(&mut entries) {
        machine.start();
    }
    let all: Vec<&Machine> = controls.iter().collect();
    lab.configure(&all[..3], &configuration(1, LIMIT));
    let operators = controls.iter().map(Machine::control).collect();
    let options = RunnerOptions {
        events: 30,
        gap: std::time::Duration::from_millis(60),
        first: std::time::Duration::from_millis(30),
        ..RunnerOptions::default()
    };
    let runner = Runner::start(&lab, 21, "santander", options, operators);
    lab.until("all entry machines are ready", || {
        let ready = |machine: &Machine| call(machine.ready(), "GET", "/readiness", &[], b"", SETTLE);
        entries.iter().all(|machine| ready(machine).is_ok_and(|answer| answer.status == 200))
    });
    controls[3].start();
    lab.record.note("a control machine is added");
    sleep_ms(5_000);

    // A job that fills most of the limit, and one that does not fit beside it.
    let accepted = submit(&lab, &entries[0], "jobone", &batch_job("jobone", 10, 150));
    let first = submit(&lab, &entries[1], "jobtwo", &batch_job("jobtwo", 10, 100));
    sleep_ms(500);
    let second = submit(&lab, &entries[2], "jobtwo", &batch_job("jobtwo", 10, 100));
    if (accepted, first, second) != (202, 429, 429) {
        lab.record.note("the second job was not refused");
        drop((controls, entries));
        lab.finish(2);
    }
    if !is_done(&lab, &entries[0], "jobone", 10) {
        lab.record.note("the first job is not done");
        drop((controls, entries));
        lab.finish(2);
    }

    let mut frozen = Vec::new();
    for _ in 0..2 {
        let victim = (0..3).find(|&n| !frozen.contains(&n) && !controls[n].leads());
        let victim = victim.expect("there are two founders that do not lead");
        frozen.push(victim);
        if has_trouble() {
            lab.record.note(format!("{} freezes", controls[victim].name));
            controls[victim].signal(SIGSTOP);
            sleep_ms(FREEZE_MS);
            controls[victim].signal(SIGCONT);
            lab.record.note(format!("{} wakes", controls[victim].name));
        }
        sleep_ms(PAUSE_MS);
    }
    for control in &controls {
        lab.record.note(format!("{} leads: {}", control.name, control.leads()));
    }

    // From here on nothing is disturbed: contactMs has passed, so every machine is in touch.
    let accepted = submit(&lab, &entries[0], "jobthree", &batch_job("jobthree", 10, 150));
    if accepted != 202 {
        lab.record.note("the third job was not accepted");
        drop((controls, entries));
        lab.finish(2);
    }
    sleep_ms(1_500);
    let mut lost = 0;
    for _ in 0..3 {
        for entry in &entries {
            let (status, _) = read_job(&lab, entry, "jobthree");
            lost += u32::from(status == 404 || status == 410);
            read_job(&lab, entry, "jobtwo");
        }
        sleep_ms(1_500);
    }
    lab.record.note(format!("answers 404 for the accepted job later than settleMs: {lost}"));

    // Beyond the rule that is checked: the machine that leads freezes, and whichever leads next goes on with the
    // jobs that it holds, also with the refused one.
    if has_trouble() {
        let leader = (0..4).find(|&n| controls[n].leads());
        if let Some(leader) = leader {
            lab.record.note(format!("{} freezes", controls[leader].name));
            controls[leader].signal(SIGSTOP);
            sleep_ms(FREEZE_MS);
            controls[leader].signal(SIGCONT);
            lab.record.note(format!("{} wakes", controls[leader].name));
        }
    }
    sleep_ms(PAUSE_MS);
    for entry in &entries {
        read_job(&lab, entry, "jobthree");
        read_job(&lab, entry, "jobtwo");
    }
    let done = runner.runs().iter().filter(|run| run.id.starts_with("jobthree")).count();
    lab.record.note(format!("runs of items of the accepted job: {done}"));
    let refused_runs = runner.runs().iter().filter(|run| run.id.starts_with("jobtwo")).count();
    lab.record.note(format!("runs of items of the job that was refused: {refused_runs}"));
    for control in &controls {
        for line in control.log_lines("replica_dropped") {
            lab.record.note(format!("{}: {line}", control.name));
        }
    }
    drop((controls, entries));
    lab.finish(if lost > 0 { 1 } else { 0 });
}
