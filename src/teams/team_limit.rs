use std::time::Duration;

use crate::schema::routes::Team;

/// Share of the tolerance that adds to the burst of a team, so that the counts of many hosts, which are apart by the time
/// of a report, don't refuse callers below their quota. The rest covers what comes before the hosts hear of a burst.
const SLACK_SHARE: f64 = 0.5;
/// Share of the tolerance that callers may use at hosts that don't hear of each other, before each host keeps to its own
/// share of the quota.
const UNHEARD_SHARE: f64 = 0.5;
/// Callers may begin to send this many times the quota at any moment; a host that does not hear of the others
/// reckons with it.
const SURGE: f64 = 8.0;
/// Longest time for which a host admits all requests of a small team without word of the others.
const MAX_UNHEARD: Duration = Duration::from_millis(4_000);

/// The quota of a team over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Requests per second; above 0.
    pub requests_per_s: f64,
    /// Requests that may come at once after a pause, the slack for many hosts included.
    pub capacity_requests: f64,
    /// The slack alone.
    pub slack_requests: f64,
}

impl TeamLimit {
    /// The limit of a team; `None` if it has none. All hosts together may exceed it by `tolerance_requests`.
    pub fn of(team: &Team, tolerance_requests: u32) -> Option<Self> {
        let slack_requests = f64::from(tolerance_requests) * SLACK_SHARE;
        (team.requests_per_s > 0.0).then(|| Self {
            requests_per_s: team.requests_per_s,
            capacity_requests: team.burst_requests.max(1.0) + slack_requests,
            slack_requests,
        })
    }

    /// Time without word of the leader for which a host goes on as before: at least `base`, and so long that callers who
    /// send many times their quota use no more than the slack. The requests of a small team are so few at each host that
    /// a share of its quota would refuse most of them.
    pub fn unheard_time(&self, base: Duration) -> Duration {
        let unheard_requests = self.slack_requests / SLACK_SHARE * UNHEARD_SHARE;
        let seconds = unheard_requests / (SURGE * self.requests_per_s);
        Duration::from_secs_f64(seconds.min(MAX_UNHEARD.as_secs_f64())).max(base)
    }
}
