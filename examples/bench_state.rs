//! Measures the replicated state on one thread: rates, memory, snapshots and reads.
//!
//! `cargo run --release --example bench_state -- [--jobs N] [--items N] [--answers N]
//! [--disk FOLDER]`

use std::error::Error;
use std::fs::{self, File};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use damaskhoist::raft::StateMachine;
use damaskhoist::schema::state::command::Command as Kind;
use damaskhoist::schema::state::outcome::Outcome as Kinds;
use damaskhoist::schema::state::query::Query as Read;
use damaskhoist::schema::state::query_answer::Answer as Found;
use damaskhoist::schema::state::*;
use damaskhoist::state::{BodyStore, DiskBodies, MemoryBodies, ReplicatedState};
use pico_args::Arguments;
use prost::Message;

const BATCH: usize = 64;
const CUSTOMERS: usize = 390;
const LINE_BYTES: usize = 400;
const RESULT_BYTES: usize = 600;
const PAGE_ITEMS: u32 = 100;
/// Items ended while a snapshot is written, to see how long it holds up commands.
const MIXED_LIMIT: usize = 200_000;

struct Bench {
    state: Arc<ReplicatedState>,
    jobs: usize,
    items_per_job: usize,
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = Arguments::from_env();
    let jobs = arguments.opt_value_from_str("--jobs")?.unwrap_or(20);
    let items: usize = arguments.opt_value_from_str("--items")?.unwrap_or(1_000_000);
    let answers: usize = arguments.opt_value_from_str("--answers")?.unwrap_or(0);
    let disk: Option<PathBuf> = arguments.opt_value_from_str("--disk")?;
    let open = |name: &str| -> Result<Arc<dyn BodyStore>, Box<dyn Error>> {
        Ok(match &disk {
            Some(folder) => Arc::new(DiskBodies::open(&folder.join(name))?),
            None => Arc::new(MemoryBodies::open()),
        })
    };
    let state = Arc::new(ReplicatedState::open(open("bodies")?));
    let bench = Bench { state, jobs, items_per_job: items / jobs };
    println!(
        "jobs {jobs}, items {items}, bodies {}",
        if disk.is_some() { "on disk" } else { "in memory" }
    );
    bench.create_jobs();
    bench.run_items(items / 2, "lease and finish");
    bench.record_answers(answers);
    bench.read_pages();
    let snapshot = disk.clone().unwrap_or_else(std::env::temp_dir).join("bench.snapshot");
    bench.save(&snapshot)?;
    for (name, label) in [("bodies", "restore, same bodies"), ("other", "restore, other replica")] {
        let before = resident_bytes();
        let started = Instant::now();
        let restored = ReplicatedState::open(open(name)?);
        restored.restore(&mut File::open(&snapshot)?)?;
        let grown = resident_bytes().saturating_sub(before);
        println!("{label}: {:.2} s, memory {} MB", started.elapsed().as_secs_f64(), grown >> 20);
    }
    fs::remove_file(&snapshot)?;
    Ok(())
}

impl Bench {
    fn apply(&self, kind: Kind) -> Kinds {
        let command = Command {
            command_id: String::new(),
            proposed_at_unix_ms: 1_700_000_000_000,
            command: Some(kind),
        };
        let encoded = self.state.apply(1, &command.encode_to_vec());
        Outcome::decode(encoded).expect("an outcome decodes").outcome.expect("an outcome is set")
    }

    fn create_jobs(&self) {
        let before = resident_bytes();
        let started = Instant::now();
        for job in 0..self.jobs {
            let customer = format!("customer-{}", job % CUSTOMERS);
            self.upload(&customer, job);
            let created = self.apply(Kind::CreateJob(CreateJob {
                customer,
                job_id: job_id(job),
                idempotency_key: format!("key-{job}"),
                fingerprint: vec![1; 32].into(),
                file_id: format!("file-{job:06}"),
                service: "draft".to_owned(),
                deadline_unix_ms: 1_700_000_000_000 + job as u64,
                ..CreateJob::default()
            }));
            assert!(matches!(created, Kinds::JobCreated(_)), "{created:?}");
        }
        let grown = resident_bytes().saturating_sub(before);
        println!("create: {:.2} s, memory {} MB", started.elapsed().as_secs_f64(), grown >> 20);
    }

    fn upload(&self, customer: &str, job: usize) {
        let mut offset_bytes = 0;
        let mut item = 0;
        while item < self.items_per_job {
            let end = (item + 1_000).min(self.items_per_job);
            let lines = (item..end).map(|item| line(job, item).into()).collect();
            let appended = self.apply(Kind::AppendFile(AppendFile {
                customer: customer.to_owned(),
                file_id: format!("file-{job:06}"),
                offset_bytes,
                lines,
                last: end == self.items_per_job,
                ..AppendFile::default()
            }));
            let Kinds::FileAppended(appended) = appended else { panic!("{appended:?}") };
            offset_bytes = appended.size_bytes;
            item = end;
        }
    }

    fn lease(&self) -> Vec<LeasedItem> {
        let lease = LeaseItems {
            holder: "host-1".to_owned(),
            max_items: BATCH as u32,
            lease_ms: 5_000,
            services: vec!["draft".to_owned()],
            ..LeaseItems::default()
        };
        match self.apply(Kind::LeaseItems(lease)) {
            Kinds::ItemsLeased(leased) => leased.items,
            other => panic!("{other:?}"),
        }
    }

    fn finish(&self, leased: Vec<LeasedItem>) {
        let items = leased
            .into_iter()
            .map(|item| ItemFinish {
                attempt: item.attempt,
                end: ItemEnd::Succeeded.into(),
                status: 200,
                body: result(&item.custom_id).into(),
            })
            .collect();
        self.apply(Kind::FinishItems(FinishItems { holder: "host-1".to_owned(), items }));
    }

    fn run_items(&self, items: usize, label: &str) {
        let before = resident_bytes();
        let (mut leasing, mut finishing) = (Duration::ZERO, Duration::ZERO);
        let mut slowest = Duration::ZERO;
        let mut done = 0;
        while done < items {
            let started = Instant::now();
            let leased = self.lease();
            let took = started.elapsed();
            leasing += took;
            slowest = slowest.max(took);
            if leased.is_empty() {
                break;
            }
            done += leased.len();
            let started = Instant::now();
            self.finish(leased);
            let took = started.elapsed();
            finishing += took;
            slowest = slowest.max(took);
        }
        let rate = |took: Duration| done as f64 / took.as_secs_f64();
        let grown = resident_bytes().saturating_sub(before);
        println!(
            "{label}: {done} items, lease {:.0}/s, finish {:.0}/s, both {:.0}/s, \
             slowest command {:.1} ms, memory {} MB",
            rate(leasing),
            rate(finishing),
            rate(leasing + finishing),
            slowest.as_secs_f64() * 1e3,
            grown >> 20,
        );
    }

    fn record_answers(&self, answers: usize) {
        let before = resident_bytes();
        let started = Instant::now();
        for number in 0..answers {
            self.apply(Kind::RecordAnswer(RecordAnswer {
                customer: format!("customer-{}", number % CUSTOMERS),
                key: format!("key-0000-0000-0000-{number:016}"),
                fingerprint: vec![1; 32].into(),
                request_id: format!("req-0000-0000-0000-{number:016}"),
                status: 200,
                content_type: "application/json".to_owned(),
                body: result("answer").into(),
            }));
        }
        let rate = answers as f64 / started.elapsed().as_secs_f64();
        let grown = resident_bytes().saturating_sub(before);
        println!("answers: {answers}, {rate:.0}/s, memory {} MB", grown >> 20);
    }

    fn read_pages(&self) {
        for with_bodies in [false, true] {
            let mut slowest = Duration::ZERO;
            let (mut pages, mut took) = (0, Duration::ZERO);
            for from_item in (0..self.items_per_job as u32).step_by(PAGE_ITEMS as usize).take(200) {
                let started = Instant::now();
                let list = ListItems {
                    job_id: job_id(0),
                    from_item,
                    limit: PAGE_ITEMS,
                    with_bodies,
                    ..ListItems::default()
                };
                let answer = self.state.query(&Query { query: Some(Read::ListItems(list)) });
                assert!(matches!(answer.answer, Some(Found::Items(_))));
                slowest = slowest.max(started.elapsed());
                took += started.elapsed();
                pages += 1;
            }
            println!(
                "page of {PAGE_ITEMS} items, bodies {with_bodies}: mean {:.0} us, slowest {:.0} us",
                took.as_secs_f64() * 1e6 / f64::from(pages),
                slowest.as_secs_f64() * 1e6,
            );
        }
    }

    /// Saves while items are leased and finished.
    fn save(&self, path: &std::path::Path) -> Result<(), Box<dyn Error>> {
        let state = self.state.clone();
        let is_saving = Arc::new(AtomicBool::new(true));
        let saver = {
            let (is_saving, path) = (is_saving.clone(), path.to_owned());
            thread::spawn(move || -> std::io::Result<Duration> {
                let started = Instant::now();
                let mut target = File::create(path)?;
                let saved = state.save(&mut target).and_then(|()| target.sync_all());
                is_saving.store(false, Ordering::Release);
                saved.map(|()| started.elapsed())
            })
        };
        let (mut done, mut slowest) = (0, Duration::ZERO);
        while is_saving.load(Ordering::Acquire) && done < MIXED_LIMIT {
            let started = Instant::now();
            let leased = self.lease();
            slowest = slowest.max(started.elapsed());
            done += leased.len();
            let started = Instant::now();
            self.finish(leased);
            slowest = slowest.max(started.elapsed());
        }
        let took = saver.join().expect("the saving thread does not panic")?;
        println!(
            "save: {:.2} s, {} MB; meanwhile {done} items, slowest command {:.1} ms",
            took.as_secs_f64(),
            fs::metadata(path)?.len() >> 20,
            slowest.as_secs_f64() * 1e3,
        );
        Ok(())
    }
}

fn job_id(job: usize) -> String {
    format!("job-{job:06}")
}

/// A line of varying words, so that compression gains what it would on prose.
fn line(job: usize, item: usize) -> String {
    let mut line = format!(r#"{{"custom_id":"{job}-{item}","body":{{"prompt":""#);
    fill(&mut line, job * 1_000_003 + item, LINE_BYTES);
    line.push_str("\"}}");
    line
}

fn result(custom_id: &str) -> String {
    let mut result = format!(r#"{{"id":"{custom_id}","text":""#);
    let seed = custom_id.bytes().fold(7, |sum: usize, byte| sum * 31 + usize::from(byte));
    fill(&mut result, seed, RESULT_BYTES);
    result.push_str("\"}");
    result
}

fn fill(text: &mut String, seed: usize, len_bytes: usize) {
    const WORDS: [&str; 16] = [
        "plate", "brass", "saint", "line", "engrave", "letter", "border", "hide", "grade", "cut",
        "sole", "size", "order", "sheet", "stock", "date",
    ];
    let mut random = seed as u64 | 1;
    while text.len() < len_bytes {
        random =
            random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        text.push_str(WORDS[(random >> 60) as usize]);
        text.push_str(&((random >> 50) & 0x3ff).to_string());
    }
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}
