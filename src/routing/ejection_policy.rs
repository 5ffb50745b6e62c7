/// Failures in a row, each with its weight, at which an upstream is ejected.
const EJECTING_WEIGHT: u32 = 6;
/// First ejection, and the longest one.
const FIRST_EJECTION_MS: u64 = 1_000;
const LONGEST_EJECTION_MS: u64 = 60_000;
/// Time without trouble after which the next ejection is a first one again.
const FORGIVEN_MS: u64 = 60_000;

/// How an attempt failed, as far as the upstream's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// No connection.
    Unreachable,
    /// A connection, and nothing on it for too long.
    Silent,
    /// A broken or failed answer, which the request itself may be the reason for.
    Failed,
}

impl UpstreamFailure {
    /// Two failures that no request causes eject an upstream, or three of any kind.
    pub fn weight(self) -> u32 {
        match self {
            Self::Unreachable | Self::Silent => 3,
            Self::Failed => 2,
        }
    }
}

/// Decides which upstreams get no requests for a while. Holds no clock and no state.
#[derive(Clone, Copy, Debug)]
pub struct EjectionPolicy {
    /// Share of a service's upstreams that may be ejected at once, in percent.
    pub limit_percent: u32,
}

impl EjectionPolicy {
    /// True when an upstream with `weight` of failures is to be ejected, beside `ejected` others
    /// of the `total` upstreams of its service.
    pub fn ejects(&self, weight: u32, ejected: usize, total: usize) -> bool {
        Self::is_failing(weight) && (ejected + 1) * 100 <= total * self.limit_percent as usize
    }

    /// True when so much weight of failures in a row is reason for an ejection.
    pub fn is_failing(weight: u32) -> bool {
        weight >= EJECTING_WEIGHT
    }

    /// Length of the ejection that follows `earlier` ones in a row.
    pub fn ejection_ms(earlier: u32) -> u64 {
        FIRST_EJECTION_MS.saturating_mul(1 << earlier.min(16)).min(LONGEST_EJECTION_MS)
    }

    /// True when an upstream that came back so long ago starts again with a short ejection.
    pub fn is_forgiven(since_return_ms: u64) -> bool {
        since_return_ms >= FORGIVEN_MS
    }
}
