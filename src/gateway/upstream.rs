use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::admission::AnswerTimes;
use crate::directory::{Phase, StreamOrigin, UpstreamRecord, MAX_SLOTS};
use crate::gateway::upstream_rate::UpstreamRate;
use crate::gateway::upstream_speed::UpstreamSpeed;
use crate::schema::peer::{UpstreamRate as WireRate, UpstreamSpeed as WireSpeed};

/// Pause after the first failure of an upstream; doubled with each further failure in a row.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; an upstream that crashed is back after some seconds.
const MAX_PAUSE: Duration = Duration::from_millis(4_000);

/// An upstream as this host sees it. Its request counts and pause are kept when the fleet is replaced,
/// as long as the incarnation stays the same.
#[derive(Debug)]
pub struct Upstream {
    /// Id of the upstream.
    pub upstream_id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Version of its software.
    pub version: String,
    /// Number of requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_at_unix_ms: u64,
    /// Whether it accepts new requests.
    pub accepts_work: bool,
    load: Arc<Load>,
}

#[derive(Debug, Default)]
struct Load {
    online: AtomicU32,
    batch: AtomicU32,
    remote_online: AtomicU32,
    remote_batch: AtomicU32,
    answer_times: AnswerTimes,
    /// Failures since the last success.
    failures: AtomicU32,
    /// End of the pause, on the clock of [`monotonic_ms`].
    paused_until_ms: AtomicU64,
    rate: UpstreamRate,
    speed: UpstreamSpeed,
}

impl Upstream {
    /// Creates an upstream from its record; `None` if the address of the record is not valid. The
    /// request counts and the pause are taken over from `previous` if it is the same incarnation.
    pub fn new(record: &UpstreamRecord, previous: Option<&Self>) -> Option<Self> {
        let same_incarnation =
            previous.filter(|previous| previous.started_at_unix_ms == record.started_at_unix_ms);
        Some(Self {
            upstream_id: record.upstream_id.clone(),
            service: record.service.clone(),
            address: record.address.parse().ok()?,
            zone: record.zone.clone(),
            region: record.region.clone(),
            version: record.version.clone(),
            slots: record.slots.clamp(1, MAX_SLOTS),
            started_at_unix_ms: record.started_at_unix_ms,
            accepts_work: record.phase == Phase::Ready,
            load: same_incarnation.map(|previous| previous.load.clone()).unwrap_or_default(),
        })
    }

    /// Origin of the streams that it begins.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin { service: self.service.clone(), version: self.version.clone() }
    }

    /// True if a stream with this origin may be sent to it, or a new one if there is no origin.
    pub fn may_continue(&self, origin: Option<&StreamOrigin>) -> bool {
        origin.is_none_or(|origin| origin.may_continue_at(&self.service, &self.version))
    }

    /// Number of online requests of all hosts; those of other hosts as last reported.
    pub fn online_requests(&self) -> u32 {
        self.load.online.load(Ordering::Relaxed) + self.load.remote_online.load(Ordering::Relaxed)
    }

    /// Number of online requests and batch items of all hosts; those of other hosts as last reported.
    pub fn in_use(&self) -> u32 {
        self.online_requests()
            + self.load.batch.load(Ordering::Relaxed)
            + self.load.remote_batch.load(Ordering::Relaxed)
    }

    /// True while all slots are in use and batch items hold some of them.
    pub fn is_contended(&self) -> bool {
        let (online, in_use) = (self.online_requests(), self.in_use());
        in_use > online && in_use >= self.slots
    }

    /// Number of requests beyond the slots, limited to the number of batch items.
    pub fn batch_excess(&self) -> u32 {
        let (online, in_use) = (self.online_requests(), self.in_use());
        in_use.saturating_sub(self.slots).min(in_use.saturating_sub(online))
    }

    /// Number of online requests and of batch items of this host.
    pub fn local_use(&self) -> (u32, u32) {
        (self.load.online.load(Ordering::Relaxed), self.load.batch.load(Ordering::Relaxed))
    }

    /// Sets the numbers of online requests and batch items of the other hosts, as reported by the
    /// leader.
    pub fn set_remote_use(&self, online: u32, batch: u32) {
        self.load.remote_online.store(online, Ordering::Relaxed);
        self.load.remote_batch.store(batch, Ordering::Relaxed);
    }

    /// Halves the numbers of requests that other hosts are believed to have.
    pub fn decay_remote_use(&self) {
        for count in [&self.load.remote_online, &self.load.remote_batch] {
            // The closure always returns a value, so the update succeeds.
            let _ = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| Some(n / 2));
        }
    }

    /// Sets the number of requests of all hosts, as the upstream itself tells it. Used while the leader
    /// does not tell the requests of the others.
    pub fn set_total_requests(&self, requests: u32) {
        let (online, batch) = self.local_use();
        self.set_remote_use(requests.saturating_sub(online + batch), 0);
    }

    /// Counts an online request until the guard is dropped.
    pub fn begin_online(self: &Arc<Self>) -> InFlightGuard {
        self.load.online.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { load: self.load.clone(), is_batch: false }
    }

    /// When it sent something for the online requests of this host, and when it was silent.
    pub fn answer_times(&self) -> &AnswerTimes {
        &self.load.answer_times
    }

    /// Counts a batch item until the guard is dropped.
    pub fn begin_batch(self: &Arc<Self>) -> InFlightGuard {
        self.load.batch.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { load: self.load.clone(), is_batch: true }
    }

    /// Applies the limit of requests per second in an answer, or the lack of one.
    pub fn record_rate_limit(&self, per_second: Option<f64>) {
        if self.load.rate.set_named(per_second, monotonic_ms()) {
            log::info!(event = "rate_limit_named", upstream = self.upstream_id.as_str(),
                per_second = per_second.unwrap_or(0.0); "the upstream changed its limit");
        }
    }

    /// Counts a request if the upstream's limit has room for it. A host that does not hear of the
    /// requests of others keeps to an even share of the limit.
    pub fn try_send(&self, hears_others: bool) -> bool {
        self.load.rate.try_send(hears_others)
    }

    /// Sets the number of hosts that share a named limit; `None` if this host is none of them.
    pub fn set_rate_holders(&self, holders: Option<u32>) {
        self.load.rate.set_holders(holders);
    }

    /// Forgets which hosts share a named limit.
    pub fn clear_rate_holders(&self) {
        self.load.rate.clear_holders();
    }

    /// True if the hosts that share a named limit have to be determined.
    pub fn needs_rate_holders(&self) -> bool {
        self.load.rate.needs_holders()
    }

    /// True while the upstream names a limit.
    pub fn has_rate_limit(&self) -> bool {
        self.load.rate.is_limited()
    }

    /// True if the upstream's limit has room for a request.
    pub fn has_rate_room(&self) -> bool {
        self.load.rate.has_room()
    }

    /// Time until the upstream's limit has room; `None` if this host does not share it.
    pub fn time_to_rate_room(&self) -> Option<Duration> {
        self.load.rate.time_to_room()
    }

    /// The limit and the requests of this host, for the leader; `None` without a limit.
    pub fn rate_report(&self) -> Option<WireRate> {
        self.load.rate.report(&self.upstream_id)
    }

    /// Applies what the leader tells of the limit and of the requests of all others.
    pub fn apply_rate(&self, others: &WireRate, epoch: u64) {
        self.load.rate.apply(others, epoch);
    }

    /// Time that work takes here in comparison with the usual, lastingly; 1 if it is not known.
    pub fn slowdown(&self) -> f32 {
        self.load.speed.slowdown()
    }

    /// Sets the lasting slowdown, in percent.
    pub fn set_slowdown(&self, percent: u32) {
        self.load.speed.set_lasting(percent);
    }

    /// Records the slowdown of the moment that an answer told, in percent.
    pub fn record_slowdown(&self, percent: u32) {
        self.load.speed.record(percent);
    }

    /// Takes the slowdowns that answers told since the last report.
    pub fn take_speed_report(&self) -> Option<WireSpeed> {
        self.load.speed.take_report(&self.upstream_id)
    }

    /// True while the upstream is paused after a failure and should get no requests.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.load.paused_until_ms.load(Ordering::Relaxed) > now_ms
    }

    /// Records a failure and pauses the upstream. Returns the length of the pause, which doubles with
    /// each failure in a row.
    pub fn record_failure(&self, now_ms: u64) -> Duration {
        let failures = self.load.failures.fetch_add(1, Ordering::Relaxed);
        let pause = (INITIAL_PAUSE * 2_u32.saturating_pow(failures.min(8))).min(MAX_PAUSE);
        let until_ms = now_ms + pause.as_millis() as u64;
        self.load.paused_until_ms.fetch_max(until_ms, Ordering::Relaxed);
        pause
    }

    /// Records a successful answer: ends the pause and resets the count of failures.
    pub fn record_success(&self) {
        self.load.failures.store(0, Ordering::Relaxed);
        self.load.paused_until_ms.store(0, Ordering::Relaxed);
    }
}

/// Counts a request or batch item as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    load: Arc<Load>,
    is_batch: bool,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = if self.is_batch { &self.load.batch } else { &self.load.online };
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Milliseconds since the first call in this process, on the monotonic clock that pauses use.
pub fn monotonic_ms() -> u64 {
    monotonic_us() / 1_000
}

/// The same clock in microseconds.
pub(super) fn monotonic_us() -> u64 {
    use std::sync::OnceLock;
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    ORIGIN.get_or_init(Instant::now).elapsed().as_micros() as u64
}
