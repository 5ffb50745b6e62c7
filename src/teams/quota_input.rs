use std::time::Duration;

/// Time between two words of the leader in a small fleet, with a margin for a leader that is short of processor time.
const BASE_SILENCE: Duration = Duration::from_millis(400);
/// Time that each host adds: the leader bounds the reports that it answers in a second, and one may be late.
const SILENCE_PER_HOST: Duration = Duration::from_millis(2);

/// What an entry host knows of the others when it decides on a request of a team.
#[derive(Clone, Copy, Debug)]
pub struct QuotaInput {
    /// Time since the leader last told the paces; `None` if it never did.
    pub leader_silence: Option<Duration>,
    /// Number of entry hosts that take callers, this one included; at least 1.
    pub hosts: u32,
    /// Current time on a monotonic clock.
    pub now_us: u64,
}

/// Time without an exchange after which a host keeps to its own share of each quota, and the leader leaves it to the host.
pub(super) fn silence_limit(hosts: u32) -> Duration {
    BASE_SILENCE + SILENCE_PER_HOST * hosts
}
