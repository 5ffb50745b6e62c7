use std::fmt;

use crate::schema::state::{RefusalCode, Refused};

/// What is known of a request that got no whole answer, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// No upstream has started it, and none will.
    NotRun,
    /// An upstream may have run it.
    MayHaveRun,
    /// An upstream ran it.
    Ran,
}

impl RunOutcome {
    /// Name in answers to callers.
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
    /// The body is over its limit.
    BodyTooLarge,
    /// The body came too slowly.
    BodyTimeout,
    /// The token is missing or wrong.
    Unauthorized,
    /// No such path or object.
    NotFound,
    /// The method is not allowed on the path.
    MethodNotAllowed,
    /// No upstream serves the model.
    UnknownModel,
    /// No upstream belongs to the service.
    UnknownService,
    /// All slots are in use.
    Overloaded,
    /// A limit of the customer is reached.
    LimitReached,
    /// The deadline can't be met or has passed.
    DeadlineExceeded,
    /// The same key came with another body.
    KeyConflict,
    /// A request under the same key is running.
    InProgress,
    /// The request is not repeatable and its outcome is not known.
    OutcomeUnknown,
    /// The configuration could not be confirmed in time.
    ConfigurationStale,
    /// The control hosts can't be reached.
    ControlUnavailable,
    /// The durable state is full.
    StorageFull,
    /// The change is based on an old version.
    VersionConflict,
    /// The upstream failed the request.
    UpstreamFailed,
    /// The request crashes the upstreams that run it.
    CrashesUpstreams,
    /// The host is stopping.
    Draining,
    /// The job has finished, so the command has no effect.
    AlreadyFinished,
}

impl RefusalKind {
    /// Code in answers to callers.
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
            Self::ConfigurationStale => "configuration_stale",
            Self::ControlUnavailable => "control_unavailable",
            Self::StorageFull => "storage_full",
            Self::VersionConflict => "version_conflict",
            Self::UpstreamFailed => "upstream_failed",
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
                | Self::ConfigurationStale
                | Self::ControlUnavailable
                | Self::StorageFull
                | Self::UpstreamFailed
                | Self::Draining
        )
    }
}

/// A refusal with what the caller may do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// What is known of the request.
    pub outcome: RunOutcome,
    /// Explanation that names the field, limit or object.
    pub message: String,
    /// Time after which a retry is sensible; 0 when it is not.
    pub retry_after_ms: u32,
}

impl Refusal {
    /// A refusal before anything ran.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        let retry_after_ms = if kind.is_transient() { 250 } else { 0 };
        Self { kind, outcome: RunOutcome::NotRun, message: message.into(), retry_after_ms }
    }

    /// The same refusal with another outcome.
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The same refusal for a request of which at least `outcome` is known.
    pub fn at_least(mut self, outcome: RunOutcome) -> Self {
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
