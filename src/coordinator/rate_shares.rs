use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::admission::RateLimit;
use crate::schema::peer::UpstreamRate;

/// Time without a report after which an upstream's limit is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(30);
/// Interval at which a host is told of an upstream though nothing changed, in case an answer was lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The limits of requests per second that upstreams name, and the requests of all entry hosts there.
/// Only the leader keeps them; each term has counts of its own.
#[derive(Debug)]
pub struct RateShares {
    /// Number of these counts; hosts can't compare counts of different epochs.
    epoch: u64,
    opened: Instant,
    upstreams: HashMap<String, SharedRate>,
}

/// One upstream that has named a limit.
#[derive(Debug)]
struct SharedRate {
    limit: RateLimit,
    limit_millis: u64,
    named_at: Instant,
    reported_at: Instant,
    /// Online requests of each host, and its own count in its last report.
    by_host: HashMap<String, HostCount>,
    /// Online requests of all hosts, and batch items.
    total: u64,
}

#[derive(Debug, Default)]
struct HostCount {
    reported: Option<u64>,
    counted: u64,
    told: Option<Told>,
}

/// What a host was last told of an upstream.
#[derive(Clone, Copy, Debug)]
struct Told {
    others_sent: u64,
    named_at: Instant,
    told_at: Instant,
}

impl RateShares {
    /// Creates the counts of a new term.
    pub fn open(now: Instant) -> Self {
        Self { epoch: rand::random_range(1..u64::MAX), opened: now, upstreams: HashMap::new() }
    }

    /// Number of these counts.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies the report of an entry host.
    pub fn apply_report(&mut self, host_id: &str, rates: &[UpstreamRate], now: Instant) {
        for rate in rates {
            let named_at = now.checked_sub(Duration::from_millis(rate.age_ms)).unwrap_or(now);
            let now_us = self.now_us(now);
            let shared = self.upstreams.entry(rate.upstream_id.clone()).or_insert_with(|| {
                let limit = RateLimit::default();
                set_limit(&limit, rate.limit_millis);
                SharedRate {
                    limit,
                    limit_millis: rate.limit_millis,
                    named_at,
                    reported_at: now,
                    by_host: HashMap::new(),
                    total: 0,
                }
            });
            shared.reported_at = now;
            if named_at > shared.named_at {
                (shared.named_at, shared.limit_millis) = (named_at, rate.limit_millis);
                set_limit(&shared.limit, rate.limit_millis);
            }
            let host = shared.by_host.entry(host_id.to_owned()).or_default();
            // The first report of a host says nothing of this term.
            let sent = host.reported.map_or(0, |before| rate.sent.saturating_sub(before));
            host.reported = Some(rate.sent);
            host.counted += sent;
            shared.total += sent;
            shared.limit.take(sent, now_us);
        }
        self.upstreams.retain(|_, shared| now - shared.reported_at < FORGET_TIME);
    }

    /// What an entry host is to be told: limits, and the requests of all others, where they changed.
    pub fn for_host(&mut self, host_id: &str, now: Instant) -> Vec<UpstreamRate> {
        let mut rates = Vec::new();
        for (upstream_id, shared) in &mut self.upstreams {
            let host = shared.by_host.entry(host_id.to_owned()).or_default();
            let (others_sent, named_at) = (shared.total - host.counted, shared.named_at);
            let is_told = host.told.is_some_and(|told| {
                (told.others_sent, told.named_at) == (others_sent, named_at)
                    && now - told.told_at < REPEAT_INTERVAL
            });
            if is_told {
                continue;
            }
            host.told = Some(Told { others_sent, named_at, told_at: now });
            rates.push(UpstreamRate {
                upstream_id: upstream_id.clone(),
                limit_millis: shared.limit_millis,
                age_ms: (now - named_at).as_millis() as u64,
                sent: others_sent,
            });
        }
        rates
    }

    /// True if the limit of an upstream leaves room for a batch item beside online requests.
    pub fn has_batch_room(&self, upstream_id: &str, now: Instant) -> bool {
        let now_us = self.now_us(now);
        self.upstreams.get(upstream_id).is_none_or(|shared| shared.limit.has_spare_room(now_us))
    }

    /// True if an upstream names a limit.
    pub fn has_limit(&self, upstream_id: &str) -> bool {
        self.upstreams.get(upstream_id).is_some_and(|shared| shared.limit_millis > 0)
    }

    /// Counts a batch item that is assigned to an upstream.
    pub fn record_batch_item(&mut self, upstream_id: &str, now: Instant) {
        let now_us = self.now_us(now);
        let Some(shared) = self.upstreams.get_mut(upstream_id) else { return };
        shared.total += 1;
        shared.limit.take(1, now_us);
    }

    /// Microseconds since the term began.
    fn now_us(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.opened).as_micros() as u64
    }
}

fn set_limit(limit: &RateLimit, limit_millis: u64) {
    limit.set((limit_millis > 0).then_some(limit_millis as f64 / 1e3));
}
