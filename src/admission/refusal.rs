use std::fmt;

use crate::schema::state::{RefusalCode, Refused};

/// How far a request without a complete answer may have run, in increasing order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// No upstream has started the request, and none will.
    NotRun,
    /// An upstream may have run the request.
    MayHaveRun,
    /// An upstream ran the request.
    Ran,
}

impl RunOutcome {
    /// Name of the outcome in responses to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The request is malformed.
    InvalidRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// The token is missing or wrong.
    Unauthorized,
    /// The path or object does not exist.
    NotFound,
    /// The method is not allowed on the path.
    MethodNotAllowed,
    /// No upstream serves the model.
    UnknownModel,
    /// No upstream belongs to the service.
    UnknownService,
    /// All slots are in use.
    Overloaded,
    /// The customer has reached one of its limits.
    LimitReached,
    /// The deadline can't be met or has passed.
    DeadlineExceeded,
    /// The idempotency key was used before with a different body.
    KeyConflict,
    /// A request with the same idempotency key is running.
    InProgress,
    /// The request must not be repeated and its outcome is unknown.
    OutcomeUnknown,
    /// The host has not heard of the fleet from another host yet.
    Joining,
    /// The host could not confirm its configuration within the configuration lease.
    ConfigurationStale,
    /// The control hosts can't be reached.
    ControlUnavailable,
    /// The storage of the replicated state is full.
    StorageFull,
    /// The change is based on an outdated version.
    VersionConflict,
    /// The upstream failed the request.
    UpstreamFailed,
    /// The upstream ended or fell silent while it ran the request.
    UpstreamLost,
    /// The request crashes the upstreams that run it.
    CrashesUpstreams,
    /// The host is draining before it stops.
    Draining,
    /// The job has finished, so the command has no effect.
    AlreadyFinished,
}

impl RefusalKind {
    /// Error code in responses to callers.
    pub fn code(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::UnknownModel => "unknown_model",
            Self::UnknownService => "unknown_service",
            Self::Overloaded => "overloaded",
            Self::LimitReached => "limit_reached",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::KeyConflict => "key_conflict",
            Self::InProgress => "in_progress",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Joining => "joining",
            Self::ConfigurationStale => "configuration_stale",
            Self::ControlUnavailable => "control_unavailable",
            Self::StorageFull => "storage_full",
            Self::VersionConflict => "version_conflict",
            Self::UpstreamFailed | Self::UpstreamLost => "upstream_failed",
            Self::CrashesUpstreams => "crashes_upstreams",
            Self::Draining => "draining",
            Self::AlreadyFinished => "already_finished",
        }
    }

    /// True when the same request may succeed later or on another host.
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::LimitReached
                | Self::InProgress
                | Self::Joining
                | Self::ConfigurationStale
                | Self::ControlUnavailable
                | Self::StorageFull
                | Self::UpstreamFailed
                | Self::UpstreamLost
                | Self::Draining
        )
    }
}

/// A refusal of a request, with what its caller needs to decide on a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// How far the request may have run.
    pub outcome: RunOutcome,
    /// Explanation that names the field, limit or object concerned.
    pub message: String,
    /// Delay before a retry, in milliseconds; 0 when a retry is pointless.
    pub retry_after_ms: u32,
}

impl Refusal {
    /// A refusal of a request that no upstream has run.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        let retry_after_ms = if kind.is_transient() { 250 } else { 0 };
        Self { kind, outcome: RunOutcome::NotRun, message: message.into(), retry_after_ms }
    }

    /// Replaces the outcome.
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Raises the outcome to `outcome` unless it is already further along.
    pub fn with_outcome_at_least(mut self, outcome: RunOutcome) -> Self {
        self.outcome = self.outcome.max(outcome);
        self
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        let kind = match refused.code() {
            RefusalCode::NotFound => RefusalKind::NotFound,
            RefusalCode::VersionConflict => RefusalKind::VersionConflict,
            RefusalCode::KeyConflict => RefusalKind::KeyConflict,
            RefusalCode::StorageFull => RefusalKind::StorageFull,
            RefusalCode::AlreadyFinished => RefusalKind::AlreadyFinished,
            RefusalCode::Invalid | RefusalCode::Unspecified => RefusalKind::InvalidRequest,
        };
        Self::not_run(kind, refused.message)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({}): {}", self.kind.code(), self.outcome.as_str(), self.message)
    }
}

impl std::error::Error for Refusal {}
