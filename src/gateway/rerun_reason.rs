/// Why a request is sent to another upstream after one that may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RerunReason {
    /// The upstream sent nothing within the stall limit.
    Silence,
    /// The connection broke, or the answer was not whole.
    Reset,
    /// The upstream answered with an error status.
    ErrorStatus,
}

impl RerunReason {
    /// Name in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Silence => "silence",
            Self::Reset => "reset",
            Self::ErrorStatus => "error_status",
        }
    }

    /// Name of the counter of such runs.
    pub(super) fn counter(self) -> &'static str {
        match self {
            Self::Silence => "rerun_silence",
            Self::Reset => "rerun_reset",
            Self::ErrorStatus => "rerun_error_status",
        }
    }
}
