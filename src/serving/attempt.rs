use std::time::Duration;

use crate::admission::{Refusal, RefusalKind, RunOutcome};
use crate::routing::UpstreamFailure;
use crate::upstream::{StreamFault, UpstreamError};

/// Attempts of one request at most.
const ATTEMPT_LIMIT: u32 = 3;
/// Pause before the first retry; it doubles with each further one.
const PAUSE_MS: u64 = 10;
/// Statuses with which an upstream says that another one, or a later try, may do: no such model
/// here, timeout, too early, too many requests.
const TRANSIENT_STATUSES: [u16; 4] = [404, 408, 425, 429];

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke after the request was sent.
    Lost,
    /// The upstream sent nothing for too long.
    Silent,
    /// The upstream answered with this status instead of a stream.
    Status(u16),
    /// The upstream's answer is not whole or not well formed.
    Invalid,
    /// The upstream's answer is over its limit, as it would be at any other upstream.
    TooLarge,
    /// The deadline of the request passed.
    Deadline,
}

/// What a failed attempt left behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// How it failed.
    pub cause: FailureCause,
    /// Explanation.
    pub reason: String,
}

impl AttemptFailure {
    /// The deadline passed during an attempt.
    pub fn deadline() -> Self {
        Self { cause: FailureCause::Deadline, reason: "the deadline passed".to_owned() }
    }

    /// The upstream answered with a status that is not 200.
    pub fn status(status: u16) -> Self {
        Self { cause: FailureCause::Status(status), reason: format!("status {status}") }
    }

    /// True when a byte of the request may have reached the upstream.
    pub fn was_sent(&self) -> bool {
        self.cause != FailureCause::NotSent
    }

    /// What the failure says of the upstream's health; `None` when it says nothing.
    pub fn upstream_failure(&self) -> Option<UpstreamFailure> {
        match self.cause {
            FailureCause::NotSent => Some(UpstreamFailure::Unreachable),
            FailureCause::Silent => Some(UpstreamFailure::Silent),
            FailureCause::Lost | FailureCause::Invalid => Some(UpstreamFailure::Failed),
            FailureCause::Status(status) => (status >= 500).then_some(UpstreamFailure::Failed),
            FailureCause::TooLarge | FailureCause::Deadline => None,
        }
    }

    /// True when the upstream refused the request itself, as any other upstream would.
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
    /// Try another upstream after a pause.
    Retry {
        /// Pause before the next attempt.
        pause: Duration,
    },
    /// Tell the caller.
    GiveUp(Refusal),
}

/// Decides what follows a failed attempt. Holds no clock and no random source.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPolicy {
    /// The request may be sent again after an upstream may have started it.
    pub repeatable: bool,
    /// Another upstream can go on where the answer broke off.
    pub can_resume: bool,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// What is known of the attempts before the failed one and of its answer so far.
    pub progress: RunOutcome,
    /// Time left before the deadline.
    pub time_left: Duration,
}

impl AttemptPolicy {
    /// The step after `failure`. `random` spreads the pause.
    pub fn next_step(&self, failure: &AttemptFailure, random: u64) -> NextStep {
        let may_repeat = self.repeatable && self.can_resume;
        if failure.is_final()
            || failure.cause == FailureCause::Deadline
            || (!may_repeat && self.outcome(failure) != RunOutcome::NotRun)
            || self.attempts >= ATTEMPT_LIMIT
        {
            return NextStep::GiveUp(self.refusal(failure));
        }
        // Jitter of half the pause to each side keeps the requests of a lost upstream apart.
        let usual_ms = PAUSE_MS << (self.attempts.max(1) - 1);
        let pause = Duration::from_millis(usual_ms / 2 + random % usual_ms.max(1));
        if self.time_left <= pause {
            return NextStep::GiveUp(self.refusal(failure));
        }
        NextStep::Retry { pause }
    }

    /// What the caller is told when no attempt follows `failure`.
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
            _ => (RefusalKind::UpstreamFailed, reason.clone()),
        };
        Refusal::not_run(kind, message).with_outcome(outcome)
    }

    /// What is known of the request after `failure`.
    pub fn outcome(&self, failure: &AttemptFailure) -> RunOutcome {
        match self.progress {
            RunOutcome::NotRun if failure.is_final() => RunOutcome::Ran,
            RunOutcome::NotRun if failure.was_sent() => RunOutcome::MayHaveRun,
            progress => progress,
        }
    }
}
