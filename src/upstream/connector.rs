use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use futures::AsyncBufRead;

/// One HTTP call to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCall<'a> {
    /// IP address and port.
    pub address: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Header names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Whole body.
    pub body: &'a [u8],
    /// The call may be sent again, so a kept connection may be used.
    pub repeatable: bool,
    /// Longest time to wait for the head of the answer.
    pub timeout: Duration,
}

/// The body of an answer. Dropping it before its end cancels the call.
pub trait ResponseReader: AsyncBufRead + Send + Sync + Unpin {
    /// Tells the upstream that the rest is not wanted. The body then ends as soon as the upstream
    /// has stopped the call.
    fn cancel(&mut self);
}

/// Head and body of an upstream's answer.
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type, or empty.
    pub content_type: String,
    /// Body, read as it comes.
    pub body: Box<dyn ResponseReader>,
}

/// Why an upstream gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// No byte of the call was sent.
    NotSent(String),
    /// The connection broke after bytes were sent; the upstream may have run the call.
    Lost(String),
    /// The upstream keeps its connection and sends nothing for too long.
    Silent(String),
    /// The upstream sent something that is not the expected answer.
    Invalid(String),
}

impl UpstreamError {
    /// True when a byte of the call may have reached the upstream.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent to the upstream: {reason}"),
            Self::Lost(reason) => write!(formatter, "the connection broke: {reason}"),
            Self::Silent(reason) => write!(formatter, "the upstream is silent: {reason}"),
            Self::Invalid(reason) => write!(formatter, "the upstream's answer: {reason}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

/// Opens calls to upstreams.
#[async_trait]
pub trait UpstreamConnector: Send + Sync {
    /// Sends a call and waits for the head of its answer.
    async fn open(&self, call: UpstreamCall<'_>) -> Result<UpstreamResponse, UpstreamError>;
}
