use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;

use crate::announcer::Announcer;
use crate::completion::Ending;
use crate::engine_stats::EngineStats;
use crate::load::Load;
use crate::model_service::ModelService;
use crate::plain_service::PlainService;
use crate::schema::EngineOptions;
use crate::server;
use crate::service::Service;
use crate::signal::Signal;

/// Pause between attempts to listen again on the address of the last incarnation.
const BIND_RETRY: Duration = Duration::from_millis(5);
/// Attempts to listen again; together they last 5 s.
const BIND_ATTEMPTS: u32 = 1_000;
/// Pause between looks at whether the last answer is written.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running stand-in upstream.
pub struct Engine {
    shared: Arc<Shared>,
}

/// What outlives an incarnation.
pub(crate) struct Shared {
    pub(crate) options: EngineOptions,
    pub(crate) address: SocketAddr,
    pub(crate) upstream_id: String,
    pub(crate) highest_fence: AtomicU64,
    pub(crate) tokens_produced: AtomicU64,
    pub(crate) stats: Mutex<EngineStats>,
    incarnation: ArcSwapOption<Incarnation>,
    last_incarnation: AtomicU64,
    frozen_until: Mutex<Instant>,
    closed: AtomicBool,
}

/// The time between a start of the upstream and its end.
pub(crate) struct Incarnation {
    /// Milliseconds since the Unix epoch at the start, and more than the one before.
    pub(crate) number: u64,
    pub(crate) load: Arc<Load>,
    pub(crate) service: Arc<dyn Service>,
    pub(crate) stop: Signal,
    /// The listener is closed.
    pub(crate) stopped: Signal,
    pub(crate) leaving: AtomicBool,
    /// Cloned for each request that is not answered in full.
    pub(crate) open_answers: Arc<()>,
    announce_now: Sender<()>,
    pub(crate) announce_requests: Receiver<()>,
}

impl Engine {
    /// Listens on the address in `options` and starts to announce the upstream.
    ///
    /// # Errors
    /// The address is not valid or is taken.
    pub fn bind(options: EngineOptions) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(&options.listen_address)?;
        let address = listener.local_addr()?;
        let upstream_id = match options.upstream_id.as_str() {
            "" => format!("{}-{}-{}", options.service, address.ip(), address.port()),
            name => name.to_owned(),
        };
        let shared = Arc::new(Shared {
            options,
            address,
            upstream_id,
            highest_fence: AtomicU64::new(0),
            tokens_produced: AtomicU64::new(0),
            stats: Mutex::default(),
            incarnation: ArcSwapOption::empty(),
            last_incarnation: AtomicU64::new(0),
            frozen_until: Mutex::new(Instant::now()),
            closed: AtomicBool::new(false),
        });
        shared.start(listener);
        Ok(Self { shared })
    }

    /// Address that the upstream listens on; the same in each incarnation.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Name in the announcements.
    pub fn upstream_id(&self) -> &str {
        &self.shared.upstream_id
    }

    /// What the upstream has done so far.
    pub fn stats(&self) -> EngineStats {
        let mut stats = self.shared.stats.lock().expect("no holder panics").clone();
        if let Some(incarnation) = self.shared.incarnation.load_full() {
            stats.running = incarnation.load.running();
            stats.max_running = stats.max_running.max(incarnation.load.max_running());
        }
        stats.max_overshoot =
            stats.max_running.saturating_sub(u64::from(self.shared.options.slots));
        stats.tokens_produced = self.shared.tokens_produced.load(Ordering::Relaxed);
        stats
    }

    /// Cuts all connections at once and answers no more, like a killed process.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts a new incarnation on the same address, with an empty cache; crashes a running one.
    pub fn restart(&self) {
        self.shared.crash();
        self.shared.start_again_after(Duration::ZERO);
    }

    /// Keeps connections open but sends nothing for `duration`.
    pub fn freeze(&self, duration: Duration) {
        *self.shared.frozen_until.lock().expect("no holder panics") = Instant::now() + duration;
    }

    /// Announces that the upstream is leaving; it still serves what comes.
    pub fn leave(&self) {
        let Some(incarnation) = self.shared.incarnation.load_full() else { return };
        incarnation.leaving.store(true, Ordering::Relaxed);
        // A full queue means that an announcement is due anyway.
        let _ = incarnation.announce_now.try_send(());
    }

    /// Announces that the upstream is leaving and waits until every answer is written.
    pub async fn drain(&self) {
        self.leave();
        let interval = Duration::from_millis(self.shared.options.announce_interval_ms);
        task::sleep(interval).await;
        let Some(incarnation) = self.shared.incarnation.load_full() else { return };
        while Arc::strong_count(&incarnation.open_answers) > 1 && !incarnation.stop.is_raised() {
            task::sleep(DRAIN_POLL).await;
        }
    }

    /// Stops the upstream; what still runs is cut.
    pub async fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let incarnation = self.shared.incarnation.load_full();
        self.shared.crash();
        if let Some(incarnation) = incarnation {
            incarnation.stopped.wait().await;
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        self.shared.crash();
    }
}

impl Shared {
    pub(crate) fn crash(self: &Arc<Self>) {
        let Some(incarnation) = self.incarnation.swap(None) else { return };
        incarnation.stop.raise();
        let max_running = incarnation.load.max_running();
        let mut stats = self.stats.lock().expect("no holder panics");
        stats.max_running = stats.max_running.max(max_running);
        drop(stats);
        if let Some(pause_ms) = self.options.restart_after_ms {
            self.start_again_after(Duration::from_millis(pause_ms));
        }
    }

    /// Waits until the upstream is not frozen.
    pub(crate) async fn thawed(&self) {
        loop {
            let until = *self.frozen_until.lock().expect("no holder panics");
            let now = Instant::now();
            if until <= now {
                return;
            }
            task::sleep(until - now).await;
        }
    }

    pub(crate) fn record_start(&self, request_id: &str) -> u64 {
        let mut stats = self.stats.lock().expect("no holder panics");
        let count = stats.started.entry(request_id.to_owned()).or_default();
        *count += 1;
        *count
    }

    pub(crate) fn record_end(&self, request_id: &str, ending: Ending) {
        let mut stats = self.stats.lock().expect("no holder panics");
        let ended = match ending {
            Ending::Finished => &mut stats.finished,
            Ending::Cancelled => &mut stats.cancelled,
            Ending::Lost => &mut stats.lost,
        };
        *ended.entry(request_id.to_owned()).or_default() += 1;
    }

    fn start(self: &Arc<Self>, listener: std::net::TcpListener) {
        let options = &self.options;
        let load = Arc::new(Load::new(Duration::from_millis(options.load_lag_ms)));
        let stop = Signal::new();
        let number = self.next_incarnation();
        let service: Arc<dyn Service> = if options.plain {
            Arc::new(PlainService::new(self.clone(), load.clone()))
        } else {
            Arc::new(ModelService::new(self.clone(), number, load.clone(), stop.clone()))
        };
        let (announce_now, announce_requests) = bounded(1);
        let incarnation = Arc::new(Incarnation {
            number,
            load,
            service,
            stop,
            stopped: Signal::new(),
            leaving: AtomicBool::new(false),
            open_answers: Arc::new(()),
            announce_now,
            announce_requests,
        });
        self.stats.lock().expect("no holder panics").starts += 1;
        self.incarnation.store(Some(incarnation.clone()));
        let listener = TcpListener::from(listener);
        task::spawn(server::serve(listener, self.clone(), incarnation.clone()));
        task::spawn(Announcer::new(self.clone(), incarnation).run());
    }

    fn start_again_after(self: &Arc<Self>, pause: Duration) {
        let shared = self.clone();
        task::spawn(async move {
            task::sleep(pause).await;
            for _ in 0..BIND_ATTEMPTS {
                if shared.closed.load(Ordering::SeqCst) || shared.incarnation.load().is_some() {
                    return;
                }
                // The address is taken until the last incarnation has closed its listener.
                let Ok(listener) = std::net::TcpListener::bind(shared.address) else {
                    task::sleep(BIND_RETRY).await;
                    continue;
                };
                shared.start(listener);
                // The engine may have been closed since the check above.
                if shared.closed.load(Ordering::SeqCst) {
                    shared.crash();
                }
                return;
            }
            log::error!("{}: cannot listen on {} again", shared.upstream_id, shared.address);
        });
    }

    fn next_incarnation(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let last = self.last_incarnation.load(Ordering::SeqCst);
        let number = (now.as_millis() as u64).max(last + 1);
        self.last_incarnation.store(number, Ordering::SeqCst);
        number
    }
}
