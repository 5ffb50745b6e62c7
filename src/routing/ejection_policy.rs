/// Total weight of consecutive failures at which an upstream is ejected.
const EJECTION_THRESHOLD: u32 = 6;
/// Durations of the first and of the longest ejection; each consecutive ejection doubles it.
const BASE_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 60_000;
/// Time since readmission after which the next ejection starts at the base duration again.
const BACKOFF_RESET_MS: u64 = 60_000;

/// Kind of a failed attempt, as it affects the health of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// No connection could be established.
    Unreachable,
    /// The connection was established but no data arrived before the timeout.
    Silent,
    /// The response failed or broke off, possibly because of the request itself.
    Failed,
}

impl UpstreamFailure {
    /// Weight of the failure. Two consecutive failures that a request cannot cause are enough to
    /// eject an upstream, as are three of any kind.
    pub fn weight(self) -> u32 {
        match self {
            Self::Unreachable | Self::Silent => 3,
            Self::Failed => 2,
        }
    }
}

/// Decides which failing upstreams are temporarily ejected from load balancing.
///
/// The policy has no clock and no state of its own.
#[derive(Clone, Copy, Debug)]
pub struct EjectionPolicy {
    /// Maximum share of a service's upstreams that may be ejected at the same time, in percent.
    pub limit_percent: u32,
}

impl EjectionPolicy {
    /// Returns true if an upstream with consecutive failures of total `weight` should be ejected
    /// while `ejected` of the `total` upstreams of its service already are.
    pub fn should_eject(&self, weight: u32, ejected: usize, total: usize) -> bool {
        Self::reaches_threshold(weight)
            && (ejected + 1) * 100 <= total * self.limit_percent as usize
    }

    /// Returns true if consecutive failures of total `weight` justify an ejection.
    pub fn reaches_threshold(weight: u32) -> bool {
        weight >= EJECTION_THRESHOLD
    }

    /// Duration of the ejection that follows `earlier` consecutive ones, with exponential backoff.
    pub fn ejection_ms(earlier: u32) -> u64 {
        BASE_EJECTION_MS.saturating_mul(1 << earlier.min(16)).min(MAX_EJECTION_MS)
    }

    /// Returns true if an upstream that was readmitted this long ago starts again at the base
    /// duration.
    pub fn resets_backoff(since_readmission_ms: u64) -> bool {
        since_readmission_ms >= BACKOFF_RESET_MS
    }
}
