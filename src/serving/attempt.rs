use std::time::Duration;

use crate::admission::{Refusal, RefusalKind, RunOutcome};

/// Attempts of one request at most.
const ATTEMPT_LIMIT: u32 = 3;

/// What a failed attempt left behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// A byte of the request may have reached the upstream.
    pub sent: bool,
    /// The upstream answered with this status; 0 for no answer.
    pub status: u16,
    /// Explanation.
    pub reason: String,
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
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// An earlier attempt may have reached an upstream.
    pub sent_before: bool,
    /// Time left before the deadline.
    pub time_left: Duration,
}

impl AttemptPolicy {
    /// The step after `failure`. `random` spreads the pause.
    pub fn next_step(&self, failure: &AttemptFailure, random: u64) -> NextStep {
        let sent = failure.sent || self.sent_before;
        if (400..500).contains(&failure.status) && failure.status != 429 {
            let message = format!("the upstream refused the request: {}", failure.reason);
            let refusal = Refusal::not_run(RefusalKind::InvalidRequest, message);
            return NextStep::GiveUp(refusal.with_outcome(RunOutcome::Ran));
        }
        if sent && !self.repeatable {
            let message = format!("the request may have run: {}", failure.reason);
            let refusal = Refusal::not_run(RefusalKind::OutcomeUnknown, message);
            return NextStep::GiveUp(refusal.with_outcome(RunOutcome::MayHaveRun));
        }
        let pause = Duration::from_millis(5 + random % 20);
        if self.attempts < ATTEMPT_LIMIT && self.time_left > pause {
            return NextStep::Retry { pause };
        }
        let outcome = if sent { RunOutcome::MayHaveRun } else { RunOutcome::NotRun };
        let refusal = Refusal::not_run(RefusalKind::UpstreamFailed, failure.reason.clone());
        NextStep::GiveUp(refusal.with_outcome(outcome))
    }
}
