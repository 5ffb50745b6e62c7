use std::time::Duration;

use crate::admission::{Refusal, RefusalKind, RunOutcome};
use crate::routing::UpstreamFailure;
use crate::upstream::{StreamFault, UpstreamError};

/// Maximum number of attempts per request.
const ATTEMPT_LIMIT: u32 = 3;
/// Pause before the first retry, before jitter; doubles with each further retry.
const BASE_PAUSE_MS: u64 = 10;
/// Client error statuses after which another upstream, or a later attempt, may succeed: model not
/// found on this upstream (404), timeout (408), too early (425), too many requests (429).
const TRANSIENT_STATUSES: [u16; 4] = [404, 408, 425, 429];

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke after bytes of the request were sent.
    Lost,
    /// The upstream sent no data within the time limit.
    Silent,
    /// The upstream responded with this status instead of a stream.
    Status(u16),
    /// The upstream's answer is incomplete or malformed.
    Invalid,
    /// The upstream's answer exceeds the size limit. Other upstreams would send the same answer, so
    /// this is not retried.
    TooLarge,
    /// The deadline of the request passed.
    Deadline,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Cause of the failure.
    pub cause: FailureCause,
    /// Description of the failure.
    pub reason: String,
}

impl AttemptFailure {
    /// Creates the failure of an attempt during which the deadline passed.
    pub fn deadline() -> Self {
        Self { cause: FailureCause::Deadline, reason: "the deadline passed".to_owned() }
    }

    /// Creates the failure of an attempt that the upstream answered with a status other than 200.
    pub fn status(status: u16) -> Self {
        Self { cause: FailureCause::Status(status), reason: format!("status {status}") }
    }

    /// True when a byte of the request may have reached the upstream.
    pub fn was_sent(&self) -> bool {
        self.cause != FailureCause::NotSent
    }

    /// Classifies the failure for outlier ejection; `None` when it is no sign of an unhealthy
    /// upstream.
    pub fn upstream_failure(&self) -> Option<UpstreamFailure> {
        match self.cause {
            FailureCause::NotSent => Some(UpstreamFailure::Unreachable),
            FailureCause::Silent => Some(UpstreamFailure::Silent),
            FailureCause::Lost | FailureCause::Invalid => Some(UpstreamFailure::Failed),
            FailureCause::Status(status) => (status >= 500).then_some(UpstreamFailure::Failed),
            FailureCause::TooLarge | FailureCause::Deadline => None,
        }
    }

    /// True when every upstream would fail the request in the same way, so that no retry can help.
    fn is_final(&self) -> bool {
        match self.cause {
            FailureCause::Status(status) => {
                (400..500).contains(&status) && !TRANSIENT_STATUSES.contains(&status)
            }
            FailureCause::TooLarge => true,
            _ => false,
        }
    }
}

impl From<UpstreamError> for AttemptFailure {
    fn from(error: UpstreamError) -> Self {
        let cause = match error {
            UpstreamError::NotSent(_) => FailureCause::NotSent,
            UpstreamError::Lost(_) => FailureCause::Lost,
            UpstreamError::Silent(_) => FailureCause::Silent,
            UpstreamError::Invalid(_) => FailureCause::Invalid,
        };
        Self { cause, reason: error.to_string() }
    }
}

impl From<StreamFault> for AttemptFailure {
    fn from(fault: StreamFault) -> Self {
        Self { cause: FailureCause::Invalid, reason: fault.to_string() }
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry at another upstream after a pause.
    Retry {
        /// Pause before the next attempt.
        pause: Duration,
    },
    /// Return the refusal to the caller.
    GiveUp(Refusal),
}

/// Decides whether a failed attempt is retried. Uses neither a clock nor a random source of its
/// own.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPolicy {
    /// True when the request may be sent again although an upstream may have started it.
    pub repeatable: bool,
    /// True when another upstream can resume the answer where it broke off.
    pub can_resume: bool,
    /// Number of attempts made so far, including the failed one.
    pub attempts: u32,
    /// Whether the request ran, as far as earlier attempts and the answer received so far show.
    pub progress: RunOutcome,
    /// Time left before the deadline.
    pub time_left: Duration,
}

impl AttemptPolicy {
    /// Returns the step after `failure`. `random` is the source of the jitter.
    pub fn next_step(&self, failure: &AttemptFailure, random: u64) -> NextStep {
        let may_repeat = self.repeatable && self.can_resume;
        if failure.is_final()
            || failure.cause == FailureCause::Deadline
            || (!may_repeat && self.outcome(failure) != RunOutcome::NotRun)
            || self.attempts >= ATTEMPT_LIMIT
        {
            return NextStep::GiveUp(self.refusal(failure));
        }
        // Jitter of ±50% spreads the retries of requests that failed together with one upstream.
        let backoff_ms = BASE_PAUSE_MS << (self.attempts.max(1) - 1);
        let pause = Duration::from_millis(backoff_ms / 2 + random % backoff_ms.max(1));
        if self.time_left <= pause {
            return NextStep::GiveUp(self.refusal(failure));
        }
        NextStep::Retry { pause }
    }

    /// Returns the refusal for the caller when `failure` is not retried.
    pub fn refusal(&self, failure: &AttemptFailure) -> Refusal {
        let outcome = self.outcome(failure);
        let reason = &failure.reason;
        let (kind, message) = match failure.cause {
            FailureCause::TooLarge => (RefusalKind::UpstreamFailed, reason.clone()),
            _ if failure.is_final() => {
                (RefusalKind::InvalidRequest, format!("the upstream refused the request: {reason}"))
            }
            FailureCause::Deadline => (RefusalKind::DeadlineExceeded, reason.clone()),
            _ if !self.repeatable && outcome != RunOutcome::NotRun => {
                (RefusalKind::OutcomeUnknown, format!("the request may have run: {reason}"))
            }
            FailureCause::Lost | FailureCause::Silent => {
                (RefusalKind::UpstreamLost, reason.clone())
            }
            _ => (RefusalKind::UpstreamFailed, reason.clone()),
        };
        Refusal::not_run(kind, message).with_outcome(outcome)
    }

    /// Returns whether the request ran, as far as is known after `failure`.
    pub fn outcome(&self, failure: &AttemptFailure) -> RunOutcome {
        match self.progress {
            RunOutcome::NotRun if failure.is_final() => RunOutcome::Ran,
            RunOutcome::NotRun if failure.was_sent() => RunOutcome::MayHaveRun,
            progress => progress,
        }
    }
}
