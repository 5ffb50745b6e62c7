use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::gateway::Prompt;
use crate::http::Headers;

/// A caller's request, apart from its encoding.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// Identity of this attempt of the caller.
    pub request_id: String,
    /// Host that the caller named; selects the route together with the path.
    pub host: String,
    /// Method as it was sent.
    pub method: String,
    /// Path with its query, as it was sent.
    pub target: String,
    /// Header fields that are passed on.
    pub headers: Headers,
    /// Whole body.
    pub body: Bytes,
    /// Time that the caller will wait, from `arrived`; `None` if it did not say.
    pub patience: Option<Duration>,
    /// Last event that the caller has; the answer starts after it.
    pub last_event_id: Option<u64>,
    /// Parts of the prompt.
    pub prompt: Prompt,
    /// When the request began to arrive.
    pub arrived: Instant,
}

impl StreamRequest {
    /// Path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
