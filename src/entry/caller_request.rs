use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::AsyncReadExt;
use tide::Request;
use uuid::Uuid;

use crate::admission::{Refusal, RefusalKind};
use crate::entry::caller_stream::StreamState;
use crate::entry::shared::EntryShared;

/// Rate below which a body comes too slowly.
const BODY_BYTES_PER_S: u64 = 16 * 1024;
/// Longest idempotency key.
const KEY_LIMIT_BYTES: usize = 256;
/// Longest deadline that a caller may ask for.
const DEADLINE_LIMIT_MS: u64 = 24 * 3600 * 1_000;

/// A caller's HTTP request with what its headers say.
pub struct CallerRequest {
    request: Request<Arc<EntryShared>>,
    /// Names the request.
    pub request_id: String,
}

impl CallerRequest {
    /// Wraps a request and names it.
    pub fn new(request: Request<Arc<EntryShared>>) -> Self {
        Self { request, request_id: format!("req-{}", Uuid::new_v4().simple()) }
    }

    /// State of the entry host.
    pub fn shared(&self) -> &Arc<EntryShared> {
        self.request.state()
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.as_str())
    }

    /// A parameter of the path, or an empty text.
    pub fn path_parameter(&self, name: &str) -> &str {
        self.request.param(name).unwrap_or("")
    }

    /// HTTP method.
    pub fn method(&self) -> &'static str {
        match self.request.method() {
            tide::http::Method::Get => "GET",
            tide::http::Method::Put => "PUT",
            tide::http::Method::Delete => "DELETE",
            tide::http::Method::Head => "HEAD",
            tide::http::Method::Patch => "PATCH",
            tide::http::Method::Options => "OPTIONS",
            _ => "POST",
        }
    }

    /// Query part of the URL, or an empty text.
    pub fn url_query(&self) -> &str {
        self.request.url().query().unwrap_or("")
    }

    /// A parameter of the URL's query.
    pub fn query_parameter(&self, name: &str) -> Option<String> {
        let pairs = self.request.url().query_pairs();
        pairs.into_iter().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }

    /// A number in the URL's query, or `default` when it is not there.
    pub fn query_number(&self, name: &str, default: u32) -> Result<u32, Refusal> {
        let Some(text) = self.query_parameter(name) else { return Ok(default) };
        text.parse().map_err(|_| {
            invalid(format!("query parameter `{name}` must be a whole number, not `{text}`"))
        })
    }

    /// Customer that the caller's token belongs to.
    pub fn customer(&self) -> Result<String, Refusal> {
        let token = self.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let configuration = self.shared().configuration.load();
        let customer = configuration.authenticate(token).map(str::to_owned);
        customer.ok_or_else(|| {
            let message = "header `authorization` must carry `Bearer` and a customer's token";
            Refusal::not_run(RefusalKind::Unauthorized, message)
        })
    }

    /// Refuses callers without the operator's token, where the settings name one.
    pub fn check_operator(&self) -> Result<(), Refusal> {
        let expected = &self.shared().settings.operator_token;
        let token = self.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        if expected.is_empty() || token == Some(expected.as_str()) {
            return Ok(());
        }
        let message = "header `authorization` must carry `Bearer` and the operator's token";
        Err(Refusal::not_run(RefusalKind::Unauthorized, message))
    }

    /// Key under which the caller may send the request again; empty for none.
    pub fn idempotency_key(&self) -> Result<String, Refusal> {
        let key = self.header("idempotency-key").unwrap_or("");
        if key.len() > KEY_LIMIT_BYTES {
            let message = format!("header `idempotency-key` is over {KEY_LIMIT_BYTES} bytes");
            return Err(invalid(message));
        }
        Ok(key.to_owned())
    }

    /// True when the caller forbids that the request runs twice.
    pub fn is_not_repeatable(&self) -> Result<bool, Refusal> {
        match self.header("x-not-repeatable") {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(other) => {
                Err(invalid(format!("header `x-not-repeatable` must be true or false: `{other}`")))
            }
        }
    }

    /// Time at which the caller needs the whole answer.
    pub fn deadline(&self) -> Result<Instant, Refusal> {
        let default_ms = self.shared().settings.entry.default_deadline_ms;
        let deadline_ms: u64 = match self.header("x-deadline-ms") {
            None => default_ms,
            Some(text) => text.parse().map_err(|_| {
                invalid(format!("header `x-deadline-ms` must be milliseconds from now: `{text}`"))
            })?,
        };
        if deadline_ms == 0 {
            let message = "the deadline has passed already";
            return Err(Refusal::not_run(RefusalKind::DeadlineExceeded, message));
        }
        Ok(Instant::now() + Duration::from_millis(deadline_ms.min(DEADLINE_LIMIT_MS)))
    }

    /// Reads a body of JSON.
    pub async fn json(&mut self) -> Result<(Vec<u8>, serde_json::Value), Refusal> {
        let bytes = self.body().await?;
        let value = serde_json::from_slice(&bytes)
            .map_err(|error| invalid(format!("the body is not valid JSON: {error}")))?;
        Ok((bytes, value))
    }

    /// Reads the whole body within the limits for requests.
    pub async fn body(&mut self) -> Result<Vec<u8>, Refusal> {
        let limit_bytes = self.shared().settings.limits.body_bytes;
        self.body_within(limit_bytes).await
    }

    /// Reads the whole body within a limit. A body over it is left unread.
    pub async fn body_within(&mut self, limit_bytes: u64) -> Result<Vec<u8>, Refusal> {
        let read = self.read_body(limit_bytes).await;
        if read.is_err() {
            if let Some(state) = self.request.ext::<Arc<StreamState>>() {
                state.ignore_rest();
            }
        }
        read
    }

    async fn read_body(&mut self, limit_bytes: u64) -> Result<Vec<u8>, Refusal> {
        let expected_bytes = self.request.len().unwrap_or(0) as u64;
        if expected_bytes > limit_bytes {
            return Err(too_large(limit_bytes));
        }
        let idle_ms = self.shared().settings.limits.body_idle_timeout_ms;
        let timeout_ms = idle_ms + limit_bytes.min(expected_bytes) * 1_000 / BODY_BYTES_PER_S;
        let mut bytes = Vec::with_capacity(expected_bytes as usize);
        let mut body = self.request.take_body().take(limit_bytes + 1);
        let read = async_std::future::timeout(
            Duration::from_millis(timeout_ms),
            body.read_to_end(&mut bytes),
        );
        match read.await {
            Err(_) => {
                let message = format!("the body did not arrive within {timeout_ms} ms");
                Err(Refusal::not_run(RefusalKind::BodyTimeout, message))
            }
            Ok(Err(error)) => Err(invalid(format!("the body could not be read: {error}"))),
            Ok(Ok(_)) if bytes.len() as u64 > limit_bytes => Err(too_large(limit_bytes)),
            Ok(Ok(_)) if (bytes.len() as u64) < expected_bytes => {
                Err(invalid("the body ended before its content-length".to_owned()))
            }
            Ok(Ok(_)) => Ok(bytes),
        }
    }
}

/// A refusal of a malformed request.
pub fn invalid(message: String) -> Refusal {
    Refusal::not_run(RefusalKind::InvalidRequest, message)
}

fn too_large(limit_bytes: u64) -> Refusal {
    let message = format!("the body is over its limit of {limit_bytes} bytes");
    Refusal::not_run(RefusalKind::BodyTooLarge, message)
}
