use std::time::Duration;

/// A response that the entry host generates itself, without an answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub kind: RefusalKind,
    /// Cause, for the log.
    pub reason: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// What a refusal states about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// No route matches it.
    NoRoute,
    /// It carries no key of a team, which its route requires.
    UnknownKey,
    /// It has not run and will not run, because the quota of its team is used up.
    OverQuota,
    /// It has not run and will not run; the caller may retry it.
    NotRun,
    /// It may have run, and an upstream failed.
    MayHaveRun,
    /// Its time limit has passed; it may have run.
    TimedOut,
}

impl Refusal {
    /// A refusal of a request that has not run and may be retried after `retry_after`.
    pub fn not_run(reason: impl Into<String>, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self { kind: RefusalKind::NotRun, reason: reason.into(), retry_after }
    }

    /// The same refusal with a retry delay that is up to half as long again, so that callers who were refused together don't
    /// come back together.
    pub fn spread(mut self) -> Self {
        let factor = 1.0 + rand::random::<f64>() * 0.5;
        self.retry_after = self.retry_after.map(|delay| delay.mul_f64(factor));
        self
    }

    /// A refusal of a request over the quota of its team, which may be retried after `retry_after`.
    pub fn over_quota(team: &str, retry_after: Duration) -> Self {
        let reason = format!("the quota of team {team:?} is used up");
        Self { kind: RefusalKind::OverQuota, reason, retry_after: Some(retry_after) }
    }

    /// A refusal of any other kind, without a retry delay.
    pub fn of_kind(kind: RefusalKind, reason: impl Into<String>) -> Self {
        Self { kind, reason: reason.into(), retry_after: None }
    }
}
