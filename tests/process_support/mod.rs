//! Fleets of real processes: `damaskhoistd` with settings files, stopped by signals.

#![allow(dead_code)]

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use serde_json::{json, Value};
use standin::{Caller, Engine, EngineOptions, Relay};
use tempfile::TempDir;

pub const MODEL: &str = "engraver-llm";
pub const SERVICE: &str = "engraving";
const ZONES: [(&str, &str); 3] =
    [("santander", "cantabria"), ("torrelavega", "cantabria"), ("pamplona", "navarra")];
/// Longest time for a step that must come true; far above what a loaded machine needs.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One process of a fleet with its settings file.
pub struct Process {
    pub name: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the process, or starts it again.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} runs already", self.name);
        let log = File::options().create(true).append(true).open(&self.log_file);
        let log = log.expect("the log file opens");
        let child = Command::new(env!("CARGO_BIN_EXE_damaskhoistd"))
            .arg("--settings")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("the process runs");
        child.kill().expect("the process is ours");
        child.wait().expect("the process ends");
    }

    /// Asks the process to drain; [`Self::wait`] waits for its end.
    pub fn terminate(&self) {
        let child = self.child.as_ref().expect("the process runs");
        let stopped = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        assert!(stopped.expect("the signal is sent").success());
    }

    /// Waits for the end of a process that was asked to drain.
    pub async fn wait(&mut self) {
        let started = Instant::now();
        let child = self.child.as_mut().expect("the process runs");
        while child.try_wait().expect("the process is ours").is_none() {
            assert!(started.elapsed() < STEP_TIMEOUT, "{} did not stop", self.name);
            task::sleep(POLL_INTERVAL).await;
        }
        self.child = None;
    }

    pub fn caller(&self) -> Caller {
        Caller::open(self.caller_address)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("log of {}:\n{}", self.name, self.log());
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Three control hosts and some entry hosts, each a process of its own.
pub struct Fleet {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    folder: TempDir,
    /// Relays between control hosts, each with the hosts that it joins.
    relays: Vec<(usize, usize, Relay)>,
}

impl Fleet {
    /// Starts the processes and waits until a quorum answers through each entry host.
    pub async fn start(entries: usize, adjust: impl Fn(&mut Value)) -> Self {
        let addresses = free_addresses(2 * (3 + entries));
        let direct = |_: usize, to: usize| addresses[to];
        Self::start_at(entries, &addresses, Vec::new(), direct, adjust).await
    }

    /// As [`Self::start`], with a relay on the way of each control host to each other one.
    pub async fn start_with_relays(entries: usize) -> Self {
        let addresses = free_addresses(2 * (3 + entries));
        let mut relays = Vec::new();
        for from in 0..3 {
            for (to, address) in addresses.iter().enumerate().take(3) {
                if from != to {
                    relays.push((
                        from,
                        to,
                        Relay::open(*address).await.expect("loopback has free ports"),
                    ));
                }
            }
        }
        let routes: Vec<_> =
            relays.iter().map(|(from, to, relay)| (*from, *to, relay.address)).collect();
        let through_relay = |from: usize, to: usize| {
            let route = routes.iter().find(|route| (route.0, route.1) == (from, to));
            route.map_or(addresses[to], |route| route.2)
        };
        Self::start_at(entries, &addresses, relays, through_relay, |_| {}).await
    }

    async fn start_at(
        entries: usize,
        addresses: &[SocketAddr],
        relays: Vec<(usize, usize, Relay)>,
        peer_address: impl Fn(usize, usize) -> SocketAddr,
        adjust: impl Fn(&mut Value),
    ) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let peers: Vec<_> = addresses[..3].iter().map(SocketAddr::to_string).collect();
        let mut processes = Vec::new();
        for index in 0..3 + entries {
            let (zone, region) = ZONES[index % 3];
            let is_control = index < 3;
            let name = format!("{zone}-{index}");
            let mut settings = json!({
                "host_id": name, "zone": zone, "region": region,
                "roles": [if is_control { "CONTROL" } else { "ENTRY" }],
                "caller_address": addresses[3 + entries + index].to_string(),
                "peer_address": addresses[index].to_string(),
                "seed_addresses": peers, "control_addresses": peers,
                "entry": {"entries_hold_ms": 500},
            });
            if is_control {
                let replicas = (0..3).map(|id| {
                    json!({"replica_id": (id + 1).to_string(), "zone": ZONES[id].0,
                        "peer_address": peer_address(index, id).to_string()})
                });
                settings["control"] = json!({
                    "data_folder": folder.path().join(&name),
                    "replica_id": (index + 1).to_string(),
                    "replicas": replicas.collect::<Vec<_>>(),
                });
            }
            adjust(&mut settings);
            let process = Process {
                caller_address: addresses[3 + entries + index],
                peer_address: addresses[index],
                settings_file: write_settings(folder.path(), &name, &settings),
                log_file: folder.path().join(format!("{name}.log")),
                name,
                child: None,
            };
            processes.push(process);
        }
        processes.iter_mut().for_each(Process::start);
        let entries = processes.split_off(3);
        let fleet = Self { controls: processes, entries, folder, relays };
        for entry in &fleet.entries {
            fleet.wait_until_serving(entry).await;
        }
        fleet
    }

    /// Cuts a control host off the other ones without closing a connection, or ends that.
    pub fn isolate(&self, control: usize, is_cut: bool) {
        for (from, to, relay) in &self.relays {
            if [*from, *to].contains(&control) {
                relay.set_silent(is_cut);
            }
        }
    }

    /// Last applied index of each control host, as the hosts themselves report it.
    pub async fn applied(&self, through: &Process) -> Vec<Option<u64>> {
        let text = json!({"text": "show hosts where control = true"});
        let answer = through.caller().post("/v1/admin/query", &[], &text).await;
        let answer = answer.map(|answer| answer.json()).unwrap_or_default();
        let columns = answer["columns"].as_array().cloned().unwrap_or_default();
        let column = columns.iter().position(|name| name == "applied_index");
        let rows = answer["rows"].as_array().cloned().unwrap_or_default();
        let applied = |control: &Process| {
            let row = rows.iter().find(|row| row[0] == control.name.as_str())?;
            row[column?].as_u64()
        };
        self.controls.iter().map(applied).collect()
    }

    /// Waits until an entry host has a confirmed configuration.
    pub async fn wait_until_serving(&self, entry: &Process) {
        let caller = entry.caller();
        eventually(&format!("{} serves", entry.name), async || {
            let Ok(status) = caller.get("/v1/admin/status").await else { return false };
            status.json()["configuration_age_ms"].is_u64()
        })
        .await;
    }

    /// A stand-in engine that announces itself to all entry hosts, and is known to each.
    pub async fn engine(&self, change: impl Fn(&mut EngineOptions)) -> Engine {
        let mut options = EngineOptions::for_service(SERVICE, MODEL);
        options.announce_interval_ms = 100;
        options.zone = ZONES[0].0.to_owned();
        options.region = ZONES[0].1.to_owned();
        options.entry_addresses =
            self.entries.iter().map(|entry| entry.caller_address.to_string()).collect();
        change(&mut options);
        let engine = Engine::bind(options).expect("the engine starts");
        for entry in &self.entries {
            let caller = entry.caller();
            eventually("the engine is known", async || {
                let Ok(models) = caller.get("/v1/models").await else { return false };
                models.json()["data"][0]["id"] == MODEL
            })
            .await;
        }
        engine
    }

    /// Starts a control host with an empty disk that is to join the group as `replica_id`.
    pub fn add_control(&mut self, replica_id: u64, lost: usize) {
        let file = &self.controls[lost].settings_file;
        let text = std::fs::read_to_string(file).expect("the settings are there");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        let addresses = free_addresses(2);
        let name = format!("replacement-{replica_id}");
        settings["host_id"] = json!(name);
        settings["peer_address"] = json!(addresses[0].to_string());
        settings["caller_address"] = json!(addresses[1].to_string());
        settings["control"]["replica_id"] = json!(replica_id.to_string());
        settings["control"]["join_existing"] = json!(true);
        settings["control"]["data_folder"] = json!(self.folder.path().join(&name));
        let mut process = Process {
            caller_address: addresses[1],
            peer_address: addresses[0],
            settings_file: write_settings(self.folder.path(), &name, &settings),
            log_file: self.folder.path().join(format!("{name}.log")),
            name,
            child: None,
        };
        process.start();
        self.controls.push(process);
    }

    /// Removes the files of a control host, as when its disk is lost.
    pub fn lose_disk(&self, control: usize) {
        let folder = self.folder.path().join(&self.controls[control].name);
        std::fs::remove_dir_all(folder).expect("the data folder is ours");
    }

    /// Waits until a control host says that it leads; gives its index. Right after an election
    /// none may say so.
    pub async fn leader(&self, through: &Process) -> usize {
        let mut leader = None;
        eventually("a control host leads", async || {
            leader = self.leader_now(through).await;
            leader.is_some()
        })
        .await;
        leader.expect("it was just found")
    }

    async fn leader_now(&self, through: &Process) -> Option<usize> {
        let text = json!({"text": "show hosts where leads = true"});
        let answer = through.caller().post("/v1/admin/query", &[], &text).await.ok()?.json();
        let name = answer["rows"][0][0].as_str()?;
        self.controls.iter().position(|control| control.name == name)
    }
}

/// Waits until `holds` is true; fails the test when it never is.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < STEP_TIMEOUT, "not within {STEP_TIMEOUT:?}: {what}");
        task::sleep(POLL_INTERVAL).await;
    }
    started.elapsed()
}

/// Submits a job of `items` requests; gives its id once it is acknowledged.
pub async fn submit_job(caller: &Caller, items: usize, key: &str) -> String {
    let mut lines = String::new();
    for item in 0..items {
        let body = json!({"model": MODEL, "max_tokens": 8,
            "messages": [{"role": "user", "content": format!("Sheet {item} of {key}")}]});
        let line = json!({"custom_id": format!("sheet-{item}"), "method": "POST",
            "url": "/v1/chat/completions", "body": body});
        lines.push_str(&format!("{line}\n"));
    }
    let file = caller.call("POST", "/v1/files?purpose=batch", &[], lines.as_bytes()).await;
    let file = file.expect("the host answers");
    assert_eq!(file.status, 200, "{}", file.body);
    let batch = json!({"input_file_id": file.json()["id"], "endpoint": "/v1/chat/completions"});
    let created = caller.post("/v1/batches", &[("idempotency-key", key)], &batch).await;
    let created = created.expect("the host answers");
    assert_eq!(created.status, 200, "{}", created.body);
    created.json()["id"].as_str().expect("a job has an id").to_owned()
}

/// Waits until a job is completed; gives the `custom_id` and the error of each result.
pub async fn results(caller: &Caller, job_id: &str) -> Vec<(String, Value)> {
    let path = format!("/v1/batches/{job_id}");
    eventually("the job completes", async || {
        let Ok(job) = caller.get(&path).await else { return false };
        job.json()["status"] == "completed"
    })
    .await;
    let lines = caller.get(&format!("{path}/results")).await.expect("the host answers");
    let lines = lines.body.lines().map(|line| {
        let line: Value = serde_json::from_str(line).expect("a result is JSON");
        let custom_id = line["custom_id"].as_str().expect("a result has an id").to_owned();
        (custom_id, line["error"].clone())
    });
    lines.collect()
}

/// Asserts that each of `items` items has exactly one result, and that it succeeded.
pub fn assert_each_item_once(results: &[(String, Value)], items: usize) {
    let mut ids: Vec<_> = results.iter().map(|(custom_id, _)| custom_id.clone()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len(), results.len()), (items, items), "results are missing or doubled");
    assert!(results.iter().all(|(_, error)| error.is_null()), "{results:?}");
}

/// Body of a chat request.
pub fn chat(content: &str, stream: bool) -> Value {
    json!({"model": MODEL, "stream": stream, "max_tokens": 16,
        "messages": [{"role": "user", "content": content}]})
}

fn write_settings(folder: &Path, name: &str, settings: &Value) -> PathBuf {
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, settings.to_string()).expect("the settings are written");
    file
}

/// Addresses that were free a moment ago, on a loopback address of this call's own: no connection
/// of another test can take a port before the process that gets it.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 | (high & 63), low, call);
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind((host, 0)).expect("loopback has free ports"))
        .collect();
    listeners.iter().map(|listener| listener.local_addr().expect("it is bound")).collect()
}
