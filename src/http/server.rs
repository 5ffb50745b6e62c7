use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use async_trait::async_trait;

use crate::http::{Connection, ConnectionFate, Exchange, Headers, HttpError, RequestHead};

/// Pause after a connection could not be accepted, as without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Size of a head.
    pub header_bytes: usize,
    /// Time for a head, from its first byte.
    pub header_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// Answers the requests of a server.
#[async_trait]
pub trait RequestHandler: Send + Sync {
    /// Bounds in force for the next request.
    fn limits(&self) -> HttpLimits;

    /// Answers one request. An error closes the connection.
    async fn handle(
        &self,
        head: RequestHead,
        exchange: &mut Exchange<'_>,
    ) -> Result<ConnectionFate, HttpError>;
}

/// What an [`HttpServer`] is made from.
pub struct ServerOptions {
    /// Name of the server in logs.
    pub name: &'static str,
    /// IP address and port.
    pub address: SocketAddr,
}

/// A server of HTTP/1.1 connections.
pub struct HttpServer {
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

struct Shared {
    name: &'static str,
    handler: Arc<dyn RequestHandler>,
    draining: AtomicBool,
    open: AtomicUsize,
}

impl HttpServer {
    /// Takes the address and serves its connections.
    ///
    /// # Errors
    /// If the address can't be taken.
    pub async fn bind(
        options: ServerOptions,
        handler: Arc<dyn RequestHandler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let shared = Arc::new(Shared {
            name: options.name,
            handler,
            draining: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        });
        let accepting = task::spawn(accept(listener, shared.clone()));
        Ok(Self { shared, accepting })
    }

    /// Requests that are being answered.
    pub fn open_requests(&self) -> usize {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Closes each connection after its next answer.
    pub fn start_drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    /// Stops accepting; open connections end with the process.
    pub async fn close(self) {
        self.accepting.cancel().await;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve(stream, shared.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", server = shared.name; "{error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = Connection::new(stream);
    loop {
        let limits = shared.handler.limits();
        let head = connection
            .read_request(limits.header_bytes, limits.idle_timeout, limits.header_timeout)
            .await;
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => {
                refuse(&mut connection, &error, &shared).await;
                return;
            }
        };
        let _open = OpenRequest::new(&shared.open);
        let may_keep_alive = !shared.draining.load(Ordering::Acquire);
        let mut exchange = Exchange::new(&mut connection, &head, may_keep_alive);
        match shared.handler.handle(head, &mut exchange).await {
            Ok(ConnectionFate::Keep) => {}
            Ok(ConnectionFate::Close) => return,
            Err(error) => {
                log::debug!(event = "connection_closed", server = shared.name; "{error}");
                return;
            }
        }
    }
}

/// Answers a head that can't be read, as far as the caller waits for an answer.
async fn refuse(connection: &mut Connection, error: &HttpError, shared: &Shared) {
    let status = match error {
        HttpError::TooLarge => 431,
        HttpError::Malformed(_) => 400,
        HttpError::Timeout => 408,
        HttpError::Io(_) | HttpError::Closed => return,
    };
    log::warn!(event = "request_refused", server = shared.name, status = status; "{error}");
    let head = RequestHead {
        method: String::new(),
        target: String::new(),
        headers: Headers::default(),
        framing: crate::http::BodyFraming::Empty,
        keep_alive: false,
    };
    let mut exchange = Exchange::new(connection, &head, false);
    // The caller may be gone; there is nobody else to tell.
    let _ = exchange.respond(status, &Headers::default(), b"").await;
}

struct OpenRequest<'a> {
    open: &'a AtomicUsize,
}

impl<'a> OpenRequest<'a> {
    fn new(open: &'a AtomicUsize) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self { open }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
