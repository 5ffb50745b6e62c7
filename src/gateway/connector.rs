use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::gateway::StreamRequest;
use crate::http::Headers;

/// The upstream that a request is sent to, and under which bounds.
#[derive(Clone, Debug)]
pub struct CallTarget<'a> {
    /// Identity that the upstream must have; another one at the address refuses the request.
    pub upstream_id: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Time after which the upstream stops working on the request.
    pub deadline: Duration,
    /// Continue after this event.
    pub last_event_id: Option<u64>,
    /// The request may run again, so a connection may be used that was idle for long.
    pub is_repeatable: bool,
}

/// Status and header fields of an upstream's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamHead {
    /// Status code.
    pub status: u16,
    /// Header fields that are passed on.
    pub headers: Headers,
    /// The body is a stream of events.
    pub is_event_stream: bool,
}

/// A part of an answer's body.
pub type UpstreamPiece = Option<Bytes>;

/// An answer that has begun. Dropping it before its end closes the connection, which stops the
/// upstream's work.
#[async_trait]
pub trait UpstreamAnswer: Send + Sync {
    /// Status and header fields.
    fn head(&self) -> &UpstreamHead;

    /// The next part of the body; `None` at its end.
    async fn next_piece(&mut self) -> Result<UpstreamPiece, SendError>;
}

/// Why an upstream gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The upstream says that it did not run the request.
    NotRun {
        /// Status that it gave.
        status: u16,
    },
    /// The connection broke, or the answer is not one; the upstream may have run the request.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            Self::NotRun { status } => write!(formatter, "not run, status {status}"),
            Self::Lost(reason) => write!(formatter, "lost: {reason}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends requests to upstreams.
#[async_trait]
pub trait StreamConnector: Send + Sync {
    /// Sends a request and waits for the head of its answer.
    async fn send(
        &self,
        target: CallTarget<'_>,
        request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError>;

    /// Drops what is kept for upstreams that are not there any more.
    fn forget(&self, is_known: &dyn Fn(&str) -> bool);
}
