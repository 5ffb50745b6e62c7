use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use serde_json::Value;
use tide::http::{Request, Response, Url};

use crate::cmd::{Call, Failure, Options, Refusal, Reply};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a round in which no address answered.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause that a refusal may ask for before the command gives up instead.
const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(5);
/// Slowest link on which a body is given time to cross.
const SLOWEST_BYTES_PER_S: u64 = 100_000;

/// Sends calls to entry hosts, moving on to the next address when one does not answer.
pub struct EntryClient {
    addresses: Vec<String>,
    token: String,
    timeout: Duration,
    current: usize,
}

enum Attempt {
    /// No byte of the request can have reached a host.
    NotSent(String),
    /// The request was sent but the answer did not come whole.
    Lost(String),
}

impl EntryClient {
    /// A client for the hosts that the options name.
    pub fn new(options: &Options) -> Self {
        Self {
            addresses: options.entries.clone(),
            token: options.token.clone(),
            timeout: options.timeout,
            current: 0,
        }
    }

    /// Sends a call and returns the JSON of its answer.
    pub async fn json(&mut self, call: Call<'_>) -> Result<Value, Failure> {
        let reply = self.send(call).await?;
        serde_json::from_slice(&reply.body).map_err(|error| {
            let message = format!("the answer of {} is not JSON: {error}", call.path);
            Failure::failed(message, "check that --entry names a damaskhoist host")
        })
    }

    /// Sends a call and reads its whole answer.
    pub async fn send(&mut self, call: Call<'_>) -> Result<Reply, Failure> {
        let deadline = Instant::now() + self.timeout;
        loop {
            let refusal = match self.send_once(call).await {
                Ok(reply) if reply.status < 400 => return Ok(reply),
                Ok(reply) => Refusal::from_answer(reply.status, &reply.body),
                Err(attempt) => {
                    self.move_on(call, attempt, deadline).await?;
                    continue;
                }
            };
            self.wait_after(call, refusal, deadline).await?;
        }
    }

    /// Sends a call and returns its answer before the body has come, for streams.
    pub async fn open(&mut self, call: Call<'_>) -> Result<Response, Failure> {
        let deadline = Instant::now() + self.timeout;
        loop {
            let mut response = match self.connect_and_ask(call, self.timeout).await {
                Ok(response) => response,
                Err(attempt) => {
                    self.move_on(call, attempt, deadline).await?;
                    continue;
                }
            };
            let status = u16::from(response.status());
            if status < 400 {
                return Ok(response);
            }
            let body = response.body_bytes().await.unwrap_or_default();
            self.wait_after(call, Refusal::from_answer(status, &body), deadline).await?;
        }
    }

    /// Decides about another attempt after one without an answer.
    async fn move_on(
        &mut self,
        call: Call<'_>,
        attempt: Attempt,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let address = self.addresses[self.current].clone();
        let reason = match attempt {
            Attempt::Lost(reason) if !call.is_idempotent => {
                let message = format!("no answer from {address}: {reason}");
                let advice = "the request may have run; look at the state before sending it again";
                return Err(Failure::unreachable(message, advice));
            }
            Attempt::NotSent(reason) | Attempt::Lost(reason) => reason,
        };
        if Instant::now() >= deadline {
            let message = format!("no entry host answered; last {address}: {reason}");
            let advice = "check the addresses in --entry, and that a host runs there";
            return Err(Failure::unreachable(message, advice));
        }
        self.current = (self.current + 1) % self.addresses.len();
        if self.current == 0 {
            task::sleep(ROUND_PAUSE).await;
        }
        Ok(())
    }

    /// Waits as a refusal asks, or gives up with it.
    async fn wait_after(
        &mut self,
        call: Call<'_>,
        refusal: Refusal,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let may_repeat = refusal.retryable && (refusal.is_not_run() || call.is_idempotent);
        let pause = Duration::from_millis(refusal.retry_after_ms).max(ROUND_PAUSE);
        let is_in_time = pause <= RETRY_AFTER_LIMIT && Instant::now() + pause < deadline;
        if !may_repeat || !is_in_time {
            return Err(Failure::refused(refusal));
        }
        for entry in refusal.entries() {
            if !self.addresses.iter().any(|known| known == entry) {
                self.addresses.push(entry.to_owned());
            }
        }
        self.current = (self.current + 1) % self.addresses.len();
        task::sleep(pause).await;
        Ok(())
    }

    async fn send_once(&self, call: Call<'_>) -> Result<Reply, Attempt> {
        let transfer = Duration::from_secs(call.body.len() as u64 / SLOWEST_BYTES_PER_S);
        let bound = self.timeout + transfer;
        let mut response = self.connect_and_ask(call, bound).await?;
        let declared_bytes = response.len();
        let next_item =
            response.header("x-next-item").and_then(|value| value.as_str().parse().ok());
        let body = match timeout(bound, response.body_bytes()).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(Attempt::Lost(error.to_string())),
            Err(_) => return Err(Attempt::Lost("the answer did not end in time".to_owned())),
        };
        // The HTTP library ends a body early without an error when the connection breaks.
        if declared_bytes.is_some_and(|declared| declared != body.len()) {
            return Err(Attempt::Lost("the answer was cut short".to_owned()));
        }
        Ok(Reply { status: u16::from(response.status()), next_item, body })
    }

    async fn connect_and_ask(&self, call: Call<'_>, bound: Duration) -> Result<Response, Attempt> {
        let address = &self.addresses[self.current];
        let (url, socket) = target(address, call.path).map_err(Attempt::NotSent)?;
        let stream = match timeout(CONNECT_TIMEOUT.min(bound), TcpStream::connect(socket)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Attempt::NotSent(describe(&error))),
            Err(_) => return Err(Attempt::NotSent("no connection in time".to_owned())),
        };
        let request = self.request(call, url);
        match timeout(bound, async_h1::connect(stream, request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(Attempt::Lost(error.to_string())),
            Err(_) => Err(Attempt::Lost("no answer in time".to_owned())),
        }
    }

    fn request(&self, call: Call<'_>, url: Url) -> Request {
        let mut request = Request::new(call.method, url);
        request.insert_header("connection", "close");
        if !self.token.is_empty() {
            request.insert_header("authorization", format!("Bearer {}", self.token));
        }
        if !call.key.is_empty() {
            request.insert_header("idempotency-key", call.key);
        }
        if !call.body.is_empty() {
            request.set_body(call.body);
            request.insert_header("content-type", call.content_type);
        }
        request
    }
}

fn target(address: &str, path: &str) -> Result<(Url, SocketAddr), String> {
    let address = address.trim_start_matches("http://").trim_end_matches('/');
    let socket =
        address.parse().map_err(|_| format!("'{address}' is not an IP address and port"))?;
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|error| error.to_string())?;
    Ok((url, socket))
}

fn describe(error: &io::Error) -> String {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => "nothing listens there".to_owned(),
        _ => error.to_string(),
    }
}
