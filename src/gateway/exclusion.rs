use std::fmt;

/// Why an upstream of the service gets no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It drains or has left, or its heartbeats have stopped.
    AcceptsNoWork,
    /// Another software version began the stream.
    OtherVersion,
    /// The request was sent there before.
    Tried,
    /// The limit that it names is used up.
    RateLimit,
    /// It failed lately.
    Paused,
    /// As many requests wait there as start in time.
    QueueFull,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::AcceptsNoWork => "accepts no work",
            Self::OtherVersion => "another version began the stream",
            Self::Tried => "was tried before",
            Self::RateLimit => "its named limit is used up",
            Self::Paused => "paused after a failure",
            Self::QueueFull => "its queue is full",
        })
    }
}
