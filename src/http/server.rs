use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use async_trait::async_trait;
use futures::future::{select, Either};

use crate::http::{Connection, ConnectionStatus, Exchange, Headers, HttpError, RequestHead};
use crate::signal::Signal;
use crate::sockets::listen;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits on requests and idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum time to receive a request head, from its first byte.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// Handles the requests of an [`HttpServer`].
#[async_trait]
pub trait RequestHandler: Send + Sync {
    /// Limits for the next request.
    fn limits(&self) -> HttpLimits;

    /// Handles one request and sends its response. An error closes the connection.
    async fn handle(
        &self,
        head: RequestHead,
        exchange: &mut Exchange<'_>,
    ) -> Result<ConnectionStatus, HttpError>;
}

/// Options of an [`HttpServer`].
pub struct ServerOptions {
    /// Name of the server in log events.
    pub name: &'static str,
    /// IP address and port to listen on.
    pub address: SocketAddr,
}

/// An HTTP/1.1 server.
pub struct HttpServer {
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

struct Shared {
    name: &'static str,
    handler: Arc<dyn RequestHandler>,
    draining: AtomicBool,
    open: AtomicUsize,
    /// No more requests are read.
    intake_closed: AtomicBool,
    intake_changed: Signal,
}

impl HttpServer {
    /// Binds the address and starts to serve connections.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn bind(
        options: ServerOptions,
        handler: Arc<dyn RequestHandler>,
    ) -> io::Result<Self> {
        let listener = listen(options.address)?;
        let shared = Arc::new(Shared {
            name: options.name,
            handler,
            draining: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            intake_closed: AtomicBool::new(false),
            intake_changed: Signal::default(),
        });
        let accept_task = task::spawn(accept(listener, shared.clone()));
        Ok(Self { shared, accept_task })
    }

    /// Number of requests that are in progress.
    pub fn open_requests(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Starts a drain: each connection closes after its next response.
    pub fn start_drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    /// Closes the connections on which no request is in progress, and reads no further requests.
    pub fn close_intake(&self) {
        self.shared.intake_closed.store(true, Ordering::SeqCst);
        self.shared.intake_changed.notify();
    }

    /// Stops accepting connections; open connections remain until they close or the process exits.
    pub async fn close(self) {
        self.accept_task.cancel().await;
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
                task::sleep(ACCEPT_RETRY_DELAY).await;
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
        let closed = shared.intake_changed.listen();
        if shared.intake_closed.load(Ordering::SeqCst) {
            return;
        }
        let read = connection.read_request(
            limits.header_bytes,
            limits.idle_timeout,
            limits.header_timeout,
        );
        // A request that is not read whole has no answer to wait for.
        let Either::Left((head, _)) = select(pin!(read), closed).await else { return };
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => {
                respond_with_error(connection, &error, &shared).await;
                return;
            }
        };
        let _open = OpenRequestGuard::new(&shared.open);
        let may_keep_alive = !shared.draining.load(Ordering::Acquire);
        let mut exchange = Exchange::new(&mut connection, &head, may_keep_alive);
        let handled = shared.handler.handle(head, &mut exchange).await;
        let has_unread_body = exchange.has_unread_body();
        match handled {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) if has_unread_body => {
                connection.close_unread().await;
                return;
            }
            Ok(ConnectionStatus::Close) => return,
            Err(error) => {
                log::debug!(event = "connection_closed", server = shared.name; "{error}");
                return;
            }
        }
    }
}

/// Sends an error response for a request head that can't be read, unless the connection is closed
/// or failed.
async fn respond_with_error(mut connection: Connection, error: &HttpError, shared: &Shared) {
    let status = match error {
        HttpError::NoBuffer => 503,
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
    let mut exchange = Exchange::new(&mut connection, &head, false);
    // The connection is closed next, so a failed write needs no handling.
    let _ = exchange.respond(status, &Headers::default(), b"").await;
    connection.close_unread().await;
}

struct OpenRequestGuard<'a> {
    open: &'a AtomicUsize,
}

impl<'a> OpenRequestGuard<'a> {
    fn new(open: &'a AtomicUsize) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self { open }
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}
