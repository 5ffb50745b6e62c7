//! Measures the agreement: three replicas of each group over loopback connections, synced disks.
//!
//! `cargo run --release --example bench_log -- [--seconds 5] [--groups 1] [--clients 64]
//! [--items 1] [--item-bytes 200] [--folder path]`
//!
//! Prints the time of a bare sync on the same disk, commit latency, proposals and items per second,
//! the time without a leader after the leader is lost, and the cost of an idle group.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use damaskhoist::peer::{PeerCaller, PeerHandler, PeerListener, PeerPool, TrafficClass};
use damaskhoist::raft::{Group, GroupOptions, Priority, Replica, StateMachine, Transport};
use damaskhoist::schema::peer::frame::Body;
use damaskhoist::schema::peer::{Call, RaftMessage, Reply};
use hdrhistogram::Histogram;
use prost::Message as _;

const HOSTS: u64 = 3;

struct Arguments {
    seconds: u64,
    groups: u32,
    clients: usize,
    items: usize,
    item_bytes: usize,
    folder: PathBuf,
}

/// Counts the bytes of its commands.
#[derive(Default)]
struct CountMachine {
    applied: AtomicU64,
}

impl StateMachine for CountMachine {
    fn apply(&self, _index: u64, _command: &[u8]) -> Bytes {
        self.applied.fetch_add(1, Ordering::Relaxed);
        Bytes::new()
    }

    fn save(&self, target: &mut dyn io::Write) -> io::Result<()> {
        target.write_all(&self.applied.load(Ordering::Relaxed).to_le_bytes())
    }

    fn restore(&self, source: &mut dyn io::Read) -> io::Result<()> {
        let mut applied = [0; 8];
        source.read_exact(&mut applied)?;
        self.applied.store(u64::from_le_bytes(applied), Ordering::Relaxed);
        Ok(())
    }
}

/// The groups of one host, which take the messages of its listener.
#[derive(Default)]
struct Host {
    groups: OnceLock<Vec<Group>>,
}

#[async_trait]
impl PeerHandler for Host {
    async fn handle_call(&self, _from_host_id: &str, _call: Call) -> Reply {
        Reply::default()
    }

    fn handle_message(&self, _from_host_id: &str, body: Body) {
        let Body::Raft(message) = body else { return };
        let Some(groups) = self.groups.get() else { return };
        let Some(group) = groups.get(message.group as usize - 1) else { return };
        group.receive(message);
    }
}

struct PoolOutbox {
    pool: PeerPool,
    sent_bytes: Arc<AtomicU64>,
}

impl Transport for PoolOutbox {
    fn send(&self, to_address: &str, message: RaftMessage) {
        self.sent_bytes.fetch_add(message.encoded_len() as u64, Ordering::Relaxed);
        self.pool.send(to_address, TrafficClass::Online, Body::Raft(message));
    }
}

struct Fleet {
    hosts: Vec<Arc<Host>>,
    listeners: Vec<PeerListener>,
    sent_bytes: Arc<AtomicU64>,
}

impl Fleet {
    async fn start(arguments: &Arguments) -> io::Result<Self> {
        let mut fleet = Self { hosts: vec![], listeners: vec![], sent_bytes: Arc::default() };
        for _ in 0..HOSTS {
            let host = Arc::new(Host::default());
            fleet.listeners.push(PeerListener::spawn(
                TcpListener::bind("127.0.0.1:0").await?,
                "",
                host.clone(),
                Arc::default(),
            )?);
            fleet.hosts.push(host);
        }
        let replicas: Vec<Replica> = (1..)
            .zip(&fleet.listeners)
            .map(|(id, listener)| Replica {
                id,
                peer_address: listener.address().to_string(),
                zone: format!("zone-{id}"),
                voter: true,
            })
            .collect();
        for (id, host) in (1..).zip(&fleet.hosts) {
            let pool = PeerPool::open(&format!("host-{id}"), "zone", 1, "");
            let outbox = Arc::new(PoolOutbox { pool, sent_bytes: fleet.sent_bytes.clone() });
            let mut groups = Vec::new();
            for number in 1..=arguments.groups {
                let folder = arguments.folder.join(format!("host-{id}/group-{number}"));
                let mut options = GroupOptions::new(number, id, folder, replicas.clone());
                options.seed = id;
                let machine = Arc::new(CountMachine::default());
                let group = Group::open(options, machine, outbox.clone());
                groups.push(group.map_err(io::Error::other)?);
            }
            assert!(host.groups.set(groups).is_ok(), "groups are opened once");
        }
        Ok(fleet)
    }

    fn group(&self, host: usize, group: u32) -> &Group {
        &self.hosts[host].groups.get().expect("groups are open")[group as usize - 1]
    }

    async fn leader(&self, group: u32, without: Option<usize>) -> usize {
        loop {
            for host in (0..self.hosts.len()).filter(|&host| Some(host) != without) {
                if self.group(host, group).status().is_leader {
                    return host;
                }
            }
            task::sleep(Duration::from_millis(2)).await;
        }
    }
}

fn main() -> io::Result<()> {
    let arguments = parse_arguments();
    fs::create_dir_all(&arguments.folder)?;
    let result = task::block_on(run(&arguments));
    fs::remove_dir_all(&arguments.folder)?;
    result
}

fn parse_arguments() -> Arguments {
    let mut given = pico_args::Arguments::from_env();
    let mut number = |name, default| {
        given.opt_value_from_str(name).expect("the option is a number").unwrap_or(default)
    };
    let (seconds, groups) = (number("--seconds", 5), number("--groups", 1) as u32);
    let (clients, items) = (number("--clients", 64) as usize, number("--items", 1) as usize);
    let item_bytes = number("--item-bytes", 200) as usize;
    let folder: Option<PathBuf> = given.opt_value_from_str("--folder").expect("a path");
    let folder = folder.unwrap_or_else(|| "target/bench_log".into());
    Arguments { seconds, groups, clients, items, item_bytes, folder }
}

async fn run(arguments: &Arguments) -> io::Result<()> {
    print_latency("bare sync of 4 KiB", &measure_syncs(&arguments.folder)?);
    let fleet = Fleet::start(arguments).await?;
    for group in 1..=arguments.groups {
        fleet.leader(group, None).await;
    }
    measure_idle(&fleet).await;
    measure_commits("1 client", &fleet, arguments, 1).await;
    measure_commits(
        &format!("{} clients", arguments.clients),
        &fleet,
        arguments,
        arguments.clients,
    )
    .await;
    measure_failover(&fleet).await;
    for host in &fleet.hosts {
        for group in host.groups.get().expect("groups are open") {
            group.clone().close().await;
        }
    }
    for listener in fleet.listeners {
        listener.close().await;
    }
    Ok(())
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

fn print_latency(name: &str, microseconds: &Histogram<u64>) {
    let at = |quantile| microseconds.value_at_quantile(quantile) as f64 / 1000.0;
    println!("{name}: p50 {:.3} ms, p99 {:.3} ms", at(0.5), at(0.99));
}

fn measure_syncs(folder: &Path) -> io::Result<Histogram<u64>> {
    let path = folder.join("sync");
    let mut file = File::create(&path)?;
    let mut histogram = new_histogram();
    for _ in 0..200 {
        let started = Instant::now();
        file.write_all(&[7; 4096])?;
        file.sync_data()?;
        histogram.record(started.elapsed().as_micros() as u64).expect("it resizes");
    }
    fs::remove_file(path)?;
    Ok(histogram)
}

/// Proposes from `clients` tasks, spread over the groups, each one command at a time.
async fn measure_commits(name: &str, fleet: &Fleet, arguments: &Arguments, clients: usize) {
    let latencies = Arc::new(Mutex::new(new_histogram()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for client in 0..clients {
        let number = client as u32 % arguments.groups + 1;
        let group = fleet.group(fleet.leader(number, None).await, number).clone();
        let (latencies, stop) = (latencies.clone(), stop.clone());
        // Random content, so that compression gains no more than it would with results.
        let size = arguments.items * arguments.item_bytes;
        let letters = (0..size).map(|_| rand::random_range(b'a'..=b'z'));
        let command = Bytes::from_iter(letters);
        tasks.push(task::spawn(async move {
            let mut failures = 0;
            while !stop.load(Ordering::Relaxed) {
                let started = Instant::now();
                match group.propose(command.clone(), Priority::Online).await {
                    Ok(_) => {
                        let elapsed_us = started.elapsed().as_micros() as u64;
                        let mut latencies = latencies.lock().expect("no panic");
                        latencies.record(elapsed_us).expect("it resizes");
                    }
                    Err(_) => {
                        failures += 1;
                        task::sleep(Duration::from_millis(10)).await;
                    }
                }
            }
            failures
        }));
    }
    let (started, cpu) = (Instant::now(), processor_time());
    task::sleep(Duration::from_secs(arguments.seconds)).await;
    stop.store(true, Ordering::Relaxed);
    let mut failures = 0;
    for task in tasks {
        failures += task.await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let cores = (processor_time() - cpu).as_secs_f64() / seconds;
    let latencies = latencies.lock().expect("no panic");
    let per_second = latencies.len() as f64 / seconds;
    print_latency(&format!("{name}: commit"), &latencies);
    println!(
        "{name}: {per_second:.0} proposals/s, {:.0} items/s, {failures} failures, {cores:.2} cores",
        per_second * arguments.items as f64,
    );
}

async fn measure_idle(fleet: &Fleet) {
    let (started, cpu) = (Instant::now(), processor_time());
    let before_bytes = fleet.sent_bytes.load(Ordering::Relaxed);
    task::sleep(Duration::from_secs(3)).await;
    let seconds = started.elapsed().as_secs_f64();
    let cores = (processor_time() - cpu).as_secs_f64() / seconds / HOSTS as f64;
    let bytes = fleet.sent_bytes.load(Ordering::Relaxed) - before_bytes;
    let rate = bytes as f64 / seconds / HOSTS as f64 / 1000.0;
    println!("idle: {:.2} % of a core and {rate:.2} KB/s sent per host", cores * 100.0);
}

/// Closes the leader of the first group without notice and waits for a commit elsewhere.
async fn measure_failover(fleet: &Fleet) {
    let lost = fleet.leader(1, None).await;
    let group = fleet.group(lost, 1).clone();
    let started = Instant::now();
    group.close().await;
    loop {
        let leader = fleet.leader(1, Some(lost)).await;
        let command = Bytes::from_static(b"after the loss");
        if fleet.group(leader, 1).propose(command, Priority::Online).await.is_ok() {
            break;
        }
    }
    println!("loss of the leader: {} ms to the next commit", started.elapsed().as_millis());
}

/// Processor time of this process, from `/proc`; ticks are hundredths of a second.
fn processor_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<i64> = after_name.split(' ').filter_map(|it| it.parse().ok()).collect();
    // After the name and the state: utime and stime are the 11th and 12th number.
    let ticks = fields.get(10).zip(fields.get(11)).map_or(0, |(user, system)| user + system);
    Duration::from_millis(ticks as u64 * 10)
}
