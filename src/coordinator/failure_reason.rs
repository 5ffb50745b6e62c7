use crate::peer::CallError;
use crate::schema::peer::FailureKind;

/// Why a call to the leader failed, for counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No host was asked.
    NotTried,
    /// A host answered that it does not lead.
    NotLeader,
    /// A host answered that no quorum, or no leader, confirmed it.
    NotConfirmed,
    /// A host did not answer.
    NoAnswer,
    /// No connection to a host could be used.
    NotSent,
    /// A host serves fewer calls than it gets.
    Overloaded,
    /// A host answered with another failure.
    Other,
}

impl FailureReason {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotTried => "not_tried",
            Self::NotLeader => "not_leader",
            Self::NotConfirmed => "not_confirmed",
            Self::NoAnswer => "no_answer",
            Self::NotSent => "not_sent",
            Self::Overloaded => "overloaded",
            Self::Other => "other_failure",
        }
    }

    /// Counter of the reads of results that failed for this reason.
    pub fn read_counter(self) -> &'static str {
        match self {
            Self::NotTried => "reads.not_tried",
            Self::NotLeader => "reads.not_leader",
            Self::NotConfirmed => "reads.not_confirmed",
            Self::NoAnswer => "reads.no_answer",
            Self::NotSent => "reads.not_sent",
            Self::Overloaded => "reads.overloaded",
            Self::Other => "reads.other_failure",
        }
    }
}

impl From<FailureKind> for FailureReason {
    fn from(kind: FailureKind) -> Self {
        match kind {
            FailureKind::NotLeader => Self::NotLeader,
            FailureKind::NoQuorum => Self::NotConfirmed,
            FailureKind::Overloaded => Self::Overloaded,
            _ => Self::Other,
        }
    }
}

impl From<&CallError> for FailureReason {
    fn from(error: &CallError) -> Self {
        match error {
            CallError::NotSent(_) => Self::NotSent,
            CallError::Lost(_) => Self::NoAnswer,
            CallError::Overloaded => Self::Overloaded,
        }
    }
}
