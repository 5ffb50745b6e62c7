use std::collections::HashMap;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_trait::async_trait;
use futures::FutureExt;
use tide::http::{Method, Request, Response, Url};

use crate::upstream::response_body::ResponseBody;
use crate::upstream::{UpstreamCall, UpstreamConnector, UpstreamError, UpstreamResponse};

/// Longest time to wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections kept per upstream.
const IDLE_LIMIT: usize = 64;
/// Age at which an idle connection is dropped. Shorter than the usual keep-alive timeout of
/// servers, so that a reused connection is unlikely to be closed by the upstream at the same time.
const IDLE_AGE: Duration = Duration::from_secs(4);

type IdleByAddress = HashMap<String, Vec<(Instant, TcpStream)>>;

/// Pool of idle connections for reuse, by upstream address.
#[derive(Clone, Default)]
pub struct IdleConnections {
    by_address: Arc<Mutex<IdleByAddress>>,
}

impl IdleConnections {
    /// Returns a connection to the pool. Drops it when the limit of the upstream is reached.
    pub fn put(&self, address: &str, stream: TcpStream) {
        let mut by_address = self.by_address.lock().expect("lock is not poisoned");
        let idle = by_address.entry(address.to_owned()).or_default();
        if idle.len() < IDLE_LIMIT {
            idle.push((Instant::now(), stream));
        }
    }

    fn take(&self, address: &str) -> Option<TcpStream> {
        let mut by_address = self.by_address.lock().expect("lock is not poisoned");
        let idle = by_address.get_mut(address)?;
        while let Some((since, stream)) = idle.pop() {
            if since.elapsed() < IDLE_AGE && is_open(&stream) {
                return Some(stream);
            }
        }
        by_address.remove(address);
        None
    }
}

/// Calls upstreams over HTTP/1.1 and reuses their connections.
#[derive(Clone, Default)]
pub struct HttpConnector {
    idle: IdleConnections,
}

impl HttpConnector {
    /// Creates a connector without open connections.
    pub fn open() -> Self {
        Self::default()
    }

    async fn connection(&self, call: &UpstreamCall<'_>) -> Result<TcpStream, UpstreamError> {
        // A broken idle connection may go unnoticed until bytes are sent on it, so only calls that
        // may be repeated use one.
        if call.repeatable {
            if let Some(stream) = self.idle.take(call.address) {
                return Ok(stream);
            }
        }
        let connect = TcpStream::connect(call.address);
        let stream = async_std::io::timeout(CONNECT_TIMEOUT, connect).await;
        let stream = stream.map_err(|error| UpstreamError::NotSent(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

#[async_trait]
impl UpstreamConnector for HttpConnector {
    async fn open(&self, call: UpstreamCall<'_>) -> Result<UpstreamResponse, UpstreamError> {
        let request = build_request(&call)?;
        let stream = self.connection(&call).await?;
        let mut guard = CloseOnDrop { stream: Some(stream.clone()) };
        let answer = async_h1::connect(stream.clone(), request);
        let response = match async_std::future::timeout(call.timeout, answer).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(UpstreamError::Lost(error.to_string())),
            Err(_) => {
                let reason = format!("no answer within {} ms", call.timeout.as_millis());
                return Err(UpstreamError::Silent(reason));
            }
        };
        guard.stream = None;
        let status = response.status() as u16;
        let content_type =
            response.content_type().map(|mime| mime.essence().to_owned()).unwrap_or_default();
        let idle = (!closes_connection(&response)).then(|| self.idle.clone());
        let body = Box::new(ResponseBody::new(response, stream, call.address, idle));
        Ok(UpstreamResponse { status, content_type, body })
    }
}

/// Closes the connection when the call fails or is dropped before the response head arrives.
struct CloseOnDrop {
    stream: Option<TcpStream>,
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(stream) = self.stream.take() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn build_request(call: &UpstreamCall<'_>) -> Result<Request, UpstreamError> {
    let invalid = |error: String| UpstreamError::NotSent(error);
    let url = Url::parse(&format!("http://{}{}", call.address, call.path))
        .map_err(|error| invalid(error.to_string()))?;
    let method = Method::from_str(call.method).map_err(|error| invalid(error.to_string()))?;
    let mut request = Request::new(method, url);
    for (name, value) in call.headers {
        request.insert_header(*name, *value);
    }
    let content_type = request.header("content-type").map(|value| value.as_str().to_owned());
    request.set_body(call.body);
    if let Some(content_type) = content_type {
        request.insert_header("content-type", content_type);
    }
    Ok(request)
}

/// False when the upstream has closed the connection or sent unexpected bytes on it.
fn is_open(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).now_or_never().is_none()
}

fn closes_connection(response: &Response) -> bool {
    let connection = response.header("connection");
    connection.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}
