//! Whole fleets in one process: hosts with their real connections, and stand-in engines.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::entry::EntryShared;
use damaskhoist::settings::{HostSettings, ReplicaSettings, Roles};
use damaskhoist::{BoundHost, Host, SharingOptions};
use serde_json::{json, Value};
use standin::{Caller, Engine, EngineOptions};
use tempfile::TempDir;

pub const MODEL: &str = "engraver-llm";
pub const SERVICE: &str = "engraving";
pub const REGION: &str = "cantabria";
pub const ZONES: [&str; 3] = ["santander", "torrelavega", "pamplona"];

/// Longest time until a started fleet serves.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a test wants to start.
pub struct ClusterOptions {
    /// Hosts, all with the entry role.
    pub hosts: usize,
    /// The first hosts hold the control role: one or three.
    pub control_hosts: usize,
    /// Stand-in upstreams; their entry addresses and zones are filled in.
    pub engines: Vec<EngineOptions>,
    /// Changes the settings of a host before it starts.
    pub adjust: fn(&mut HostSettings),
    /// How hosts share upstreams.
    pub sharing: fn() -> SharingOptions,
}

impl ClusterOptions {
    /// Hosts with one control host, and engines of [`MODEL`].
    pub fn new(hosts: usize, engines: usize) -> Self {
        Self {
            hosts,
            control_hosts: 1,
            engines: vec![engine(); engines],
            adjust: |_| {},
            sharing: SharingOptions::default,
        }
    }

    /// The same change to each engine's settings.
    pub fn with_engines(mut self, change: impl Fn(&mut EngineOptions)) -> Self {
        self.engines.iter_mut().for_each(change);
        self
    }
}

/// Settings of an engine that answers fast and announces often.
pub fn engine() -> EngineOptions {
    let mut options = EngineOptions::for_service(SERVICE, MODEL);
    options.announce_interval_ms = 100;
    options
}

/// A running fleet. Stops with [`Cluster::close`]; dropping it leaves the hosts to their end.
pub struct Cluster {
    /// `None` after a host was closed by the test.
    pub hosts: Vec<Option<Host>>,
    pub engines: Vec<Engine>,
    callers: Vec<Caller>,
    _folders: Vec<TempDir>,
}

impl Cluster {
    /// Starts a fleet and waits until each host knows each engine and a quorum answers.
    pub async fn open(options: ClusterOptions) -> Self {
        let (mut bound, folders) = bind(&options).await;
        join(&mut bound, options.control_hosts);
        let mut hosts = Vec::new();
        for host in bound {
            hosts.push(Some(host.open().await.expect("the host starts")));
        }
        let addresses: Vec<_> = hosts
            .iter()
            .flatten()
            .map(|host| host.caller_address().expect("each host has the entry role"))
            .collect();
        let callers = addresses.iter().map(|address| Caller::open(*address)).collect();
        let mut engines = Vec::new();
        for (index, mut engine) in options.engines.into_iter().enumerate() {
            engine.zone = ZONES[index % ZONES.len()].to_owned();
            engine.region = REGION.to_owned();
            let mut entries: Vec<_> = addresses.iter().map(ToString::to_string).collect();
            entries.rotate_left(index % addresses.len());
            engine.entry_addresses = entries;
            engines.push(Engine::bind(engine).expect("the engine starts"));
        }
        let cluster = Self { hosts, engines, callers, _folders: folders };
        cluster.wait_until_ready().await;
        cluster
    }

    /// A caller of one host.
    pub fn caller(&self, host: usize) -> &Caller {
        &self.callers[host]
    }

    /// State of one host that is running.
    pub fn address(&self, host: usize) -> std::net::SocketAddr {
        let host = self.hosts[host].as_ref().expect("the host runs");
        host.caller_address().expect("each host has the entry role")
    }

    pub fn shared(&self, host: usize) -> &EntryShared {
        let host = self.hosts[host].as_ref().expect("the host is running");
        host.entry().expect("each host has the entry role").shared()
    }

    /// The engine with this id.
    pub fn engine(&self, upstream_id: &str) -> &Engine {
        let found = self.engines.iter().find(|engine| engine.upstream_id() == upstream_id);
        found.expect("an engine of the fleet")
    }

    /// Calls of all engines that were admitted, those of resumed streams included.
    pub fn started(&self) -> u64 {
        self.engines.iter().map(|engine| engine.stats().started.values().sum::<u64>()).sum()
    }

    /// Requests that run at all engines.
    pub fn running(&self) -> u64 {
        self.engines.iter().map(|engine| engine.stats().running).sum()
    }

    /// Slots that the hosts hold at all engines.
    pub fn slots_in_use(&self) -> u32 {
        let running = (0..self.hosts.len()).filter(|host| self.hosts[*host].is_some());
        running
            .map(|host| {
                let fleet = self.shared(host).dispatcher.fleet().load();
                fleet.upstreams().map(|upstream| upstream.in_use()).sum::<u32>()
            })
            .sum()
    }

    /// Stops one host at once.
    pub async fn close_host(&mut self, host: usize) {
        if let Some(host) = self.hosts[host].take() {
            host.close().await;
        }
    }

    /// Stops everything.
    pub async fn close(mut self) {
        for engine in self.engines.drain(..) {
            engine.close().await;
        }
        // Control hosts last, so that entry hosts can settle what they hold.
        for host in self.hosts.drain(..).rev().flatten() {
            host.close().await;
        }
    }

    async fn wait_until_ready(&self) {
        let engines = self.engines.len();
        wait_until("each host knows each engine and a quorum answers", READY_TIMEOUT, || {
            (0..self.hosts.len()).all(|host| {
                let shared = self.shared(host);
                let known = shared.dispatcher.fleet().load().upstreams().count();
                known == engines && shared.configuration.is_confirmed()
            })
        })
        .await;
    }
}

async fn bind(options: &ClusterOptions) -> (Vec<BoundHost>, Vec<TempDir>) {
    let mut bound = Vec::new();
    let mut folders = Vec::new();
    for index in 0..options.hosts {
        let zone = ZONES[index % ZONES.len()];
        let mut settings = HostSettings::loopback(&format!("host-{index}"), zone, REGION);
        let control = index < options.control_hosts;
        settings.roles = Roles { entry: true, control };
        settings.control.replica_id = index as u64 + 1;
        settings.entry.entries_hold_ms = 100;
        let folder = tempfile::tempdir().expect("a temporary folder");
        settings.control.data_folder = folder.path().to_path_buf();
        (options.adjust)(&mut settings);
        let mut host = BoundHost::bind(settings).await.expect("a free port");
        host.sharing = (options.sharing)();
        bound.push(host);
        folders.push(folder);
    }
    (bound, folders)
}

/// Tells each host the addresses of the control hosts, which are also the seeds.
fn join(bound: &mut [BoundHost], control_hosts: usize) {
    let replicas: Vec<_> = bound[..control_hosts]
        .iter()
        .map(|host| ReplicaSettings {
            replica_id: host.settings.control.replica_id,
            peer_address: host.settings.peer_address.to_string(),
            zone: host.settings.zone.clone(),
        })
        .collect();
    let addresses: Vec<_> = replicas.iter().map(|replica| replica.peer_address.clone()).collect();
    for host in bound {
        let own = host.settings.peer_address.to_string();
        let seeds = addresses.iter().filter(|address| **address != own);
        host.settings.seed_addresses = seeds.cloned().collect();
        host.settings.control_addresses.clone_from(&addresses);
        if host.settings.roles.control {
            host.settings.control.replicas.clone_from(&replicas);
        }
    }
}

/// Waits for a condition and fails the test when it does not come true.
pub async fn wait_until(what: &str, timeout: Duration, is_met: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(started.elapsed() < timeout, "waited {timeout:?} until {what}");
        task::sleep(POLL_INTERVAL).await;
    }
}

/// A chat request for [`MODEL`].
pub fn chat(content: &str, max_tokens: u32, stream: bool) -> Value {
    json!({"model": MODEL, "max_tokens": max_tokens, "stream": stream,
        "messages": [{"role": "user", "content": content}]})
}

/// The text that an engine gives for a request made by [`chat`].
pub fn expected_text(content: &str, max_tokens: u32) -> String {
    let prompt = format!("user\n{content}\n");
    let hashes = standin::tokens::PromptHashes::of(MODEL, &prompt);
    (0..max_tokens.into())
        .map(|position| standin::tokens::token_text(hashes.prompt, position))
        .collect()
}
