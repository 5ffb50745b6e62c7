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
    /// Path and query string.
    pub path: &'a str,
    /// Header names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Complete body.
    pub body: &'a [u8],
    /// True when the call may be sent again, so that an idle connection may be reused for it.
    pub repeatable: bool,
    /// Longest time to wait for the response head.
    pub timeout: Duration,
}

/// Body of a response. Dropping it before its end cancels the call.
pub trait ResponseReader: AsyncBufRead + Send + Sync + Unpin {
    /// Signals the upstream to cancel the call. The body then ends as soon as the upstream has
    /// stopped the call.
    fn cancel(&mut self);
}

/// Response of an upstream: head and body.
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type, or empty if the upstream sent none.
    pub content_type: String,
    /// Body, which is streamed.
    pub body: Box<dyn ResponseReader>,
}

/// Error of a call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// No byte of the call was sent.
    NotSent(String),
    /// The connection broke after bytes were sent; the upstream may have run the call.
    Lost(String),
    /// The connection is open, but the upstream sent no data within the time limit.
    Silent(String),
    /// The upstream's response is malformed.
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

/// Sends calls to upstreams.
#[async_trait]
pub trait UpstreamConnector: Send + Sync {
    /// Sends a call and waits for the response head.
    async fn open(&self, call: UpstreamCall<'_>) -> Result<UpstreamResponse, UpstreamError>;
}
