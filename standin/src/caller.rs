use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::AsyncReadExt;
use http_types::{Method, Request, Response, Url};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller of the system: plain HTTP, a connection for each call.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    address: SocketAddr,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl CallerAnswer {
    /// The body as JSON; null when it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Data of the server-sent events in the body.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }

    /// Text of a streamed completion.
    pub fn streamed_text(&self) -> String {
        let mut text = String::new();
        for event in self.events() {
            let event: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
            let choice = &event["choices"][0];
            let piece = choice["delta"]["content"].as_str().or(choice["text"].as_str());
            text.push_str(piece.unwrap_or(""));
        }
        text
    }
}

impl Caller {
    /// A caller of the host at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Calls with GET.
    ///
    /// # Errors
    /// No connection, a broken answer, or none within a minute.
    pub async fn get(&self, path: &str) -> io::Result<CallerAnswer> {
        self.call("GET", path, &[], b"").await
    }

    /// Calls with POST and a JSON body.
    ///
    /// # Errors
    /// As [`Caller::get`].
    pub async fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &serde_json::Value,
    ) -> io::Result<CallerAnswer> {
        self.call("POST", path, headers, body.to_string().as_bytes()).await
    }

    /// Calls and reads the whole answer.
    ///
    /// # Errors
    /// As [`Caller::get`].
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<CallerAnswer> {
        let call = async {
            let mut response = self.open_call(method, path, headers, body).await?;
            let mut bytes = Vec::new();
            response.read_to_end(&mut bytes).await?;
            let headers = response.iter();
            let headers =
                headers.map(|(name, value)| (name.to_string(), value.as_str().to_owned()));
            Ok(CallerAnswer {
                status: response.status() as u16,
                headers: headers.collect(),
                body: String::from_utf8_lossy(&bytes).into_owned(),
            })
        };
        async_std::io::timeout(CALL_TIMEOUT, call).await
    }

    /// Calls and gives the answer as it comes. Dropping it closes the connection.
    ///
    /// # Errors
    /// No connection or a broken head.
    pub async fn open_call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Response> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let invalid = |error: &dyn std::fmt::Display| io::Error::other(error.to_string());
        let url = Url::parse(&format!("http://{}{path}", self.address));
        let url = url.map_err(|error| invalid(&error))?;
        let method: Method = method.parse().map_err(|error| invalid(&error))?;
        let mut request = Request::new(method, url);
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        async_h1::connect(stream, request).await.map_err(|error| invalid(&error))
    }
}
