use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Requests of one incarnation that run now, and what they were a while ago.
pub(crate) struct Load {
    running: AtomicU64,
    waiting: AtomicU64,
    max_running: AtomicU64,
    history: Mutex<VecDeque<(Instant, LoadReport)>>,
    lag: Duration,
}

/// What an upstream says about its load.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadReport {
    /// Admitted requests.
    pub(crate) running: u64,
    /// Admitted requests without a first token.
    pub(crate) waiting: u64,
}

impl Load {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            running: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            max_running: AtomicU64::new(0),
            history: Mutex::new(VecDeque::from([(Instant::now(), LoadReport::default())])),
            lag,
        }
    }

    /// Counts a request until the returned guard is dropped.
    pub(crate) fn admit(self: &Arc<Self>) -> Admitted {
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.max_running.fetch_max(running, Ordering::Relaxed);
        self.record();
        Admitted { load: self.clone(), waits: true }
    }

    pub(crate) fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    pub(crate) fn max_running(&self) -> u64 {
        self.max_running.load(Ordering::Relaxed)
    }

    /// Load as it was `lag` ago.
    pub(crate) fn report(&self) -> LoadReport {
        let mut history = self.history.lock().expect("no holder panics");
        let Some(then) = Instant::now().checked_sub(self.lag) else { return LoadReport::default() };
        while history.len() > 1 && history[1].0 <= then {
            history.pop_front();
        }
        let (at, report) = history[0];
        if at <= then {
            return report;
        }
        LoadReport::default()
    }

    /// `time` stretched by the number of running requests above `slots`.
    pub(crate) fn stretched(&self, time: Duration, slots: u32) -> Duration {
        let slots = u64::from(slots.max(1));
        let running = self.running().max(slots);
        time.mul_f64(running as f64 / slots as f64)
    }

    fn record(&self) {
        let mut history = self.history.lock().expect("no holder panics");
        let now = Instant::now();
        let report =
            LoadReport { running: self.running(), waiting: self.waiting.load(Ordering::Relaxed) };
        history.push_back((now, report));
        while history.len() > 1 && history[1].0 + self.lag <= now {
            history.pop_front();
        }
    }
}

/// One running request.
pub(crate) struct Admitted {
    load: Arc<Load>,
    waits: bool,
}

impl Admitted {
    /// The request has its first token.
    pub(crate) fn first_token(&mut self) {
        if std::mem::take(&mut self.waits) {
            self.load.waiting.fetch_sub(1, Ordering::Relaxed);
            self.load.record();
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.first_token();
        self.load.running.fetch_sub(1, Ordering::Relaxed);
        self.load.record();
    }
}
