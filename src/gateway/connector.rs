use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;

use crate::gateway::StreamRequest;
use crate::http::Headers;

/// The upstream that a request is sent to, and the limits of the call.
#[derive(Clone, Debug)]
pub struct CallTarget<'a> {
    /// Expected identity of the upstream; an upstream with another identity at this address refuses the
    /// request.
    pub upstream_id: &'a str,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// End of the request's time, at which the upstream stops working on it.
    pub deadline: Instant,
    /// Id of the event after which a resumed stream continues.
    pub last_event_id: Option<u64>,
    /// Whether the request may run more than once. If so, it may be sent on a connection that has been
    /// idle for long and may turn out to be closed.
    pub is_repeatable: bool,
}

impl CallTarget<'_> {
    /// Time that is left now, for the message that is about to be written.
    ///
    /// # Errors
    /// [`SendError::HeldUp`] if none is left.
    pub fn time_left(&self) -> Result<Duration, SendError> {
        match self.deadline.saturating_duration_since(Instant::now()) {
            Duration::ZERO => {
                Err(SendError::HeldUp("the time limit of the request has passed".to_owned()))
            }
            left => Ok(left),
        }
    }
}

/// Status and header fields of an upstream's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamHead {
    /// Status code.
    pub status: u16,
    /// Header fields that are forwarded to the caller.
    pub headers: Headers,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the body has a length or chunks. If not, it ends with the connection, as an upstream
    /// that crashes before its first event also does.
    pub has_framing: bool,
    /// What the upstream says of itself.
    pub notice: UpstreamNotice,
}

/// What an upstream says of itself in an answer or a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Requests per second that it takes from all hosts together, if it names a limit.
    pub rate_limit: Option<f64>,
    /// Number of requests that it runs or queues, of all hosts, if it tells.
    pub requests: Option<u32>,
    /// Time that work takes there at this moment in comparison with the usual, in percent, if it tells.
    pub slowdown_percent: Option<u32>,
    /// It leaves and must get no more requests.
    pub is_leaving: bool,
}

/// A chunk of an answer's body; `None` at its end.
pub type BodyChunk = Option<Bytes>;

/// An answer whose head has been received. Dropping it before the end of the body closes the connection,
/// which makes the upstream stop working on the request.
#[async_trait]
pub trait UpstreamAnswer: Send + Sync {
    /// Status and header fields.
    fn head(&self) -> &UpstreamHead;

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    /// [`SendError::Lost`] if the connection breaks.
    async fn next_chunk(&mut self) -> Result<BodyChunk, SendError>;
}

/// Why a request to an upstream brought no complete answer.
#[derive(Clone, Debug, PartialEq)]
pub enum SendError {
    /// No byte of the request was sent, for this reason.
    NotSent(String),
    /// No byte of the request was sent, for this reason, which says nothing of the upstream.
    HeldUp(String),
    /// The upstream reported that it did not run the request.
    NotRun {
        /// Status code of its answer.
        status: u16,
        /// What it says of itself.
        notice: UpstreamNotice,
    },
    /// The connection broke or the answer was not valid; the upstream may have run the request.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) | Self::HeldUp(reason) => {
                write!(formatter, "not sent: {reason}")
            }
            Self::NotRun { status, .. } => write!(formatter, "not run, status {status}"),
            Self::Lost(reason) => write!(formatter, "lost: {reason}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends requests to upstreams.
#[async_trait]
pub trait StreamConnector: Send + Sync {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// A [`SendError`], which says whether the upstream may have run the request.
    async fn send(
        &self,
        target: CallTarget<'_>,
        request: &StreamRequest,
    ) -> Result<Box<dyn UpstreamAnswer>, SendError>;

    /// True if a connection to the upstream can be opened. Nothing is sent.
    async fn is_reachable(&self, address: SocketAddr) -> bool;

    /// True if a connection is kept that a request may use. One that may not run twice uses no connection that was idle for
    /// long.
    fn has_connection(&self, _upstream_id: &str, _is_repeatable: bool) -> bool {
        false
    }

    /// Drops the connections that are kept for upstreams for which `is_known` is false.
    fn retain_upstreams(&self, is_known: &dyn Fn(&str) -> bool);
}
