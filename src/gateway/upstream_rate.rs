use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::admission::RateLimit;
use crate::gateway::upstream::{monotonic_ms, monotonic_us};
use crate::schema::peer::UpstreamRate as WireRate;

/// Time for which the end of a limit is reported, so that all hosts hear of it.
const REPORT_TIME_MS: u64 = 10_000;

/// The limit of requests per second that an upstream names in its answers, and what this host and the
/// others have sent.
#[derive(Debug, Default)]
pub(super) struct UpstreamRate {
    limit: RateLimit,
    /// The named limit in thousandths; 0 if the upstream named none.
    named_millis: AtomicU64,
    /// When the answer arrived that decides on the limit; 0 while no answer named one.
    named_at_ms: AtomicU64,
    /// Requests that this host sent.
    sent: AtomicU64,
    /// The leader's count of the requests of others that this host has allowed for, and its epoch.
    others_sent: AtomicU64,
    others_epoch: AtomicU64,
    /// Number of hosts that share the limit, as [`HOLDERS_UNKNOWN`] and [`NOT_A_HOLDER`] say.
    holders: AtomicU32,
}

/// The hosts that share the limit were not determined yet.
const HOLDERS_UNKNOWN: u32 = 0;
/// This host is none of those that share the limit.
const NOT_A_HOLDER: u32 = u32::MAX;

impl UpstreamRate {
    /// Applies the limit in an answer that arrived at `at_ms`, or the lack of one. Returns true if the
    /// limit has changed.
    pub(super) fn set_named(&self, per_second: Option<f64>, at_ms: u64) -> bool {
        let millis = per_second.map_or(0, |rate| (rate * 1e3).round().max(1.0) as u64);
        let known_at_ms = self.named_at_ms.load(Ordering::Relaxed);
        if millis == 0 && known_at_ms == 0 || at_ms < known_at_ms {
            return false;
        }
        self.named_at_ms.store(at_ms.max(1), Ordering::Relaxed);
        let before = self.named_millis.swap(millis, Ordering::Relaxed);
        self.limit.set(per_second);
        before != millis
    }

    /// Counts a request of this host if the limit has room for it. A host that does not hear of the
    /// requests of the other holders keeps to an even share.
    pub(super) fn try_send(&self, hears_others: bool) -> bool {
        let holders = self.holders.load(Ordering::Relaxed);
        let share = if hears_others { 1 } else { holders.max(1) };
        let has_room = self.may_send() && self.limit.try_take(monotonic_us(), share);
        self.sent.fetch_add(u64::from(has_room), Ordering::Relaxed);
        has_room
    }

    /// Sets the number of hosts that share the limit; `None` if this host is none of them.
    pub(super) fn set_holders(&self, holders: Option<u32>) {
        self.holders.store(holders.unwrap_or(NOT_A_HOLDER), Ordering::Relaxed);
    }

    /// Forgets which hosts share the limit, to determine them again when one is named.
    pub(super) fn clear_holders(&self) {
        self.holders.store(HOLDERS_UNKNOWN, Ordering::Relaxed);
    }

    /// True if the hosts that share the limit have to be determined.
    pub(super) fn needs_holders(&self) -> bool {
        self.limit.is_set() && self.holders.load(Ordering::Relaxed) == HOLDERS_UNKNOWN
    }

    /// True if there is no limit, or this host is one of those that share it.
    fn may_send(&self) -> bool {
        !self.limit.is_set() || self.holders.load(Ordering::Relaxed) != NOT_A_HOLDER
    }

    pub(super) fn is_limited(&self) -> bool {
        self.limit.is_set()
    }

    pub(super) fn has_room(&self) -> bool {
        self.may_send() && self.limit.has_room(monotonic_us())
    }

    /// Time until the limit has room; `None` if this host does not share it.
    pub(super) fn time_to_room(&self) -> Option<Duration> {
        self.may_send().then(|| self.limit.time_to_room(monotonic_us()))
    }

    /// The report to the leader; `None` if the upstream has not named a limit lately.
    pub(super) fn report(&self, upstream_id: &str) -> Option<WireRate> {
        let named_at_ms = self.named_at_ms.load(Ordering::Relaxed);
        let age_ms = monotonic_ms().saturating_sub(named_at_ms);
        if named_at_ms == 0 || !self.limit.is_set() && age_ms > REPORT_TIME_MS {
            return None;
        }
        Some(WireRate {
            upstream_id: upstream_id.to_owned(),
            limit_millis: self.named_millis.load(Ordering::Relaxed),
            age_ms,
            sent: self.sent.load(Ordering::Relaxed),
        })
    }

    /// Applies what the leader tells of the limit and of the requests of the other hosts. Counts of
    /// different epochs can't be compared.
    pub(super) fn apply(&self, others: &WireRate, epoch: u64) {
        let at_ms = monotonic_ms().saturating_sub(others.age_ms);
        let named = (others.limit_millis > 0).then_some(others.limit_millis as f64 / 1e3);
        self.set_named(named, at_ms);
        let before = self.others_sent.swap(others.sent, Ordering::Relaxed);
        let same_epoch = self.others_epoch.swap(epoch, Ordering::Relaxed) == epoch;
        if same_epoch {
            self.limit.take(others.sent.saturating_sub(before), monotonic_us());
        }
    }
}
