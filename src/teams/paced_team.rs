use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::schema::peer::{TeamPace, TeamUse};
use crate::teams::TeamLimit;

/// Part of the capacity that is kept in reserve: requests that hosts admit before they hear of a burst.
const RESERVE_SHARE: f64 = 0.25;
/// Time in which what is beyond the reserve may be used, or a debt is paid back. Several times the delay between a request
/// and the answer that takes it into account, so that hosts don't swing between none and all.
const SMOOTHING: Duration = Duration::from_millis(300);
/// Time over which the rate of requests is averaged.
const RATE_TIME: Duration = Duration::from_millis(400);
/// Time before a term of which hosts report their requests.
const CARRIED_S: f64 = 5.0;
/// Part of the capacity that a term begins with at most, once hosts have reported.
const SETTLED_SHARE: f64 = 0.35;
/// Part of the hosts that must have reported by then.
const SETTLED_HEARD_SHARE: f64 = 0.95;
/// Part of the slack that a new term adds to the reserve: what the term before has admitted lately is not known.
const FIRST_SLACK_SHARE: f64 = 0.5;

/// The requests of one team over all hosts, against its quota.
#[derive(Debug)]
pub(super) struct PacedTeam {
    limit: TeamLimit,
    /// Requests that may come now; below 0 if more were admitted than the quota allows.
    level_requests: f64,
    level_at: Instant,
    /// Requests before this term that the rate allowed.
    carried_room_requests: f64,
    /// Part of the quota that is not left to silent hosts.
    heard_share: f64,
    asked_per_s: f64,
    asked_at: Instant,
    by_host: HashMap<Arc<str>, HostCount>,
}

/// What a host last reported of the team.
#[derive(Clone, Copy, Debug, Default)]
struct HostCount {
    asked: u64,
    taken: u64,
    carried: u64,
}

impl PacedTeam {
    /// Creates a team with its whole burst or, at the beginning of a term, with a part of it.
    pub(super) fn new(limit: TeamLimit, is_first: bool, heard_share: f64, now: Instant) -> Self {
        let capacity = limit.capacity_requests;
        let first = capacity * RESERVE_SHARE + limit.slack_requests * FIRST_SLACK_SHARE;
        Self {
            limit,
            level_requests: if is_first { first.min(capacity) } else { capacity },
            level_at: now,
            carried_room_requests: if is_first { limit.requests_per_s * CARRIED_S } else { 0.0 },
            heard_share,
            asked_per_s: 0.0,
            asked_at: now,
            by_host: HashMap::new(),
        }
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.level_at).as_secs_f64();
        self.level_at = self.level_at.max(now);
        let level_requests = self.level_requests + elapsed * self.refill_per_s();
        self.level_requests = level_requests.min(self.limit.capacity_requests);
    }

    fn refill_per_s(&self) -> f64 {
        self.limit.requests_per_s * self.heard_share
    }

    pub(super) fn apply(&mut self, host: &Arc<str>, reported: &TeamUse, now: Instant) {
        let TeamUse { asked, taken, carried, .. } = *reported;
        let before = self.by_host.insert(host.clone(), HostCount { asked, taken, carried });
        let HostCount { asked, taken, carried } = before.unwrap_or_default();
        self.record_carried(reported.carried.saturating_sub(carried) as f64);
        // Requests that did not run are given back, so the count may go down.
        let taken = reported.taken as f64 - taken as f64;
        let asked = reported.asked.saturating_sub(asked);
        self.refill(now);
        self.level_requests = (self.level_requests - taken).min(self.limit.capacity_requests);
        self.decay_rate(now);
        self.asked_per_s += asked as f64 / RATE_TIME.as_secs_f64();
    }

    /// Takes what hosts admitted before this term out of the quota, as far as it is more than the rate allowed for that time.
    fn record_carried(&mut self, carried: f64) {
        let covered = carried.min(self.carried_room_requests);
        self.carried_room_requests -= covered;
        self.level_requests -= carried - covered;
    }

    /// Adds what the rate allowed in the seconds before this term and hosts did not use, unless some hosts have not reported.
    pub(super) fn settle(&mut self, now: Instant) {
        self.refill(now);
        if self.heard_share >= SETTLED_HEARD_SHARE {
            let most = self.limit.capacity_requests * SETTLED_SHARE;
            self.level_requests = self
                .level_requests
                .max((self.level_requests + self.carried_room_requests).min(most));
        }
        self.carried_room_requests = 0.0;
    }

    fn decay_rate(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.asked_at).as_secs_f64();
        self.asked_at = self.asked_at.max(now);
        self.asked_per_s *= (-elapsed / RATE_TIME.as_secs_f64()).exp();
    }

    /// The part of the requests to admit; `None` if it is all of them.
    pub(super) fn pace(&mut self, name: &str, now: Instant) -> Option<TeamPace> {
        self.refill(now);
        self.decay_rate(now);
        let beyond = self.level_requests - self.limit.capacity_requests * RESERVE_SHARE;
        let allowed_per_s = self.refill_per_s() + beyond / SMOOTHING.as_secs_f64();
        if allowed_per_s >= self.asked_per_s {
            return None;
        }
        let part = allowed_per_s.max(0.0) / self.asked_per_s;
        let refill_s = (-beyond / self.limit.requests_per_s).max(0.0);
        Some(TeamPace {
            team: name.to_owned(),
            admitted_millionths: (part * 1e6) as u32,
            refill_ms: (refill_s * 1e3).min(60_000.0) as u32,
        })
    }

    /// Applies another limit; what was counted stays.
    pub(super) fn set_limit(&mut self, limit: TeamLimit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.level_requests = self.level_requests.min(limit.capacity_requests);
    }

    /// Sets the part of the quota that is not left to silent hosts.
    pub(super) fn set_heard_share(&mut self, heard_share: f64, now: Instant) {
        self.refill(now);
        self.heard_share = heard_share;
    }

    /// Forgets the counts of a host whose process has restarted.
    pub(super) fn forget(&mut self, host_id: &str) {
        self.by_host.remove(host_id);
    }
}
