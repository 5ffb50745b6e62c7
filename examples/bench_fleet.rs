//! Measures a whole fleet in one process: time from an accepted configuration to its being in force
//! on every entry host, and what idle hosts cost.
//!
//! usage: bench_fleet [ENTRY_HOSTS]

use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::settings::{HostSettings, ReplicaSettings};
use damaskhoist::{BoundHost, Host};
use miette::{ensure, IntoDiagnostic, Result};
use serde_json::json;
use standin::Caller;

const CHANGES: u64 = 50;
const IDLE_TIME: Duration = Duration::from_secs(10);
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> Result<()> {
    let entry_hosts = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(12);
    task::block_on(run(entry_hosts))
}

async fn run(entry_hosts: usize) -> Result<()> {
    let folder = tempfile::tempdir().into_diagnostic()?;
    let hosts = start(entry_hosts, folder.path()).await?;
    let addresses = hosts.iter().filter_map(Host::caller_address);
    let callers: Vec<Caller> = addresses.map(Caller::open).collect();
    wait_for_version(&hosts, 0).await?;

    let mut times_ms = Vec::new();
    for version in 0..CHANGES {
        let change = json!({"base_version": version,
            "edits": [{"put_customer": {"name": "parish", "weight": version + 1}}]});
        let changed = callers[0].post("/v1/admin/configuration", &[], &change).await;
        let changed = changed.into_diagnostic()?;
        ensure!(changed.status == 200, "the change was refused: {}", changed.body);
        let accepted = Instant::now();
        wait_for_version(&hosts, version + 1).await?;
        times_ms.push(accepted.elapsed().as_secs_f64() * 1_000.0);
    }
    times_ms.sort_by(f64::total_cmp);
    let at = |share: f64| times_ms[((times_ms.len() - 1) as f64 * share) as usize];
    println!("entry hosts: {entry_hosts}, control hosts: 3, configuration changes: {CHANGES}");
    println!(
        "accepted to in force everywhere: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    let before = processor_ms()?;
    task::sleep(IDLE_TIME).await;
    let used_ms = processor_ms()? - before;
    let per_host = used_ms as f64 / IDLE_TIME.as_millis() as f64 / hosts.len() as f64;
    println!(
        "idle: {:.2} % of a core a host, {:.1} MB a host (all hosts in one process)",
        per_host * 100.0,
        resident_bytes()? as f64 / 1e6 / hosts.len() as f64
    );
    for host in hosts {
        host.close().await;
    }
    Ok(())
}

async fn start(entry_hosts: usize, folder: &std::path::Path) -> Result<Vec<Host>> {
    let mut bound = Vec::new();
    for index in 0..3 + entry_hosts {
        let zone = ["santander", "torrelavega", "pamplona"][index % 3];
        let region = if index % 3 == 2 { "navarra" } else { "cantabria" };
        let mut settings = HostSettings::loopback(&format!("{zone}-{index}"), zone, region);
        settings.roles.control = index < 3;
        settings.roles.entry = index >= 3;
        settings.control.replica_id = index as u64 + 1;
        settings.control.data_folder = folder.join(&settings.host_id);
        bound.push(BoundHost::bind(settings).await?);
    }
    let controls = bound[..3].iter().map(|host| ReplicaSettings {
        replica_id: host.settings.control.replica_id,
        peer_address: host.settings.peer_address.to_string(),
        zone: host.settings.zone.clone(),
    });
    let replicas: Vec<_> = controls.collect();
    let peers: Vec<_> = replicas.iter().map(|replica| replica.peer_address.clone()).collect();
    let mut hosts = Vec::new();
    for mut host in bound {
        host.settings.control_addresses.clone_from(&peers);
        host.settings.seed_addresses.clone_from(&peers);
        if host.settings.roles.control {
            host.settings.control.replicas.clone_from(&replicas);
        }
        hosts.push(host.open().await?);
    }
    Ok(hosts)
}

/// Waits until each entry host has a confirmed configuration of at least `version`.
async fn wait_for_version(hosts: &[Host], version: u64) -> Result<()> {
    let started = Instant::now();
    for entry in hosts.iter().filter_map(Host::entry) {
        let watch = &entry.shared().configuration;
        while watch.load().version() < version || !watch.is_confirmed() {
            ensure!(started.elapsed() < STEP_TIMEOUT, "version {version} is not in force");
            task::sleep(Duration::from_micros(200)).await;
        }
    }
    Ok(())
}

/// Processor time of this process, in steps of 10 ms.
fn processor_ms() -> Result<u64> {
    let stat = std::fs::read_to_string("/proc/self/stat").into_diagnostic()?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|text| text.parse::<u64>().ok()).sum();
    Ok(ticks * 10)
}

/// Memory of this process.
fn resident_bytes() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status").into_diagnostic()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().into_diagnostic()?;
    Ok(kib * 1024)
}
