use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{Phase, UpstreamRecord};

/// First pause of an upstream that failed; doubled with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; an upstream that crashed is back after some seconds.
const PAUSE_LIMIT: Duration = Duration::from_millis(4_000);

/// An upstream as this host uses it. The counts survive changes of the fleet.
#[derive(Debug)]
pub struct Upstream {
    /// Identity.
    pub upstream_id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Start of the incarnation.
    pub started_at_unix_ms: u64,
    /// It takes new work.
    pub takes_work: bool,
    load: Arc<Load>,
}

#[derive(Debug, Default)]
struct Load {
    online: AtomicU32,
    batch: AtomicU32,
    online_elsewhere: AtomicU32,
    batch_elsewhere: AtomicU32,
    failures: AtomicU32,
    /// End of the pause, in milliseconds after `origin`.
    paused_until_ms: AtomicU64,
}

impl Upstream {
    /// An upstream with this record; keeps the counts of `known`, the same incarnation before.
    pub fn new(record: &UpstreamRecord, known: Option<&Self>) -> Option<Self> {
        let same = known.filter(|it| it.started_at_unix_ms == record.started_at_unix_ms);
        Some(Self {
            upstream_id: record.upstream_id.clone(),
            service: record.service.clone(),
            address: record.address.parse().ok()?,
            zone: record.zone.clone(),
            region: record.region.clone(),
            slots: record.slots.max(1),
            started_at_unix_ms: record.started_at_unix_ms,
            takes_work: record.phase == Phase::Ready,
            load: same.map(|it| it.load.clone()).unwrap_or_default(),
        })
    }

    /// Online requests of all hosts, as far as known.
    pub fn online(&self) -> u32 {
        self.load.online.load(Ordering::Relaxed)
            + self.load.online_elsewhere.load(Ordering::Relaxed)
    }

    /// Requests and batch items of all hosts, as far as known.
    pub fn in_use(&self) -> u32 {
        self.online()
            + self.load.batch.load(Ordering::Relaxed)
            + self.load.batch_elsewhere.load(Ordering::Relaxed)
    }

    /// True while batch items hold slots and no slot is free, as far as known.
    pub fn is_crowded(&self) -> bool {
        let (online, in_use) = (self.online(), self.in_use());
        in_use > online && in_use >= self.slots
    }

    /// Requests beyond its slots, while batch items hold some of them.
    pub fn batch_excess(&self) -> u32 {
        let (online, in_use) = (self.online(), self.in_use());
        in_use.saturating_sub(self.slots).min(in_use.saturating_sub(online))
    }

    /// Online requests and batch items of this host.
    pub fn own_use(&self) -> (u32, u32) {
        (self.load.online.load(Ordering::Relaxed), self.load.batch.load(Ordering::Relaxed))
    }

    /// What the other hosts have there, as the leader told.
    pub fn set_elsewhere(&self, online: u32, batch: u32) {
        self.load.online_elsewhere.store(online, Ordering::Relaxed);
        self.load.batch_elsewhere.store(batch, Ordering::Relaxed);
    }

    /// Counts an online request until the guard is dropped.
    pub fn begin_online(self: &Arc<Self>) -> UseGuard {
        self.load.online.fetch_add(1, Ordering::Relaxed);
        UseGuard { load: self.load.clone(), is_batch: false }
    }

    /// Counts a batch item until the guard is dropped.
    pub fn begin_batch(self: &Arc<Self>) -> UseGuard {
        self.load.batch.fetch_add(1, Ordering::Relaxed);
        UseGuard { load: self.load.clone(), is_batch: true }
    }

    /// True while it gets no requests because it failed.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.load.paused_until_ms.load(Ordering::Relaxed) > now_ms
    }

    /// It failed; it gets no requests for a while. Gives the pause.
    pub fn note_failure(&self, now_ms: u64) -> Duration {
        let failures = self.load.failures.fetch_add(1, Ordering::Relaxed);
        let pause = (FIRST_PAUSE * 2_u32.saturating_pow(failures.min(8))).min(PAUSE_LIMIT);
        let until_ms = now_ms + pause.as_millis() as u64;
        self.load.paused_until_ms.fetch_max(until_ms, Ordering::Relaxed);
        pause
    }

    /// It answered.
    pub fn note_success(&self) {
        self.load.failures.store(0, Ordering::Relaxed);
        self.load.paused_until_ms.store(0, Ordering::Relaxed);
    }
}

/// A request at an upstream; counted until it is dropped.
#[derive(Debug)]
pub struct UseGuard {
    load: Arc<Load>,
    is_batch: bool,
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        let count = if self.is_batch { &self.load.batch } else { &self.load.online };
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Milliseconds since the process first asked; the clock of pauses.
pub fn steady_ms() -> u64 {
    use std::sync::OnceLock;
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    ORIGIN.get_or_init(Instant::now).elapsed().as_millis() as u64
}
