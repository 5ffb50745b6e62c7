use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::gateway::Prompt;
use crate::http::Headers;
use crate::schema::routes::Route;

/// A caller's request or a batch item, independent of its encoding on the wire.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// Identity of this attempt of the caller, or of the batch item.
    pub request_id: String,
    /// Host name of the request; selects the route together with the path.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Path and query string.
    pub target: String,
    /// Header fields that are forwarded to the upstream.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
    /// Time that the caller waits for the answer, measured from `arrived`; `None` if the request states
    /// no limit.
    pub caller_timeout: Option<Duration>,
    /// Id of the last event that the caller already has; the answer continues after it.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream, if this one continues it.
    pub resumes: Option<String>,
    /// Parts of the prompt, for prefix affinity.
    pub prompt: Prompt,
    /// Arrival time of the request, taken before its body is read.
    pub arrived: Instant,
}

impl StreamRequest {
    /// Time at which the request ends at the latest: the time limit of its caller or of its route.
    pub fn deadline(&self, route: &Route) -> Instant {
        let route_limit = Duration::from_millis(route.timeout_ms.into());
        let limit = self.caller_timeout.map_or(route_limit, |limit| limit.min(route_limit));
        self.arrived + limit
    }

    /// Path without the query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
