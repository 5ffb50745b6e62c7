use std::fmt;

/// Why the wait for an upstream was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// The request's time has passed.
    TimeLimit,
    /// The upstream is silent, and the request goes to another one.
    Silence,
}

impl fmt::Display for WaitEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TimeLimit => "the time limit of the request has passed",
            Self::Silence => "the upstream sent nothing within the stall limit",
        })
    }
}
