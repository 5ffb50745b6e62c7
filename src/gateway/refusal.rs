use std::time::Duration;

/// An answer of the system's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What is known of the request.
    pub kind: RefusalKind,
    /// Why.
    pub reason: String,
    /// When it is worth trying again.
    pub retry_after: Option<Duration>,
}

/// What a refusal says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// No route has it.
    NoRoute,
    /// It has not run and never will; trying again makes sense.
    NotRun,
    /// It may have run, and an upstream failed.
    MayHaveRun,
    /// Its time is over; it may have run.
    TimedOut,
}

impl Refusal {
    /// A request that has not run, worth trying again after `retry_after`.
    pub fn not_run(reason: impl Into<String>, retry_after: Duration) -> Self {
        let retry_after = Some(retry_after);
        Self { kind: RefusalKind::NotRun, reason: reason.into(), retry_after }
    }

    /// Another refusal.
    pub fn of_kind(kind: RefusalKind, reason: impl Into<String>) -> Self {
        Self { kind, reason: reason.into(), retry_after: None }
    }
}
