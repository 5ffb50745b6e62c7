use std::fmt;
use std::io;

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum HttpError {
    /// The connection broke.
    Io(io::Error),
    /// The other side closed the connection inside a message.
    Closed,
    /// The bytes are not a message.
    Malformed(&'static str),
    /// Head or body is larger than its limit.
    TooLarge,
    /// The other side took too long.
    Timeout,
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::Closed => formatter.write_str("closed inside a message"),
            Self::Malformed(reason) => write!(formatter, "malformed: {reason}"),
            Self::TooLarge => formatter.write_str("larger than the limit"),
            Self::Timeout => formatter.write_str("timeout"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
