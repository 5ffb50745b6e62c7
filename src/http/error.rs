use std::fmt;
use std::io;

/// Why a message could not be read or written.
#[derive(Debug)]
pub enum HttpError {
    /// The connection failed.
    Io(io::Error),
    /// The peer closed the connection in the middle of a message.
    Closed,
    /// The input is not a valid HTTP message; the text describes the fault.
    Malformed(&'static str),
    /// The head or the body exceeds its size limit.
    TooLarge,
    /// The process holds as many bytes of other parties as it may.
    NoBuffer,
    /// The peer did not send the head in time.
    Timeout,
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::Closed => formatter.write_str("closed inside a message"),
            Self::Malformed(reason) => write!(formatter, "malformed: {reason}"),
            Self::TooLarge => formatter.write_str("larger than the limit"),
            Self::NoBuffer => formatter.write_str("the process can't buffer more bytes"),
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
