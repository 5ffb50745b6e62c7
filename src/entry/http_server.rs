use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures::future::{select, Either};
use futures::{AsyncWriteExt, StreamExt};
use tide::http::{Request, Response};

use crate::admission::{Refusal, RefusalKind};
use crate::entry::caller_stream::{CallerStream, HeadLimits, StreamState};
use crate::entry::refusal_response::refusal_bytes;
use crate::entry::request_tracker::RequestTracker;
use crate::settings::LimitSettings;
use crate::sockets::close_after_response;
use crate::telemetry::Counters;

/// Size limit of a request head in the HTTP library.
const LIBRARY_HEAD_LIMIT_BYTES: u64 = 8 * 1024;

/// Accepts and serves HTTP connections of callers until it is closed.
pub struct HttpServer {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
    stopping: Arc<AtomicBool>,
}

#[derive(Clone)]
struct Context {
    app: tide::Server<()>,
    limits: Arc<LimitSettings>,
    counters: Counters,
    connections: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    request_tracker: RequestTracker,
}

impl HttpServer {
    /// Starts to accept connections on `listener`; `app` handles their requests.
    pub fn spawn(
        listener: TcpListener,
        app: tide::Server<()>,
        limits: &LimitSettings,
        counters: Counters,
        request_tracker: RequestTracker,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let context = Context {
            app,
            limits: Arc::new(limits.clone()),
            counters,
            connections: Arc::default(),
            stopping: stopping.clone(),
            request_tracker,
        };
        let accept_task = task::spawn(accept(listener, context));
        Ok(Self { address, accept_task, stopping })
    }

    /// Local address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; open connections close after their current request.
    pub async fn close(self) {
        self.stopping.store(true, Ordering::Release);
        self.accept_task.cancel().await;
    }
}

async fn accept(listener: TcpListener, context: Context) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else {
            // Probably out of file descriptors: waits until other connections close.
            task::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let open = context.connections.fetch_add(1, Ordering::AcqRel);
        let guard = ConnectionGuard { connections: context.connections.clone() };
        if open >= context.limits.connections {
            context.counters.count("connection.refused");
            continue;
        }
        let context = context.clone();
        task::spawn(async move {
            let _guard = guard;
            serve(stream, &context).await;
        });
    }
}

struct ConnectionGuard {
    connections: Arc<AtomicU64>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves the requests of one connection until either side closes it.
async fn serve(stream: TcpStream, context: &Context) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let state = Arc::new(StreamState::default());
    let head_limit_bytes = context.limits.header_bytes.min(LIBRARY_HEAD_LIMIT_BYTES) as u32;
    let head_timeout = Duration::from_millis(context.limits.header_timeout_ms);
    let limits = HeadLimits { limit_bytes: head_limit_bytes, timeout: head_timeout };
    let caller = CallerStream::new(stream.clone(), state.clone(), limits);
    // The answer of the current request, from the end of its head until it is written.
    let unanswered = Mutex::new(None);
    let set_unanswered = |guard| {
        *unanswered.lock().unwrap_or_else(PoisonError::into_inner) = guard;
    };
    let endpoint = |mut request: Request| {
        state.end_head();
        set_unanswered(Some(context.request_tracker.track_answer()));
        request.ext_mut().insert(state.clone());
        let app = context.app.clone();
        async move { app.respond::<Request, Response>(request).await }
    };
    let mut server = Server::new(caller, endpoint);
    loop {
        set_unanswered(None);
        let is_stopping = || context.stopping.load(Ordering::Acquire);
        if is_stopping() || !wait_for_request(&stream, context).await || is_stopping() {
            return;
        }
        state.start_head();
        let request = Box::pin(server.accept_one());
        // Dropping the request when the caller disconnects releases its resources.
        let disconnected = Box::pin(CallerStream::wait_until_closed(&stream));
        match select(request, disconnected).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _))
                if !state.discards_remaining_input() => {}
            Either::Left((Ok(_), _)) if state.discards_remaining_input() => {
                close_after_response(stream.clone()).await;
                return;
            }
            Either::Left((Ok(_), _)) => return,
            // The response was truncated: aborts the connection, so that the caller does not take
            // it for a complete response.
            Either::Left((Err(_), _)) if !state.is_reading_head() => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            Either::Left((Err(error), _)) => {
                context.counters.count("request.malformed");
                respond_to_malformed_head(stream.clone(), &error, head_limit_bytes).await;
                return;
            }
            Either::Right(_) => {
                context.counters.count("request.caller_gone");
                return;
            }
        }
    }
}

/// Waits for the first byte of the next request. Returns `false` if the connection is closed or
/// idle for too long.
async fn wait_for_request(stream: &TcpStream, context: &Context) -> bool {
    let timeout = Duration::from_millis(context.limits.keep_alive_timeout_ms);
    let mut byte = [0];
    let peeked = async_std::future::timeout(timeout, stream.peek(&mut byte)).await;
    matches!(peeked, Ok(Ok(1)))
}

/// Responds to a request whose head could not be read, and closes the connection.
async fn respond_to_malformed_head(
    mut stream: TcpStream,
    error: &tide::http::Error,
    limit_bytes: u32,
) {
    let text = error.to_string();
    let (status, message) = if text.contains("head limit") || text.contains("Head byte length") {
        (431, format!("the head of the request is over its limit of {limit_bytes} bytes"))
    } else if text.contains("head timeout") {
        (408, "the head of the request did not arrive in time".to_owned())
    } else {
        (400, format!("the head of the request is malformed: {text}"))
    };
    let refusal = Refusal::not_run(RefusalKind::InvalidRequest, message);
    let body = refusal_bytes(&refusal, &[]);
    let head = format!(
        "HTTP/1.1 {status} Bad Request\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    close_after_response(stream).await;
}
