use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::AsyncReadExt;
use tide::Request;
use uuid::Uuid;

use crate::admission::{Refusal, RefusalKind};
use crate::entry::caller_stream::StreamState;
use crate::entry::shared::EntryShared;

/// Minimum transfer rate of a request body; a slower body times out.
const BODY_BYTES_PER_S: u64 = 16 * 1024;
/// Maximum length of an idempotency key.
const KEY_LIMIT_BYTES: usize = 256;
/// Maximum deadline of a request; later deadlines are shortened to it.
const DEADLINE_LIMIT_MS: u64 = 24 * 3600 * 1_000;

/// A caller's HTTP request, with typed access to its headers, parameters and body.
pub struct CallerRequest {
    request: Request<Arc<EntryShared>>,
    /// Unique id that the entry host assigned to the request.
    pub request_id: String,
}

impl CallerRequest {
    /// Wraps a request and assigns an id to it.
    pub fn new(request: Request<Arc<EntryShared>>) -> Self {
        Self { request, request_id: format!("req-{}", Uuid::new_v4().simple()) }
    }

    /// Shared state of the entry host.
    pub fn shared(&self) -> &Arc<EntryShared> {
        self.request.state()
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.as_str())
    }

    /// Value of a path parameter, or an empty string.
    pub fn path_parameter(&self, name: &str) -> &str {
        self.request.param(name).unwrap_or("")
    }

    /// HTTP method; reported as `POST` if it is none of the listed ones.
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

    /// Query string of the URL, or an empty string.
    pub fn url_query(&self) -> &str {
        self.request.url().query().unwrap_or("")
    }

    /// Decoded value of a parameter in the URL's query string.
    pub fn query_parameter(&self, name: &str) -> Option<String> {
        let pairs = self.request.url().query_pairs();
        pairs.into_iter().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }

    /// Numeric parameter in the URL's query string, or `default` if it is absent.
    ///
    /// # Errors
    /// [`RefusalKind::InvalidRequest`] if the value is not a whole number.
    pub fn query_number(&self, name: &str, default: u32) -> Result<u32, Refusal> {
        let Some(text) = self.query_parameter(name) else { return Ok(default) };
        text.parse().map_err(|_| {
            invalid_request(format!(
                "query parameter `{name}` must be a whole number, not `{text}`"
            ))
        })
    }

    /// Authenticates the caller by its bearer token and returns the customer that owns the token.
    ///
    /// # Errors
    /// [`RefusalKind::Unauthorized`] if the token is missing or unknown.
    pub fn authenticate_customer(&self) -> Result<String, Refusal> {
        let token = self.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let configuration = self.shared().configuration.load();
        let customer = configuration.authenticate(token).map(str::to_owned);
        customer.ok_or_else(|| {
            let message = "header `authorization` must carry `Bearer` and a customer's token";
            Refusal::not_run(RefusalKind::Unauthorized, message)
        })
    }

    /// Authenticates an operator by bearer token. Every caller passes if the settings have no
    /// operator token.
    ///
    /// # Errors
    /// [`RefusalKind::Unauthorized`] if the token is missing or wrong.
    pub fn authorize_operator(&self) -> Result<(), Refusal> {
        let expected = &self.shared().settings.operator_token;
        let token = self.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        if expected.is_empty() || token == Some(expected.as_str()) {
            return Ok(());
        }
        let message = "header `authorization` must carry `Bearer` and the operator's token";
        Err(Refusal::not_run(RefusalKind::Unauthorized, message))
    }

    /// Idempotency key under which the caller may resend the request; empty if there is none.
    ///
    /// # Errors
    /// [`RefusalKind::InvalidRequest`] if the key is over 256 bytes.
    pub fn idempotency_key(&self) -> Result<String, Refusal> {
        let key = self.header("idempotency-key").unwrap_or("");
        if key.len() > KEY_LIMIT_BYTES {
            let message = format!("header `idempotency-key` is over {KEY_LIMIT_BYTES} bytes");
            return Err(invalid_request(message));
        }
        Ok(key.to_owned())
    }

    /// Whether the caller marked the request as one that must not run twice.
    ///
    /// # Errors
    /// [`RefusalKind::InvalidRequest`] if the header is neither `true` nor `false`.
    pub fn is_not_repeatable(&self) -> Result<bool, Refusal> {
        match self.header("x-not-repeatable") {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(other) => Err(invalid_request(format!(
                "header `x-not-repeatable` must be true or false: `{other}`"
            ))),
        }
    }

    /// Time by which the caller needs the whole answer.
    ///
    /// # Errors
    /// [`RefusalKind::InvalidRequest`] if the header is not a number, and
    /// [`RefusalKind::DeadlineExceeded`] if it is 0.
    pub fn deadline(&self) -> Result<Instant, Refusal> {
        let default_ms = self.shared().settings.entry.default_deadline_ms;
        let deadline_ms: u64 = match self.header("x-deadline-ms") {
            None => default_ms,
            Some(text) => text.parse().map_err(|_| {
                invalid_request(format!(
                    "header `x-deadline-ms` must be milliseconds from now: `{text}`"
                ))
            })?,
        };
        if deadline_ms == 0 {
            let message = "the deadline has passed already";
            return Err(Refusal::not_run(RefusalKind::DeadlineExceeded, message));
        }
        let deadline = Instant::now() + Duration::from_millis(deadline_ms.min(DEADLINE_LIMIT_MS));
        if !self.shared().request_tracker.leaves_time_until(deadline) {
            let message = "this host stops before the deadline of the request";
            return Err(Refusal::not_run(RefusalKind::Draining, message));
        }
        Ok(deadline)
    }

    /// Reads the body and parses it as JSON; returns the raw bytes as well.
    pub async fn json(&mut self) -> Result<(Vec<u8>, serde_json::Value), Refusal> {
        let bytes = self.body().await?;
        let value = serde_json::from_slice(&bytes)
            .map_err(|error| invalid_request(format!("the body is not valid JSON: {error}")))?;
        Ok((bytes, value))
    }

    /// Reads the whole body, up to the configured size limit of a request.
    pub async fn body(&mut self) -> Result<Vec<u8>, Refusal> {
        let limit_bytes = self.shared().settings.limits.body_bytes;
        self.body_with_limit(limit_bytes).await
    }

    /// Reads the whole body, up to `limit_bytes`. After an error the rest of the body is not read
    /// and the connection closes after the response.
    pub async fn body_with_limit(&mut self, limit_bytes: u64) -> Result<Vec<u8>, Refusal> {
        let read = self.read_body(limit_bytes).await;
        if read.is_err() {
            if let Some(state) = self.request.ext::<Arc<StreamState>>() {
                state.discard_remaining_input();
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
            Ok(Err(error)) => Err(invalid_request(format!("the body could not be read: {error}"))),
            Ok(Ok(_)) if bytes.len() as u64 > limit_bytes => Err(too_large(limit_bytes)),
            Ok(Ok(_)) if (bytes.len() as u64) < expected_bytes => {
                Err(invalid_request("the body ended before its content-length".to_owned()))
            }
            Ok(Ok(_)) => Ok(bytes),
        }
    }
}

/// Refusal of a malformed request, with status 400.
pub fn invalid_request(message: String) -> Refusal {
    Refusal::not_run(RefusalKind::InvalidRequest, message)
}

fn too_large(limit_bytes: u64) -> Refusal {
    let message = format!("the body is over its limit of {limit_bytes} bytes");
    Refusal::not_run(RefusalKind::BodyTooLarge, message)
}
