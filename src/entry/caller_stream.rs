use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use futures::{AsyncRead, AsyncWrite};

/// Longest time that a caller may read nothing of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before the connection is looked at again while the caller still sends.
const PEEK_INTERVAL: Duration = Duration::from_millis(100);

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// What a connection and the handler of its current request tell each other.
#[derive(Debug, Default)]
pub struct StreamState {
    head_bytes: AtomicU32,
    reads_head: AtomicBool,
    ignores_rest: AtomicBool,
}

impl StreamState {
    /// The head of a request begins.
    pub fn start_head(&self) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.reads_head.store(true, Ordering::Relaxed);
    }

    /// The head was read whole.
    pub fn end_head(&self) {
        self.reads_head.store(false, Ordering::Relaxed);
    }

    /// True until the head of the request was read whole.
    pub fn is_reading_head(&self) -> bool {
        self.reads_head.load(Ordering::Relaxed)
    }

    /// What the caller still sends is not read; the connection ends after the answer.
    pub fn ignore_rest(&self) {
        self.ignores_rest.store(true, Ordering::Relaxed);
    }

    /// True when the connection must end after the answer.
    pub fn ignores_rest(&self) -> bool {
        self.ignores_rest.load(Ordering::Relaxed)
    }
}

/// Bounds on the head of a request.
#[derive(Clone, Copy, Debug)]
pub struct HeadBounds {
    /// Largest head.
    pub limit_bytes: u32,
    /// Longest time from its first byte to its last.
    pub timeout: Duration,
}

/// A caller's connection with bounds on its head and on the time that writes may stall.
pub struct CallerStream {
    stream: TcpStream,
    state: Arc<StreamState>,
    bounds: HeadBounds,
    head_timer: Option<Timer>,
    stalled: Option<Timer>,
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, state: Arc<StreamState>, bounds: HeadBounds) -> Self {
        Self { stream, state, bounds, head_timer: None, stalled: None }
    }

    /// Waits until the caller closes its side.
    pub async fn closed(stream: &TcpStream) {
        let mut byte = [0];
        loop {
            match stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                Ok(_) => task::sleep(PEEK_INTERVAL).await,
            }
        }
    }
}

impl CallerStream {
    /// Counts bytes of a head that is not whole yet.
    fn check_head(&self, read: usize, buffer_bytes: usize) -> io::Result<usize> {
        let total = self.state.head_bytes.fetch_add(read as u32, Ordering::Relaxed);
        // A body may share the read that ends the head, hence the buffer's size on top.
        if total > self.bounds.limit_bytes + buffer_bytes as u32 {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "head limit"));
        }
        Ok(read)
    }
}

impl Clone for CallerStream {
    fn clone(&self) -> Self {
        Self::new(self.stream.clone(), self.state.clone(), self.bounds)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.state.ignores_rest() {
            return Poll::Ready(Ok(0));
        }
        if !this.state.reads_head.load(Ordering::Relaxed) {
            return Pin::new(&mut this.stream).poll_read(context, buffer);
        }
        if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(context, buffer) {
            return Poll::Ready(this.check_head(read?, buffer.len()));
        }
        let timeout = this.bounds.timeout;
        let timer = this.head_timer.get_or_insert_with(|| Box::pin(task::sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "head timeout")))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if let Poll::Ready(written) = Pin::new(&mut this.stream).poll_write(context, buffer) {
            this.stalled = None;
            return Poll::Ready(written);
        }
        let timer = this.stalled.get_or_insert_with(|| Box::pin(task::sleep(WRITE_TIMEOUT)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(context)
    }
}
