use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::links::upstream_probe::reached_of;
use crate::links::{
    judge_links, judge_return, LinkFailures, LinkPeers, LinkVerdict, UpstreamProbe,
};
use crate::signal::Signal;

/// Upstreams that a check tries to reach.
const CHECKED_UPSTREAMS: usize = 8;
/// Other hosts that a check asks: most hosts of a zone may have lost their links at once.
const ASKED_HOSTS: usize = 6;
/// Shortest time between two checks while upstreams fail.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time to wait for the end of a check: the pause after the last one, and the check.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two attempts to reach upstreams while the links are lost.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);
/// Attempts in a row that must succeed before requests go directly to upstreams again.
const RETURN_ROUNDS: u32 = 2;

/// Where a [`LinkMonitor`] finds the fleet.
pub struct LinkMonitorOptions {
    /// Connects to upstreams.
    pub probe: Arc<dyn UpstreamProbe>,
    /// Asks other hosts.
    pub peers: LinkPeers,
    /// Addresses of the upstreams that take requests.
    pub upstreams: Box<dyn Fn() -> Vec<String> + Send + Sync>,
    /// Peer addresses of other entry hosts, those that say that they have lost their links left out.
    pub hosts: Box<dyn Fn() -> Vec<String> + Send + Sync>,
    /// Called after each change, with whether the links are lost.
    pub on_change: Box<dyn Fn(bool) + Send + Sync>,
}

/// Watches whether this host, and not the upstreams, is cut off.
pub struct LinkMonitor {
    options: LinkMonitorOptions,
    failures: Mutex<LinkFailures>,
    is_lost: AtomicBool,
    check_requested: Signal,
    check_ended: Signal,
}

impl LinkMonitor {
    /// Starts the task that checks the links when upstreams fail.
    pub fn spawn(options: LinkMonitorOptions) -> Arc<Self> {
        let monitor = Arc::new(Self {
            options,
            failures: Mutex::default(),
            is_lost: AtomicBool::new(false),
            check_requested: Signal::default(),
            check_ended: Signal::default(),
        });
        task::spawn(watch_links(monitor.clone()));
        monitor
    }

    /// True while this host reaches hardly any upstream, though other hosts do.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Acquire)
    }

    /// Records that an upstream could not be reached or did not answer.
    pub fn record_failure(&self, upstream_id: &str) {
        let now = Instant::now();
        let mut failures = self.failures();
        failures.record(upstream_id, now);
        if failures.are_suspicious(now) {
            self.check_requested.notify();
        }
    }

    /// True if an upstream that can't be reached may be sound: the links of this host are lost, or a check,
    /// which this waits for, says that they may be.
    pub async fn may_explain_failures(&self) -> bool {
        if !self.failures().are_suspicious(Instant::now()) {
            return self.is_lost();
        }
        let ended = self.check_ended.listen();
        self.check_requested.notify();
        Signal::wait(ended, VERDICT_TIMEOUT).await;
        self.is_lost()
    }

    /// Whether any of a few other hosts reaches an upstream; `None` if none answers.
    pub async fn is_reached_by_others(&self, address: SocketAddr) -> Option<bool> {
        let hosts = self.sample_hosts();
        let reached = self.options.peers.ask(&hosts, &[address.to_string()]).await;
        (!reached.is_empty()).then(|| reached.iter().any(|addresses| !addresses.is_empty()))
    }

    fn failures(&self) -> MutexGuard<'_, LinkFailures> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sample_upstreams(&self) -> Vec<String> {
        let mut upstreams = (self.options.upstreams)();
        upstreams.shuffle(&mut rand::rng());
        upstreams.truncate(CHECKED_UPSTREAMS);
        upstreams
    }

    fn sample_hosts(&self) -> Vec<String> {
        let hosts = (self.options.hosts)();
        hosts.choose_multiple(&mut rand::rng(), ASKED_HOSTS).cloned().collect()
    }

    /// Tries to reach some upstreams, here and from other hosts.
    async fn check(&self) -> LinkVerdict {
        let checked = self.sample_upstreams();
        let hosts = self.sample_hosts();
        let (reached, others) = futures::join!(
            reached_of(&*self.options.probe, &checked),
            self.options.peers.ask(&hosts, &checked)
        );
        let verdict = judge_links(&checked, &reached, &others);
        let of_others: Vec<usize> = others.iter().map(|other| other.len()).collect();
        log::info!(event = "links_checked", checked = checked.len() as u64,
            reached = reached.len() as u64, asked = hosts.len() as u64,
            reached_by_others = format!("{of_others:?}").as_str(); "{verdict:?}");
        verdict
    }

    fn set_lost(&self, is_lost: bool) {
        self.is_lost.store(is_lost, Ordering::Release);
        match is_lost {
            true => log::warn!(event = "links_lost";
                "this host can't reach upstreams that others reach; requests go through other hosts"),
            false => log::info!(event = "links_regained"; "upstreams can be reached again"),
        }
        (self.options.on_change)(is_lost);
    }

    /// Waits until upstreams can be reached again.
    async fn wait_for_return(&self) {
        let mut rounds = 0;
        while rounds < RETURN_ROUNDS {
            task::sleep(RETURN_INTERVAL).await;
            let checked = self.sample_upstreams();
            let reached = reached_of(&*self.options.probe, &checked).await;
            rounds = if judge_return(&checked, &reached) { rounds + 1 } else { 0 };
        }
    }
}

async fn watch_links(monitor: Arc<LinkMonitor>) {
    loop {
        let requested = monitor.check_requested.listen();
        if !monitor.failures().are_suspicious(Instant::now()) {
            requested.await;
            continue;
        }
        let verdict = monitor.check().await;
        if verdict == LinkVerdict::Lost {
            monitor.set_lost(true);
        }
        monitor.check_ended.notify();
        if verdict == LinkVerdict::Lost {
            monitor.wait_for_return().await;
            *monitor.failures() = LinkFailures::default();
            monitor.set_lost(false);
            continue;
        }
        task::sleep(CHECK_INTERVAL).await;
    }
}
